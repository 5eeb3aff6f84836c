"""Calculates latency objectives, and detects caches that are too slow to meet them.

The service time of an answer is the time to send it without other load. A cache's slowdown is the excess of
its recent hits' latency over their service time, in multiples of the service time. Above a threshold the
cache's link is taken to be full, so that each further attempt slows down all of them.
"""

from __future__ import annotations

import math

from magpieshift.policy.events import AttemptEnded, RequestReceived
from magpieshift.policy.outcomes import CacheStatus, Outcome
from magpieshift.policy.settings import RequestClass
from magpieshift.policy.state import SAMPLE_WEIGHT, Attempt, EndpointRecord, PendingRequest, RouterState

SLOWDOWN_SAFETY_FACTOR = 2
"""Factor on the measured slowdown when the latency of a hit is predicted, because attempts already in flight
will slow the new one down further. A larger factor rejects sooner at a slow cache."""
FULL_LINK_SLOWDOWN = 0.8
"""Slowdown above which a link is taken to be full, so that the slowdown grows in proportion to the attempts
in flight. A smaller one takes busy links for full."""
SLOWDOWN_DECAY_US = 8_000_000
"""Time constant of the decay of a slowdown after the last hit: a cache that restarted gives only misses,
which do not update its slowdown. A larger one avoids a cache for longer after its last hit."""
MAX_EXCESS_SLOWDOWN = 2.0
"""A cache whose slowdown exceeds twice the median slowdown by more than this gets one attempt at a time; see
``placement.choose_cache``. A smaller one moves requests off a cache sooner."""
INCREASE_DIVISOR = 20
"""If sizes are not known, a hit slower than the mean service time changes the mean with a weight divided by
this, so that it stays near the fastest hits. With a smaller divisor the slowness of a cache would be taken
for large objects."""


def objective_us(request_class: RequestClass, service_time_us: float) -> float:
    """The latency objective of an answer with the given service time."""
    return request_class.latency_objective_us + request_class.latency_objective_stretch * service_time_us


def draw_service_time_us(state: RouterState, request: RequestReceived) -> float:
    """Service time of the answer: from its size or, if that is not known, drawn from an exponential
    distribution with the mean of the class."""
    known_us = request.size_kb * state.us_per_kb
    return known_us or state.service_times_us[request.class_index] * state.random.expovariate(1.0)


def record_size(state: RouterState, request: RequestReceived, service_time_us: float) -> None:
    """Update the mean service time of the class if the request's size is known."""
    if request.size_kb:
        mean_us = state.service_times_us[request.class_index]
        sample_us = min(service_time_us, request.time_left_us)
        state.service_times_us[request.class_index] += SAMPLE_WEIGHT * (sample_us - mean_us)


def slowdown(endpoint: EndpointRecord) -> float:
    """Excess of the latency of recent hits over their service time, in multiples of the service time."""
    if not endpoint.expected_time_sum_us:
        return 0.0
    return max(0.0, endpoint.hit_time_sum_us / endpoint.expected_time_sum_us - 1)


def slowdown_at(endpoint: EndpointRecord, in_flight: int) -> float:
    """Expected slowdown with ``in_flight`` attempts in flight: proportional to them if the link is full, else
    at most the measured slowdown."""
    if not endpoint.weighted_in_flight_sum_us:
        return 0.0
    measured = slowdown(endpoint)
    load = in_flight * endpoint.expected_time_sum_us / endpoint.weighted_in_flight_sum_us
    return measured * (load if measured > FULL_LINK_SLOWDOWN else min(1.0, load))


def can_meet_objective(state: RouterState, pending: PendingRequest, cache: EndpointRecord) -> bool:
    """Whether a hit at the cache is expected within the objective, given the slowdown of recent hits."""
    decay_since_hit = math.exp((cache.last_hit_us - state.now_us) / SLOWDOWN_DECAY_US)
    expected_slowdown = slowdown_at(cache, cache.in_flight + 1) * decay_since_hit
    service_time_us = pending.service_time_us
    return service_time_us * (1 + SLOWDOWN_SAFETY_FACTOR * expected_slowdown) <= objective_us(
        pending.request_class, service_time_us
    )


def record_hit(state: RouterState, attempt: Attempt, event: AttemptEnded) -> None:
    """Update the cache's slowdown after a hit and, if sizes are not known, the mean service time of the
    class."""
    if event.outcome != Outcome.OK or event.cache_status not in (CacheStatus.NONE, CacheStatus.HIT):
        return
    endpoint = attempt.endpoint
    request = attempt.pending.request
    mean_us = state.service_times_us[request.class_index]
    expected_us = request.size_kb * state.us_per_kb or mean_us
    if not request.size_kb:
        excess_us = event.latency_us - mean_us
        weight = SAMPLE_WEIGHT if excess_us < 0 else SAMPLE_WEIGHT / INCREASE_DIVISOR
        state.service_times_us[request.class_index] += weight * excess_us
    decay = 1 - SAMPLE_WEIGHT
    endpoint.last_hit_us = state.now_us
    endpoint.hit_time_sum_us = decay * endpoint.hit_time_sum_us + event.latency_us
    endpoint.expected_time_sum_us = decay * endpoint.expected_time_sum_us + expected_us
    endpoint.weighted_in_flight_sum_us = (
        decay * endpoint.weighted_in_flight_sum_us + expected_us * attempt.in_flight_at_start
    )
