"""One client's connection: its socket, its session, and the requests that it has open in the engine."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from tornado.iostream import StreamClosedError

from magpieshift.downstream.errors import FrameError
from magpieshift.downstream.events import (
    ClientRequestCancelled,
    ClientRequestReceived,
    InvalidRequestReceived,
    ReadinessRequested,
    SessionEvent,
)
from magpieshift.downstream.frames import MAX_LENGTH_BYTES
from magpieshift.downstream.host import ConnectionHost
from magpieshift.downstream.messages import Chunks, write_error, write_readiness
from magpieshift.downstream.session import MAX_OPEN_STREAMS, Session
from magpieshift.engine.model import ClientRequest, Response, Verdict
from magpieshift.log import fields
from magpieshift.sockets import READ_CHUNK_BYTES, LingeringStream

log = logging.getLogger(__name__)

MAX_READS_IN_A_ROW = 8
"""Reads of one connection before others have their turn, so that a flood costs its own connection alone.
Larger lets a flood delay others, smaller costs turns of the event loop."""
HIGH_WATER_BYTES = 1 << 20
"""Unsent bytes of one connection above which its new requests are paused; four of the largest responses."""
MAX_UNSENT_BYTES = HIGH_WATER_BYTES + MAX_OPEN_STREAMS * MAX_LENGTH_BYTES
"""Unsent bytes at which a connection is closed: a client that keeps to the protocol is never owed more."""


class Connection:
    """One client: owner of its socket, of its session and of the bytes held for it."""

    def __init__(
        self, host: ConnectionHost, stream: LingeringStream, on_closed: Callable[[Connection], None]
    ) -> None:
        """``on_closed`` is called once with this connection, after its requests were cancelled."""
        self._host = host
        self._stream = stream
        self._on_closed = on_closed
        self._session = Session(host.class_numbers)
        self._request_numbers: dict[int, int] = {}
        """The engine's number of each open request, by stream id."""
        self._paused: dict[int, None] = {}
        """The streams whose requests wait until the client takes its responses, oldest first."""
        self._unsent_bytes = 0
        """Written, and not taken by the system yet."""
        self._read: asyncio.Future[bytes] | None = None
        """The read that is pending, or was taken last."""
        self._is_closed = False
        self._is_closing = False
        """An error was written: what still comes is dropped, and the connection is closed once nothing is
        open."""
        self._has_logged_invalid = False
        """Whether an invalid request was logged: once a connection, or one client fills the log."""
        self.held_bytes = 0
        """Memory held for this client, as the host has counted it."""
        self._frame_due_since_us: int | None = host.clock.now_us()
        """Since when the client owes a complete frame; None if it owes none."""
        self.last_received_us = host.clock.now_us()
        """When bytes last came."""
        self._last_progress_us = host.clock.now_us()
        """When the client last took bytes, or was first owed some."""

    @property
    def is_busy(self) -> bool:
        """Whether a request is open or bytes are unsent."""
        return bool(self._request_numbers) or self._unsent_bytes > 0

    @property
    def is_idle(self) -> bool:
        """Whether nothing is owed on it: nothing open or unsent, and nothing come that was not read yet. A
        request may have come just now, and one that came before the close has a right to its response."""
        has_read = self._read is not None and self._read.done()
        return not (self.is_busy or has_read or self._stream.has_unread)

    @property
    def has_unsent(self) -> bool:
        """Whether the client has yet to take bytes."""
        return self._unsent_bytes > 0

    @property
    def eviction_rank(self) -> tuple[bool, int]:
        """The lowest is closed first where room is needed: clients that never sent a frame, then those silent
        for longest."""
        return self._session.frames_received > 0, self.last_received_us

    def is_frame_overdue(self, since_us: int) -> bool:
        """Whether it has owed a complete frame since then: some clients send nothing, or never complete
        one."""
        return self._frame_due_since_us is not None and self._frame_due_since_us < since_us

    def is_stalled(self, since_us: int) -> bool:
        """Whether it has taken nothing of its responses since then."""
        return self._unsent_bytes > 0 and self._last_progress_us < since_us

    def can_close_after_go_away(self, quiet_since_us: int) -> bool:
        """Whether a client that was asked to send no more holds its connection for nothing. A client that
        only asks for readiness may go on asking."""
        if self.is_busy or not self._session.go_away_sent:
            return False
        rejects_requests = self._host.lifecycle.rejects_requests
        cuts_incomplete = self._host.lifecycle.cuts_incomplete_requests
        asks_readiness_only = self._session.requests_received == 0
        is_quiet = self.last_received_us < quiet_since_us
        if self._session.partial_frame_bytes:
            return cuts_incomplete
        return is_quiet or (rejects_requests and not asks_readiness_only)

    async def serve(self) -> None:
        """Read until the client closes or is disconnected; then cancel what it has open. It is always read
        from, also when it takes nothing: its cancels and its close must be seen."""
        reads_in_a_row = 0
        try:
            while True:
                self._read = asyncio.ensure_future(self._stream.read_bytes(READ_CHUNK_BYTES, partial=True))
                reads_in_a_row = reads_in_a_row + 1 if self._read.done() else 0
                data = await self._read
                if not self._is_closing:
                    self._receive(data)
                if reads_in_a_row >= MAX_READS_IN_A_ROW:
                    reads_in_a_row = 0
                    await asyncio.sleep(0)
        except StreamClosedError:
            pass
        except Exception:  # a fault of ours costs this connection, not the task that gives it back
            log.exception("exception closed the connection")
        finally:
            self._end()

    def close(self) -> None:
        """Disconnect this client; ``serve`` ends with it."""
        self._end()

    def close_with_error(self, reason: str) -> None:
        """Send an error, answer what was taken before it, and close. From here on what comes is dropped."""
        if not self._is_closing:
            self._is_closing = True
            self._write(write_error(reason))
            self._close_if_done()

    def send_go_away(self) -> None:
        """Ask the client to send no new request on this connection."""
        self._write(self._session.go_away())

    def _receive(self, data: bytes) -> None:
        """Handle what the client sent."""
        self.last_received_us = self._host.clock.now_us()
        frames_before = self._session.frames_received
        try:
            for event in self._session.feed(data):
                self._handle(event)
        except FrameError as err:
            log.warning("invalid frame received", extra=fields(reason=err))
            self.close_with_error(str(err))
            return
        except Exception:  # a fault of ours in one request costs the client its connection, with an answer
            log.exception("client input failed")
            self.close_with_error("internal error")
            return
        completed_frame = self._session.frames_received > frames_before
        if self._session.partial_frame_bytes == 0 and completed_frame:
            self._frame_due_since_us = None
        elif self._frame_due_since_us is None or completed_frame:
            self._frame_due_since_us = self.last_received_us
        self._update_held_bytes()

    def _receive_available(self) -> None:
        """Take in what the client has sent by now, ahead of the event loop's turn: it may be a cancel or its
        close, and no attempt begins for a client that has gone."""
        if self._is_closed or self._read is None or self._read.done() or self._stream.closed():
            return
        try:
            data = self._stream.socket.recv(READ_CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._end()
        elif not self._is_closing:
            self._receive(data)

    def _handle(self, event: SessionEvent) -> None:
        match event:
            case ClientRequestReceived(stream_id=stream_id, request=request):
                self._submit(stream_id, request)
            case InvalidRequestReceived():
                self._answer_invalid(event)
            case ClientRequestCancelled(stream_id=stream_id):
                request_number = self._request_numbers[stream_id]
                self._release(stream_id)
                self._host.engine.cancel(request_number)
            case ReadinessRequested(stream_id=stream_id):
                self._write(write_readiness(stream_id, self._host.lifecycle.is_ready))

    def _submit(self, stream_id: int, request: ClientRequest) -> None:
        """Hand a request to the engine, or reject it: to one that was asked to send no more and goes on, and
        to one whose request a neighbour is to take."""
        engine = self._host.engine
        if self._host.rejects_requests or self._host.offloads(request):
            self._write(self._session.respond(stream_id, engine.draining_response()))
            return
        is_paused = self._unsent_bytes > HIGH_WATER_BYTES
        try:
            self._request_numbers[stream_id] = engine.submit(
                request,
                lambda response: self._respond(stream_id, response),
                is_paused,
                self._receive_available,
            )
        except Exception:  # a fault of ours in one request costs no other
            log.exception("request not taken", extra=fields(request_id=request.request_id))
            self._write(self._session.respond(stream_id, Response(Verdict.FAILED)))
            return
        if is_paused:
            self._paused[stream_id] = None

    def _answer_invalid(self, event: InvalidRequestReceived) -> None:
        if not self._has_logged_invalid:
            log.warning("invalid request received", extra=fields(reason=event.reason))
        self._has_logged_invalid = True
        self._write(self._session.respond(event.stream_id, Response(event.verdict)))

    def _respond(self, stream_id: int, response: Response) -> None:
        self._write(self._session.respond(stream_id, response))
        self._release(stream_id)

    def _release(self, stream_id: int) -> None:
        """The one place where an open request leaves its connection."""
        self._request_numbers.pop(stream_id, None)
        self._paused.pop(stream_id, None)
        self._close_if_done()

    def _close_if_done(self) -> None:
        """Close once nothing is owed to a client that is sent away."""
        if self._is_closing and not self.is_busy:
            self._end()

    def _write(self, chunks: Chunks) -> None:
        """Hand bytes to the socket; a body goes as a view of the buffer that the upstream side has filled."""
        if self._stream.closed() or not chunks:
            return
        size = sum(map(len, chunks))
        try:
            for chunk in chunks:
                written = self._stream.write(memoryview(chunk))
        except StreamClosedError:
            return  # the client has gone, which must not fail the endpoint's connection that brought this
        if not written.done():
            self._add_unsent_bytes(size)
            written.add_done_callback(lambda _: self._add_unsent_bytes(-size))

    def _add_unsent_bytes(self, change: int) -> None:
        """The one place where unsent bytes are counted, and counted off."""
        if self._unsent_bytes == 0 or change < 0:
            self._last_progress_us = self._host.clock.now_us()
        self._unsent_bytes += change
        self._resume_paused()
        self._close_if_done()
        self._update_held_bytes()
        if self._unsent_bytes > MAX_UNSENT_BYTES:  # it sends requests without end, and takes no response
            log.warning("slow client disconnected", extra=fields(held_bytes=self.held_bytes))
            self._end()

    def _resume_paused(self) -> None:
        while self._paused and self._unsent_bytes <= HIGH_WATER_BYTES:
            stream_id = next(iter(self._paused))
            del self._paused[stream_id]
            self._host.engine.resume(self._request_numbers[stream_id])

    def _update_held_bytes(self) -> None:
        """Tell the host how much is held for this client: what it has not taken, and a frame in part."""
        held_bytes = 0 if self._is_closed else self._unsent_bytes + self._session.partial_frame_bytes
        change = held_bytes - self.held_bytes
        self.held_bytes = held_bytes
        self._host.account_held_bytes(change)

    def _end(self) -> None:
        """The one place where a connection is given back."""
        if self._is_closed:
            return
        self._is_closed = True
        for stream_id, request_number in list(self._request_numbers.items()):
            self._release(stream_id)
            self._host.engine.cancel(request_number)
        self._update_held_bytes()
        self._on_closed(self)
        self._stream.close()
