"""Limits the attempts in flight at each source, and queues requests that have to wait for a slot.

Each router limits its own attempts in flight at a source, by kind of work. A request above the limit is put
into the source's queue if it can be expected to start in time for its latency objective; else the next source
is tried. It leaves the queue when a slot becomes free, or at the latest start time that could still meet the
objective (``RouterState.timers``). A router with nothing in flight at a source may always send one attempt.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable

from magpieshift.policy.events import AttemptEnded, EndpointState
from magpieshift.policy.outcomes import Outcome
from magpieshift.policy.outlier_detection import is_available
from magpieshift.policy.placement import fill_sources, is_repeat_permitted_at
from magpieshift.policy.slow_start import may_send_now, permitted_rate
from magpieshift.policy.state import (
    FILL,
    LOOKUP,
    SAMPLE_WEIGHT,
    WRITE,
    Attempt,
    EndpointRecord,
    PendingRequest,
    RouterState,
)

INITIAL_LIMIT = 4
"""Concurrency limit of each router at a source without a recent peak, as in the operators' design. If there
are more routers than this, they share the square of this number, but each has a limit of at least 1."""
PEAK_EXPIRY_US = 10_000_000
"""How long a source's peak counts after it was last reached, as in the operators' design."""
ON_TIME_FRACTION = 0.7
"""Fraction of the latency objective; attempts that took less raise the limit. A larger fraction raises it
until answers are late, which the routers notice only after the duration of a fill."""
LATE_FILL_DIVISOR = 2
"""A late fill divides the source's peak by this, as TCP halves its congestion window."""
LINK_HEADROOM = 1.25
"""Factor on the number of fills in flight on the zone's link, as more of them start while one runs. A larger
factor rejects sooner on a narrow link."""


