"""Starts, times out, cancels and settles attempts."""

from __future__ import annotations

import logging
from collections.abc import Callable
from functools import partial

from magpieshift.clock import Clock
from magpieshift.engine.attempt_checks import AttemptGuard
from magpieshift.engine.effective_settings import SettingsInForce
from magpieshift.engine.endpoint_table import EndpointTable
from magpieshift.engine.interfaces import EngineHooks, Upstream
from magpieshift.engine.model import AttemptResult, Response, UpstreamExchange, UpstreamRequest, Verdict
from magpieshift.engine.open_request import Attempt, CancelledAttempt, FirstExecution, OpenRequest
from magpieshift.engine.request_table import RequestTable
from magpieshift.log import fields
from magpieshift.policy.actions import SendCacheRequest
from magpieshift.policy.events import AttemptEnded, Event
from magpieshift.policy.outcomes import NEVER_RAN, Outcome
from magpieshift.policy.settings import Idempotency, RequestClass

log = logging.getLogger(__name__)


def tightest_bound_us(*bounds_us: int) -> int:
    """The smallest of several bounds in microseconds, of which 0 is none; 0 if there is none."""
    return min((bound_us for bound_us in bounds_us if bound_us), default=0)


class Attempts:
    """Owner of all attempts; a request has two in flight only where it may be hedged."""

    def __init__(
        self,
        clock: Clock,
        upstream: Upstream,
        requests: RequestTable,
        endpoints: EndpointTable,
        in_force: SettingsInForce,
        hooks: EngineHooks,
        post_event: Callable[[Event], None],
        max_copy_age_us: Callable[[int], int],
    ) -> None:
        """``max_copy_age_us`` returns the policy's current bound on the age of a copy for the request of this
        number, in microseconds (0: none)."""
        self._clock = clock
        self._upstream = upstream
        self._requests = requests
        self._endpoints = endpoints
        self._in_force = in_force
        self._hooks = hooks
        self._post_event = post_event
        self._max_copy_age_us = max_copy_age_us
        self._guard = AttemptGuard(clock, in_force, endpoints)

    def start(self, send: SendCacheRequest) -> None:
        """Start an attempt, or settle it at once if it may not be sent."""
        request = self._requests.by_number.get(send.request_id)
        now_us = self._clock.now_us()
        if request is None:
            log.error(
                "attempt blocked", extra=fields(request_number=send.request_id, reason="unknown request")
            )
            return None
        request_id = request.request.request_id
        if request.in_flight and not self._guard.may_hedge(request, send.endpoint):
            log.error(
                "attempt cancelled", extra=fields(request_id=request_id, reason="another attempt was started")
            )
            self.cancel_all(request)
        attempt = Attempt(
            request,
            request.attempts_started,
            send.endpoint,
            send.source,
            now_us,
            self._endpoints.get(send.endpoint),
        )
        request.attempts_started += 1
        request.in_flight.append(attempt)
        time_left_us = request.deadline_us - now_us
        timeout_us = min(send.timeout_us or time_left_us, time_left_us)
        max_attempts = self._in_force.settings.max_attempts
        if request.is_closed or timeout_us <= 0 or attempt.number >= max_attempts:
            return self._settle(attempt, AttemptResult(Outcome.SUPERSEDED))
        if (outcome := self._guard.check(attempt)) is not None:
            log.error("attempt blocked", extra=fields(request_id=request_id, reason=outcome.name.lower()))
            return self._settle(attempt, AttemptResult(outcome))
        attempt.timer = self._clock.after(timeout_us, lambda: self._cancel(attempt, Outcome.TIMEOUT))
        upstream_request = self._upstream_request(attempt, send, now_us + timeout_us)
        attempt.exchange = self._upstream.start(
            upstream_request, lambda result: self._settle(attempt, result)
        )
        return None

    def cancel(self, request_number: int, attempt_number: int) -> None:
        """Cancel one attempt of a request, if it is in flight."""
        request = self._requests.by_number.get(request_number)
        for attempt in list(request.in_flight) if request is not None else ():
            if attempt.number == attempt_number:
                self._cancel(attempt, Outcome.CANCELLED)

    def cancel_all(self, request: OpenRequest) -> None:
        """Cancel all attempts of a request."""
        for attempt in list(request.in_flight):
            self._cancel(attempt, Outcome.CANCELLED)

    def _upstream_request(
        self, attempt: Attempt, send: SendCacheRequest, deadline_us: int
    ) -> UpstreamRequest:
        request_class = attempt.request.request_class
        endpoint = self._endpoints.by_number[send.endpoint]
        source = self._endpoints.by_number[send.source] if send.source != send.endpoint else None
        is_parent = endpoint.endpoint.kind == self._in_force.settings.parent_kind
        max_age_us = self._limited_age_us(request_class, send.max_age_us)
        return UpstreamRequest(
            request=attempt.request.request,
            endpoint=endpoint,
            source=source,
            retention_rank=0 if is_parent else send.retention_rank,  # parents do not use retention ranks
            max_age_us=max_age_us,
            flags=send.flags,
            deadline_us=deadline_us,
            must_not_repeat=request_class.idempotency != Idempotency.IDEMPOTENT,
            check_blocked=partial(self._guard.check_before_write, attempt),
            current_max_age=partial(self._current_max_age_us, attempt, max_age_us),
            cancelled=self._cancelled_before(attempt),
        )

    def _cancelled_before(self, attempt: Attempt) -> UpstreamExchange | None:
        """The request's cancelled attempt, if its endpoint must have read the cancellation before this
        attempt is written."""
        cancelled = attempt.request.cancelled_attempt
        if cancelled is None:
            return None
        may_overlap = self._guard.may_overlap(
            attempt.request.request_class, cancelled.endpoint_number, attempt.endpoint_number
        )
        return None if may_overlap else cancelled.exchange

    def _limited_age_us(self, request_class: RequestClass, decided_us: int) -> int:
        """The maximum age to request of a cached copy, in microseconds; 0 leaves it to the class's own bound.

        ``decided_us`` is the policy's bound (0: the class's ``max_age_us``, if it has one). The limit on all
        reads at present, if there is one, applies as well.
        """
        limit = self._hooks.copy_age_limit
        limit_us = limit() if limit is not None and not request_class.is_write else 0
        if not limit_us:
            return decided_us
        return tightest_bound_us(limit_us, decided_us or request_class.max_age_us)

    def _current_max_age_us(self, attempt: Attempt, decided_us: int) -> int:
        """The same right before the write: purges received since the decision apply to the attempt.

        The origin is asked for no copy, so the policy's bound does not apply to it.
        """
        request = attempt.request
        origin_kind = self._in_force.settings.origin_kind
        if attempt.endpoint is None or attempt.endpoint.endpoint.kind != origin_kind:
            decided_us = tightest_bound_us(decided_us, self._max_copy_age_us(request.number))
        return self._limited_age_us(request.request_class, decided_us)

    def _cancel(self, attempt: Attempt, outcome: Outcome) -> None:
        """Cancel an attempt that is in flight, with ``CANCELLED`` or ``TIMEOUT`` as its outcome."""
        if attempt not in attempt.request.in_flight:
            return
        reached = attempt.exchange.cancel() if attempt.exchange is not None else False
        if reached and attempt.exchange is not None:
            attempt.request.cancelled_attempt = CancelledAttempt(attempt.exchange, attempt.endpoint_number)
        if outcome == Outcome.TIMEOUT and not reached:
            outcome = Outcome.CONNECT_FAILED  # no connection was established, so it was never executed
        self._settle(attempt, AttemptResult(outcome))

    def _settle(self, attempt: Attempt, result: AttemptResult) -> None:
        """End an attempt. Only this method releases its slot, timer and exchange."""
        request = attempt.request
        if attempt not in request.in_flight:
            return  # already settled: a late result
        request.in_flight.remove(attempt)
        if attempt.timer is not None:
            attempt.timer.cancel()
        attempt.exchange = None
        attempt.timer = None
        self._notify_observer(attempt, result.outcome)
        may_have_run = result.outcome not in NEVER_RAN
        if may_have_run and request.first_execution is None and attempt.endpoint is not None:
            request.first_execution = FirstExecution(attempt.started_us, attempt.endpoint)
        if result.outcome == Outcome.OK and not request.is_closed:
            self._requests.close(request, Response(Verdict.SERVED, result.body, result.not_modified))
        self._post_event(
            AttemptEnded(
                request.number,
                result.outcome,
                self._clock.now_us() - attempt.started_us,
                result.fill_wait_us,
                request.is_closed,
                result.cache_status,
                attempt.endpoint_number,
                attempt.number,
                result.load,
            )
        )

    def _notify_observer(self, attempt: Attempt, outcome: Outcome) -> None:
        if self._hooks.request_observer is None:
            return
        involved = (self._endpoints.get(attempt.endpoint_number), self._endpoints.get(attempt.source_number))
        origin_kind = self._in_force.settings.origin_kind
        origin = any(listed is not None and listed.endpoint.kind == origin_kind for listed in involved)
        filled = attempt.source_number != attempt.endpoint_number
        self._hooks.request_observer.attempt_ended(outcome, filled, origin)
