"""What may not be sent or answered, checked whatever the policy decides.

The rules themselves are those of ``policy.retry`` and ``policy.rejection``; the guards apply them to the
engine's own record of what has been sent.
"""

from __future__ import annotations

from magpieshift.clock import Clock
from magpieshift.engine.endpoint_table import EndpointTable
from magpieshift.engine.open_request import Attempt, OpenRequest
from magpieshift.engine.settings_in_force import SettingsInForce
from magpieshift.policy.events import EndpointState
from magpieshift.policy.outcomes import Outcome
from magpieshift.policy.settings import DeduplicationScope, Idempotency


def may_reject(request: OpenRequest) -> bool:
    """Whether a rejection is true, which promises that trying again does no harm."""
    request_class = request.request_class
    dropped_by_all = (
        request_class.idempotency == Idempotency.WITH_KEY
        and request_class.deduplication_scope == DeduplicationScope.ALL
    )
    never_ran = request.first_execution is None and not request.in_flight
    return request_class.idempotency == Idempotency.IDEMPOTENT or dropped_by_all or never_ran


class AttemptGuard:
    """Checks each attempt when it is started, and again right before it is written."""

    def __init__(self, clock: Clock, in_force: SettingsInForce, endpoints: EndpointTable) -> None:
        self._clock = clock
        self._in_force = in_force
        self._endpoints = endpoints

    def may_hedge(self, request: OpenRequest, endpoint_number: int) -> bool:
        """Whether a second attempt may run beside the one in flight.

        The settings must allow it, running twice must do no harm, and it must go to another endpoint, for an
        endpoint knows a request by its id.
        """
        return (
            self._in_force.settings.hedged_requests
            and request.request_class.idempotency == Idempotency.IDEMPOTENT
            and len(request.in_flight) == 1
            and request.in_flight[0].endpoint_number != endpoint_number
        )

    def check_before_write(self, attempt: Attempt) -> Outcome | None:
        """``check`` at the moment of the write.

        While the attempt waited for its connection, its endpoint or source may have begun to drain, its
        client may have disconnected without the busy loop having read so, or the deduplication window have
        passed.
        """
        attempt.request.before_write()
        return self.check(attempt)

    def check(self, attempt: Attempt) -> Outcome | None:
        """How an attempt that is not written yet must end, or None if it may be sent."""
        request = attempt.request
        for number in (attempt.endpoint_number, attempt.source_number):
            listed = self._endpoints.get(number)
            if listed is None or listed.endpoint.state != EndpointState.READY:
                return Outcome.CONNECT_FAILED
        if request.is_closed or self._clock.now_us() >= request.deadline_us:
            return Outcome.SUPERSEDED
        return None if self._may_run_at(request, attempt.endpoint_number) else Outcome.SUPERSEDED

    def _may_run_at(self, request: OpenRequest, endpoint_number: int) -> bool:
        """Whether the endpoint may get a request now that may have run already."""
        request_class = request.request_class
        if request.first_execution is None or request_class.idempotency == Idempotency.IDEMPOTENT:
            return True
        if request_class.idempotency != Idempotency.WITH_KEY:
            return False
        window_end_us = request.first_execution.started_us + request_class.deduplication_us
        if self._clock.now_us() + self._in_force.settings.tick_us >= window_end_us:
            return False
        first = request.first_execution.endpoint.endpoint
        again = self._endpoints.by_number[endpoint_number].endpoint
        if request_class.deduplication_scope == DeduplicationScope.ZONE:
            return first.zone == again.zone
        if request_class.deduplication_scope == DeduplicationScope.CELL:
            return first.cell == again.cell
        return True