def concurrency_limit(state: RouterState, source: EndpointRecord, work_kind: int) -> int:
    """Attempts of a kind that this router may have in flight at a source: one more than the recent peak with
    which answers were in time."""
    peak, reached_us = source.concurrency_peaks[work_kind]
    if reached_us and state.now_us <= reached_us + PEAK_EXPIRY_US:
        return 1 + peak
    return min(INITIAL_LIMIT, max(1, INITIAL_LIMIT**2 // max(1, state.settings.router_count)))


def admit(state: RouterState, pending: PendingRequest) -> EndpointRecord | None:
    """The source at which the request's fill, lookup or write may start now.

    None if the request was put into a source's queue (``pending.queued_source``), or if no source admits it.
    """
    if not has_link_capacity(state, pending):
        return None
    class_index = pending.request.class_index
    for source in fill_sources(state, pending):
        kind = pending.work_kind = work_kind_at(state, pending, source)
        duration_us = (state.service_times_us if kind == LOOKUP else state.fill_times_us)[class_index]
        if not _is_usable(state, pending, source, duration_us):
            continue
        limit = concurrency_limit(state, source, kind)
        in_flight = source.in_flight_by_kind[kind]
        waiting = sum(each.work_kind == kind for each in source.queue.values())
        if in_flight == 0 or (in_flight < limit and not waiting):
            return source
        latest_start_us = int(min(pending.objective_due_us, pending.answer_by_us) - duration_us)
        expected_start_us = state.now_us + duration_us * (waiting + 1) / limit
        if (
            expected_start_us <= latest_start_us
            and waiting < limit
            and permitted_rate(state, source) == math.inf
        ):
            _enqueue(state, pending, source, latest_start_us)
            return None
    return None


def work_kind_at(state: RouterState, pending: PendingRequest, source: EndpointRecord) -> int:
    """The kind of work to request of a source. At a parent that is at its limit of fills it is a lookup, so
    that a copy that the parent holds need not wait for a slot."""
    if pending.request_class.is_write:
        return WRITE
    may_hold_copy = (
        source.entry.kind == state.settings.parent_kind and source.entry.number not in pending.lookup_misses
    )
    if may_hold_copy and source.in_flight_by_kind[FILL] >= concurrency_limit(state, source, FILL):
        return LOOKUP
    return FILL


def has_link_capacity(state: RouterState, pending: PendingRequest) -> bool:
    """Whether the zone's link, shared with all fills in flight, can transfer the answer within its
    objective."""
    settings = state.settings
    fills = LINK_HEADROOM * settings.zone_router_counts[settings.zone] * (state.fills_in_flight + 1)
    link_kb_per_s = settings.zone_link_kb_per_s[settings.zone] or math.inf
    transfer_us = 1e6 * pending.request.size_kb * fills / link_kb_per_s
    left_us = pending.objective_due_us - state.now_us
    return transfer_us <= max(left_us, pending.request_class.latency_objective_us)


def _is_usable(
    state: RouterState, pending: PendingRequest, source: EndpointRecord, duration_us: float
) -> bool:
    """Whether the request may be sent to the source and be answered in time. A ready origin is the last
    resort and is used even while ejected."""
    # always called, before the other conditions, because it also skips unused turns of a warming source
    has_turn = may_send_now(state, source)
    if (
        not has_turn
        or not is_repeat_permitted_at(pending, source)
        or source.entry.number in pending.failed_endpoints
        or state.now_us + duration_us > pending.answer_by_us
    ):
        return False
    is_last_resort = (
        source.entry.kind == state.settings.origin_kind and source.entry.state == EndpointState.READY
    )
    return is_last_resort or is_available(state, source)


def _enqueue(
    state: RouterState, pending: PendingRequest, source: EndpointRecord, latest_start_us: int
) -> None:
    pending.queued_source = source
    pending.queued_until_us = latest_start_us
    source.queue[pending.request.request_id] = pending
    heapq.heappush(state.timers, (latest_start_us, pending.request.request_id))


def release_queue(
    state: RouterState, source: EndpointRecord, advance: Callable[[PendingRequest], None]
) -> None:
    """Advance queued requests while the source has free slots, or all of them if it is unavailable.

    The newest request is advanced first: with the oldest first, which has the least time left, all would be
    late. The queue is empty during each call of ``advance``, so that the requests left in it are not counted.
    """
    if not source.queue:
        return
    is_down = not is_available(state, source)
    for pending in list(reversed(source.queue.values())):
        kind = pending.work_kind
        is_full = source.in_flight_by_kind[kind] >= concurrency_limit(
            state, source, kind
        ) or not may_send_now(state, source)
        if (is_down or not is_full) and source.queue.pop(pending.request.request_id, None) is not None:
            pending.queued_source = None
            waiting = source.queue
            source.queue = {}
            advance(pending)
            source.queue = waiting | source.queue


def remove_from_queue(pending: PendingRequest) -> None:
    """Remove a request that is over from its queue, if it is in one."""
    if pending.queued_source is not None:
        pending.queued_source.queue.pop(pending.request.request_id, None)


def record_fill(state: RouterState, attempt: Attempt, event: AttemptEnded, fraction: float) -> None:
    """Update the concurrency peak of the source and the mean fill time after an attempt that succeeded or
    timed out; ``fraction`` is its latency divided by its objective."""
    source = attempt.source
    if source is None:
        return
    kind = attempt.work_kind
    request = attempt.pending.request
    in_flight = source.in_flight_by_kind[kind]
    peak, reached_us = source.concurrency_peaks[kind]
    if event.outcome != Outcome.OK:
        source.concurrency_peaks[kind] = (0, state.now_us)
        return
    if fraction > 1 and request.size_kb:  # late, and not merely large: the objective allows for a known size
        source.concurrency_peaks[kind] = (peak // LATE_FILL_DIVISOR, state.now_us)
    elif fraction < ON_TIME_FRACTION and (in_flight >= peak or state.now_us > reached_us + PEAK_EXPIRY_US):
        source.concurrency_peaks[kind] = (in_flight, state.now_us)
    if kind != LOOKUP:
        mean_us = state.fill_times_us[request.class_index]
        state.fill_times_us[request.class_index] += SAMPLE_WEIGHT * (event.latency_us - mean_us)
