"""What an attempt's end leads to: slots come back, the rules learn, and the request goes on or is over."""

from __future__ import annotations

import heapq

from magpieshift.policy import adaptive_timeout, admission, latency, outlier_detection
from magpieshift.policy.events import AttemptEnded
from magpieshift.policy.forwarding import advance, end_request, forget_request, release_queue
from magpieshift.policy.outcomes import NEVER_RAN, CacheStatus, Outcome
from magpieshift.policy.state import LOOKUP, Attempt, EndpointRecord, PendingRequest, RouterState

MAX_COALESCED_LOOKUPS = 2
"""Attempts; a cache whose fill of the same part is under way for another router is asked so often before
this router fills it too. Larger waits longer for a fill that may fail."""
LOOKUP_INTERVAL_FRACTION = 0.5
"""Of the mean fill time, between two such lookups: the fill found under way is half done on average."""
SMALLEST_OBJECTIVE_US = 1.0
"""Microseconds; a guard against an objective of 0, by which would be divided."""


def attempt_ended(state: RouterState, event: AttemptEnded) -> None:
    """Take in an attempt's end; one that is not known any more changes nothing."""
    attempt = state.attempts.pop((event.request_id, event.attempt), None)
    if attempt is None:
        return
    pending = attempt.pending
    pending.attempt_in_flight = -1
    _learn(state, attempt, event)
    _release_slots(state, attempt)
    if event.outcome == Outcome.OK and pending.suspect not in (None, attempt.endpoint):
        # another endpoint could use the request: the error was the first one's fault
        _record_failure(state, pending.suspect, outlier_detection.FAILURE_WEIGHT)
    if pending.first_execution is None and event.outcome not in NEVER_RAN:
        pending.first_execution = (attempt.endpoint, attempt.sent_us)
    if event.request_closed or event.request_id not in state.requests:
        forget_request(state, pending)
    else:
        _continue(state, pending, attempt, event)
    if attempt.source is not None:
        release_queue(state, attempt.source)


def _learn(state: RouterState, attempt: Attempt, event: AttemptEnded) -> None:
    """Let the rules' running figures follow an attempt."""
    is_ok = event.outcome == Outcome.OK
    if is_ok or event.outcome == Outcome.TIMEOUT:
        fraction = event.latency_us / max(SMALLEST_OBJECTIVE_US, attempt.latency_objective_us)
        adaptive_timeout.record_answer(state, attempt, is_ok, fraction)
        if attempt.source is not None:
            admission.record_fill(state, attempt, event, fraction)
        else:  # a hit is as slow as its cache, whatever fills do
            latency.record_hit(state, attempt, event)
    outlier_detection.record_answer(state, attempt, event.outcome)


def _release_slots(state: RouterState, attempt: Attempt) -> None:
    """Give back, once, what the attempt took."""
    for endpoint in attempt.involved:
        endpoint.in_flight -= 1
    if attempt.source is not None:
        attempt.source.in_flight_by_kind[attempt.work_kind] -= 1
        state.fills_in_flight -= 1


def _record_failure(state: RouterState, endpoint: EndpointRecord, weight: float) -> None:
    """Count a failure; what waits at an endpoint that is ejected by it goes on elsewhere."""
    if outlier_detection.record_failure(state, endpoint, weight):
        release_queue(state, endpoint)


def _continue(state: RouterState, pending: PendingRequest, attempt: Attempt, event: AttemptEnded) -> None:
    """An attempt failed and its request is still to be answered: attribute the failure and go on."""
    outcome = event.outcome
    if outcome in (Outcome.SUPERSEDED, Outcome.CANCELLED):
        return end_request(state, pending)
    if outcome == Outcome.MISS and attempt.source is None:
        is_being_filled = event.cache_status == CacheStatus.COALESCED
        if is_being_filled and pending.attempts_started <= MAX_COALESCED_LOOKUPS:
            return _schedule_lookup(state, pending)
        pending.missed_cache = attempt.endpoint
    elif outcome == Outcome.MISS and attempt.work_kind == LOOKUP:
        pending.lookup_misses.add(attempt.involved[-1].entry.number)
    elif (
        outcome == Outcome.TIMEOUT
        and not pending.was_interrupted
        and adaptive_timeout.have_others_answered(attempt)
    ):
        pending.was_interrupted = True  # sent once more: an endpoint that answers others is well
    elif outcome == Outcome.RESET:
        _connection_reset(state, pending, attempt.endpoint)
    elif outcome == Outcome.ERROR and event.cache_status == CacheStatus.NONE:
        if pending.suspect is not None:  # two endpoints could not use it: the request is at fault
            return end_request(state, pending)
        pending.suspect = attempt.endpoint
        if not pending.request_class.is_write:  # a write has nowhere else to go
            pending.failed_endpoints.add(attempt.endpoint.entry.number)
    else:
        _attribute_failure(state, pending, attempt, event)
    return advance(state, pending)


def _schedule_lookup(state: RouterState, pending: PendingRequest) -> None:
    """Ask the cache again when another router's fill may be done."""
    fill_time_us = state.fill_times_us[pending.request.class_index]
    pending.next_lookup_us = state.now_us + int(fill_time_us * LOOKUP_INTERVAL_FRACTION)
    heapq.heappush(state.timers, (pending.next_lookup_us, pending.request.request_id))


def _connection_reset(state: RouterState, pending: PendingRequest, endpoint: EndpointRecord) -> None:
    """Let the endpoint be asked once more: it may hold the copy, and if it is down a connect fails."""
    if pending.was_interrupted:
        pending.failed_endpoints.add(endpoint.entry.number)
    pending.was_interrupted = True
    _record_failure(state, endpoint, outlier_detection.FAILURE_WEIGHT)


def _attribute_failure(
    state: RouterState, pending: PendingRequest, attempt: Attempt, event: AttemptEnded
) -> None:
    """Count the failure against the endpoint at fault, and keep this request away from it."""
    at_fault = outlier_detection.endpoint_at_fault(state, attempt, event)
    if event.outcome != Outcome.MISS:
        pending.failed_endpoints.add(at_fault.entry.number)
        weight = outlier_detection.failure_weight(attempt, event, at_fault)
        _record_failure(state, at_fault, weight)
    if attempt.source is not None and at_fault is not attempt.endpoint:
        pending.failed_endpoints.add(attempt.source.entry.number)
