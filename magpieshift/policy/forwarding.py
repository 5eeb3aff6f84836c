"""The next step of a request with no attempt in flight, and the start and the end that it may lead to.

A request is looked up at its cache; on a miss the cache fills from a parent or the origin, under the limits
of ``admission``. It ends here when no attempt is permitted or none would come in time.
"""

from __future__ import annotations

import math

from magpieshift.policy import admission, invalidation, rejection, retry
from magpieshift.policy.actions import (
    CacheRequestFlag,
    CancelAttempt,
    FailRequest,
    RejectRequest,
    SendCacheRequest,
    SendPlainRequest,
)
from magpieshift.policy.adaptive_timeout import timeout_us
from magpieshift.policy.events import EndpointState
from magpieshift.policy.latency import can_meet_objective, objective_us
from magpieshift.policy.placement import choose_cache
from magpieshift.policy.slow_start import count_attempt, permitted_rate
from magpieshift.policy.state import (
    LOOKUP,
    AnswerTimes,
    Attempt,
    EndpointRecord,
    PendingRequest,
    RouterState,
)

NOT_RETAINED, RETAINED = range(2)
"""Retention ranks of a copy at its cache; a write's answer is not kept."""


def advance(state: RouterState, pending: PendingRequest) -> None:
    """Look up, fill, wait or end."""
    is_write = pending.request_class.is_write
    may_bypass = state.settings.may_bypass_caches
    cache = None if is_write and may_bypass else choose_cache(state, pending)
    if not _may_attempt(state, pending) or (cache is None and not may_bypass):
        return end_request(state, pending)
    if (
        cache is None
        or is_write
        or pending.missed_cache is cache
        or permitted_rate(state, cache) < math.inf  # a cache that warms up holds little: no lookup first
    ):
        return _fill(state, pending, cache)
    if pending.missed_cache is None and not can_meet_objective(state, pending, cache):
        return end_request(state, pending)
    return _send(state, pending, cache, None)


def _may_attempt(state: RouterState, pending: PendingRequest) -> bool:
    """Whether the class permits a further attempt, and one can still be answered."""
    request_class = pending.request_class
    tick_us = state.settings.tick_us
    needed_us = tick_us if request_class.is_write else state.service_times_us[pending.request.class_index]
    if retry.is_exhausted(
        pending.attempts_started,
        state.settings.max_attempts,
        state.now_us,
        needed_us,
        pending.answer_by_us,
    ):
        return False
    first = pending.first_execution
    first_sent_us = None if first is None else first[1]
    return retry.is_repeat_permitted(request_class, first_sent_us, state.now_us, tick_us)


def _fill(state: RouterState, pending: PendingRequest, cache: EndpointRecord | None) -> None:
    """Send to the cache, or without one directly, with a source that admits it; else wait or end."""
    source = admission.admit(state, pending)
    if source is not None:
        _send(state, pending, cache or source, source)
    elif pending.queued_source is None:
        end_request(state, pending)


def _send(
    state: RouterState, pending: PendingRequest, endpoint: EndpointRecord, source: EndpointRecord | None
) -> None:
    """Start an attempt, and count it wherever it takes a slot."""
    request = pending.request
    class_index = request.class_index
    key = (class_index, source is not None)
    answer_times = endpoint.answer_times.get(key)
    if answer_times is None:
        answer_times = endpoint.answer_times[key] = AnswerTimes()
    service_time_us = pending.service_time_us if request.size_kb else state.service_times_us[class_index]
    objective = objective_us(pending.request_class, service_time_us)
    timeout = timeout_us(state, pending, answer_times, objective)
    state.actions.append(_attempt_action(state, pending, endpoint, source, timeout))
    involved = (endpoint,) if source is None or source is endpoint else (endpoint, source)
    for each in involved:
        each.in_flight += 1
        count_attempt(state, each, class_index)
    state.attempts[request.request_id, pending.attempts_started] = Attempt(
        pending,
        endpoint,
        source,
        involved,
        state.now_us,
        answer_times,
        objective,
        endpoint.in_flight,
        pending.work_kind,
    )
    pending.attempt_in_flight = pending.attempts_started
    pending.attempts_started += 1
    if source is not None:
        source.in_flight_by_kind[pending.work_kind] += 1
        state.fills_in_flight += 1


def _attempt_action(
    state: RouterState,
    pending: PendingRequest,
    endpoint: EndpointRecord,
    source: EndpointRecord | None,
    timeout: int,
) -> SendPlainRequest | SendCacheRequest:
    """The attempt as the endpoint is asked: the origin plainly, caches and parents with a source, a bound on
    the copy's age, and flags."""
    request_id = pending.request.request_id
    number = endpoint.entry.number
    settings = state.settings
    if endpoint.entry.kind == settings.origin_kind:
        return SendPlainRequest(request_id, number, timeout)
    is_lookup = pending.work_kind == LOOKUP
    named = source or endpoint
    if source is endpoint and not is_lookup:  # a parent that is asked directly needs the origin named
        named = _ready_origin(state) or endpoint
    rank = NOT_RETAINED if pending.request_class.is_write else RETAINED
    flags = 0
    if settings.coalesces_fills and rank:
        flags |= CacheRequestFlag.COALESCE_FILL
    if source is not None and is_lookup:
        flags |= CacheRequestFlag.SOURCE_CACHED_ONLY
    max_age_us = invalidation.max_copy_age_us(
        state.purges,
        pending.request,
        pending.request_class.max_age_us,
        state.now_us,
        settings.purge_propagation_us,
    )
    return SendCacheRequest(request_id, number, timeout, named.entry.number, rank, max_age_us, flags)


def _ready_origin(state: RouterState) -> EndpointRecord | None:
    return next((each for each in state.origins.values() if each.entry.state == EndpointState.READY), None)


def release_queue(state: RouterState, source: EndpointRecord) -> None:
    """Let requests that wait at a source go on; see ``admission.release_queue``."""
    if source.queue:
        admission.release_queue(state, source, lambda pending: advance(state, pending))


def end_request(state: RouterState, pending: PendingRequest) -> None:
    """Give the final answer: rejected where a client's retry does no harm, else failed."""
    request_id = pending.request.request_id
    fill_time_us = state.fill_times_us[pending.request.class_index]
    spare_us = pending.objective_due_us - fill_time_us - state.now_us
    # drawn for a failure as well: the order of draws is part of the decisions
    retry_after_us = rejection.retry_after_us(spare_us, state.settings.max_retry_after_us, state.random)
    may_have_run = pending.first_execution is not None or pending.attempt_in_flight >= 0
    if rejection.may_reject(pending.request_class, may_have_run):
        state.actions.append(RejectRequest(request_id, retry_after_us))
    else:
        state.actions.append(FailRequest(request_id))
    if pending.attempt_in_flight >= 0 and state.settings.can_cancel_attempts:
        state.actions.append(CancelAttempt(request_id, pending.attempt_in_flight))
    forget_request(state, pending)


def forget_request(state: RouterState, pending: PendingRequest) -> None:
    """Drop a request that is over; an attempt of it in flight gives its slots back when it ends."""
    state.requests.pop(pending.request.request_id, None)
    admission.leave_queue(pending)
