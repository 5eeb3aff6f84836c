"""Whether a request may have a further attempt.

What may have run already is repeated only if its class says that a repeat does no harm: always for an
idempotent request, and for one with an idempotency key at the endpoints that discard repeats together
(deduplication scope) as long as they remember the first (deduplication window). The engine asks the same
rules again right before it sends.
"""

from __future__ import annotations

from magpieshift.policy.events import Endpoint
from magpieshift.policy.settings import DeduplicationScope, Idempotency, RequestClass


def is_repeat_permitted(
    request_class: RequestClass, first_sent_us: int | None, now_us: int, tick_us: int
) -> bool:
    """Whether the class permits an execution at ``now_us``.

    ``first_sent_us`` is when the first attempt that may have run was sent; None if none may have. One tick is
    left for the attempt to arrive within the deduplication window.
    """
    if first_sent_us is None or request_class.idempotency == Idempotency.IDEMPOTENT:
        return True
    if request_class.idempotency != Idempotency.WITH_KEY:
        return False
    return now_us + tick_us < first_sent_us + request_class.deduplication_us


def is_within_scope(request_class: RequestClass, first: Endpoint, candidate: Endpoint) -> bool:
    """Whether ``candidate`` discards a repeat of what may have run at ``first``, or need not."""
    if request_class.idempotency == Idempotency.IDEMPOTENT:
        return True
    match request_class.deduplication_scope:
        case DeduplicationScope.ZONE:
            return candidate.zone == first.zone
        case DeduplicationScope.CELL:
            return candidate.cell == first.cell
    return True


def is_exhausted(
    attempts_started: int, max_attempts: int, now_us: int, needed_us: float, answer_by_us: int
) -> bool:
    """Whether no attempt is left, or ``needed_us`` no longer fits before the final answer is due."""
    return attempts_started >= max_attempts or now_us + needed_us >= answer_by_us
