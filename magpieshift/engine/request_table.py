"""The table of requests: their ids, bodies, deadlines and final answers."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import replace

from magpieshift.clock import Clock
from magpieshift.engine.attempt_checks import is_rejection_permitted
from magpieshift.engine.effective_settings import SettingsInForce
from magpieshift.engine.executed_requests import ExecutedRequests
from magpieshift.engine.interfaces import EngineHooks, Reply
from magpieshift.engine.model import ClientRequest, Response, Verdict
from magpieshift.engine.open_request import OpenRequest
from magpieshift.log import fields
from magpieshift.memory_use import REQUEST_BYTES, MemoryUse
from magpieshift.policy.events import ClientDisconnected, Event, RequestReceived
from magpieshift.policy.settings import Idempotency

log = logging.getLogger(__name__)


def fallback_response(request: OpenRequest) -> Response:
    """The final answer if the policy gives none: a rejection, or a failure if a retry could repeat an
    effect."""
    return Response(Verdict.REJECTED if is_rejection_permitted(request) else Verdict.FAILED, retry_after_us=0)


class RequestTable:
    """Owner of all requests; each gets exactly one final answer by its deadline, unless its client
    disconnects.

    A request that is closed stays in the table for two iterations of the event loop: the policy learns of its
    end in the next batch, and may name it in the actions of that batch still.
    """

    def __init__(
        self,
        clock: Clock,
        in_force: SettingsInForce,
        hooks: EngineHooks,
        post_event: Callable[[Event], None],
        max_body_bytes: int,
        memory: MemoryUse,
    ) -> None:
        self.by_number: dict[int, OpenRequest] = {}
        self.received = 0
        """Number of requests since the start, which is also the number of the newest request."""
        self.open_requests = 0
        """Number of requests without a final answer."""
        self.held_body_bytes = 0
        """Total size of the bodies of open requests, in bytes."""
        self.max_body_bytes = max_body_bytes
        """Limit of ``held_body_bytes``; a request that would exceed it is rejected."""
        self.cancel_attempts: Callable[[OpenRequest], None] | None = None
        """Cancels all attempts of a request; set once, while the engine is built."""
        self._open_ids: set[str] = set()
        self._executed = ExecutedRequests()
        """Requests that have ended, may have run, and must not run again."""
        self._closed: list[int] = []
        """Numbers of the requests closed since the last iteration of the event loop began."""
        self._leaving: list[int] = []
        """Numbers of those closed in the iteration before, which the policy can no longer name."""
        self._removal_scheduled = False
        self._memory = memory
        self._clock = clock
        self._in_force = in_force
        self._hooks = hooks
        self._post_event = post_event

    def add(self, request: ClientRequest, reply: Reply, before_write: Callable[[], None]) -> OpenRequest:
        """Add a request and start its deadline timer.

        A request that cannot be admitted is answered in the next event loop iteration.
        """
        duplicate_reason = self._duplicate_reason(request)
        self.received += 1
        request_class = self._in_force.settings.classes[request.class_index]
        # The class's deadline bounds the wait: a client that asks for an hour must not hold an entry and a
        # timer for that long.
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
        self._memory.request_bytes += REQUEST_BYTES + len(request.body)
        entry.deadline_timer = self._clock.after(time_left_us, lambda: self._expire(entry))
        if duplicate_reason:
            log.warning(
                "request failed", extra=fields(request_id=request.request_id, reason=duplicate_reason)
            )
            self._answer_soon(entry, Response(Verdict.FAILED))
            return entry
        self._open_ids.add(request.request_id)
        entry.owns_request_id = True
        if self.held_body_bytes > self.max_body_bytes:  # bounds the memory used by writes
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
        if self._hooks.shared_ids is not None and request_class.idempotency == Idempotency.NOT_IDEMPOTENT:
            self._hooks.shared_ids.announce(request.request_id)
        return entry

    def _duplicate_reason(self, request: ClientRequest) -> str:
        """Why a request must not be admitted under its id; empty if it may be.

        Endpoints identify a request by its id, and would take this one for another attempt of the open one. A
        request that may have run and must not run again is protected after its end, too.
        """
        if request.request_id in self._open_ids:
            return "duplicate request id"
        request_class = self._in_force.settings.classes[request.class_index]
        if request_class.idempotency != Idempotency.NOT_IDEMPOTENT:
            return ""
        shared_ids = self._hooks.shared_ids
        if self._executed.may_have_run(request.request_id, self._clock.now_us()):
            return "id of a request that may have run"
        if shared_ids is not None and shared_ids.is_taken(request.request_id):
            return "id of a request that another process has taken"
        return ""

    def protected_ids(self) -> list[str]:
        """Ids of the requests, open or ended, that must not run again."""
        open_ids = [
            entry.request.request_id
            for entry in self.by_number.values()
            if not entry.is_closed and entry.request_class.idempotency == Idempotency.NOT_IDEMPOTENT
        ]
        return [*self._executed.ids(), *open_ids]

    def _remember_executed(self, entry: OpenRequest) -> None:
        """Remember a closed request, if it may have run and must not run again."""
        may_have_run = entry.first_execution is not None or entry.cancelled_attempt is not None
        if may_have_run and entry.request_class.idempotency == Idempotency.NOT_IDEMPOTENT:
            self._executed.add(entry.request.request_id, self._clock.now_us())

    def release(self, number: int) -> None:
        """Pass a request to the policy, if it is open."""
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
        """Numbers of the classes of all requests in the table, which are the open ones and those that the
        policy may still name."""
        return {entry.request.class_index for entry in self.by_number.values()}

    def cancel(self, number: int) -> None:
        """Close a request whose client has disconnected, and inform the policy."""
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
        """Give the fallback answer, and have the policy discard the request as if its client had
        disconnected."""
        self.close(entry, fallback_response(entry))
        self._post_event(ClientDisconnected(entry.number))

    def answer_all(self) -> None:
        """Give the fallback answer to all open requests."""
        for entry in list(self.by_number.values()):
            if not entry.is_closed:
                self.close(entry, fallback_response(entry))

    def close(self, entry: OpenRequest, response: Response | None) -> None:
        """End an open request with its final answer, or with None if its client disconnected.

        Only this method ends a request and releases its id, body and attempts.
        """
        assert self.cancel_attempts is not None
        reply = entry.reply
        entry.reply = None
        self._remove_later(entry)
        self.open_requests -= 1
        if entry.owns_request_id:
            self._open_ids.discard(entry.request.request_id)
            entry.owns_request_id = False
        self.held_body_bytes -= len(entry.request.body)
        self._memory.request_bytes -= len(entry.request.body)
        if self._hooks.request_observer is not None:
            verdict = response.verdict if response is not None else None
            duration_us = self._clock.now_us() - entry.received_us
            self._hooks.request_observer.request_ended(
                entry.request, entry.request_class, verdict, duration_us
            )
        self.cancel_attempts(entry)
        self._remember_executed(entry)
        if entry.request.body:
            entry.request = replace(entry.request, body=b"")
        if response is not None and reply is not None:
            # An error while answering the client must not propagate into the connection of the endpoint.
            try:
                reply(response)
            except Exception:
                log.exception("response not delivered", extra=fields(request_id=entry.request.request_id))

    def _answer_soon(self, entry: OpenRequest, response: Response) -> None:
        self._clock.soon(lambda: self.answer(entry.number, response))

    def _expire(self, entry: OpenRequest) -> None:
        """At the deadline, answer the request, which is still open."""
        log.warning(
            "deadline exceeded",
            extra=fields(request_id=entry.request.request_id, attempts=entry.attempts_started),
        )
        self.answer_undecided(entry)

    def _remove_later(self, entry: OpenRequest) -> None:
        """Cancel a closed request's timer, and remove it once the policy can no longer name it."""
        if entry.deadline_timer is not None:
            entry.deadline_timer.cancel()
            entry.deadline_timer = None
        self._closed.append(entry.number)
        if not self._removal_scheduled:
            self._removal_scheduled = True
            self._clock.soon(self._remove_leaving)

    def _remove_leaving(self) -> None:
        for number in self._leaving:
            del self.by_number[number]
        self._memory.request_bytes -= REQUEST_BYTES * len(self._leaving)
        self._leaving = self._closed
        self._closed = []
        self._removal_scheduled = bool(self._leaving)
        if self._removal_scheduled:
            self._clock.soon(self._remove_leaving)
