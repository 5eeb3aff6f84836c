"""What a router keeps of each store, request and attempt. What is done with it is in ``control.py``."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from molecleat import interface as api

SMOOTH = 0.1  # weight of a new sample in running means: the last ten or so count
WRITE, LOOK, FILL = range(3)  # what an attempt takes of its source: each is counted and capped by itself
FEW = 10  # samples that a mean needs before anything rests on it
FULL_AT = 0.8  # so much slower than its sending, a link is full, and more in flight takes longer still
LOST_AT, LOST_LEAST, LOST_STEADY = 4, 0.6, 0.1  # mean deviations; least of the aim; largest deviation


@dataclass(slots=True)
class Pace:
    """How long answers take, as a share of their aim: the mean and its mean deviation, as in TCP's timer."""

    count: int = 0
    mean: float = 0.0
    deviation: float = 0.0

    def learn(self, share: float) -> None:
        weight = max(SMOOTH, 1 / (self.count + 1))
        self.deviation += weight * (abs(share - self.mean) - self.deviation) if self.count else 0.0
        self.mean, self.count = self.mean + weight * (share - self.mean), self.count + 1

    def lost_at(self) -> float:
        steady = self.count >= FEW and self.deviation <= LOST_STEADY
        return max(LOST_LEAST, self.mean + LOST_AT * self.deviation) if steady else math.inf


@dataclass(slots=True, eq=False)
class Store:
    """A store as this router sees it: its listing, its health, and the fills it is the source of."""

    entry: api.Entry
    salt: int
    bad: float = 0.0  # running share of failures
    shun_until: int = 0
    blamed_us: int = -1  # when it last failed
    flying: int = 0  # attempts out that depend on it, as cache or as source
    heard_us: int = -1
    busy: list[int] = field(default_factory=lambda: [0] * 3)  # in flight from this source, by lane
    peaks: list[tuple[int, int]] = field(default_factory=lambda: [(0, 0)] * 3)  # most that worked, and when
    queue: dict[int, Job] = field(default_factory=dict)
    paces: dict[tuple[int, bool], Pace] = field(default_factory=dict)  # by class, and whether it fills
    next_cold_us: int = 0  # when a cold store may be sent the next attempt
    took_us: float = 0.0  # decaying sums over its hits: the time they took,
    ought_us: float = 0.0  # and the time their sending takes by itself
    crowd: float = 0.0  # and the latter times what was in flight there, itself included
    hit_us: int = 0  # when the last came

    @property
    def slower(self) -> float:
        """By how much its hits lately took longer than their sending, in multiples of that."""
        return max(0.0, self.took_us / self.ought_us - 1) if self.ought_us else 0.0

    def slower_beside(self, flying: int) -> float:
        """The same with so many in flight, to which a full link is in proportion; one with room, at most."""
        drawn = flying * self.ought_us / self.crowd if self.crowd else 0.0
        return self.slower * (drawn if self.slower > FULL_AT else min(1.0, drawn))


@dataclass(slots=True, eq=False)
class Job:
    """A request this router still owes an answer."""

    req: api.Request
    cls: api.RequestClass
    end_us: int  # when the final answer is given at the latest
    work_us: float  # time its sending takes by itself; drawn where sizes are untold
    legs: int = 0
    out: int = -1  # the attempt in flight
    ran: tuple[Store, int] | None = None  # the first attempt that may have run, and when it was sent
    failed: set[int] = field(default_factory=set)  # stores not to be asked again for this request
    accused: Store | None = None  # it answered with an error: the next store's answer says who is at fault
    broken: bool = False  # a connection broke under it, or its answer was taken for lost
    missed: Store | None = None  # the cache that said it lacks the copy
    held: Store | None = None
    lane: int = FILL  # what it takes of the source it is held or sent for
    looked: set[int] = field(default_factory=set)  # parents that said they lack the copy
    hold_us: int = 0
    due_us: float = 0.0  # when it leaves its aim, taken to be of at least mean size
    again_us: int = 0  # when to ask again for what another is filling


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight; it outlives its request, so that its slot comes back exactly once."""

    job: Job
    store: Store
    source: Store | None  # None: it only asks what the store holds
    both: tuple[Store, ...]  # whom it depends on, each once
    sent_us: int
    pace: Pace
    aim_us: float
    beside: int  # in flight at the store, this one included
    lane: int  # in which it counts at its source

    def heard_since(self) -> bool:
        """Whether all it depends on have answered others since: then it is not they that are silent."""
        return all(at.heard_us > self.sent_us for at in self.both)
