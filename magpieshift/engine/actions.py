"""Executes the policy's actions on requests, attempts and endpoints."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable

from magpieshift.clock import Clock
from magpieshift.engine.attempt_checks import is_rejection_permitted
from magpieshift.engine.attempts import Attempts
from magpieshift.engine.endpoint_table import EndpointTable
from magpieshift.engine.interfaces import Upstream
from magpieshift.engine.model import AttemptResult, Response, Verdict
from magpieshift.engine.request_table import RequestTable
from magpieshift.log import fields
from magpieshift.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpointList,
    RejectRequest,
    SendCacheRequest,
    SendPlainRequest,
    SetTimer,
    StartHealthCheck,
    WriteLog,
)
from magpieshift.policy.events import Event, HealthCheckEnded, RequestReceived, TimerFired
from magpieshift.policy.outcomes import Outcome

log = logging.getLogger(__name__)


class PolicyActions:
    """Executes the policy's actions (implements ``policy_calls.ActionExecutor``)."""

    def __init__(
        self,
        clock: Clock,
        upstream: Upstream,
        requests: RequestTable,
        attempts: Attempts,
        endpoints: EndpointTable,
        post_event: Callable[[Event], None],
    ) -> None:
        self._clock = clock
        self._upstream = upstream
        self._requests = requests
        self._attempts = attempts
        self._endpoints = endpoints
        self._post_event = post_event

    def execute(self, action: Action) -> None:
        """Execute one action."""
        match action:
            case SendCacheRequest():
                self._attempts.start(action)
            case SendPlainRequest(request_id=number, endpoint=endpoint, timeout_us=timeout_us):
                self._attempts.start(SendCacheRequest(number, endpoint, timeout_us, endpoint, 0, 0, 0))
            case RejectRequest():
                self._reject(action)
            case FailRequest():
                self._requests.answer(action.request_id, Response(Verdict.FAILED))
            case CancelAttempt():
                self._attempts.cancel(action.request_id, action.attempt)
            case SetTimer(delay_us=delay_us, token=token):
                self._clock.after(delay_us, lambda: self._post_event(TimerFired(token)))
            case StartHealthCheck():
                self._start_health_check(action.endpoint)
            case CloseIdleConnections():
                self._close_idle(action.endpoint)
            case FetchEndpointList():
                self._endpoints.resend_list()
            case WriteLog():
                log.info("policy message", extra=fields(text=action.text))
            case _:  # The endpoint list is always subscribed to; the policy cannot message other routers.
                log.debug("action ignored", extra=fields(action=type(action).__name__))

    def is_withdrawn(self, event: Event) -> bool:
        """Whether an event is a request that was closed before the policy saw it."""
        return isinstance(event, RequestReceived) and self._requests.open_request(event.request_id) is None

    def answer_undecided(self, items: Iterable[Event | Action]) -> None:
        """Answer the requests whose events the policy failed on, or whose actions failed, unless in flight.

        Without an attempt in flight, nothing else would answer them before their deadlines.
        """
        for item in items:
            request = self._requests.open_request(getattr(item, "request_id", 0))
            if request is not None and not request.in_flight:
                self._requests.answer_undecided(request)

    def _reject(self, action: RejectRequest) -> None:
        request = self._requests.open_request(action.request_id)
        if request is None:
            return
        if is_rejection_permitted(request):
            response = Response(Verdict.REJECTED, retry_after_us=action.retry_after_us)
        else:
            log.error(
                "rejection replaced by failure",
                extra=fields(request_id=request.request.request_id, reason="a retry could repeat its effect"),
            )
            response = Response(Verdict.FAILED)
        self._requests.close(request, response)

    def _start_health_check(self, number: int) -> None:
        start_us = self._clock.now_us()

        def done(result: AttemptResult) -> None:
            duration_us = self._clock.now_us() - start_us
            self._post_event(HealthCheckEnded(number, result.outcome, duration_us, result.load))

        if (listed := self._endpoints.get(number)) is None:
            done(AttemptResult(Outcome.CONNECT_FAILED))
        else:
            self._upstream.probe(listed, done)

    def _close_idle(self, number: int) -> None:
        if (listed := self._endpoints.get(number)) is not None:
            self._upstream.close_idle(listed)
