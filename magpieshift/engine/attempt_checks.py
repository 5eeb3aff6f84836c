"""Safety checks on attempts and rejections, applied independently of the policy's decisions.

The rules are those of ``policy.retry`` and ``policy.rejection``, applied here to the engine's own record of
the attempts sent.
"""

from __future__ import annotations

from magpieshift.clock import Clock
from magpieshift.engine.effective_settings import SettingsInForce
from magpieshift.engine.endpoint_table import EndpointTable
from magpieshift.engine.open_request import Attempt, OpenRequest
from magpieshift.policy.events import EndpointState
from magpieshift.policy.outcomes import Outcome
from magpieshift.policy.rejection import may_reject
from magpieshift.policy.retry import is_repeat_permitted, is_within_scope
from magpieshift.policy.settings import Idempotency, RequestClass


def is_rejection_permitted(request: OpenRequest) -> bool:
    """Whether the request may be rejected: a rejection promises the client that a retry is safe."""
    may_have_run = request.first_execution is not None or bool(request.in_flight)
    return may_reject(request.request_class, may_have_run)


class AttemptGuard:
    """Checks each attempt when it is started and again right before it is written."""

    def __init__(self, clock: Clock, in_force: SettingsInForce, endpoints: EndpointTable) -> None:
        self._clock = clock
        self._in_force = in_force
        self._endpoints = endpoints

    def may_hedge(self, request: OpenRequest, endpoint_number: int) -> bool:
        """Whether a second attempt may run concurrently with the one in flight."""
        return len(request.in_flight) == 1 and self.may_overlap(
            request.request_class, request.in_flight[0].endpoint_number, endpoint_number
        )

    def may_overlap(self, request_class: RequestClass, first_number: int, second_number: int) -> bool:
        """Whether two attempts of one request may be in flight at these endpoints.

        The settings must allow hedged requests, the class must be idempotent, and the endpoints must differ,
        because an endpoint identifies a request by its id.
        """
        return (
            self._in_force.settings.hedged_requests
            and request_class.idempotency == Idempotency.IDEMPOTENT
            and first_number != second_number
        )

    def check_before_write(self, attempt: Attempt) -> Outcome | None:
        """Repeat ``check`` right before the write.

        While the attempt waited for its connection, its endpoint or source may have begun to drain, its
        client may have disconnected (unread so far by a busy event loop), or the deduplication window may
        have passed.
        """
        attempt.request.before_write()
        return self.check(attempt)

    def check(self, attempt: Attempt) -> Outcome | None:
        """The outcome of an unwritten attempt that may not be sent, or None if it may be."""
        request = attempt.request
        for number in (attempt.endpoint_number, attempt.source_number):
            listed = self._endpoints.get(number)
            if listed is None or listed.endpoint.state != EndpointState.READY:
                return Outcome.CONNECT_FAILED
        if request.is_closed or self._clock.now_us() >= request.deadline_us:
            return Outcome.SUPERSEDED
        return None if self._is_repeat_permitted(request, attempt.endpoint_number) else Outcome.SUPERSEDED

    def _is_repeat_permitted(self, request: OpenRequest, endpoint_number: int) -> bool:
        """Whether the endpoint may be sent this request, given that it may have been executed already."""
        if request.first_execution is None:
            return True
        first_sent_us, first = request.first_execution
        candidate = self._endpoints.by_number[endpoint_number]
        tick_us = self._in_force.settings.tick_us
        request_class = request.request_class
        return is_repeat_permitted(
            request_class, first_sent_us, self._clock.now_us(), tick_us
        ) and is_within_scope(request_class, first.endpoint, candidate.endpoint)
