"""How a request that gets no answer from upstream ends: rejected, or failed.

A rejection promises the client that trying again does no harm, and says when. A failure promises nothing.
"""

from __future__ import annotations

import random

from magpieshift.policy.settings import DeduplicationScope, Idempotency, RequestClass

MAX_SPARE_FRACTION = 0.5
"""A retry is placed at random in this first part of the time in which it could still meet the objective.
Larger values spread retries more and miss the objective more often."""


def may_reject(request_class: RequestClass, may_have_run: bool) -> bool:
    """Whether a client's retry does no harm.

    ``may_have_run``: an attempt may have taken effect, or may still.
    """
    if not may_have_run or request_class.idempotency == Idempotency.IDEMPOTENT:
        return True
    with_key = request_class.idempotency == Idempotency.WITH_KEY
    return with_key and request_class.deduplication_scope == DeduplicationScope.ALL


def retry_after_us(spare_us: float, max_retry_after_us: int, generator: random.Random) -> int:
    """When a rejected client should come back, in microseconds.

    ``spare_us`` is the time in which a retry could still begin and meet the objective: the retry is placed
    at random within it. Without any, the client stays away for as long as it may be told to.
    """
    if spare_us > 0:
        return int(spare_us * generator.random() * MAX_SPARE_FRACTION)
    return int(max_retry_after_us)
