"""A small world for the module alone: settings, stores and a router that has been told of them."""

from __future__ import annotations

from dataclasses import replace

from molecleat import interface as api
from molecleat.control import Router

CACHE, PARENT, ORIGIN = 0, 1, 2
SECOND = 1_000_000


def a_class(**changes: object) -> api.RequestClass:
    base = api.RequestClass(
        effect=api.Effect.FREE,
        scope=api.Scope.ALL,
        dedup_us=2 * SECOND,
        aim_us=300_000,
        aim_stretch=1.0,
        deadline_us=4 * SECOND,
        worth=1.0,
        late_worth=0.2,
        stream=False,
        write=False,
        in_parts=False,
        fresh_us=0,
        grace_us=0,
        stale_worth=1.0,
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def settings(*classes: api.RequestClass, **changes: object) -> api.Settings:
    base = api.Settings(
        classes=classes or (a_class(),),
        zone=1,
        routers=2,
        self_index=0,
        zone_hub=(0, 0),
        zone_routers=(0, 2),
        zone_link_kb_per_s=(0.0, 0.0),
        parent_kind=PARENT,
        origin_kind=ORIGIN,
        tick_us=1000,
        flow_kb_per_s=1000.0,
        weights_are_sizes=True,
        answer_slack_us=8000,
        drain_grace_us=250_000,
        cold_from=0.25,
        cold_us=10 * SECOND,
        fall_multiple=2.0,
        fall_us=SECOND,
        parent_cold_from=0.1,
        parent_cold_us=20 * SECOND,
        parent_fall_multiple=2.0,
        purge_grace_us=300_000,
        purge_done_us=6 * SECOND,
        connect_timeout_us=400_000,
        max_attempts=6,
        max_retry_after_us=500_000,
        may_cancel=True,
        may_probe=False,
        may_message=False,
        may_pass_by=True,
        second_copies=False,
        joins_fills=True,
        siblings=True,
        notes=True,
        must_subscribe=False,
        report_columns=(),
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def entry(store: int, kind: int, **changes: object) -> api.Entry:
    zone = 1 if kind == CACHE else 0
    base = api.Entry(store, zone, kind, store, api.Phase.READY, 10.0, 0)
    return replace(base, **changes)  # type: ignore[arg-type]


CACHES, PARENTS, THE_ORIGIN = (11, 12, 13), (21, 22, 23), 31


def whole_list(**changes: api.Entry) -> api.StoreList:
    stores = {s: entry(s, CACHE) for s in CACHES} | {s: entry(s, PARENT) for s in PARENTS}
    stores[THE_ORIGIN] = entry(THE_ORIGIN, ORIGIN)
    stores |= {e.store: e for e in changes.values()}
    return api.StoreList(api.ListKind.CACHED, 1, tuple(stores.values()))


def refused(actions: list[api.Action], ident: int) -> bool:
    """Whether this request, and nothing else, is turned away; when it may come back is told elsewhere."""
    return [a.id if isinstance(a, api.Refuse) else a for a in actions] == [ident]


class World:
    """A router and its clock; ``does`` keeps only the actions that are not timers."""

    def __init__(self, config: api.Settings | None = None, listed: api.StoreList | None = None) -> None:
        self.router = Router(config or settings(), 7)
        self.now = 100 * SECOND
        self.next_id = 1
        self.tell(listed or whole_list())

    def tell(self, *events: api.Event, after: int = 0) -> list[api.Action]:
        self.now += after
        actions = self.router.handle(self.now, events)
        return [a for a in actions if not isinstance(a, api.SetTimer)]

    def ask(self, key: int = 5, cls: int = 0, patience: int = 4 * SECOND, **more: object) -> list[api.Action]:
        """A request lands; its id is ``next_id - 1`` afterwards."""
        base = api.Request(self.next_id, cls, 0, key, patience, 0.0, 3, 0, False, False)
        self.next_id += 1
        return self.tell(replace(base, **more))  # type: ignore[arg-type]

    def end(
        self, sent: api.Action, outcome: api.Outcome, leg: int, after: int = 1000, note: int = 0
    ) -> list[api.Action]:
        assert isinstance(sent, api.Send | api.Get)
        closed = outcome == api.Outcome.OK
        event = api.Ended(sent.id, outcome, after, 0, closed, note, sent.store, leg, ())
        return self.tell(event, after=after)

    def fill(self, key: int = 5, **more: object) -> api.Action:
        """A request that its cache lacks, and each parent that is asked what it holds: the fill that
        follows, or whatever else does."""
        (first,) = self.ask(key, **more)  # type: ignore[arg-type]
        actions, leg = self.end(first, api.Outcome.MISS, 0), 1
        while actions and isinstance(actions[0], api.Get) and actions[0].mode & api.Mode.SOURCE_HELD_ONLY:
            actions, leg = self.end(actions[0], api.Outcome.MISS, leg), leg + 1
        return actions[0] if actions else api.Log("held")
