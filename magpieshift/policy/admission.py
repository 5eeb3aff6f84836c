"""How many fills a source gets at once, and which requests wait for one.

Each router limits what it has in flight at a source, by kind of work. A request above the limit waits in the
source's queue as long as its turn comes within its objective; else the next source is tried. It leaves the
queue by one of two exits: a slot, or the time at which a fill would be too late (``RouterState.timers``). A
router with nothing in flight at a source may always send one attempt (the free pass).
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
"""Attempts in flight that a source is good for from each router until it has shown more (the operators'
design); more routers than this share its square."""
PEAK_MEMORY_US = 10_000_000
"""How long a source's peak counts after it was last reached (the operators' design)."""
ON_TIME_FRACTION = 0.7
"""Of the latency objective: fills that took less raise the limit. Larger raises it until
answers are late, which all routers see only a fill's time afterwards."""
LATE_DIVISOR = 2
"""The limit after a late fill, as TCP halves its window."""
LINK_HEADROOM = 1.25
"""Fills counted for each that is under way on the zone's link: more begin while one runs.
Larger rejects sooner on a narrow link."""


def concurrency_limit(state: RouterState, source: EndpointRecord, work_kind: int) -> int:
    """Attempts of a kind that this router may have in flight at a source: one more than the most that it
    lately answered in time."""
    peak, reached_us = source.concurrency_peaks[work_kind]
    if reached_us and state.now_us <= reached_us + PEAK_MEMORY_US:
        return 1 + peak
    return min(INITIAL_LIMIT, max(1, INITIAL_LIMIT**2 // max(1, state.settings.router_count)))


def admit(state: RouterState, pending: PendingRequest) -> EndpointRecord | None:
    """The source at which the request's fill, lookup or write may start now.

    None where it was put into a source's queue (``pending.queued_source``), or where no source takes it.
    """
    if not does_link_permit(state, pending):
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
        latest_us = int(min(pending.objective_due_us, pending.answer_by_us) - duration_us)
        turn_us = state.now_us + duration_us * (waiting + 1) / limit
        if turn_us <= latest_us and waiting < limit and permitted_rate(state, source) == math.inf:
            _enqueue(state, pending, source, latest_us)
            return None
    return None


def work_kind_at(state: RouterState, pending: PendingRequest, source: EndpointRecord) -> int:
    """What the request takes of a source: above its limit of fills, what a parent holds need not wait."""
    if pending.request_class.is_write:
        return WRITE
    may_hold_copy = (
        source.entry.kind == state.settings.parent_kind and source.entry.number not in pending.lookup_misses
    )
    if may_hold_copy and source.in_flight_by_kind[FILL] >= concurrency_limit(state, source, FILL):
        return LOOKUP
    return FILL


def does_link_permit(state: RouterState, pending: PendingRequest) -> bool:
    """Whether the zone's link brings the answer within its objective, shared with all fills under way."""
    settings = state.settings
    fills = LINK_HEADROOM * settings.zone_router_counts[settings.zone] * (state.fills_in_flight + 1)
    link_kb_per_s = settings.zone_link_kb_per_s[settings.zone] or math.inf
    transfer_us = 1e6 * pending.request.size_kb * fills / link_kb_per_s
    left_us = pending.objective_due_us - state.now_us
    return transfer_us <= max(left_us, pending.request_class.latency_objective_us)


def _is_usable(
    state: RouterState, pending: PendingRequest, source: EndpointRecord, duration_us: float
) -> bool:
    """Whether the source may be sent this request, and can answer in time; a listed origin is the last
    resort, ejected or not."""
    has_turn = may_send_now(state, source)  # first, and always: it also skips turns that went unused
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


def _enqueue(state: RouterState, pending: PendingRequest, source: EndpointRecord, latest_us: int) -> None:
    pending.queued_source = source
    pending.queued_until_us = latest_us
    source.queue[pending.request.request_id] = pending
    heapq.heappush(state.timers, (latest_us, pending.request.request_id))


def release_queue(
    state: RouterState, source: EndpointRecord, advance: Callable[[PendingRequest], None]
) -> None:
    """Let waiting requests go on while there are slots, or all of them where the source is down.

    The newest goes first: the oldest has the least of its objective left, and woken first all would be late.
    ``advance`` judges each anew, as if nobody waited.
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


def leave_queue(pending: PendingRequest) -> None:
    """Take a request that is over out of the queue it may wait in."""
    if pending.queued_source is not None:
        pending.queued_source.queue.pop(pending.request.request_id, None)


def record_fill(state: RouterState, attempt: Attempt, event: AttemptEnded, fraction: float) -> None:
    """Learn from an attempt that ended well or timed out, after this fraction of its objective: a source is
    worked as hard as it answers in time."""
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
    if fraction > 1 and request.size_kb:  # late, and not just big: the objective knows the size
        source.concurrency_peaks[kind] = (peak // LATE_DIVISOR, state.now_us)
    elif fraction < ON_TIME_FRACTION and (in_flight >= peak or state.now_us > reached_us + PEAK_MEMORY_US):
        source.concurrency_peaks[kind] = (in_flight, state.now_us)
    if kind != LOOKUP:
        mean_us = state.fill_times_us[request.class_index]
        state.fill_times_us[request.class_index] += SAMPLE_WEIGHT * (event.latency_us - mean_us)
