"""Chooses the next step of a request that has no attempt in flight, starts attempts, and ends requests.

A request is first looked up at its cache; on a miss the cache fills from a parent or the origin, within the
limits of ``admission``. The request is ended here when no further attempt is permitted or none could be
answered in time.
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
"""Values of ``SendCacheRequest.retention_rank``; the answer to a write is not retained."""


def advance(state: RouterState, pending: PendingRequest) -> None:
    """Send a lookup, start or enqueue a fill, or end the request."""
    is_write = pending.request_class.is_write
    may_bypass = state.settings.may_bypass_caches
    cache = None if is_write and may_bypass else choose_cache(state, pending)
    if not _may_attempt(state, pending) or (cache is None and not may_bypass):
        return end_request(state, pending)
    if (
        cache is None
        or is_write
        or pending.missed_cache is cache
        or permitted_rate(state, cache) < math.inf  # a warming cache holds little: no lookup first
    ):
        return _fill(state, pending, cache)
    if pending.missed_cache is None and not can_meet_objective(state, pending, cache):
        return end_request(state, pending)
    return _send(state, pending, cache, None)


def _may_attempt(state: RouterState, pending: PendingRequest) -> bool:
    """Whether a further attempt is permitted, and there is enough time left for its answer."""
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
    """Send a fill through the cache, or directly to the source if there is no cache. If no source admits the
    fill now, the request is in a queue or is ended."""
    source = admission.admit(state, pending)
    if source is not None:
        _send(state, pending, cache or source, source)
    elif pending.queued_source is None:
        end_request(state, pending)


def _send(
    state: RouterState, pending: PendingRequest, endpoint: EndpointRecord, source: EndpointRecord | None
) -> None:
    """Start an attempt, and count it at the endpoint and at its source."""
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
    """The action that sends the attempt: ``SendPlainRequest`` to the origin, ``SendCacheRequest`` to caches
    and parents."""
    request_id = pending.request.request_id
    number = endpoint.entry.number
    settings = state.settings
    if endpoint.entry.kind == settings.origin_kind:
        return SendPlainRequest(request_id, number, timeout)
    is_lookup = pending.work_kind == LOOKUP
    named_source = source or endpoint
    if source is endpoint and not is_lookup:  # a direct fill at a parent must name the origin as its source
        named_source = _ready_origin(state) or endpoint
    rank = NOT_RETAINED if pending.request_class.is_write else RETAINED
    flags = 0
    if settings.coalesces_fills and rank:
        flags |= CacheRequestFlag.COALESCE_FILL
    if source is not None and is_lookup:
        flags |= CacheRequestFlag.SOURCE_CACHED_ONLY
    max_age_us = max_copy_age_us(state, pending, state.now_us)
    return SendCacheRequest(request_id, number, timeout, named_source.entry.number, rank, max_age_us, flags)


def max_copy_age_us(state: RouterState, pending: PendingRequest, now_us: int) -> int:
    """Maximum age of an acceptable copy for an attempt of this request that is sent at ``now_us``, in
    microseconds; 0: no bound."""
    return invalidation.max_copy_age_us(
        state.purges,
        pending.request,
        pending.request_class.max_age_us,
        now_us,
        state.settings.purge_propagation_us,
    )


def _ready_origin(state: RouterState) -> EndpointRecord | None:
    return next((each for each in state.origins.values() if each.entry.state == EndpointState.READY), None)


def release_queue(state: RouterState, source: EndpointRecord) -> None:
    """Advance requests queued at a source; see ``admission.release_queue``."""
    if source.queue:
        admission.release_queue(state, source, lambda pending: advance(state, pending))


def end_request(state: RouterState, pending: PendingRequest) -> None:
    """Give the final answer: a rejection if a retry by the client does no harm, else a failure."""
    request_id = pending.request.request_id
    fill_time_us = state.fill_times_us[pending.request.class_index]
    retry_window_us = pending.objective_due_us - fill_time_us - state.now_us
    # drawn for a failure as well: decisions depend on the order of draws
    retry_after_us = rejection.retry_after_us(
        retry_window_us, state.settings.max_retry_after_us, state.random
    )
    may_have_run = pending.first_execution is not None or pending.attempt_in_flight >= 0
    if rejection.may_reject(pending.request_class, may_have_run):
        state.actions.append(RejectRequest(request_id, retry_after_us))
    else:
        state.actions.append(FailRequest(request_id))
    if pending.attempt_in_flight >= 0 and state.settings.can_cancel_attempts:
        state.actions.append(CancelAttempt(request_id, pending.attempt_in_flight))
    forget_request(state, pending)


def forget_request(state: RouterState, pending: PendingRequest) -> None:
    """Remove a request that is over; an attempt still in flight releases its slots when it ends."""
    state.requests.pop(pending.request.request_id, None)
    admission.remove_from_queue(pending)
