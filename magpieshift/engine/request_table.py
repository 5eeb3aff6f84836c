"""The open requests: their ids, bodies, deadlines and final answers."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from magpieshift.clock import Clock
from magpieshift.engine.guards import is_rejection_permitted
from magpieshift.engine.interfaces import EngineHooks, Reply
from magpieshift.engine.model import ClientRequest, Response, Verdict
from magpieshift.engine.open_request import OpenRequest
from magpieshift.engine.settings_in_force import SettingsInForce
from magpieshift.log import fields
from magpieshift.policy.events import ClientDisconnected, Event, RequestReceived

log = logging.getLogger(__name__)


def fallback_response(request: OpenRequest) -> Response:
    """The final answer where the policy gives none: a rejection, or a failure where it may have run."""
    return Response(Verdict.REJECTED if is_rejection_permitted(request) else Verdict.FAILED, retry_after_us=0)


class RequestTable:
    """Owner of all requests until their deadlines; each gets exactly one final answer."""

    def __init__(
        self,
        clock: Clock,
        in_force: SettingsInForce,
        hooks: EngineHooks,
        post_event: Callable[[Event], None],
        max_body_bytes: int,
    ) -> None:
        self.by_number: dict[int, OpenRequest] = {}
        self.received = 0
        """Requests since the start; the number of the newest."""
        self.open_requests = 0
        """Requests that have no final answer yet."""
        self.held_body_bytes = 0
        """Size of the bodies of open requests."""
        self.max_body_bytes = max_body_bytes
        """Limit of ``held_body_bytes``; what comes beyond it is rejected."""
        self.cancel_attempts: Callable[[OpenRequest], None] | None = None
        """Cancels what a request has in flight; set once, while the engine is built."""
        self._open_ids: set[str] = set()
        self._clock = clock
        self._in_force = in_force
        self._hooks = hooks
        self._post_event = post_event

    def add(self, request: ClientRequest, reply: Reply, before_write: Callable[[], None]) -> OpenRequest:
        """Enter a request and start its deadline. One that cannot be admitted gets its answer soon after."""
        is_duplicate = request.request_id in self._open_ids
        self.received += 1
        request_class = self._in_force.settings.classes[request.class_index]
        # Nobody waits longer than the class allows: an entry and its timer kept for an hour would be a leak.
        time_left_us = min(request.time_left_us, request_class.deadline_us)
        now_us = self._clock.now_us()
        entry = OpenRequest(
            number=self.received,
            request=request,
            request_class=request_class,
            reply=reply,
            received_us=now_us,
            deadline_us=now_us + time_left_us,
            before_write=before_write,
        )
        self.by_number[entry.number] = entry
        self.open_requests += 1
        self.held_body_bytes += len(request.body)
        self._clock.after(time_left_us, lambda: self._expire(entry))
        if is_duplicate:
            # Endpoints know a request by its id: to them this would be a second attempt of the open one.
            log.warning(
                "request failed", extra=fields(request_id=request.request_id, reason="duplicate request id")
            )
            self._answer_soon(entry, Response(Verdict.FAILED))
            return entry
        self._open_ids.add(request.request_id)
        entry.owns_request_id = True
        if self.held_body_bytes > self.max_body_bytes:  # memory is bounded, whatever clients write
            log.warning(
                "request rejected",
                extra=fields(
                    request_id=request.request_id,
                    reason="body memory exhausted",
                    held_bytes=self.held_body_bytes,
                ),
            )
            retry_after_us = self._in_force.settings.max_retry_after_us
            self._answer_soon(entry, Response(Verdict.REJECTED, retry_after_us=retry_after_us))
            return entry
        if self._hooks.policy_observer is not None:
            self._hooks.policy_observer.register_name(entry.number, request.request_id)
        entry.is_admitted = True
        return entry

    def release(self, number: int) -> None:
        """Pass a request to the policy for decision, if it is open."""
        entry = self.open_request(number)
        if entry is None:
            return
        request = entry.request
        self._post_event(
            RequestReceived(
                number,
                request.class_index,
                0,
                self._hooks.object_number(request.object_key),
                entry.deadline_us - self._clock.now_us(),
                request.size_kb,
                request.group,
                request.part,
                request.is_repeat,
                entry.request_class.is_write,
            )
        )

    def open_request(self, number: int) -> OpenRequest | None:
        """The request of this number, unless it is closed or unknown."""
        entry = self.by_number.get(number)
        return None if entry is None or entry.is_closed else entry

    def class_numbers_in_use(self) -> set[int]:
        """Numbers of the classes of all requests in the table."""
        return {entry.request.class_index for entry in self.by_number.values()}

    def cancel(self, number: int) -> None:
        """The client has disconnected."""
        entry = self.open_request(number)
        if entry is not None:
            self.close(entry, None)
            self._post_event(ClientDisconnected(number))

    def answer(self, number: int, response: Response) -> None:
        """Give a request its final answer, if it is open."""
        entry = self.open_request(number)
        if entry is not None:
            self.close(entry, response)

    def answer_undecided(self, entry: OpenRequest) -> None:
        """Give the fallback answer, and let the policy forget the request."""
        self.close(entry, fallback_response(entry))
        self._post_event(ClientDisconnected(entry.number))

    def answer_all(self) -> None:
        """Give the fallback answer to all open requests."""
        for entry in list(self.by_number.values()):
            if not entry.is_closed:
                self.close(entry, fallback_response(entry))

    def close(self, entry: OpenRequest, response: Response | None) -> None:
        """End an open request, with its final answer or (None) because its client disconnected.

        The one place where a request ends: its id, its body and its attempts are released here.
        """
        assert self.cancel_attempts is not None
        reply = entry.reply
        entry.reply = None
        self.open_requests -= 1
        if entry.owns_request_id:
            self._open_ids.discard(entry.request.request_id)
            entry.owns_request_id = False
        self.held_body_bytes -= len(entry.request.body)
        if self._hooks.request_observer is not None:
            verdict = response.verdict if response is not None else None
            duration_us = self._clock.now_us() - entry.received_us
            self._hooks.request_observer.request_ended(
                entry.request, entry.request_class, verdict, duration_us
            )
        self.cancel_attempts(entry)
        if entry.request.body:
            entry.request = replace(entry.request, body=b"")
        if response is not None and reply is not None:
            # The edge to the client: whatever fails there must not reach the endpoint that answered.
            try:
                reply(response)
            except Exception:
                log.exception("response lost", extra=fields(request_id=entry.request.request_id))

    def _answer_soon(self, entry: OpenRequest, response: Response) -> None:
        self._clock.soon(lambda: self.answer(entry.number, response))

    def _expire(self, entry: OpenRequest) -> None:
        """The deadline: an answer still owed is given now, and the request leaves the table."""
        if not entry.is_closed:
            log.warning(
                "deadline exceeded",
                extra=fields(request_id=entry.request.request_id, attempts=entry.attempts_started),
            )
            self.answer_undecided(entry)
        del self.by_number[entry.number]
