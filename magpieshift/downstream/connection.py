"""One client's connection: its socket, its protocol session, and its requests that are open in the engine."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial

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
from magpieshift.downstream.messages import (
    NETWORK_MARGIN_US,
    Chunks,
    write_error,
    write_readiness,
    write_response,
)
from magpieshift.downstream.response_queue import ResponseQueue
from magpieshift.downstream.session import MAX_OPEN_STREAMS, Session
from magpieshift.engine.model import ClientRequest, Response, Verdict
from magpieshift.log import fields
from magpieshift.sockets import READ_CHUNK_BYTES, LingeringStream

log = logging.getLogger(__name__)

MAX_READS_IN_A_ROW = 8
"""Maximum number of reads of one connection in a row, while data is available without waiting, before other
connections are read. Larger lets a flood on one connection delay the others, smaller costs iterations of the
event loop."""
MAX_FRAMES_IN_A_ROW = 64
"""Number of frames of one connection after which other connections are read, whatever the number of reads: a
read may hold hundreds of short ones."""
CLOSING_READ_PAUSE_S = 0.01
"""Pause between reads of a connection whose input is dropped: only its end is of interest."""
HIGH_WATER_BYTES = 1 << 20
"""Number of unsent bytes of one connection above which its new requests are paused; four times the largest
response."""
MAX_UNSENT_BYTES = HIGH_WATER_BYTES + MAX_OPEN_STREAMS * MAX_LENGTH_BYTES
"""Number of unsent bytes above which a connection's newest responses are replaced. A client that keeps to the
protocol cannot cause more: its requests are paused above ``HIGH_WATER_BYTES``, and at most
``MAX_OPEN_STREAMS`` are open."""
MAX_UNSENT_SHORT_BYTES = 1 << 16
"""Number of unsent bytes of short frames above which a connection is closed once its requests are answered. A
client causes more only if it goes on sending and receives nothing."""
MIN_REPLACEABLE_BYTES = 1024
"""Minimum size of a body that may be replaced by a short answer; less is not worth a request."""
STREAM_BUFFER_BYTES = 1 << 14
"""Number of unsent bytes up to which frames are passed to the stream; above it they wait in the response
queue. A larger frame is passed on alone."""
MAX_STREAM_WRITES = 16
"""Maximum number of writes that the stream has not completed; each takes far more memory than a short
frame."""


class Connection:
    """One client's connection. Owns the socket, the protocol session and the bytes held for the client."""

    def __init__(
        self, host: ConnectionHost, stream: LingeringStream, on_closed: Callable[[Connection], None]
    ) -> None:
        """``on_closed`` is called once with this connection when it ends, after its requests are
        cancelled."""
        self._host = host
        self._stream = stream
        self._on_closed = on_closed
        self._session = Session(host.class_numbers)
        self._request_numbers: dict[int, int] = {}
        """The engine's number of each open request, by stream id."""
        self._paused: dict[int, None] = {}
        """Streams whose requests are paused until the client has received earlier responses, oldest first."""
        self._queue = ResponseQueue()
        """Frames that wait until the operating system has accepted earlier ones."""
        self._stream_bytes = 0
        """Number of bytes written to the stream that the operating system has not accepted yet. They have
        begun to be sent, so they cannot be taken back."""
        self._stream_writes = 0
        """Number of writes that the stream has not completed."""
        self._is_receiving = False
        """Whether received bytes are being handled; what is written meanwhile is passed to the stream
        together."""
        self._read: asyncio.Future[bytes] | None = None
        """The pending read or, while its data is handled, the last one; None before the first."""
        self._is_closed = False
        self._is_closing = False
        """Whether an error frame was written. Further input is dropped, and the connection is closed once no
        request is open and no byte unsent."""
        self._has_logged_invalid = False
        """Whether an invalid request was logged; only one is per connection, so that a client cannot fill the
        log."""
        self.held_bytes = 0
        """Number of bytes held for this client, as last reported to the host."""
        self._frame_due_since_us: int | None = host.clock.now_us()
        """Since when a complete frame is due from the client: since it connected, or since an incomplete
        frame began. None if no frame is due. In Unix microseconds, as all times here."""
        self.last_received_us = host.clock.now_us()
        """When bytes were last received."""
        self._answers_due_us = 0
        """Until when the client waits for an answer, of all its requests so far."""
        self._undelivered_bytes = 0
        """Number of bytes written to the stream that the client had not acknowledged when last looked at; 0
        only if none can be undelivered."""
        self._last_progress_us = host.clock.now_us()
        """When bytes were last accepted by the operating system or acknowledged by the client, or when the
        first undelivered one was written."""

    @property
    def _unsent_bytes(self) -> int:
        """Number of bytes of all frames that the operating system has not accepted yet."""
        return self._stream_bytes + self._queue.size

    @property
    def frame_due_since_us(self) -> int:
        """Since when a complete frame is due from the client; 0 if none is."""
        return self._frame_due_since_us or 0

    @property
    def partial_frame_bytes(self) -> int:
        """Number of bytes received of an incomplete frame."""
        return 0 if self._is_closed else self._session.partial_frame_bytes

    @property
    def has_unread(self) -> bool:
        """Whether the client has sent more than was read."""
        return self._stream.has_unread

    @property
    def replaceable_bytes(self) -> int:
        """Number of unsent bytes that can be released by replacing responses."""
        return self._queue.replaceable_size

    def may_be_let_go(self, now_us: int) -> bool:
        """Whether no request loses its answer by a disconnect: none is open, and none that the client still
        waits for has an undelivered answer."""
        has_open = bool(self._request_numbers) or len(self._queue) > 0
        return not has_open and (now_us >= self._answers_due_us or not self.has_undelivered)

    @property
    def is_busy(self) -> bool:
        """Whether a request is open or a byte unsent."""
        return bool(self._request_numbers) or self._unsent_bytes > 0

    @property
    def is_idle(self) -> bool:
        """Whether the connection may be closed: no open request, no undelivered byte and no unread input.

        Unread input counts because a request that arrives before the close must be answered. Undelivered
        bytes count because a closed socket answers the client's next bytes with a reset, which discards them.
        """
        has_read = self._read is not None and self._read.done()
        return not (self.is_busy or has_read or self.has_undelivered or self._stream.has_unread)

    @property
    def has_undelivered(self) -> bool:
        """Whether the client has not acknowledged all responses: bytes are unsent, or on their way."""
        return self._look_at_delivery() > 0

    @property
    def eviction_rank(self) -> tuple[bool, int]:
        """Order in which idle connections are closed to make room, lowest first.

        Clients that never sent a complete frame come first, then those from which nothing was received for
        the longest time.
        """
        return self._session.frames_received > 0, self.last_received_us

    def is_frame_overdue(self, since_us: int) -> bool:
        """Whether a complete frame has been due since before ``since_us``.

        Some clients connect and send nothing, or never complete a frame.
        """
        return self._frame_due_since_us is not None and self._frame_due_since_us < since_us

    def is_stalled(self, since_us: int) -> bool:
        """Whether bytes are undelivered, the client received none since before ``since_us``, and it no longer
        waits for any answer."""
        is_waited_for = self._host.clock.now_us() < self._answers_due_us
        return self.has_undelivered and self._last_progress_us < since_us and not is_waited_for

    def can_close_after_go_away(self, quiet_since_us: int) -> bool:
        """Whether GO_AWAY was sent and the connection is no longer needed.

        With an incomplete frame it is needed until incomplete requests are cut off. Otherwise it is needed
        until nothing has been received since ``quiet_since_us``, or until new requests are rejected; the
        latter does not count for a client that sends only readiness requests, which may continue.
        """
        if self.is_busy or not self._session.go_away_sent:
            return False
        rejects_requests = self._host.lifecycle.rejects_requests
        cuts_incomplete = self._host.lifecycle.cuts_incomplete_requests
        asks_readiness_only = self._session.requests_received == 0
        is_quiet = self.last_received_us < quiet_since_us
        if self._session.partial_frame_bytes:
            return cuts_incomplete
        return is_quiet or (rejects_requests and not asks_readiness_only)

    def _look_at_delivery(self) -> int:
        """Count the undelivered bytes, and note whether the client has received any since the last look.

        The operating system does not tell of it, so this must be called now and then.
        """
        if self._undelivered_bytes == 0:  # nothing was written since all was delivered
            return 0
        undelivered_bytes = self._unsent_bytes + self._stream.undelivered_bytes
        if undelivered_bytes != self._undelivered_bytes:
            self._undelivered_bytes = undelivered_bytes
            self._last_progress_us = self._host.clock.now_us()
        return undelivered_bytes

    async def serve(self) -> None:
        """Read until the connection ends; then cancel the client's open requests.

        It is read even while the client receives no responses, so that its cancels and its close are noticed.
        """
        reads_in_a_row = 0
        frames_before = 0
        try:
            while True:
                self._read = asyncio.ensure_future(self._stream.read_bytes(READ_CHUNK_BYTES, partial=True))
                if not self._read.done():
                    reads_in_a_row = 0
                    frames_before = self._session.frames_received
                reads_in_a_row += 1
                data = await self._read
                if self._is_closing:
                    await asyncio.sleep(CLOSING_READ_PAUSE_S)
                else:
                    self._receive(data)
                frames_in_a_row = self._session.frames_received - frames_before
                if reads_in_a_row >= MAX_READS_IN_A_ROW or frames_in_a_row >= MAX_FRAMES_IN_A_ROW:
                    reads_in_a_row = 0
                    frames_before = self._session.frames_received
                    await asyncio.sleep(0)
        except StreamClosedError:
            pass
        except Exception:  # an internal error ends this connection only, and it is still released
            log.exception("exception closed the connection")
        finally:
            self._end()
            # The read's error refers to this frame: without this only the garbage collector frees the two.
            self._read = None

    def close(self) -> None:
        """Disconnect this client, which makes ``serve`` return."""
        self._end()

    def close_with_error(self, reason: str) -> None:
        """Send an error and close once all open requests are answered; further input is dropped."""
        if not self._is_closing:
            self._is_closing = True
            self._session.discard_input()
            self._update_held_bytes()
            self._write(write_error(reason))
            self._close_if_done()

    def send_go_away(self) -> None:
        """Ask the client to send no new request on this connection."""
        self._write(self._session.go_away())

    def _receive(self, data: bytes) -> None:
        """Parse and handle bytes from the client."""
        self.last_received_us = self._host.clock.now_us()
        frames_before = self._session.frames_received
        self._is_receiving = True
        try:
            for event in self._session.feed(data):
                self._handle(event)
        except FrameError as err:
            log.warning("invalid frame received", extra=fields(reason=str(err)))
            self.close_with_error(str(err))
            return
        except Exception:  # an internal error ends this connection only, and the client is sent an error
            log.exception("client input raised an exception")
            self.close_with_error("internal error")
            return
        finally:
            self._is_receiving = False
            self._write_queued()
            self._close_if_done()
        completed_frame = self._session.frames_received > frames_before
        if self._session.partial_frame_bytes == 0 and completed_frame:
            self._frame_due_since_us = None
        elif self._frame_due_since_us is None or completed_frame:
            self._frame_due_since_us = self.last_received_us
        self._update_held_bytes()

    def _receive_available(self) -> None:
        """Read and handle what the client has sent by now, without waiting for the event loop.

        Called right before an attempt is written, so that none is started for a request that the client has
        cancelled, or for a client that has disconnected.
        """
        if self._is_closed or self._stream.closed():
            return
        if self._stream.peer_has_closed:  # what it has sent before that may be far more than one read
            self._end()
            return
        if self._read is None or self._read.done():
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
        """Submit a request to the engine, or reject it because the router drains or offloads the request."""
        engine = self._host.engine
        if self._host.rejects_requests or self._host.offloads(request):
            self._write(self._session.respond(stream_id, engine.draining_response()))
            return
        if not self._host.may_accept(len(request.body), len(self._request_numbers), self._unsent_bytes > 0):
            self._write(self._session.respond(stream_id, engine.exhausted_response()))
            return
        answer_due_us = self.last_received_us + engine.longest_wait_us(request) + NETWORK_MARGIN_US
        self._answers_due_us = max(self._answers_due_us, answer_due_us)
        is_paused = self._pauses_requests
        try:
            class_index = request.class_index
            self._request_numbers[stream_id] = engine.submit(
                request,
                lambda response: self._respond(stream_id, class_index, response),
                is_paused,
                self._receive_available,
            )
        except Exception:  # an internal error fails this request only
            log.exception(
                "request submission raised an exception", extra=fields(request_id=request.request_id)
            )
            self._write(self._session.respond(stream_id, Response(Verdict.FAILED)))
            return
        if is_paused:
            self._paused[stream_id] = None

    def _answer_invalid(self, event: InvalidRequestReceived) -> None:
        if not self._has_logged_invalid:
            log.warning("invalid request received", extra=fields(reason=event.reason))
        self._has_logged_invalid = True
        self._write(self._session.respond(event.stream_id, Response(event.verdict)))

    def _respond(self, stream_id: int, class_index: int, response: Response) -> None:
        replacement = None
        if len(response.body) >= MIN_REPLACEABLE_BYTES:
            replacement = partial(self._replacement, stream_id, class_index)
        self._write(self._session.respond(stream_id, response), replacement)
        self._release(stream_id)

    def _replacement(self, stream_id: int, class_index: int) -> Chunks:
        """The short answer that may be sent in place of a response with a body."""
        return write_response(stream_id, self._host.engine.replacement_response(class_index))

    def _release(self, stream_id: int) -> None:
        """Remove an open request from this connection; nothing else does."""
        self._request_numbers.pop(stream_id, None)
        self._paused.pop(stream_id, None)
        self._close_if_done()

    def _close_if_done(self) -> None:
        """Close after an error was sent, once no request is open and no byte unsent."""
        if self._is_closing and not self.is_busy:
            self._end()

    def _write(self, chunks: Chunks, replacement: Callable[[], Chunks] | None = None) -> None:
        """Write a frame to the stream, or queue it if earlier ones have not been accepted yet.

        While it is queued, what ``replacement`` returns may be sent in its place. A body is passed as a view
        of the buffer it was received in, not copied.
        """
        if self._stream.closed() or not chunks:
            return
        size = sum(map(len, chunks))
        if self._undelivered_bytes == 0:
            self._last_progress_us = self._host.clock.now_us()
        self._undelivered_bytes += size
        if not self._is_receiving and len(self._queue) == 0 and self._stream_accepts(size):
            self._write_to_stream(chunks, replacement)
            self._update_held_bytes()
        else:
            self._queue.append(chunks, replacement() if replacement is not None else ())
            self._update_held_bytes()
            self._limit_unsent_bytes()

    def _stream_accepts(self, size: int) -> bool:
        """Whether a frame of this size may be passed to the stream."""
        if self._stream_writes == 0:
            return True
        has_room = self._stream_bytes + size <= STREAM_BUFFER_BYTES
        return has_room and self._stream_writes < MAX_STREAM_WRITES

    def _write_to_stream(self, chunks: Chunks, replacement: Callable[[], Chunks] | None) -> None:
        """Begin to send a frame, or its replacement if too much of what was begun is unsent."""
        size = sum(map(len, chunks))
        may_begin = replacement is None or self._host.may_begin(size) or self._stream.accepts_at_once(size)
        if replacement is not None and not may_begin:
            chunks = replacement()
            replaced_size = size
            size = sum(map(len, chunks))
            self._undelivered_bytes -= replaced_size - size
        try:
            for chunk in chunks:
                written = self._stream.write(memoryview(chunk))
        except StreamClosedError:
            return  # not raised: the caller may be the endpoint's connection, which an exception would close
        if not written.done():
            self._stream_writes += 1
            self._add_stream_bytes(size)
            written.add_done_callback(lambda _: self._sent(size))

    def _add_stream_bytes(self, change: int) -> None:
        """Add to the number of bytes that have begun to be sent; nothing else changes it."""
        self._stream_bytes += change
        self._host.account_begun_bytes(change)

    def _sent(self, size: int) -> None:
        """The operating system has accepted a frame: pass on those that have waited for it."""
        if self._is_closed:
            return
        self._stream_writes -= 1
        self._add_stream_bytes(-size)
        self._last_progress_us = self._host.clock.now_us()
        self._write_queued()
        self._resume_paused()
        self._close_if_done()
        self._update_held_bytes()

    def _write_queued(self) -> None:
        """Pass queued frames to the stream, as long as it accepts them."""
        while len(self._queue) and self._stream_accepts(self._queue.first_size) and not self._stream.closed():
            chunks, replacement = self._queue.pop_first()
            self._write_to_stream(chunks, partial(tuple, replacement) if replacement else None)

    def _limit_unsent_bytes(self) -> None:
        """Replace the newest responses above ``MAX_UNSENT_BYTES``; end a client that causes too many short
        frames."""
        while self._unsent_bytes > MAX_UNSENT_BYTES and self.replace_newest_response():
            pass
        short_bytes = self._queue.size - self._queue.replaceable_size
        if short_bytes > MAX_UNSENT_SHORT_BYTES and not self._is_closing:
            log.warning("slow client disconnected", extra=fields(held_bytes=self.held_bytes))
            self.close_with_error("too many answers not received")

    def replace_newest_response(self) -> bool:
        """Replace the newest response that waits for the stream by a short final answer, to release its
        memory; returns whether there was one."""
        released_bytes = self._queue.replace_newest()
        self._undelivered_bytes -= released_bytes
        self._update_held_bytes()
        return released_bytes > 0

    @property
    def _pauses_requests(self) -> bool:
        """Whether new requests are held back until the client has received earlier responses."""
        return self._unsent_bytes > HIGH_WATER_BYTES

    def _resume_paused(self) -> None:
        while self._paused and not self._pauses_requests:
            stream_id = next(iter(self._paused))
            del self._paused[stream_id]
            self._host.engine.resume(self._request_numbers[stream_id])

    def _update_held_bytes(self) -> None:
        """Report to the host how many bytes are held for this client: unsent ones and an incomplete frame."""
        held_bytes = 0
        if not self._is_closed:
            unsent_bytes = self._stream_bytes + self._queue.held_bytes
            held_bytes = unsent_bytes + self._session.partial_frame_held_bytes
        change = held_bytes - self.held_bytes
        if change:
            self.held_bytes = held_bytes
            self._host.account_held_bytes(change)

    def _end(self) -> None:
        """Cancel the open requests and release the connection; nothing else does."""
        if self._is_closed:
            return
        self._is_closed = True
        for stream_id, request_number in list(self._request_numbers.items()):
            self._release(stream_id)
            self._host.engine.cancel(request_number)
        self._session.discard_input()
        self._queue.clear()
        self._add_stream_bytes(-self._stream_bytes)
        self._update_held_bytes()
        self._on_closed(self)
        self._stream.close()
