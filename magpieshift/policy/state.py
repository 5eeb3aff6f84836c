"""The state of a router: endpoints, requests and attempts. The rules that use it are in the other modules of
this package.

A keyframe in a capture holds this whole state: every attribute except ``RouterState.actions`` is recorded, in
order of definition, under the name that ``magpieshift.capture.recorded_names`` gives it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from magpieshift.policy.actions import Action
from magpieshift.policy.events import Endpoint, RequestReceived
from magpieshift.policy.invalidation import MIN_SWEEP_ENTRIES
from magpieshift.policy.settings import RequestClass, Settings

SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in running means, which thus average about the last ten samples. A larger weight
follows changes sooner, and also random variation."""
MAX_RETRY_BUDGET = 10.0
"""Maximum of ``RouterState.retry_budget``: timeouts in a row that it covers before successful answers must
refill it (``adaptive_timeout``). A larger budget sends more repeats into an outage."""
WORK_KINDS = range(3)
WRITE, LOOKUP, FILL = WORK_KINDS
"""The kinds of work that an attempt can request of its source: a write, a lookup that the source answers only
from what it holds, or a fill that it may have to fetch. Each kind is counted and limited separately. Plain
integers, because captures hold them as such."""


@dataclass(slots=True)
class AnswerTimes:
    """Statistics of answer times, each as a fraction of its latency objective."""

    samples: int = 0
    """Number of answers included."""
    mean: float = 0.0
    """Running mean."""
    deviation: float = 0.0
    """Running mean of the absolute deviation from the mean."""


