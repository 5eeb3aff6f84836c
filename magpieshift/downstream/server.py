"""The server for clients: listener, limits on connections and held bytes, planned shutdown."""

from __future__ import annotations

import asyncio
import logging
import socket
import sys
from collections.abc import Callable, Mapping

from magpieshift.background_task import log_failure
from magpieshift.clock import LoopClock
from magpieshift.config import Document
from magpieshift.downstream.connection import Connection
from magpieshift.engine.engine import Engine
from magpieshift.engine.model import ClientRequest
from magpieshift.lifecycle import Lifecycle, State
from magpieshift.log import fields
from magpieshift.memory_use import CROWDED_FRACTION, REQUEST_BYTES, MemoryUse
from magpieshift.sockets import LingeringClose, LingeringStream, Listener

log = logging.getLogger(__name__)

MAX_UNPARSED_BYTES = 1 << 20
"""Maximum number of received bytes that a connection's stream buffers; four times the largest frame."""
INCOMPLETE_FRAME_TIMEOUT_S = 2.0
"""Time within which a client must send a complete frame, measured from connecting or from the frame's first
byte. Shorter disconnects slow clients, longer lets silent ones hold descriptors."""
MAX_IDLE_S = 60.0
"""Time without a received byte after which an idle connection is closed; clients close theirs after 4 s."""
MAX_STALL_S = 10.0
"""Time after which a connection is closed if the client receives nothing of its responses. Longer holds
memory for clients that have failed."""
MAX_IDLE_AFTER_GO_AWAY_S = 0.3
"""The same as ``MAX_IDLE_S`` in a lame duck router for a client that was sent GO_AWAY, which is not expected
to send more."""
MIN_DROPPED_BYTES = 4096
"""Minimum number of bytes held for a client that are dropped for their memory; less is not worth a client."""
SHUTDOWN_POLL_S = 0.005
"""Poll interval for connections that have become idle during the planned shutdown."""
MAX_SHUTDOWN_STALL_S = 1.0
"""Time for which a client may receive nothing before the planned shutdown no longer waits for it, unless the
client's own time for its requests is not over."""
MAX_DELIVERY_S = 30.0
"""Time for which the planned shutdown delivers answers to clients that go on receiving them. At half a
megabyte a second the answers to all requests that one connection may have open take half of it."""


