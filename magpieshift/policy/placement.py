"""Where an object belongs: its cache, and its parents in their order.

Both follow weighted rendezvous hashing (Thaler and Ravishankar 1998), so that all routers choose alike and an
endpoint that comes or goes moves only the objects that are its own.
"""

from __future__ import annotations

import heapq
import math

from magpieshift.policy import retry
from magpieshift.policy.events import EndpointState
from magpieshift.policy.hashing import MASK, mix
from magpieshift.policy.latency import MAX_EXCESS_SLOWDOWN, can_meet_objective, slowdown
from magpieshift.policy.outlier_detection import is_available
from magpieshift.policy.slow_start import may_send_now
from magpieshift.policy.state import EndpointRecord, PendingRequest, RouterState

MAX_LOAD_DEVIATIONS = 1.4
"""Square roots of a cache's part of what is in flight, above which it passes requests on.
Smaller spreads load more evenly and hits fewer copies."""
MIN_SPILL_IN_FLIGHT = 4
"""Attempts; below this a cache passes nothing on, whatever its part. As above."""
PARENTS_TRIED = 2
"""The first parent of an object, and the second when the first is full or down (the operators' design)."""
MIN_WEIGHT = 1e-6
"""Listed weight; an endpoint listed with none is chosen last, and divides nothing by 0."""

WITHIN_LOAD = 1
"""Fitness of a cache with no more in flight than its part, or of a slow one that is idle."""
OVERLOADED = 0
"""Fitness of a cache with more in flight than its part."""
UNFIT = -1
"""Fitness of a slow cache that is busy, or could not meet the objective."""
MISSED_BONUS = 2
"""Added to the fitness of the cache that missed, so that it comes first, for its fill."""


def is_repeat_permitted_at(pending: PendingRequest, endpoint: EndpointRecord) -> bool:
    """Whether the endpoint would discard a repeat of what may already have run."""
    first = pending.first_execution
    return first is None or retry.is_within_scope(pending.request_class, first[0].entry, endpoint.entry)


def choose_cache(state: RouterState, pending: PendingRequest) -> EndpointRecord | None:
    """The object's cache among the ready ones: healthy before failing, within their load before above it,
    then by weighted rendezvous; None where the caches can and had better be bypassed."""
    ready = [each for each in state.caches.values() if each.entry.state == EndpointState.READY]
    slowdowns = [slowdown(each) for each in ready]
    median = sorted(slowdowns)[(len(ready) - 1) // 2] if ready else 0.0
    max_slowdown = MAX_EXCESS_SLOWDOWN + 2 * median
    in_flight = 0
    total_weight = 0.0
    for cache, found in zip(ready, slowdowns, strict=True):
        if found <= max_slowdown:
            in_flight += cache.in_flight
            total_weight += cache.entry.weight
    in_flight_per_weight = in_flight / max(total_weight, MIN_WEIGHT)
    object_hash = mix(pending.request.object_key) + pending.request.part
    best = None
    best_rank: tuple[bool, int, float] = (state.settings.may_bypass_caches, 0, -1.0)
    for cache, found in zip(ready, slowdowns, strict=True):
        if cache.entry.number in pending.failed_endpoints:
            continue
        weight = max(cache.entry.weight, MIN_WEIGHT)
        if found <= max_slowdown:
            fitness = _load_fitness(cache, in_flight_per_weight * weight)
        else:
            fitness = _slow_cache_fitness(state, pending, cache)
        if pending.missed_cache is cache:
            fitness += MISSED_BONUS
        uniform = (mix(object_hash ^ cache.hash_salt) + 1) / (MASK + 2)
        rank = (is_available(state, cache), fitness, weight / -math.log(uniform))
        if rank > best_rank and may_send_now(state, cache) and is_repeat_permitted_at(pending, cache):
            best_rank = rank
            best = cache
    return best


def _load_fitness(cache: EndpointRecord, expected: float) -> int:
    """Whether the cache has no more in flight than expected of its weight, chance included."""
    is_within = cache.in_flight < max(
        MIN_SPILL_IN_FLIGHT, expected + MAX_LOAD_DEVIATIONS * math.sqrt(expected)
    )
    return WITHIN_LOAD if is_within else OVERLOADED


def _slow_cache_fitness(state: RouterState, pending: PendingRequest, cache: EndpointRecord) -> int:
    """A slow cache gets one attempt at a time, to learn when it is well again."""
    if cache.in_flight == 0 and can_meet_objective(state, pending, cache):
        return WITHIN_LOAD
    return UNFIT


def fill_sources(state: RouterState, pending: PendingRequest) -> list[EndpointRecord]:
    """Where a fill may come from, in order: first and second parent in a hash order over all listed ones,
    then the origin; a write goes to the origin alone."""
    origins = list(state.origins.values())
    if pending.request_class.is_write:
        return origins
    object_hash = mix(pending.request.object_key)
    return [
        *heapq.nlargest(
            PARENTS_TRIED, state.parents.values(), key=lambda each: mix(object_hash ^ each.hash_salt)
        ),
        *origins,
    ]
