"""Stores as models: slots, a bounded queue, what they hold, and how they fail.

A cache serves what it holds in a slot, as long as its sending takes, and fills what it lacks, in no slot,
through its zone's link from the source that is named; a parent serves what it holds and fetches the rest from
the origin; the origin has everything and turns away above its queue. Work stops when it is given up.
"""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from magpieshift.engine.model import AttemptResult, ListedEndpoint, UpstreamRequest
from magpieshift.lab.simulated.time import Event, Time
from magpieshift.policy.actions import CacheRequestFlag
from magpieshift.policy.outcomes import CacheStatus, Outcome

WAY_US = 500  # between a router and a store, one way
HERE = "here"
GONE = "gone"
SILENT = "silent"

Done = Callable[[AttemptResult], None]


@dataclass(frozen=True)
class Figures:
    """What a store can do."""

    slots: int
    us_per_kb: float = 0.0  # in a slot
    least_us: float = 2_000.0  # in a slot, whatever the size
    waiting: int = 64  # beyond the slots; what is more is turned away
    keeps: int = 500


@dataclass
class Account:
    """What happened in one second, over all routers and stores."""

    asked: int = 0  # by clients, their first tries
    returns: int = 0  # their further tries
    served: int = 0  # first asked for in this second, and answered within the wanted time
    late: int = 0
    refused: int = 0  # tries
    given_up: int = 0  # requests for which the client has no try left
    attempts: int = 0  # that reached any store, as cache or directly
    fills: int = 0  # that reached a parent or the origin through a cache
    origin: int = 0  # that reached the origin by any way
    at_failed: int = 0  # attempts and fills that reached a store which fails
    by_class: dict[str, list[int]] = field(default_factory=dict)  # asked, served in time


class Work:
    """One thing a store was asked for: waiting, in a slot, or on its way."""

    __slots__ = ("event", "free", "over")

    def __init__(self) -> None:
        self.event: Event | None = None
        self.free: Callable[[], None] | None = None  # gives back the slot that is held now
        self.over = False

    def end(self) -> None:
        """However it ends: once, and what it holds is given back."""
        if self.over:
            return
        self.over = True
        if self.event is not None:
            self.event.cancel()
        self.let_go()

    def let_go(self) -> None:
        free = self.free
        self.free = None
        if free is not None:
            free()


class Store:
    """One store; ``listed`` is how routers know it."""

    def __init__(
        self,
        listed: ListedEndpoint,
        figures: Figures,
        time: Time,
        rand: random.Random,
        account: Callable[[], Account],
    ) -> None:
        self.listed = listed
        self.figures = figures
        self._time = time
        self._random = rand
        self._account = account
        self.state = HERE
        self.errors = 0.0  # share answered with an error
        self.slow: dict[str, float] = {}  # by class, or "" for all: so many times longer
        self.holds: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._busy = 0
        self._queue: deque[tuple[Work, float, Callable[[], None]]] = deque()

    @property
    def failing(self) -> bool:
        return self.state != HERE

    @property
    def load(self) -> int:
        return self._busy + len(self._queue)

    def room(self) -> bool:
        return self.load < self.figures.slots + self.figures.waiting

    def has(self, key: tuple[str, int]) -> bool:
        if key in self.holds:
            self.holds.move_to_end(key)
            return True
        return False

    def keep(self, key: tuple[str, int]) -> None:
        self.holds[key] = None
        self.holds.move_to_end(key)
        while len(self.holds) > self.figures.keeps:
            self.holds.popitem(last=False)

    def takes_us(self, name: str, size_kb: float) -> float:
        times = self.slow.get(name, self.slow.get("", 1.0))
        return max(self.figures.least_us, size_kb * self.figures.us_per_kb) * times

    def work(self, work: Work, us: float, then: Callable[[], None]) -> None:
        """Hold a slot for so long, after those who wait already."""
        if self._busy < self.figures.slots:
            self._begin(work, us, then)
        else:
            self._queue.append((work, us, then))

    def _begin(self, work: Work, us: float, then: Callable[[], None]) -> None:
        self._busy += 1
        work.free = self._free

        def finished() -> None:
            work.let_go()
            if not work.over:
                then()

        work.event = self._time.after(us, finished)

    def _free(self) -> None:
        self._busy -= 1
        while self._queue:
            work, us, then = self._queue.popleft()
            if not work.over:
                self._begin(work, us, then)
                return


class Link:
    """A zone's link in: bytes one after the other, so what comes last waits for all."""

    def __init__(self, time: Time, kb_per_s: float) -> None:
        self._time = time
        self.kb_per_s = kb_per_s
        self._free_us = 0

    def carry(self, work: Work, kb: float, then: Callable[[], None]) -> None:
        self._free_us = max(self._free_us, self._time.now_us) + int(1e6 * kb / self.kb_per_s)
        work.event = self._time.at(self._free_us, lambda: None if work.over else then())


