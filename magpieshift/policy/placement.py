"""Chooses the cache of an object and the order of its fill sources.

Both use rendezvous hashing (Thaler and Ravishankar 1998), weighted for caches, so that all routers make the
same choice and an endpoint that is added or removed moves only its own objects.
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
"""A cache is overloaded when its attempts in flight exceed its share by this many square roots of the share.
A smaller number spreads load more evenly but gives fewer cache hits."""
MIN_SPILL_IN_FLIGHT = 4
"""Attempts in flight below which a cache is not overloaded, whatever its share. A smaller number spreads load
more evenly but gives fewer cache hits."""
PARENTS_TRIED = 2
"""Number of parents of an object: the second is tried when the first is full or down, as in the operators'
design."""
MIN_WEIGHT = 1e-6
"""Lower bound of a listed weight: an endpoint listed with 0 is chosen last, and a division by 0 is
avoided."""

WITHIN_LOAD = 1
"""Fitness of a cache within its share of the attempts in flight, or of a slow cache that is idle."""
OVERLOADED = 0
"""Fitness of a cache above its share of the attempts in flight."""
UNFIT = -1
"""Fitness of a slow cache that has an attempt in flight or could not meet the objective."""
MISSED_BONUS = 2
"""Added to the fitness of the cache that answered the lookup with a miss, so that the fill goes through
it."""


def is_repeat_permitted_at(pending: PendingRequest, endpoint: EndpointRecord) -> bool:
    """Whether the endpoint may be sent the request: either no earlier attempt can have run, or the endpoint
    would discard a repeat of the first that may have."""
    first = pending.first_execution
    return first is None or retry.is_within_scope(pending.request_class, first[0].entry, endpoint.entry)


def choose_cache(state: RouterState, pending: PendingRequest) -> EndpointRecord | None:
    """The cache for a request: of the ready ones, an available cache before an unavailable one, then the one
    with the highest fitness, then by weighted rendezvous hashing. None if no cache is suitable; if caches may
    be bypassed, an unavailable or ``UNFIT`` one is not."""
    ready = [each for each in state.caches.values() if each.entry.state == EndpointState.READY]
    slowdowns = [slowdown(each) for each in ready]
    median = sorted(slowdowns)[(len(ready) - 1) // 2] if ready else 0.0
    max_slowdown = MAX_EXCESS_SLOWDOWN + 2 * median
    in_flight = 0
    total_weight = 0.0
    for cache, cache_slowdown in zip(ready, slowdowns, strict=True):
        if cache_slowdown <= max_slowdown:
            in_flight += cache.in_flight
            total_weight += cache.entry.weight
    in_flight_per_weight = in_flight / max(total_weight, MIN_WEIGHT)
    object_hash = mix(pending.request.object_key) + pending.request.part
    best = None
    best_rank: tuple[bool, int, float] = (state.settings.may_bypass_caches, 0, -1.0)
    for cache, cache_slowdown in zip(ready, slowdowns, strict=True):
        if cache.entry.number in pending.failed_endpoints:
            continue
        weight = max(cache.entry.weight, MIN_WEIGHT)
        if cache_slowdown <= max_slowdown:
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
    """Fitness of a cache by its attempts in flight, compared with those expected for its weight plus random
    variation."""
    is_within = cache.in_flight < max(
        MIN_SPILL_IN_FLIGHT, expected + MAX_LOAD_DEVIATIONS * math.sqrt(expected)
    )
    return WITHIN_LOAD if is_within else OVERLOADED


def _slow_cache_fitness(state: RouterState, pending: PendingRequest, cache: EndpointRecord) -> int:
    """Fitness of a slow cache: it gets one attempt at a time, which shows when it has recovered."""
    if cache.in_flight == 0 and can_meet_objective(state, pending, cache):
        return WITHIN_LOAD
    return UNFIT


def fill_sources(state: RouterState, pending: PendingRequest) -> list[EndpointRecord]:
    """The sources of a fill in order of preference: two parents by rendezvous hashing over all listed ones,
    then the origin. A write only goes to the origin."""
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
