"""How much a cache or parent that started lately may be sent.

An endpoint warms up over a time that the settings give, and falls over when it is sent more than a multiple
of what it bears at that moment. All routers learn of it at once and share what it bears; each spaces its
own attempts evenly, from a random begin.
"""

from __future__ import annotations

import math

from magpieshift.policy.state import EndpointRecord, RouterState

MAX_BUDGET_FRACTION = 0.5
"""Of a warming endpoint's budget at most; routers that have yet to hear of its start use the rest.
Larger warms up sooner and pushes over more often."""
CHANCE_SIGMAS = 3
"""Standard deviations of chance that the budget must still cover, when many routers send at random: the sum
of independent senders is about Poisson, whose deviation is the square root of its mean."""
MIN_RAMP_FRACTION = 0.001
"""Of the whole capacity; keeps the rate above 0 where the settings let an endpoint begin at none."""
MIN_WEIGHT = 0.1
"""Requests at once; an endpoint that is listed with no weight still gets some."""
SMALLEST_MEAN_US = 1.0
"""Microseconds; a guard against service times of 0, by which would be divided."""


def permitted_rate(state: RouterState, endpoint: EndpointRecord) -> float:
    """Work a microsecond that this router may send the endpoint; infinite once it is warm."""
    settings = state.settings
    entry = endpoint.entry
    if not entry.started_us or entry.kind == settings.origin_kind:
        return math.inf
    is_parent = entry.kind == settings.parent_kind
    duration_us = settings.parent_slow_start_us if is_parent else settings.slow_start_us
    age_us = max(state.now_us - entry.started_us, 0)
    if age_us >= duration_us:
        return math.inf
    first = settings.parent_slow_start_fraction if is_parent else settings.slow_start_fraction
    multiple = settings.parent_overload_multiple if is_parent else settings.overload_multiple
    routers = max(1, settings.router_count if is_parent else settings.zone_router_counts[entry.zone])
    ramp = max(first + (1 - first) * age_us / duration_us, MIN_RAMP_FRACTION)
    limit = _capacity(state, endpoint, is_parent, routers) * multiple * ramp
    # the most attempts in the window in which an endpoint falls over
    budget = limit * settings.overload_window_us / max(SMALLEST_MEAN_US, *state.service_times_us)
    # the mean whose chance, at so many deviations, just fills the budget
    mean = ((math.sqrt(CHANCE_SIGMAS**2 + 4 * budget) - CHANCE_SIGMAS) / 2) ** 2
    return limit / routers * min(MAX_BUDGET_FRACTION, mean / budget)


def _capacity(state: RouterState, endpoint: EndpointRecord, is_parent: bool, routers: int) -> float:
    """Requests at once that the endpoint bears when warm: its listed size or, where weights are none, what
    others of its kind carry for all routers on average."""
    if state.settings.weights_are_sizes:
        return max(endpoint.entry.weight, MIN_WEIGHT)
    peers = state.parents if is_parent else state.caches
    return max(1.0, routers * sum(each.in_flight for each in peers.values()) / max(1, len(peers)))


def may_send_now(state: RouterState, endpoint: EndpointRecord) -> bool:
    """Whether the endpoint may be sent something now.

    Turns at a warming endpoint that went unused are not saved up for a common burst: those older than the
    window in which it falls over are skipped.
    """
    interval_us = max(state.service_times_us) / permitted_rate(state, endpoint)  # 0 once it is warm
    if interval_us:
        unused_us = state.now_us - endpoint.next_warming_us - state.settings.overload_window_us
        if unused_us > 0:
            endpoint.next_warming_us += int(math.ceil(unused_us / interval_us) * interval_us)
    return state.now_us >= endpoint.next_warming_us


def delay_first_attempt(state: RouterState, endpoint: EndpointRecord) -> None:
    """Let a new endpoint's first attempt wait for a random part of the interval: all routers hear of it at
    once."""
    interval_us = max(state.service_times_us) / permitted_rate(state, endpoint)
    endpoint.next_warming_us = state.now_us + int(state.random.random() * interval_us)


def count_attempt(state: RouterState, endpoint: EndpointRecord, class_index: int) -> None:
    """Note that the endpoint is sent an attempt of a class now."""
    interval_us = int(state.service_times_us[class_index] / permitted_rate(state, endpoint))
    endpoint.next_warming_us = max(endpoint.next_warming_us, state.now_us) + interval_us
