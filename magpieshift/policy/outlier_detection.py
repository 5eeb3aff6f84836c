"""Endpoints that fail: whose fault a failure is, when they are ejected, and how they come back.

Each failure moves an endpoint's running failure rate; above a threshold it is ejected for a random time, and
then gets one attempt at a time until good answers have brought the rate down to the threshold again.
"""

from __future__ import annotations

from magpieshift.policy.events import AttemptEnded, EndpointState
from magpieshift.policy.outcomes import CacheStatus, Outcome
from magpieshift.policy.state import SAMPLE_WEIGHT, Attempt, EndpointRecord, RouterState

UNANSWERED = (Outcome.TIMEOUT, Outcome.CONNECT_FAILED, Outcome.CANCELLED, Outcome.SUPERSEDED)
"""The outcomes in which an endpoint said nothing."""
EJECTION_FAILURE_RATE = 0.4
"""Running share of failures above which an endpoint is ejected. Smaller ejects for
chance."""
EJECTION_US = 1_000_000
"""Base of an ejection's length: it is multiplied by 0.67 just above the threshold to 4 where all fails, and
by a random 1 to 2, so that routers do not all come back at once: 0.67 to 8 s.
Smaller sends more attempts to what is down."""
MAX_EJECTION_MULTIPLE = 4
"""Bound of the first of those factors, which grows while what is then tried fails."""
FAILURE_WEIGHT = 2 * SAMPLE_WEIGHT
"""How far one failure moves the failure rate towards 1, and one good answer towards 0: three failures in a
row eject a healthy endpoint."""
OVERLOAD_WEIGHT = SAMPLE_WEIGHT
"""The same for an endpoint that was full: that passes sooner."""
SILENCE_WEIGHT = 0.5
"""The same for one that has answered nobody since the attempt was sent: it ejects at once."""


def is_available(state: RouterState, endpoint: EndpointRecord) -> bool:
    """Whether the endpoint may be sent an attempt: one whose failure rate is above
    the threshold gets one at a time."""
    is_on_trial = endpoint.failure_rate > EJECTION_FAILURE_RATE and endpoint.in_flight > 0
    return (
        endpoint.entry.state == EndpointState.READY
        and state.now_us >= endpoint.ejected_until_us
        and not is_on_trial
    )


def record_failure(state: RouterState, endpoint: EndpointRecord, weight: float) -> bool:
    """Count a failure against the endpoint; returns whether it is ejected by it.

    Only one counts at an instant: a connection that breaks fails all that is in flight on it.
    """
    if endpoint.last_failure_us == state.now_us:
        return False
    endpoint.last_failure_us = state.now_us
    endpoint.failure_rate += weight * (1 - endpoint.failure_rate)
    if endpoint.failure_rate <= EJECTION_FAILURE_RATE or state.now_us < endpoint.ejected_until_us:
        return False
    least_good_rate = EJECTION_FAILURE_RATE / MAX_EJECTION_MULTIPLE  # caps the multiple, also at a rate of 1
    multiple = EJECTION_FAILURE_RATE / max(least_good_rate, 1 - endpoint.failure_rate)
    spread = 1 + state.random.random()  # many routers must not try it all at once
    endpoint.ejected_until_us = state.now_us + int(EJECTION_US * (multiple * spread))
    return True


def record_answer(state: RouterState, attempt: Attempt, outcome: Outcome) -> None:
    """Note who answered, and let good answers bring failure rates down."""
    is_ok = outcome == Outcome.OK
    for endpoint in attempt.involved:
        is_target = endpoint is attempt.endpoint
        if outcome not in UNANSWERED and (is_target or is_ok):
            endpoint.last_heard_us = state.now_us
        if is_ok or (outcome == Outcome.MISS and is_target):
            endpoint.failure_rate *= 1 - FAILURE_WEIGHT


def endpoint_at_fault(state: RouterState, attempt: Attempt, event: AttemptEnded) -> EndpointRecord:
    """The endpoint that a failure counts against.

    A fill is sent after the cache itself answered with a miss, so a failure is its source's, unless the cache
    says otherwise.
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
    """How much a failure counts against the endpoint at fault."""
    is_silent = event.outcome in UNANSWERED or (
        at_fault is attempt.source and event.cache_status == CacheStatus.SOURCE_LOST
    )
    if is_silent and at_fault.last_heard_us <= attempt.sent_us:
        return SILENCE_WEIGHT
    if event.outcome != Outcome.OVERLOADED:
        return FAILURE_WEIGHT
    # a cache with no capacity to fill still serves what it holds
    return 0.0 if event.cache_status == CacheStatus.NO_CAPACITY else OVERLOAD_WEIGHT
