"""Limits the attempts sent to a cache or parent that started recently.

An endpoint warms up over a time given in the settings, and fails if it is sent more than a multiple of its
current capacity. All routers learn of a new endpoint at once and share its capacity; each spaces its own
attempts evenly, starting at a random time.
"""

from __future__ import annotations

import math

from magpieshift.policy.state import EndpointRecord, RouterState

MAX_BUDGET_FRACTION = 0.5
"""Maximum fraction of a warming endpoint's budget that is used; the rest is for routers that do not know of
its restart yet. A larger fraction warms up sooner and overloads endpoints more often."""
POISSON_SIGMAS = 3
"""Standard deviations above the mean that the budget must cover when many routers send independently: the sum
of independent senders is about Poisson, whose standard deviation is the square root of its mean."""
MIN_RAMP_FRACTION = 0.001
"""Minimum fraction of the full capacity; keeps the rate above 0 if the settings let an endpoint start at
0."""
MIN_WEIGHT = 0.1
"""Minimum capacity in concurrent requests, so that an endpoint listed with weight 0 still gets some."""
MIN_SERVICE_TIME_US = 1.0
"""Lower bound of a mean service time in microseconds, which avoids a division by 0."""


def permitted_rate(state: RouterState, endpoint: EndpointRecord) -> float:
    """Load that this router may send the endpoint, in microseconds of service time per microsecond; infinite
    once it is warm."""
    settings = state.settings
    entry = endpoint.entry
    if not entry.started_us or entry.kind == settings.origin_kind:
        return math.inf
    is_parent = entry.kind == settings.parent_kind
    duration_us = settings.parent_slow_start_us if is_parent else settings.slow_start_us
    age_us = max(state.now_us - entry.started_us, 0)
    if age_us >= duration_us:
        return math.inf
    initial_fraction = settings.parent_slow_start_fraction if is_parent else settings.slow_start_fraction
    multiple = settings.parent_overload_multiple if is_parent else settings.overload_multiple
    routers = max(1, settings.router_count if is_parent else settings.zone_router_counts[entry.zone])
    ramp = max(initial_fraction + (1 - initial_fraction) * age_us / duration_us, MIN_RAMP_FRACTION)
    limit = _capacity(state, endpoint, is_parent, routers) * multiple * ramp
    # the most attempts within the overload window that do not overload the endpoint
    budget = limit * settings.overload_window_us / max(MIN_SERVICE_TIME_US, *state.service_times_us)
    # the mean at which mean + POISSON_SIGMAS * sqrt(mean) equals the budget
    mean = ((math.sqrt(POISSON_SIGMAS**2 + 4 * budget) - POISSON_SIGMAS) / 2) ** 2
    return limit / routers * min(MAX_BUDGET_FRACTION, mean / budget)


def _capacity(state: RouterState, endpoint: EndpointRecord, is_parent: bool, routers: int) -> float:
    """Capacity of the endpoint when warm, in concurrent requests: its listed weight or, if weights are no
    sizes, the estimated average of attempts in flight from all routers at endpoints of its kind."""
    if state.settings.weights_are_sizes:
        return max(endpoint.entry.weight, MIN_WEIGHT)
    peers = state.parents if is_parent else state.caches
    return max(1.0, routers * sum(each.in_flight for each in peers.values()) / max(1, len(peers)))


def may_send_now(state: RouterState, endpoint: EndpointRecord) -> bool:
    """Whether the endpoint may be sent an attempt now.

    At a warming endpoint this router has one turn (an attempt that it may send) per interval. Unused turns
    are skipped once they are older than the overload window, so that routers do not save them up and send a
    burst together.
    """
    interval_us = max(state.service_times_us) / permitted_rate(state, endpoint)  # 0 once it is warm
    if interval_us:
        unused_us = state.now_us - endpoint.next_warming_us - state.settings.overload_window_us
        if unused_us > 0:
            endpoint.next_warming_us += int(math.ceil(unused_us / interval_us) * interval_us)
    return state.now_us >= endpoint.next_warming_us


def delay_first_attempt(state: RouterState, endpoint: EndpointRecord) -> None:
    """Delay the first attempt at a new endpoint by a random part of the interval, because all routers learn
    of the endpoint at once."""
    interval_us = max(state.service_times_us) / permitted_rate(state, endpoint)
    endpoint.next_warming_us = state.now_us + int(state.random.random() * interval_us)


def count_attempt(state: RouterState, endpoint: EndpointRecord, class_index: int) -> None:
    """Record that the endpoint is sent an attempt of a class now."""
    interval_us = int(state.service_times_us[class_index] / permitted_rate(state, endpoint))
    endpoint.next_warming_us = max(endpoint.next_warming_us, state.now_us) + interval_us
