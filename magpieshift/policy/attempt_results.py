"""Handles the end of an attempt: releases its slots, updates statistics, and advances or ends its request."""

from __future__ import annotations

import heapq

from magpieshift.policy import adaptive_timeout, admission, latency, outlier_detection
from magpieshift.policy.events import AttemptEnded
from magpieshift.policy.forwarding import advance, end_request, forget_request, release_queue
from magpieshift.policy.outcomes import NEVER_RAN, CacheStatus, Outcome
from magpieshift.policy.state import LOOKUP, Attempt, EndpointRecord, PendingRequest, RouterState

MAX_COALESCED_LOOKUPS = 2
"""Attempts that may find another router's fill of the same part in progress before this router starts a fill
itself. A larger number waits longer for a fill that may fail."""
LOOKUP_INTERVAL_FRACTION = 0.5
"""Interval between two such lookups as a fraction of the mean fill time: a fill found in progress is half
done on average."""
MIN_OBJECTIVE_US = 1.0
"""Lower bound of an objective in microseconds, which avoids a division by 0."""


def attempt_ended(state: RouterState, event: AttemptEnded) -> None:
    """Process the end of an attempt; an unknown attempt is ignored."""
    attempt = state.attempts.pop((event.request_id, event.attempt), None)
    if attempt is None:
        return
    pending = attempt.pending
    pending.attempt_in_flight = -1
    _update_statistics(state, attempt, event)
    _release_slots(state, attempt)
    if event.outcome == Outcome.OK and pending.suspect not in (None, attempt.endpoint):
        # another endpoint answered the request: the first endpoint was at fault
        _record_failure(state, pending.suspect, outlier_detection.FAILURE_WEIGHT)
    if pending.first_execution is None and event.outcome not in NEVER_RAN:
        pending.first_execution = (attempt.endpoint, attempt.sent_us)
    if event.request_closed or event.request_id not in state.requests:
        forget_request(state, pending)
    else:
        _handle_failed_attempt(state, pending, attempt, event)
    if attempt.source is not None:
        release_queue(state, attempt.source)


def _update_statistics(state: RouterState, attempt: Attempt, event: AttemptEnded) -> None:
    """Update the running statistics of the rules with the result of an attempt."""
    is_ok = event.outcome == Outcome.OK
    if is_ok or event.outcome == Outcome.TIMEOUT:
        fraction = event.latency_us / max(MIN_OBJECTIVE_US, attempt.latency_objective_us)
        adaptive_timeout.record_answer(state, attempt, is_ok, fraction)
        if attempt.source is not None:
            admission.record_fill(state, attempt, event, fraction)
        else:  # a lookup tells how slow the cache is, a fill does not
            latency.record_hit(state, attempt, event)
    outlier_detection.record_answer(state, attempt, event.outcome)


def _release_slots(state: RouterState, attempt: Attempt) -> None:
    """Release the slots of the attempt at its endpoint and source."""
    for endpoint in attempt.involved:
        endpoint.in_flight -= 1
    if attempt.source is not None:
        attempt.source.in_flight_by_kind[attempt.work_kind] -= 1
        state.fills_in_flight -= 1


def _record_failure(state: RouterState, endpoint: EndpointRecord, weight: float) -> None:
    """Count a failure; if it ejects the endpoint, advance the requests queued there."""
    if outlier_detection.record_failure(state, endpoint, weight):
        release_queue(state, endpoint)


def _handle_failed_attempt(
    state: RouterState, pending: PendingRequest, attempt: Attempt, event: AttemptEnded
) -> None:
    """After a failed attempt of a request without a final answer: attribute the failure, then advance or end
    the request."""
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
        and adaptive_timeout.have_all_answered_since(attempt)
    ):
        # the same endpoint may be retried: it answers other attempts, so it is healthy
        pending.was_interrupted = True
    elif outcome == Outcome.RESET:
        _connection_reset(state, pending, attempt.endpoint)
    elif outcome == Outcome.ERROR and event.cache_status == CacheStatus.NONE:
        if pending.suspect is not None:  # two endpoints answered with an error: the request is at fault
            return end_request(state, pending)
        pending.suspect = attempt.endpoint
        if not pending.request_class.is_write:  # a write can only go to the origin
            pending.failed_endpoints.add(attempt.endpoint.entry.number)
    else:
        _attribute_failure(state, pending, attempt, event)
    return advance(state, pending)


def _schedule_lookup(state: RouterState, pending: PendingRequest) -> None:
    """Schedule another lookup at the cache, when the fill of another router may be complete."""
    fill_time_us = state.fill_times_us[pending.request.class_index]
    pending.next_lookup_us = state.now_us + int(fill_time_us * LOOKUP_INTERVAL_FRACTION)
    heapq.heappush(state.timers, (pending.next_lookup_us, pending.request.request_id))


def _connection_reset(state: RouterState, pending: PendingRequest, endpoint: EndpointRecord) -> None:
    """Count a failure, but permit one retry at the endpoint: it may hold the copy, and if it is down the
    connect will fail."""
    if pending.was_interrupted:
        pending.failed_endpoints.add(endpoint.entry.number)
    pending.was_interrupted = True
    _record_failure(state, endpoint, outlier_detection.FAILURE_WEIGHT)


def _attribute_failure(
    state: RouterState, pending: PendingRequest, attempt: Attempt, event: AttemptEnded
) -> None:
    """Count the failure against the endpoint at fault, and send no further attempt of this request there."""
    at_fault = outlier_detection.endpoint_at_fault(state, attempt, event)
    if event.outcome != Outcome.MISS:
        pending.failed_endpoints.add(at_fault.entry.number)
        weight = outlier_detection.failure_weight(attempt, event, at_fault)
        _record_failure(state, at_fault, weight)
    if attempt.source is not None and at_fault is not attempt.endpoint:
        pending.failed_endpoints.add(attempt.source.entry.number)
