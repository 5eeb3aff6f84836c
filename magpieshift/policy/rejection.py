"""Decides whether a request without an answer from upstream is rejected or failed.

A rejection tells the client that a retry does no harm, and when to retry. A failure tells neither.
"""

from __future__ import annotations

import random

from magpieshift.policy.settings import DeduplicationScope, Idempotency, RequestClass

MAX_RETRY_WINDOW_FRACTION = 0.5
"""A retry is placed at random within this first fraction of the time in which it could still meet the
objective. A larger fraction spreads retries more, but more of them miss the objective."""


def may_reject(request_class: RequestClass, may_have_run: bool) -> bool:
    """Whether a retry by the client does no harm.

    ``may_have_run``: whether an attempt may have taken effect, or may still do so.
    """
    if not may_have_run or request_class.idempotency == Idempotency.IDEMPOTENT:
        return True
    with_key = request_class.idempotency == Idempotency.WITH_KEY
    return with_key and request_class.deduplication_scope == DeduplicationScope.ALL


def retry_after_us(retry_window_us: float, max_retry_after_us: int, generator: random.Random) -> int:
    """Retry-After of a rejection, in microseconds.

    ``retry_window_us`` is the time from now within which a retry could start and still meet the objective:
    the retry is placed at random in its first part. If it is not positive, the maximum Retry-After is
    returned.
    """
    if retry_window_us > 0:
        return int(retry_window_us * generator.random() * MAX_RETRY_WINDOW_FRACTION)
    return int(max_retry_after_us)
