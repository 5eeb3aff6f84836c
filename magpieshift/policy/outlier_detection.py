"""Attributes failures to endpoints, ejects failing endpoints and readmits them.

Each failure raises an endpoint's running failure rate. Above a threshold the endpoint is ejected for a random
time, and then gets one attempt at a time until successful answers have brought the rate down to the threshold
again.
"""

from __future__ import annotations

from magpieshift.policy.events import AttemptEnded, EndpointState
from magpieshift.policy.outcomes import CacheStatus, Outcome
from magpieshift.policy.state import SAMPLE_WEIGHT, Attempt, EndpointRecord, RouterState

UNANSWERED = (Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.CANCELLED, Outcome.SUPERSEDED)
"""The outcomes without any answer from the endpoint."""
EJECTION_FAILURE_RATE = 0.4
"""Failure rate above which an endpoint is ejected. A smaller one ejects for a few random failures."""
EJECTION_US = 1_000_000
"""Base duration of an ejection. It is multiplied by 0.67 (failure rate just above the threshold) to 4 (all
attempts fail), and by a random factor from 1 to 2 so that routers do not all return at once; the result is
0.67 to 8 s. A smaller base sends more attempts to endpoints that are down."""
MAX_EJECTION_MULTIPLE = 4
"""Maximum of the first factor, which grows as long as attempts after an ejection fail."""
FAILURE_WEIGHT = 2 * SAMPLE_WEIGHT
"""Weight with which one failure moves the failure rate towards 1, and one successful answer towards 0: three
failures in a row eject a healthy endpoint."""
OVERLOAD_WEIGHT = SAMPLE_WEIGHT
"""Weight of a failure because the endpoint was overloaded, which is usually over sooner."""
UNRESPONSIVE_WEIGHT = 0.5
"""Weight of a failure of an endpoint that has answered no attempt since the failed one was sent: a single one
ejects a healthy endpoint."""


def is_available(state: RouterState, endpoint: EndpointRecord) -> bool:
    """Whether the endpoint may be sent an attempt: it is ready and not ejected, and if its failure rate is
    above the threshold, no other attempt is in flight there."""
    is_trial_in_flight = endpoint.failure_rate > EJECTION_FAILURE_RATE and endpoint.in_flight > 0
    return (
        endpoint.entry.state == EndpointState.READY
        and state.now_us >= endpoint.ejected_until_us
        and not is_trial_in_flight
    )


def record_failure(state: RouterState, endpoint: EndpointRecord, weight: float) -> bool:
    """Count a failure against the endpoint; returns whether this ejects it.

    Only one failure counts at the same ``now_us``: a connection that breaks fails all attempts in flight on
    it.
    """
    if endpoint.last_failure_us == state.now_us:
        return False
    endpoint.last_failure_us = state.now_us
    endpoint.failure_rate += weight * (1 - endpoint.failure_rate)
    if endpoint.failure_rate <= EJECTION_FAILURE_RATE or state.now_us < endpoint.ejected_until_us:
        return False
    # bounds the multiple, also at a failure rate of 1
    min_success_rate = EJECTION_FAILURE_RATE / MAX_EJECTION_MULTIPLE
    multiple = EJECTION_FAILURE_RATE / max(min_success_rate, 1 - endpoint.failure_rate)
    jitter = 1 + state.random.random()  # so that routers do not all retry the endpoint at once
    endpoint.ejected_until_us = state.now_us + int(EJECTION_US * (multiple * jitter))
    return True


def record_answer(state: RouterState, attempt: Attempt, outcome: Outcome) -> None:
    """Record which endpoints answered, and lower the failure rates after a successful answer or a miss."""
    is_ok = outcome == Outcome.OK
    for endpoint in attempt.involved:
        is_target = endpoint is attempt.endpoint
        if outcome not in UNANSWERED and (is_target or is_ok):
            endpoint.last_heard_us = state.now_us
        if is_ok or (outcome == Outcome.MISS and is_target):
            endpoint.failure_rate *= 1 - FAILURE_WEIGHT


def endpoint_at_fault(state: RouterState, attempt: Attempt, event: AttemptEnded) -> EndpointRecord:
    """The endpoint that a failure counts against.

    A fill is sent after the cache itself answered with a miss, so a failure counts against the source, unless
    the cache status or a broken connection shows otherwise.
    """
    is_cache_itself = (
        state.settings.reports_cache_status
        and event.cache_status in (CacheStatus.NONE, CacheStatus.NO_CAPACITY)
        and event.outcome not in UNANSWERED
    )
    if attempt.source is None or is_cache_itself or event.outcome in (Outcome.CONNECT_FAILED, Outcome.RESET):
        return attempt.endpoint
    if event.cache_status == CacheStatus.ORIGIN_FAILED:
        return next(iter(state.origins.values()), attempt.source)
    return attempt.source


def failure_weight(attempt: Attempt, event: AttemptEnded, at_fault: EndpointRecord) -> float:
    """Weight with which a failure counts against the endpoint at fault."""
    is_unresponsive = event.outcome in UNANSWERED or (
        at_fault is attempt.source and event.cache_status == CacheStatus.SOURCE_LOST
    )
    if is_unresponsive and at_fault.last_heard_us <= attempt.sent_us:
        return UNRESPONSIVE_WEIGHT
    if event.outcome != Outcome.OVERLOADED:
        return FAILURE_WEIGHT
    # a cache with no capacity to fill still serves what it holds
    return 0.0 if event.cache_status == CacheStatus.NO_CAPACITY else OVERLOAD_WEIGHT
