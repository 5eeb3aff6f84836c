"""After how long an answer is taken for lost, so that the request can be sent again in time.

The timer follows RFC 6298: the running mean of answer times plus a multiple of their mean deviation. It
applies only where answers do get lost, where the class permits a repeat, and within a budget that good
answers earn.
"""

from __future__ import annotations

import math

from magpieshift.policy.latency import slowdown
from magpieshift.policy.settings import Idempotency
from magpieshift.policy.state import (
    MAX_RETRY_BUDGET,
    SAMPLE_WEIGHT,
    AnswerTimes,
    Attempt,
    PendingRequest,
    RouterState,
)

MIN_SAMPLES = 10
"""Answers that a mean needs before a timer rests on it: those that ``SAMPLE_WEIGHT`` lets count."""
DEVIATIONS = 4
"""Mean deviations above the mean, the K of RFC 6298."""
MIN_OBJECTIVE_FRACTION = 0.6
"""The shortest timer, as a fraction of the latency objective. Smaller repeats answers that
would have come."""
MAX_DEVIATION = 0.1
"""Fraction of the latency objective; answers that vary more give no timer. Larger takes
queueing for loss."""
BUDGET_PER_ANSWER = 0.1
"""What each good answer adds to the retry budget: repeats add at most a tenth to the load, as in gRPC's retry
throttling."""
MIN_LOSS_RATE = 0.005
"""Share of answers lost above which late ones are taken for lost. Smaller repeats where
nothing is lost."""
LOSS_SAMPLE_WEIGHT = 0.01
"""Weight of a new sample in the loss rate: a share this small needs some hundred answers."""
MAX_LOSS_SLOWDOWN = 0.2
"""Times the service time; an answer that did not come from a cache slower than this is late, not lost.
Larger repeats requests at caches that are busy."""
DEDUPLICATION_WINDOW_FRACTION = 0.5
"""With an idempotency key the timer ends within this part of the deduplication window, so that the repeat
lies within it too."""


def record(times: AnswerTimes, fraction: float) -> None:
    """Take in an answer that took this fraction of its latency objective."""
    weight = max(SAMPLE_WEIGHT, 1 / (times.samples + 1))
    if times.samples:
        times.deviation += weight * (abs(fraction - times.mean) - times.deviation)
    times.mean = times.mean + weight * (fraction - times.mean)
    times.samples = times.samples + 1


def lost_after(times: AnswerTimes) -> float:
    """After what fraction of its objective an answer is taken for lost; infinite where answers vary much."""
    if times.samples < MIN_SAMPLES or times.deviation > MAX_DEVIATION:
        return math.inf
    return max(MIN_OBJECTIVE_FRACTION, times.mean + DEVIATIONS * times.deviation)


def timeout_us(state: RouterState, pending: PendingRequest, times: AnswerTimes, objective_us: float) -> int:
    """The time an attempt sent now is given: all that is left, or until its answer is taken for lost."""
    left_us = pending.answer_by_us - state.settings.tick_us - state.now_us
    if state.loss_rate <= MIN_LOSS_RATE or state.retry_budget < 1 or pending.was_interrupted:
        return left_us
    lost_us = objective_us * lost_after(times)
    retry_needs_us = state.service_times_us[pending.request.class_index]
    if lost_us < min(_repeat_window_us(pending, left_us), left_us - retry_needs_us):
        return int(lost_us)
    return left_us


def _repeat_window_us(pending: PendingRequest, left_us: int) -> float:
    """Within what time from now a repeat can be sent that the class permits."""
    match pending.request_class.idempotency:
        case Idempotency.IDEMPOTENT:
            return left_us
        case Idempotency.WITH_KEY:
            return pending.request_class.deduplication_us * DEDUPLICATION_WINDOW_FRACTION
    return 0


def have_others_answered(attempt: Attempt) -> bool:
    """Whether all that the attempt depends on have answered others since: then they are not silent."""
    return all(each.last_heard_us > attempt.sent_us for each in attempt.involved)


def record_answer(state: RouterState, attempt: Attempt, is_ok: bool, fraction: float) -> None:
    """Learn from an attempt that ended well or timed out, after this fraction of its objective."""
    if is_ok:
        state.retry_budget = min(MAX_RETRY_BUDGET, state.retry_budget + BUDGET_PER_ANSWER)
    else:
        state.retry_budget = state.retry_budget - 1
    is_lost = not is_ok and slowdown(attempt.endpoint) < MAX_LOSS_SLOWDOWN and have_others_answered(attempt)
    if not is_lost:  # an answer that never came says nothing of how long answers take
        record(attempt.answer_times, fraction)
    if is_ok or is_lost:
        state.loss_rate += LOSS_SAMPLE_WEIGHT * (is_lost - state.loss_rate)