class Stores:
    """All stores of an installation, and the back that routers reach them by."""

    def __init__(self, time: Time, account: Callable[[], Account]) -> None:
        self._time = time
        self._account = account
        self.by_name: dict[str, Store] = {}
        self.links: dict[int, Link] = {}  # by zone

    @property
    def origin(self) -> Store:
        return self.by_name["origin"]

    def ask(self, order: UpstreamRequest, done: Done) -> Work:
        """What a router asks of a store; ``done`` is called once unless it is given up."""
        work = Work()
        store = self.by_name[order.endpoint.name]

        def arrived() -> None:
            if not work.over:
                self._account().attempts += 1
                self._serve(store, order, work, lambda result: self._answer(work, done, result))

        work.event = self._time.after(WAY_US, arrived)
        return work

    def _answer(self, work: Work, done: Done, result: AttemptResult) -> None:
        def told() -> None:
            if not work.over:
                work.end()
                done(result)

        work.event = self._time.after(WAY_US, told)

    def _refused(self, store: Store, say: Done) -> bool:
        """Whether it goes no further at this store."""
        if store.failing:
            self._account().at_failed += 1
            if store.state == GONE:
                say(AttemptResult(Outcome.CONNECT_FAILED))
            return True
        if store.errors and store._random.random() < store.errors:
            self._account().at_failed += 1
            say(AttemptResult(Outcome.ERROR))
            return True
        if not store.room():
            say(AttemptResult(Outcome.OVERLOADED, CacheStatus.NO_CAPACITY))
            return True
        return False

    def _serve(self, store: Store, order: UpstreamRequest, work: Work, say: Done) -> None:
        if self._refused(store, say):
            return
        call = order.request
        if store is self.origin:
            self._account().origin += 1
        key = (call.object_key, call.part)
        name = call.class_name
        if store is self.origin or store.has(key):
            store.work(
                work,
                store.takes_us(name, call.size_kb),
                lambda: say(AttemptResult(Outcome.OK, CacheStatus.HIT)),
            )
        elif order.source is None:
            say(AttemptResult(Outcome.MISS))
        else:
            held_only = bool(order.flags & CacheRequestFlag.SOURCE_CACHED_ONLY)

            def came(result: AttemptResult) -> None:
                if result.outcome == Outcome.OK:
                    store.keep(key)
                say(result)

            self._fill(store, self.by_name[order.source.name], order, work, held_only, came)

    def _fill(
        self, store: Store, source: Store, order: UpstreamRequest, work: Work, held_only: bool, came: Done
    ) -> None:
        """A cache fills from a source, or a parent that lacks it from the origin."""
        self._account().fills += 1
        if source.failing:
            self._account().at_failed += 1
            if source.state == GONE:
                came(AttemptResult(Outcome.ERROR, CacheStatus.SOURCE_LOST))
            return
        if not source.room():
            return came(AttemptResult(Outcome.OVERLOADED, CacheStatus.SOURCE_REJECTED))
        call = order.request
        key = (call.object_key, call.part)
        name = call.class_name
        takes = source.takes_us(name, call.size_kb)
        from_afar = store.listed.endpoint.zone != source.listed.endpoint.zone

        def over_the_link() -> None:
            link = self.links.get(store.listed.endpoint.zone) if from_afar else None
            if link is None:
                came(AttemptResult(Outcome.OK, CacheStatus.FILLED))
            else:
                link.carry(work, call.size_kb, lambda: came(AttemptResult(Outcome.OK, CacheStatus.FILLED)))

        if source is self.origin:
            self._account().origin += 1
            source.work(work, takes, over_the_link)
        elif source.has(key):
            source.work(work, takes, over_the_link)
        elif held_only:
            came(AttemptResult(Outcome.MISS, CacheStatus.SOURCE_MISS))
        else:

            def fetched(result: AttemptResult) -> None:
                if result.outcome != Outcome.OK:
                    note = (
                        CacheStatus.ORIGIN_FAILED
                        if result.outcome == Outcome.ERROR
                        else CacheStatus.SOURCE_REJECTED
                    )
                    return came(AttemptResult(result.outcome, note))
                source.keep(key)
                over_the_link()

            self._fill(source, self.origin, order, work, False, fetched)


class Back:
    """One router's way to the stores, as its engine sees it."""

    def __init__(self, stores: Stores, alive: Callable[[], bool]) -> None:
        self._stores = stores
        self._alive = alive

    def start(self, order: UpstreamRequest, done: Done) -> Exchange:
        def told(result: AttemptResult) -> None:
            if self._alive():
                done(result)

        return Exchange(self._stores.ask(order, told))

    def probe(self, member: ListedEndpoint, done: Done) -> None:
        done(AttemptResult(Outcome.CONNECT_FAILED))  # nobody probes here

    def close_idle(self, member: ListedEndpoint) -> None:
        pass


class Exchange:
    """An order on its way."""

    def __init__(self, work: Work) -> None:
        self._work = work

    def cancel(self) -> bool:
        self._work.end()
        return True
