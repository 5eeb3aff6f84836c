"""What a router remembers of endpoints, requests and attempts; the rules that use it are modules of their
own.

Captures hold all of this as a keyframe: every attribute but ``RouterState.actions`` is recorded, in its
order, under the name that ``magpieshift.capture.recorded_names`` gives it.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from magpieshift.policy.actions import Action
from magpieshift.policy.events import Endpoint, RequestReceived
from magpieshift.policy.invalidation import MIN_SWEEP_ENTRIES
from magpieshift.policy.settings import RequestClass, Settings

SAMPLE_WEIGHT = 0.1
"""Weight of a new sample in running means, which so rest on the last ten or so. Larger
follows changes sooner and chance more."""
MAX_RETRY_BUDGET = 10.0
"""Answers: as many may be taken for lost in a row, before good answers earn more (``adaptive_timeout``).
Larger sends more repeats into an outage."""
WORK_KINDS = range(3)
WRITE, LOOKUP, FILL = WORK_KINDS
"""What an attempt takes of its source; each kind is counted and limited by itself. Plain integers, as
captures hold them: a write, a lookup that only gives what the source holds, a fill that it may have to
fetch."""


@dataclass(slots=True)
class AnswerTimes:
    """How long answers take, each as a fraction of its latency objective."""

    samples: int = 0
    """Answers taken in."""
    mean: float = 0.0
    """Running mean."""
    deviation: float = 0.0
    """Running mean of the distance from the mean."""


@dataclass(slots=True, eq=False)
class EndpointRecord:
    """An endpoint as this router sees it: its listing, its health, and the fills it is the source of."""

    entry: Endpoint
    """Its entry in the endpoint list."""
    hash_salt: int
    """Hash of its number, for rendezvous hashing."""
    failure_rate: float = 0.0
    """Running share of failures among its answers."""
    ejected_until_us: int = 0
    """It is sent nothing before; 0: it was never ejected."""
    last_failure_us: int = -1
    """-1: never, as in ``last_heard_us``."""
    in_flight: int = 0
    """Attempts in flight that depend on it, as cache or as source."""
    last_heard_us: int = -1
    """When it last answered, whatever it said."""
    in_flight_by_kind: list[int] = field(default_factory=lambda: [0 for _ in WORK_KINDS])
    """Attempts in flight from it as source, by kind of work."""
    concurrency_peaks: list[tuple[int, int]] = field(default_factory=lambda: [(0, 0) for _ in WORK_KINDS])
    """By kind of work, the most in flight that it answered well within the objective, and when (microseconds;
    0: never)."""
    queue: dict[int, PendingRequest] = field(default_factory=dict)
    """Requests that wait for a slot at it as source, by request id, the oldest first."""
    answer_times: dict[tuple[int, bool], AnswerTimes] = field(default_factory=dict)
    """By class number and whether the attempt names a source."""
    next_warming_us: int = 0
    """While it warms up: when it may be sent the next attempt."""
    hit_time_sum_us: float = 0.0
    """Decaying sum over its cache hits: the time that they took."""
    expected_time_sum_us: float = 0.0
    """The same of the time that sending them takes by itself."""
    weighted_in_flight_sum_us: float = 0.0
    """The same of that time multiplied by the attempts in flight at it, the hit's own included."""
    last_hit_us: int = 0
    """When its last cache hit ended; 0: never."""


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that still has to be answered."""

    request: RequestReceived
    request_class: RequestClass
    """The class as it was when the request came; a reconfiguration does not change it."""
    answer_by_us: int
    """When the final answer is given at the latest."""
    service_time_us: float
    """Time that sending the answer takes by itself; drawn at random where sizes are not known."""
    attempts_started: int = 0
    attempt_in_flight: int = -1
    """Number of the attempt in flight; -1: none."""
    first_execution: tuple[EndpointRecord, int] | None = None
    """The first attempt that may have run: its endpoint, and when it was sent (microseconds)."""
    failed_endpoints: set[int] = field(default_factory=set)
    """Numbers of endpoints that get no further attempt of this request."""
    suspect: EndpointRecord | None = None
    """It answered with an error; the next endpoint's answer says whether the request or it is at fault."""
    was_interrupted: bool = False
    """A connection broke under it, or its answer was taken for lost."""
    missed_cache: EndpointRecord | None = None
    """The cache that does not hold the copy."""
    queued_source: EndpointRecord | None = None
    """The source in whose queue it waits."""
    work_kind: int = FILL
    """What it takes of the source at which it waits or runs."""
    lookup_misses: set[int] = field(default_factory=set)
    """Numbers of the parents that do not hold the copy."""
    queued_until_us: int = 0
    """When it leaves the queue at the latest."""
    objective_due_us: float = 0.0
    """When its latency objective is missed; its size is taken to be the mean at least."""
    next_lookup_us: int = 0
    """When to ask its cache again for what another router is filling."""


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight; it outlives its request, so that its slot is given back exactly once."""

    pending: PendingRequest
    """The request it is for."""
    endpoint: EndpointRecord
    """Where it was sent."""
    source: EndpointRecord | None
    """Where a miss is filled from; None: a lookup of what the endpoint holds."""
    involved: tuple[EndpointRecord, ...]
    """Endpoint and source, each once."""
    sent_us: int
    answer_times: AnswerTimes
    """Those that its duration counts among."""
    latency_objective_us: float
    in_flight_at_start: int
    """Attempts in flight at the endpoint, this one included."""
    work_kind: int
    """The kind in which it counts at its source."""


class RouterState:
    """All that the policy of one router instance remembers."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        """The only source of chance; the order of draws is part of the decisions."""
        self.now_us = 0
        """Time of the batch being handled."""
        self.next_timer_us = 0
        """When the timer last asked for comes due."""
        self.fills_in_flight = 0
        """Attempts in flight that name a source."""
        self.actions: list[Action] = []
        """What the batch being handled has led to so far."""
        self.endpoints: dict[int, EndpointRecord] = {}
        """All that may be sent requests, by number; each is in one of the three tables below as well."""
        self.caches: dict[int, EndpointRecord] = {}
        """Caches of the own zone; those of other zones may not be sent requests, and are not kept."""
        self.parents: dict[int, EndpointRecord] = {}
        self.origins: dict[int, EndpointRecord] = {}
        self.requests: dict[int, PendingRequest] = {}
        """By request id."""
        self.attempts: dict[tuple[int, int], Attempt] = {}
        """Attempts in flight, by request id and number."""
        self.purges: dict[tuple[int, int], int] = {}
        """See ``invalidation``."""
        self.purge_sweep_size = MIN_SWEEP_ENTRIES
        """Entries of ``purges`` at which it is next searched for expired ones."""
        self.timers: list[tuple[int, int]] = []
        """A heap of times (microseconds) and ids of the requests to look at then."""
        self.loss_rate = 0.0
        """Running share of answers that never came from endpoints that answered others since."""
        self.retry_budget = MAX_RETRY_BUDGET
        """How many answers may be taken for lost."""
        self.service_times_us = initial_service_times_us(settings)
        """By class number, the mean time that sending an answer takes by itself."""
        self.fill_times_us = [0.0] * len(settings.classes)
        """By class number, the mean time of good fills."""
        self.us_per_kb = us_per_kb(settings)
        """Time that a client's connection takes for a kilobyte; 0 where that is not known."""
        self.subscribed = not settings.must_subscribe
        """Whether changes of the endpoint list are on their way without being asked for."""


def initial_service_times_us(settings: Settings) -> list[float]:
    """By class number, what sending an answer is taken to take until answers have shown it."""
    return [each.latency_objective_us / (1 + each.latency_objective_stretch) for each in settings.classes]


def us_per_kb(settings: Settings) -> float:
    """Microseconds that a client's connection takes for a kilobyte; 0 where that is not known."""
    return 1e6 / settings.client_kb_per_s if settings.client_kb_per_s else 0.0
