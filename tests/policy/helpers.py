"""Helpers for tests of the policy: settings, an endpoint list, and a router that has received the list."""

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


def make_class(**changes: object) -> RequestClass:
    """An idempotent request class, with changed fields."""
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
    """Settings of one of the two routers of zone 1, whose hub is zone 0, with changed fields."""
    base = Settings(
        classes=classes or (make_class(),),
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


def entry(number: int, kind: int, **changes: object) -> Endpoint:
    """An entry of the endpoint list: caches are in the router's own zone, parents and the origin in the
    hub's."""
    zone = 1 if kind == CACHE else 0
    base = Endpoint(number, zone, kind, number, EndpointState.READY, 10.0, 0)
    return replace(base, **changes)  # type: ignore[arg-type]


CACHES = (11, 12, 13)
PARENTS = (21, 22, 23)
ORIGIN_NUMBER = 31


def complete_list(**changes: Endpoint) -> EndpointListReceived:
    """A list of three caches, three parents and the origin; ``changes`` adds or replaces entries."""
    endpoints = {number: entry(number, CACHE) for number in CACHES}
    endpoints |= {number: entry(number, PARENT) for number in PARENTS}
    endpoints[ORIGIN_NUMBER] = entry(ORIGIN_NUMBER, ORIGIN)
    endpoints |= {each.number: each for each in changes.values()}
    return EndpointListReceived(EndpointListKind.CACHED, 1, tuple(endpoints.values()))


def is_only_rejection_of(actions: list[Action], request_id: int) -> bool:
    """Whether the only action is the rejection of this request, with any Retry-After."""
    found = [each.request_id if isinstance(each, RejectRequest) else each for each in actions]
    return found == [request_id]


class PolicyHarness:
    """A router and its clock. The methods return all actions except ``SetTimer``."""

    def __init__(self, config: Settings | None = None, listed: EndpointListReceived | None = None) -> None:
        self.router = RouterPolicy(config or settings(), 7)
        self.now = 100 * SECOND
        self.next_id = 1
        self.receive(listed or complete_list())

    def receive(self, *events: Event, after: int = 0) -> list[Action]:
        """Pass events to the router, ``after`` microseconds after the previous ones."""
        self.now += after
        actions = self.router.handle(self.now, events)
        return [each for each in actions if not isinstance(each, SetTimer)]

    def request(
        self, key: int = 5, class_index: int = 0, time_left_us: int = 4 * SECOND, **more: object
    ) -> list[Action]:
        """Pass a new request to the router; its id is ``next_id - 1`` afterwards."""
        base = RequestReceived(self.next_id, class_index, 0, key, time_left_us, 0.0, 3, 0, False, False)
        self.next_id += 1
        return self.receive(replace(base, **more))  # type: ignore[arg-type]

    def end_attempt(
        self, sent: Action, outcome: Outcome, attempt: int, after: int = 1000, cache_status: int = 0
    ) -> list[Action]:
        """End an attempt, ``after`` microseconds after the previous events, with that latency."""
        assert isinstance(sent, SendPlainRequest | SendCacheRequest)
        is_closed = outcome == Outcome.OK
        event = AttemptEnded(
            sent.request_id, outcome, after, 0, is_closed, cache_status, sent.endpoint, attempt, ()
        )
        return self.receive(event, after=after)

    def fill(self, key: int = 5, **more: object) -> Action:
        """Send a request that misses at its cache and in lookups at parents; returns the action after these
        misses: the fill, a rejection, or ``WriteLog("queued")`` if there was none."""
        (first,) = self.request(key, **more)  # type: ignore[arg-type]
        attempt = 1
        actions = self.end_attempt(first, Outcome.MISS, 0)
        while (
            actions
            and isinstance(actions[0], SendCacheRequest)
            and actions[0].flags & CacheRequestFlag.SOURCE_CACHED_ONLY
        ):
            actions = self.end_attempt(actions[0], Outcome.MISS, attempt)
            attempt += 1
        return actions[0] if actions else WriteLog("queued")
