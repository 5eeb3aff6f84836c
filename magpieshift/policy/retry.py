"""Decides whether a request may have a further attempt.

A request that may have run already is repeated only if its class says that a repeat does no harm: always if
it is idempotent; with an idempotency key, only at the endpoints that discard each other's repeats
(deduplication scope) and only while they remember the first attempt (deduplication window). The engine checks
the same rules again right before it sends.
"""

from __future__ import annotations

from magpieshift.policy.events import Endpoint
from magpieshift.policy.settings import DeduplicationScope, Idempotency, RequestClass


def is_repeat_permitted(
    request_class: RequestClass, first_sent_us: int | None, now_us: int, tick_us: int
) -> bool:
    """Whether the class permits another attempt at ``now_us``.

    ``first_sent_us`` is when the first attempt that may have run was sent; None if no attempt can have run.
    One tick is reserved so that the attempt arrives within the deduplication window.
    """
    if first_sent_us is None or request_class.idempotency == Idempotency.IDEMPOTENT:
        return True
    if request_class.idempotency != Idempotency.WITH_KEY:
        return False
    return now_us + tick_us < first_sent_us + request_class.deduplication_us


def is_within_scope(request_class: RequestClass, first: Endpoint, candidate: Endpoint) -> bool:
    """Whether ``candidate`` discards a repeat of a request that may have run at ``first``; always true if the
    class is idempotent, where no repeat has to be discarded."""
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
    """Whether the attempts are used up, or at most ``needed_us`` is left until ``answer_by_us``."""
    return attempts_started >= max_attempts or now_us + needed_us >= answer_by_us
