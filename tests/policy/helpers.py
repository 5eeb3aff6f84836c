"""A small world for the module alone: settings, stores and a router that has been told of them."""

from __future__ import annotations

from dataclasses import replace

from magpieshift.policy.actions import (
    Action,
    CacheRequestFlag,
    RejectRequest,
    SendCacheRequest,
    SendPlainRequest,
    SetTimer,
    WriteLog,
)
from magpieshift.policy.events import (
    AttemptEnded,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    RequestReceived,
)
from magpieshift.policy.outcomes import Outcome
from magpieshift.policy.router_policy import RouterPolicy
from magpieshift.policy.settings import DeduplicationScope, Idempotency, RequestClass, Settings

CACHE, PARENT, ORIGIN = 0, 1, 2
SECOND = 1_000_000


def a_class(**changes: object) -> RequestClass:
    base = RequestClass(
        idempotency=Idempotency.IDEMPOTENT,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_us=2 * SECOND,
        latency_objective_us=300_000,
        latency_objective_stretch=1.0,
        deadline_us=4 * SECOND,
        priority_weight=1.0,
        late_priority_weight=0.2,
        is_stream=False,
        is_write=False,
        in_parts=False,
        max_age_us=0,
        stale_grace_us=0,
        stale_priority_weight=1.0,
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def settings(*classes: RequestClass, **changes: object) -> Settings:
    base = Settings(
        classes=classes or (a_class(),),
        zone=1,
        router_count=2,
        router_index=0,
        zone_hub=(0, 0),
        zone_router_counts=(0, 2),
        zone_link_kb_per_s=(0.0, 0.0),
        parent_kind=PARENT,
        origin_kind=ORIGIN,
        tick_us=1000,
        client_kb_per_s=1000.0,
        weights_are_sizes=True,
        answer_slack_us=8000,
        drain_grace_us=250_000,
        slow_start_fraction=0.25,
        slow_start_us=10 * SECOND,
        overload_multiple=2.0,
        overload_window_us=SECOND,
        parent_slow_start_fraction=0.1,
        parent_slow_start_us=20 * SECOND,
        parent_overload_multiple=2.0,
        purge_grace_us=300_000,
        purge_propagation_us=6 * SECOND,
        connect_timeout_us=400_000,
        max_attempts=6,
        max_retry_after_us=500_000,
        can_cancel_attempts=True,
        can_check_health=False,
        can_message_peers=False,
        may_bypass_caches=True,
        hedged_requests=False,
        coalesces_fills=True,
        siblings=True,
        reports_cache_status=True,
        must_subscribe=False,
        load_report_columns=(),
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def entry(store: int, kind: int, **changes: object) -> Endpoint:
    zone = 1 if kind == CACHE else 0
    base = Endpoint(store, zone, kind, store, EndpointState.READY, 10.0, 0)
    return replace(base, **changes)  # type: ignore[arg-type]


CACHES, PARENTS, THE_ORIGIN = (11, 12, 13), (21, 22, 23), 31


def whole_list(**changes: Endpoint) -> EndpointListReceived:
    stores = {s: entry(s, CACHE) for s in CACHES} | {s: entry(s, PARENT) for s in PARENTS}
    stores[THE_ORIGIN] = entry(THE_ORIGIN, ORIGIN)
    stores |= {e.number: e for e in changes.values()}
    return EndpointListReceived(EndpointListKind.CACHED, 1, tuple(stores.values()))


def refused(actions: list[Action], ident: int) -> bool:
    """Whether this request, and nothing else, is turned away; when it may come back is told elsewhere."""
    return [a.request_id if isinstance(a, RejectRequest) else a for a in actions] == [ident]


class World:
    """A router and its clock; ``does`` keeps only the actions that are not timers."""

    def __init__(self, config: Settings | None = None, listed: EndpointListReceived | None = None) -> None:
        self.router = RouterPolicy(config or settings(), 7)
        self.now = 100 * SECOND
        self.next_id = 1
        self.tell(listed or whole_list())

    def tell(self, *events: Event, after: int = 0) -> list[Action]:
        self.now += after
        actions = self.router.handle(self.now, events)
        return [a for a in actions if not isinstance(a, SetTimer)]

    def ask(self, key: int = 5, cls: int = 0, patience: int = 4 * SECOND, **more: object) -> list[Action]:
        """A request lands; its id is ``next_id - 1`` afterwards."""
        base = RequestReceived(self.next_id, cls, 0, key, patience, 0.0, 3, 0, False, False)
        self.next_id += 1
        return self.tell(replace(base, **more))  # type: ignore[arg-type]

    def end(self, sent: Action, outcome: Outcome, leg: int, after: int = 1000, note: int = 0) -> list[Action]:
        assert isinstance(sent, SendPlainRequest | SendCacheRequest)
        closed = outcome == Outcome.OK
        event = AttemptEnded(sent.request_id, outcome, after, 0, closed, note, sent.endpoint, leg, ())
        return self.tell(event, after=after)

    def fill(self, key: int = 5, **more: object) -> Action:
        """A request that its cache lacks, and each parent that is asked what it holds: the fill that
        follows, or whatever else does."""
        (first,) = self.ask(key, **more)  # type: ignore[arg-type]
        actions, leg = self.end(first, Outcome.MISS, 0), 1
        while (
            actions
            and isinstance(actions[0], SendCacheRequest)
            and actions[0].flags & CacheRequestFlag.SOURCE_CACHED_ONLY
        ):
            actions, leg = self.end(actions[0], Outcome.MISS, leg), leg + 1
        return actions[0] if actions else WriteLog("held")