@dataclass(slots=True, eq=False)
class EndpointRecord:
    """An endpoint as this router sees it: its list entry, its health, and the fills of which it is the
    source."""

    entry: Endpoint
    """Its entry in the endpoint list."""
    hash_salt: int
    """Hash of its number, for rendezvous hashing."""
    failure_rate: float = 0.0
    """Running share of failures among the attempts that depended on it."""
    ejected_until_us: int = 0
    """It gets no attempts before this time; 0: it was never ejected."""
    last_failure_us: int = -1
    """Time of the last failure counted against it; -1: never."""
    in_flight: int = 0
    """Attempts in flight that depend on it, as cache or as source."""
    last_heard_us: int = -1
    """When it last answered; -1: never. Any answer counts for the endpoint to which an attempt was sent, only
    a successful one for the attempt's source."""
    in_flight_by_kind: list[int] = field(default_factory=lambda: [0 for _ in WORK_KINDS])
    """Attempts in flight of which it is the source, by kind of work."""
    concurrency_peaks: list[tuple[int, int]] = field(default_factory=lambda: [(0, 0) for _ in WORK_KINDS])
    """By kind of work, the most attempts in flight with which it answered well within the objective, and when
    that was or was last lowered (microseconds; 0: never). See ``admission.record_fill``."""
    queue: dict[int, PendingRequest] = field(default_factory=dict)
    """Requests that wait for a slot at it as their source, by request id, oldest first."""
    answer_times: dict[tuple[int, bool], AnswerTimes] = field(default_factory=dict)
    """Answer times, by class number and whether the attempt names a source."""
    next_warming_us: int = 0
    """During slow start: the earliest time at which it may be sent the next attempt."""
    hit_time_sum_us: float = 0.0
    """Decaying sum of the latencies of its cache hits."""
    expected_time_sum_us: float = 0.0
    """Decaying sum of the service times of the same hits: of the time to send each without other load."""
    weighted_in_flight_sum_us: float = 0.0
    """Decaying sum of the same service times, each multiplied by the attempts in flight at the endpoint when
    the attempt was sent, itself included."""
    last_hit_us: int = 0
    """When its last cache hit ended; 0: never."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that still has to be answered."""

    request: RequestReceived
    request_class: RequestClass
    """The class as it was when the request arrived; a reconfiguration does not change it."""
    answer_by_us: int
    """Deadline for the final answer."""
    service_time_us: float
    """Time to send the answer without other load; drawn at random if sizes are not known."""
    attempts_started: int = 0
    attempt_in_flight: int = -1
    """Number of the attempt in flight; -1: none."""
    first_execution: tuple[EndpointRecord, int] | None = None
    """The first attempt that may have run: its endpoint, and when it was sent (microseconds)."""
    failed_endpoints: set[int] = field(default_factory=set)
    """Numbers of the endpoints to which no further attempt of this request is sent."""
    suspect: EndpointRecord | None = None
    """The endpoint that answered with an error; the answer of the next endpoint tells whether this one or the
    request is at fault."""
    was_interrupted: bool = False
    """Whether one of its attempts ended with a connection reset, or its answer was taken for lost."""
    missed_cache: EndpointRecord | None = None
    """The cache that answered its lookup with a miss."""
    queued_source: EndpointRecord | None = None
    """The source in whose queue the request waits."""
    work_kind: int = FILL
    """The kind of work that it requests of the source at which it waits or runs."""
    lookup_misses: set[int] = field(default_factory=set)
    """Numbers of the parents that answered a lookup with a miss."""
    queued_until_us: int = 0
    """Time at which it must leave the queue."""
    objective_due_us: float = 0.0
    """Time by which an answer meets the latency objective, calculated with at least the mean service time of
    the class."""
    next_lookup_us: int = 0
    """When to repeat the lookup at its cache, which another router is filling."""


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight. It outlives its request, so that its slots are released exactly once."""

    pending: PendingRequest
    """The request it is for."""
    endpoint: EndpointRecord
    """Where it was sent."""
    source: EndpointRecord | None
    """Where a miss is filled from; None: a lookup of what the endpoint holds."""
    involved: tuple[EndpointRecord, ...]
    """The endpoint and, if it is another endpoint, the source."""
    sent_us: int
    answer_times: AnswerTimes
    """The statistics to which its latency is added."""
    latency_objective_us: float
    in_flight_at_start: int
    """Attempts in flight at the endpoint, this one included."""
    work_kind: int
    """The kind of work as which it counts at its source."""


class RouterState:
    """The complete state of the policy of one router instance."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        """The only source of randomness; decisions depend on the order of draws."""
        self.now_us = 0
        """Time of the batch being handled."""
        self.next_timer_us = 0
        """When the timer that was set last fires."""
        self.fills_in_flight = 0
        """Attempts in flight that name a source."""
        self.actions: list[Action] = []
        """Actions that the batch being handled has produced so far."""
        self.endpoints: dict[int, EndpointRecord] = {}
        """All endpoints to which attempts may be sent, by number; each is also in one of the three tables
        below."""
        self.caches: dict[int, EndpointRecord] = {}
        """Caches of the router's own zone, by number; caches of other zones may not be sent requests."""
        self.parents: dict[int, EndpointRecord] = {}
        self.origins: dict[int, EndpointRecord] = {}
        self.requests: dict[int, PendingRequest] = {}
        """Requests that still have to be answered, by request id."""
        self.attempts: dict[tuple[int, int], Attempt] = {}
        """Attempts in flight, by request id and attempt number."""
        self.purges: dict[tuple[int, int], int] = {}
        """Recent purges; see ``invalidation``."""
        self.purge_sweep_size = MIN_SWEEP_ENTRIES
        """Size of ``purges`` at which it is next searched for expired entries."""
        self.timers: list[tuple[int, int]] = []
        """Heap of due times (microseconds), each with the id of the request to process then."""
        self.loss_rate = 0.0
        """Running share of attempts that timed out although their endpoints answered other attempts
        meanwhile."""
        self.retry_budget = MAX_RETRY_BUDGET
        """Number of answers that may still be taken for lost; it is below 1 when exhausted."""
        self.service_times_us = initial_service_times_us(settings)
        """Mean service time by class number: the time to send an answer without other load."""
        self.fill_times_us = [0.0] * len(settings.classes)
        """Mean latency of successful fills, by class number."""
        self.us_per_kb = us_per_kb(settings)
        """Time to send a kilobyte over a client's connection; 0: not known."""
        self.subscribed = not settings.must_subscribe
        """Whether changes of the endpoint list arrive without a further subscription."""


def initial_service_times_us(settings: Settings) -> list[float]:
    """Mean service times by class number, as assumed until requests or answers provide better ones."""
    return [each.latency_objective_us / (1 + each.latency_objective_stretch) for each in settings.classes]


def us_per_kb(settings: Settings) -> float:
    """Microseconds to send a kilobyte over a client's connection; 0: not known."""
    return 1e6 / settings.client_kb_per_s if settings.client_kb_per_s else 0.0
