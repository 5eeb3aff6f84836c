"""What a router keeps of each store, request and attempt. What is done with it is in ``control.py``."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from magpieshift.policy.events import Endpoint, RequestReceived
from magpieshift.policy.settings import RequestClass

SAMPLE_WEIGHT = 0.1  # weight of a new sample in running means: the last ten or so count
WRITE, LOOKUP, FILL = range(3)  # what an attempt takes of its source: each is counted and capped by itself
FEW = 10  # samples that a mean needs before anything rests on it
FULL_AT = 0.8  # so much slower than its sending, a link is full, and more in flight takes longer still
# mean deviations; least of the aim; largest deviation
LOST_AT = 4
LOST_LEAST = 0.6
LOST_STEADY = 0.1


@dataclass(slots=True)
class AnswerTimes:
    """How long answers take, as a share of their aim: the mean and its mean deviation, as in TCP's timer."""

    samples: int = 0
    mean: float = 0.0
    deviation: float = 0.0

    def record(self, share: float) -> None:
        weight = max(SAMPLE_WEIGHT, 1 / (self.samples + 1))
        self.deviation += weight * (abs(share - self.mean) - self.deviation) if self.samples else 0.0
        self.mean = self.mean + weight * (share - self.mean)
        self.samples = self.samples + 1

    def lost_after(self) -> float:
        steady = self.samples >= FEW and self.deviation <= LOST_STEADY
        return max(LOST_LEAST, self.mean + LOST_AT * self.deviation) if steady else math.inf


@dataclass(slots=True, eq=False)
class EndpointRecord:
    """A store as this router sees it: its listing, its health, and the fills it is the source of."""

    endpoint: Endpoint
    hash_salt: int
    failure_rate: float = 0.0  # running share of failures
    ejected_until_us: int = 0
    last_failure_us: int = -1  # when it last failed
    in_flight: int = 0  # attempts out that depend on it, as cache or as source
    last_heard_us: int = -1
    in_flight_by_kind: list[int] = field(
        default_factory=lambda: [0] * 3
    )  # in flight from this source, by lane
    concurrency_peaks: list[tuple[int, int]] = field(
        default_factory=lambda: [(0, 0)] * 3
    )  # most that worked, and when
    queue: dict[int, PendingRequest] = field(default_factory=dict)
    answer_times: dict[tuple[int, bool], AnswerTimes] = field(
        default_factory=dict
    )  # by class, and whether it fills
    next_warming_us: int = 0  # when a cold store may be sent the next attempt
    hit_time_sum_us: float = 0.0  # decaying sums over its hits: the time they took,
    expected_time_sum_us: float = 0.0  # and the time their sending takes by itself
    weighted_in_flight_sum_us: float = 0.0  # and the latter times what was in flight there, itself included
    last_hit_us: int = 0  # when the last came

    @property
    def slowdown(self) -> float:
        """By how much its hits lately took longer than their sending, in multiples of that."""
        return (
            max(0.0, self.hit_time_sum_us / self.expected_time_sum_us - 1)
            if self.expected_time_sum_us
            else 0.0
        )

    def slowdown_at(self, flying: int) -> float:
        """The same with so many in flight, to which a full link is in proportion; one with room, at most."""
        drawn = (
            flying * self.expected_time_sum_us / self.weighted_in_flight_sum_us
            if self.weighted_in_flight_sum_us
            else 0.0
        )
        return self.slowdown * (drawn if self.slowdown > FULL_AT else min(1.0, drawn))


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request this router still owes an answer."""

    request: RequestReceived
    request_class: RequestClass
    answer_by_us: int  # when the final answer is given at the latest
    service_time_us: float  # time its sending takes by itself; drawn where sizes are untold
    attempts_started: int = 0
    attempt_in_flight: int = -1  # the attempt in flight
    first_execution: tuple[EndpointRecord, int] | None = (
        None  # the first attempt that may have run, and when it was sent
    )
    failed_endpoints: set[int] = field(default_factory=set)  # stores not to be asked again for this request
    suspect: EndpointRecord | None = (
        None  # it answered with an error: the next store's answer says who is at fault
    )
    was_interrupted: bool = False  # a connection broke under it, or its answer was taken for lost
    missed_at: EndpointRecord | None = None  # the cache that said it lacks the copy
    queued_at: EndpointRecord | None = None
    work_kind: int = FILL  # what it takes of the source it is held or sent for
    lookup_misses: set[int] = field(default_factory=set)  # parents that said they lack the copy
    queued_until_us: int = 0
    objective_at_us: float = 0.0  # when it leaves its aim, taken to be of at least mean size
    ask_again_us: int = 0  # when to ask again for what another is filling


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight; it outlives its request, so that its slot comes back exactly once."""

    pending: PendingRequest
    endpoint: EndpointRecord
    source: EndpointRecord | None  # None: it only asks what the store holds
    involved: tuple[EndpointRecord, ...]  # whom it depends on, each once
    sent_us: int
    answer_times: AnswerTimes
    latency_objective_us: float
    in_flight_at_start: int  # in flight at the store, this one included
    work_kind: int  # in which it counts at its source

    def others_answered_since(self) -> bool:
        """Whether all it depends on have answered others since: then it is not they that are silent."""
        return all(at.last_heard_us > self.sent_us for at in self.involved)
