"""Latency objectives, and caches that are too slow to meet them.

A cache's slowdown is how much longer its hits took lately than sending them takes by itself. Above a
threshold its link is full, and each further attempt makes all of them slower.
"""

from __future__ import annotations

import math

from magpieshift.policy.events import AttemptEnded, RequestReceived
from magpieshift.policy.outcomes import CacheStatus, Outcome
from magpieshift.policy.settings import RequestClass
from magpieshift.policy.state import SAMPLE_WEIGHT, Attempt, EndpointRecord, PendingRequest, RouterState

SLOWDOWN_CAUTION = 2
"""The slowdown seen counts so many times: what is sent now meets that of what is already on its way.
Larger rejects sooner at a slow cache."""
FULL_LINK_SLOWDOWN = 0.8
"""Times the service time; above it a link is taken to be full, and the slowdown to grow with what is in
flight. Smaller calls busy links full."""
SLOWDOWN_MEMORY_US = 8_000_000
"""Time constant in which a slowdown that no hit confirms fades: a cache that restarted has misses alone to
show. Larger keeps a cache shut for longer after its last hit."""
MAX_EXCESS_SLOWDOWN = 2.0
"""Times the service time; a cache slower than the median by so much gets one attempt at a time.
Smaller moves requests off a cache for less."""
RISE_DIVISOR = 20
"""Where sizes are not known, a hit that takes longer than the service time moves it by this part of what a
faster one does, so that it stays near the least that hits take. Smaller takes a cache's
slowness for its objects' size."""


def objective_us(request_class: RequestClass, service_time_us: float) -> float:
    """The latency objective of an answer whose sending takes ``service_time_us`` by itself."""
    return request_class.latency_objective_us + request_class.latency_objective_stretch * service_time_us


def draw_service_time_us(state: RouterState, request: RequestReceived) -> float:
    """Time that sending the answer takes by itself: by its size or, where that is not known, drawn from an
    exponential distribution round the class's mean."""
    known_us = request.size_kb * state.us_per_kb
    return known_us or state.service_times_us[request.class_index] * state.random.expovariate(1.0)


def record_size(state: RouterState, request: RequestReceived, service_time_us: float) -> None:
    """Take a request's known size into its class's mean service time."""
    if request.size_kb:
        mean_us = state.service_times_us[request.class_index]
        sample_us = min(service_time_us, request.time_left_us)
        state.service_times_us[request.class_index] += SAMPLE_WEIGHT * (sample_us - mean_us)


def slowdown(endpoint: EndpointRecord) -> float:
    """By how much hits took longer lately than sending them, in multiples of that."""
    if not endpoint.expected_time_sum_us:
        return 0.0
    return max(0.0, endpoint.hit_time_sum_us / endpoint.expected_time_sum_us - 1)


def slowdown_at(endpoint: EndpointRecord, in_flight: int) -> float:
    """The slowdown with so many attempts in flight: in proportion to them for a full link, at most what was
    seen for one with room."""
    if not endpoint.weighted_in_flight_sum_us:
        return 0.0
    found = slowdown(endpoint)
    load = in_flight * endpoint.expected_time_sum_us / endpoint.weighted_in_flight_sum_us
    return found * (load if found > FULL_LINK_SLOWDOWN else min(1.0, load))


def can_meet_objective(state: RouterState, pending: PendingRequest, cache: EndpointRecord) -> bool:
    """Whether a hit at the cache comes within the objective, as slow as its hits were lately."""
    fading = math.exp((cache.last_hit_us - state.now_us) / SLOWDOWN_MEMORY_US)
    expected_slowdown = slowdown_at(cache, cache.in_flight + 1) * fading
    service_time_us = pending.service_time_us
    return service_time_us * (1 + SLOWDOWN_CAUTION * expected_slowdown) <= objective_us(
        pending.request_class, service_time_us
    )


def record_hit(state: RouterState, attempt: Attempt, event: AttemptEnded) -> None:
    """Learn from a cache hit how slow its cache is, and where sizes are not known how long hits take."""
    if event.outcome != Outcome.OK or event.cache_status not in (CacheStatus.NONE, CacheStatus.HIT):
        return
    endpoint = attempt.endpoint
    request = attempt.pending.request
    mean_us = state.service_times_us[request.class_index]
    expected_us = request.size_kb * state.us_per_kb or mean_us
    if not request.size_kb:
        excess_us = event.latency_us - mean_us
        weight = SAMPLE_WEIGHT if excess_us < 0 else SAMPLE_WEIGHT / RISE_DIVISOR
        state.service_times_us[request.class_index] += weight * excess_us
    decay = 1 - SAMPLE_WEIGHT
    endpoint.last_hit_us = state.now_us
    endpoint.hit_time_sum_us = decay * endpoint.hit_time_sum_us + event.latency_us
    endpoint.expected_time_sum_us = decay * endpoint.expected_time_sum_us + expected_us
    endpoint.weighted_in_flight_sum_us = (
        decay * endpoint.weighted_in_flight_sum_us + expected_us * attempt.in_flight_at_start
    )
