"""Calculates the time after which an answer is taken for lost, so that the request can be retried in time.

The timeout follows RFC 6298: the running mean of answer times plus a multiple of their mean deviation. It
applies only if answers do get lost, if the request class permits a repeat, and within a budget that
successful answers refill.
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
"""Answers needed before a timeout is derived from their mean: the number that ``SAMPLE_WEIGHT`` averages
over."""
DEVIATIONS = 4
"""Multiple of the mean deviation that is added to the mean: K in RFC 6298."""
MIN_OBJECTIVE_FRACTION = 0.6
"""Minimum timeout as a fraction of the latency objective. A smaller one retries requests whose answers would
still arrive."""
MAX_DEVIATION = 0.1
"""Maximum mean deviation as a fraction of the latency objective; above it there is no timeout. A larger one
takes queueing delay for loss."""
BUDGET_PER_ANSWER = 0.1
"""Added to the retry budget by each successful answer, so that retries add at most a tenth to the load, as in
gRPC's retry throttling."""
MIN_LOSS_RATE = 0.005
"""Loss rate above which late answers are taken for lost. A smaller one retries although nothing is lost."""
LOSS_SAMPLE_WEIGHT = 0.01
"""Weight of a new sample in the loss rate: about 100 answers are needed to estimate a rate this small."""
MAX_LOSS_SLOWDOWN = 0.2
"""Slowdown of a cache, in multiples of the service time, from which a missing answer is taken for late
instead of lost. A larger one retries requests at busy caches."""
DEDUPLICATION_WINDOW_FRACTION = 0.5
"""With an idempotency key the timeout must be shorter than this fraction of the deduplication window, so that
the repeat is within the window too."""


def record_answer_time(times: AnswerTimes, fraction: float) -> None:
    """Add an answer time, given as a fraction of the answer's latency objective."""
    weight = max(SAMPLE_WEIGHT, 1 / (times.samples + 1))
    if times.samples:
        times.deviation += weight * (abs(fraction - times.mean) - times.deviation)
    times.mean = times.mean + weight * (fraction - times.mean)
    times.samples = times.samples + 1


def loss_timeout_fraction(times: AnswerTimes) -> float:
    """Fraction of its objective after which an answer is taken for lost; infinite with too few answers, or if
    they vary too much."""
    if times.samples < MIN_SAMPLES or times.deviation > MAX_DEVIATION:
        return math.inf
    return max(MIN_OBJECTIVE_FRACTION, times.mean + DEVIATIONS * times.deviation)


def timeout_us(state: RouterState, pending: PendingRequest, times: AnswerTimes, objective_us: float) -> int:
    """Timeout of an attempt sent now: until its answer is taken for lost, or else all the time that is
    left."""
    left_us = pending.answer_by_us - state.settings.tick_us - state.now_us
    if state.loss_rate <= MIN_LOSS_RATE or state.retry_budget < 1 or pending.was_interrupted:
        return left_us
    loss_timeout_us = objective_us * loss_timeout_fraction(times)
    retry_time_us = state.service_times_us[pending.request.class_index]
    if loss_timeout_us < min(_repeat_window_us(pending, left_us), left_us - retry_time_us):
        return int(loss_timeout_us)
    return left_us


def _repeat_window_us(pending: PendingRequest, left_us: int) -> float:
    """Time from now within which the request class permits a repeat."""
    match pending.request_class.idempotency:
        case Idempotency.IDEMPOTENT:
            return left_us
        case Idempotency.WITH_KEY:
            return pending.request_class.deduplication_us * DEDUPLICATION_WINDOW_FRACTION
    return 0


def have_all_answered_since(attempt: Attempt) -> bool:
    """Whether all endpoints that the attempt depends on have answered other attempts since it was sent."""
    return all(each.last_heard_us > attempt.sent_us for each in attempt.involved)


def record_answer(state: RouterState, attempt: Attempt, is_ok: bool, fraction: float) -> None:
    """Update the retry budget, answer times and loss rate after an attempt that succeeded or timed out;
    ``fraction`` is its latency divided by its objective."""
    if is_ok:
        state.retry_budget = min(MAX_RETRY_BUDGET, state.retry_budget + BUDGET_PER_ANSWER)
    else:
        state.retry_budget = state.retry_budget - 1
    is_lost = (
        not is_ok and slowdown(attempt.endpoint) < MAX_LOSS_SLOWDOWN and have_all_answered_since(attempt)
    )
    if not is_lost:  # a lost answer is no sample of answer times
        record_answer_time(attempt.answer_times, fraction)
    if is_ok or is_lost:
        state.loss_rate += LOSS_SAMPLE_WEIGHT * (is_lost - state.loss_rate)