class DownstreamServer:
    """Listens for clients, and owns all their connections."""

    part = "front"
    """Name of this part in the running settings that operators are shown; their tools match it."""

    def __init__(
        self,
        engine: Engine,
        clock: LoopClock,
        class_numbers: Mapping[str, int],
        max_connections: int,
        max_held_bytes: int,
        lifecycle: Lifecycle,
        memory: MemoryUse | None = None,
    ) -> None:
        """Create a server that does not listen yet.

        ``class_numbers`` gives the number of each class that a request may name; its owner updates it in
        place. ``memory`` counts what is held for clients together with what other parts hold; None: only the
        clients' own limit holds.
        """
        self._memory = memory if memory is not None else MemoryUse(sys.maxsize)
        self.engine = engine
        self.clock = clock
        self.class_numbers = class_numbers
        self.lifecycle = lifecycle
        self.held_bytes = 0
        """Number of bytes held for all clients: unsent responses and incomplete frames."""
        self.should_offload: Callable[[ClientRequest], bool] | None = None
        """Decides whether a request is offloaded to a neighbour router; None if offloading is off."""
        self.max_held_bytes = max_held_bytes
        self.max_connections = max_connections
        self._connections: set[Connection] = set()
        self._listener: Listener | None = None
        self._closing = LingeringClose()
        """Holds the sockets that the router has closed and the client has not."""
        self._is_shutting_down = False
        self._rejected_requests = 0
        """Number of requests rejected for memory since that was last logged."""
        self._replaced_responses = 0
        """Number of responses replaced since that was last logged."""
        self._dropped_frames = 0
        """Number of incomplete frames dropped since that was last logged."""
        self._is_releasing = False
        """Whether held bytes are being released, which writes errors to clients."""
        self._tasks: set[asyncio.Task[None]] = set()
        """The tasks that read the connections. The event loop has only weak references to them, so they are
        kept here."""

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Return a commit without effect: the engine updates the classes, ``ResourceLimits`` the limits."""
        return lambda: None

    def running(self) -> dict[str, object]:
        """Return the settings in force, which are the classes that requests may name."""
        return {"classes": sorted(self.class_numbers)}

    @property
    def connection_count(self) -> int:
        """Number of open client connections."""
        return len(self._connections)

    @property
    def has_undelivered(self) -> bool:
        """Whether any client has not acknowledged all its responses."""
        return any(connection.has_undelivered for connection in self._connections)

    @property
    def rejects_requests(self) -> bool:
        """Whether new requests are rejected because the router drains."""
        return self._is_shutting_down or self.lifecycle.rejects_requests

    def may_accept(self, body_bytes: int, open_requests: int, has_unsent: bool) -> bool:
        """Whether there is memory for a request with a body of this size, from a client with this many open
        requests; ``has_unsent`` is whether it has yet to receive earlier responses.

        While memory is crowded, a client that has yet to receive responses gets no more, and no client may
        have more than an equal part of the requests that there is memory for.
        """
        is_accepted = self._has_memory_for(body_bytes, open_requests, has_unsent)
        self._rejected_requests += not is_accepted
        return is_accepted

    def _has_memory_for(self, body_bytes: int, open_requests: int, has_unsent: bool) -> bool:
        if not self._memory.may_accept(body_bytes):
            return False
        if not self._memory.is_crowded and self.held_bytes <= CROWDED_FRACTION * self.max_held_bytes:
            return True
        max_requests = self._memory.limit_bytes // REQUEST_BYTES
        equal_part = max(1, max_requests // max(1, len(self._connections)))
        return not has_unsent and open_requests < equal_part

    def may_begin(self, size: int) -> bool:
        """Whether a response of this size may begin to be sent, after which it cannot be released.

        What the operating system accepts at once does not count.
        """
        return self._memory.begun_bytes + size <= self.max_held_bytes and self._memory.may_begin(size)

    def offloads(self, request: ClientRequest) -> bool:
        """Whether this request is to be rejected so that the client retries at a neighbour router."""
        return self.should_offload is not None and self.should_offload(request)

    def listen_on(self, sock: socket.socket) -> None:
        """Accept connections at this listening socket; takes over its ownership."""
        self._listener = Listener(sock, self._accepted, self._free_descriptor)

    def stop_listening(self) -> None:
        """Stop listening, after accepting the connections in the listen backlog."""
        listener = self._listener
        self._listener = None
        if listener is not None:
            listener.close()

    def serve(self, stream: LingeringStream) -> None:
        """Serve a client that has connected, until either side closes the connection.

        At the limit of connections an idle one is closed; if none is idle, the new client is rejected.
        """
        stream.set_nodelay(True)
        if len(self._connections) >= self.max_connections and not self._close_one_idle():
            log.warning(
                "client connection rejected",
                extra=fields(reason="connection limit reached, none idle", open=len(self._connections)),
            )
            stream.close()
            return
        connection = Connection(self, stream, self._remove_connection)
        self._connections.add(connection)
        task = asyncio.ensure_future(connection.serve())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(log_failure("client connection"))

    def account_held_bytes(self, change: int) -> None:
        """Add to the number of bytes held for all clients.

        If that is too much, or the memory for all purposes is exceeded, incomplete frames are dropped, the
        oldest first, as their requests are not accepted yet. Then responses that have not begun to be sent
        are replaced by short final answers, the newest first, and those of the client with most of them.
        """
        self.held_bytes += change
        self._memory.client_bytes += change
        if change > 0 and self._holds_too_much and not self._is_releasing:
            self._is_releasing = True
            try:
                self._release_held_bytes()
            finally:
                self._is_releasing = False

    def account_begun_bytes(self, change: int) -> None:
        """Add to the number of unsent bytes of all clients that have begun to be sent."""
        self._memory.begun_bytes += change

    @property
    def _holds_too_much(self) -> bool:
        return self.held_bytes > self.max_held_bytes or self._memory.is_exceeded

    def _release_held_bytes(self) -> None:
        self._drop_incomplete_frames()
        while self._holds_too_much and self._connections:
            largest = max(self._connections, key=lambda connection: connection.replaceable_bytes)
            if not largest.replace_newest_response():
                break
            self._replaced_responses += 1
        now_us = self.clock.now_us()
        may_go = [
            each
            for each in self._connections
            if each.held_bytes >= MIN_DROPPED_BYTES and each.may_be_let_go(now_us)
        ]
        for connection in sorted(may_go, key=lambda each: each.held_bytes, reverse=True):
            if not self._holds_too_much:
                return
            log.warning("slow client disconnected", extra=fields(held_bytes=connection.held_bytes))
            connection.close()

    def _drop_incomplete_frames(self) -> None:
        """Drop incomplete frames until little enough is held: the client is sent an error, and its connection
        is closed once its earlier requests are answered.

        Those that may be whole in what has not been read yet come last.
        """
        incomplete = [each for each in self._connections if each.partial_frame_bytes >= MIN_DROPPED_BYTES]
        incomplete.sort(key=lambda each: each.frame_due_since_us)
        for may_have_unread in (False, True):
            for connection in incomplete:
                if not self._holds_too_much:
                    return
                if connection.partial_frame_bytes and (may_have_unread or not connection.has_unread):
                    self._dropped_frames += 1
                    connection.close_with_error("no memory for the rest of the frame")

    def close_expired(self) -> None:
        """Close the connections that are idle, stalled or overdue with a frame for too long; called
        periodically.

        While draining, this also sends GO_AWAY to clients that have connected meanwhile.
        """
        now_us = self.clock.now_us()
        if self.lifecycle.arrivals_settled:
            self.send_go_away()
        for connection in list(self._connections):
            self._close_if_expired(connection, now_us)
        self._log_released()

    def _log_released(self) -> None:
        """Log what was rejected, replaced and dropped for memory since the last time."""
        if self._rejected_requests:
            log.warning("requests rejected for memory", extra=fields(count=self._rejected_requests))
        if self._replaced_responses:
            log.warning(
                "responses replaced",
                extra=fields(count=self._replaced_responses, held_bytes=self.held_bytes),
            )
        if self._dropped_frames:
            log.warning("incomplete frames dropped", extra=fields(count=self._dropped_frames))
        self._rejected_requests = 0
        self._replaced_responses = 0
        self._dropped_frames = 0

    def _close_if_expired(self, connection: Connection, now_us: int) -> None:
        def ago_us(duration_s: float) -> int:
            """Return the time ``duration_s`` before now, in Unix microseconds."""
            return now_us - int(1e6 * duration_s)

        is_lame_duck = self.lifecycle.state == State.LAME_DUCK
        is_overdue = connection.is_frame_overdue(ago_us(INCOMPLETE_FRAME_TIMEOUT_S))
        is_unused = (
            is_overdue
            or connection.last_received_us < ago_us(MAX_IDLE_S)
            or (is_lame_duck and connection.can_close_after_go_away(ago_us(MAX_IDLE_AFTER_GO_AWAY_S)))
        )
        if connection.is_stalled(ago_us(MAX_STALL_S)) or (is_unused and connection.is_idle):
            connection.close()
        elif is_overdue:  # earlier requests are still answered
            connection.close_with_error("frame not whole in time")

    def send_go_away(self) -> None:
        """Ask all clients to send no new request on their connections."""
        for connection in list(self._connections):
            connection.send_go_away()

    async def shut_down(self, timeout_s: float) -> None:
        """Stop listening, reject new requests, and close each connection once it is idle.

        After ``timeout_s`` this goes on only while a client receives answers or waits for them, for
        ``MAX_DELIVERY_S`` at most. The connections that are left then are closed, whatever is open on them.
        """
        self._is_shutting_down = True
        self.stop_listening()
        # no new connection needs a descriptor, so all of them may be in lingering close at once
        self._closing.max_open += len(self._connections)
        loop = asyncio.get_running_loop()
        last_deadline_s = loop.time() + MAX_DELIVERY_S
        deadline_s = loop.time() + timeout_s
        while self._connections or self._closing:
            for connection in list(self._connections):
                if connection.is_idle:
                    connection.close()
            if self._delivers_answers():
                deadline_s = max(deadline_s, min(loop.time() + timeout_s, last_deadline_s))
            if loop.time() >= deadline_s:
                break
            await asyncio.sleep(SHUTDOWN_POLL_S)
        self.close_all()

    def _delivers_answers(self) -> bool:
        """Whether a client has answers to come which it receives or still waits for."""
        stalled_since_us = self.clock.now_us() - int(1e6 * MAX_SHUTDOWN_STALL_S)
        return any(
            connection.has_undelivered and not connection.is_stalled(stalled_since_us)
            for connection in self._connections
        )

    def close_all(self) -> None:
        """Close all sockets, whatever is open on them."""
        self.stop_listening()
        for connection in list(self._connections):
            connection.close()
        self._closing.close()

    def _accepted(self, sock: socket.socket) -> None:
        self.serve(LingeringStream(sock, self._closing, MAX_UNPARSED_BYTES))

    def _remove_connection(self, connection: Connection) -> None:
        """Remove an ended connection from the server; nothing else does."""
        self._connections.discard(connection)

    def _close_one_idle(self) -> bool:
        """Close the idle connection of the lowest eviction rank; returns whether there was one."""
        candidates = (connection for connection in self._connections if not connection.is_busy)
        for connection in sorted(candidates, key=lambda candidate: candidate.eviction_rank):
            if connection.is_idle:
                connection.close()
                return True
        return False

    def _free_descriptor(self) -> None:
        """Free a descriptor: end a lingering close, or that of an idle connection closed for this."""
        if len(self._closing) == 0:
            self._close_one_idle()
        self._closing.drop_one()
