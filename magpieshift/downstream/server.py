"""The server for clients: listener, limits on connections and on bytes held, planned end."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping

from magpieshift.clock import LoopClock
from magpieshift.config import Document
from magpieshift.downstream.connection import Connection
from magpieshift.engine.engine import Engine
from magpieshift.engine.model import ClientRequest
from magpieshift.lifecycle import Lifecycle, State
from magpieshift.log import fields
from magpieshift.sockets import LingeringClose, LingeringStream, Listener

log = logging.getLogger(__name__)

MAX_UNPARSED_BYTES = 1 << 20
"""Bytes of one connection that its stream holds unparsed; four of the largest frames."""
INCOMPLETE_FRAME_TIMEOUT_S = 2.0
"""Time for a client to send a complete frame, from its connecting or from the frame's first byte.
Shorter disconnects slow clients, longer lets mute ones hold descriptors."""
MAX_IDLE_S = 60.0
"""Time without a byte and with nothing open; clients close after 4 s."""
MAX_STALL_S = 10.0
"""Time without taking a byte of a response. Longer holds memory for dead clients."""
MAX_IDLE_AFTER_GO_AWAY_S = 0.3
"""The same as ``MAX_IDLE_S`` for a client that was asked to send no more: it is not coming back."""
SHUTDOWN_POLL_S = 0.005
"""How often the planned end looks for connections that have become idle; small against its 4 s."""


class DownstreamServer:
    """Listens for clients; owner of all their connections."""

    part = "front"
    """Its name among the parts whose running figures are shown; operators' tools know it."""

    def __init__(
        self,
        engine: Engine,
        clock: LoopClock,
        class_numbers: Mapping[str, int],
        max_connections: int,
        max_held_bytes: int,
        lifecycle: Lifecycle,
    ) -> None:
        """``class_numbers`` gives the number of each class that a request may name; its owner keeps it
        current, in place."""
        self.engine = engine
        self.clock = clock
        self.class_numbers = class_numbers
        self.lifecycle = lifecycle
        self.held_bytes = 0
        """Memory held for all clients: unsent responses and frames in part."""
        self.should_offload: Callable[[ClientRequest], bool] | None = None
        """Whether a request is a neighbour's to take; None where no neighbour takes any."""
        self.max_held_bytes = max_held_bytes
        self.max_connections = max_connections
        self._connections: set[Connection] = set()
        self._listener: Listener | None = None
        self._closing = LingeringClose()
        """Owner of the sockets whose connections are closed on our side only."""
        self._is_shutting_down = False
        self._tasks: set[asyncio.Task[None]] = set()
        """The reading tasks, one a connection; the event loop itself holds them only weakly."""

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Nothing to make ready: classes are the engine's, limits are set by their owner."""
        return lambda: None

    def running(self) -> dict[str, object]:
        """The classes that requests may name."""
        return {"classes": sorted(self.class_numbers)}

    @property
    def connection_count(self) -> int:
        """How many clients' connections are open."""
        return len(self._connections)

    @property
    def has_unsent(self) -> bool:
        """Whether there are responses that clients have yet to take."""
        return any(connection.has_unsent for connection in self._connections)

    @property
    def rejects_requests(self) -> bool:
        """Whether new requests are rejected at once."""
        return self._is_shutting_down or self.lifecycle.rejects_requests

    def offloads(self, request: ClientRequest) -> bool:
        """Whether a request is a neighbour's to take, and is rejected here."""
        return self.should_offload is not None and self.should_offload(request)

    def listen_on(self, sock: socket.socket) -> None:
        """Accept connections at this listening socket, and own it."""
        self._listener = Listener(sock, self._accepted, self._free_descriptor)

    def stop_listening(self) -> None:
        """Listen no more; what waits in the listener's queue is accepted first."""
        listener = self._listener
        self._listener = None
        if listener is not None:
            listener.close()

    def serve(self, stream: LingeringStream) -> None:
        """A client has connected: serve it until it closes or is disconnected."""
        stream.set_nodelay(True)
        if len(self._connections) >= self.max_connections and not self._close_one_idle():
            log.warning("client rejected", extra=fields(reason="too many", open=len(self._connections)))
            stream.close()
            return
        connection = Connection(self, stream, self._remove_connection)
        self._connections.add(connection)
        task = asyncio.ensure_future(connection.serve())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def account_held_bytes(self, change: int) -> None:
        """Count bytes held for clients. Memory is bounded: the client for which most is held is disconnected,
        and can tell that its responses broke off."""
        self.held_bytes += change
        if change > 0 and self.held_bytes > self.max_held_bytes:
            largest = max(self._connections, key=lambda connection: connection.held_bytes)
            log.warning("slow client disconnected", extra=fields(held_bytes=largest.held_bytes))
            largest.close()

    def close_expired(self) -> None:
        """Close connections on which nothing is open and nothing has come for long, and those whose clients
        have long taken nothing of their responses or owe the rest of a frame. Called now and then."""
        now_us = self.clock.now_us()
        if self.lifecycle.arrivals_settled:
            self.send_go_away()
        for connection in list(self._connections):
            self._close_if_expired(connection, now_us)

    def _close_if_expired(self, connection: Connection, now_us: int) -> None:
        def ago_us(duration_s: float) -> int:
            """The time so long ago."""
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
        elif is_overdue:  # what it sent before is still answered
            connection.close_with_error("frame not whole in time")

    def send_go_away(self) -> None:
        """Ask all clients to send no new request on their connections."""
        for connection in list(self._connections):
            connection.send_go_away()

    async def shut_down(self, timeout_s: float) -> None:
        """Listen no more, reject what still comes, and close each connection once nothing is owed on it; all
        that is open after this time is closed as it is."""
        self._is_shutting_down = True
        self.stop_listening()
        # no connection comes any more, so descriptors do not bound how many linger at once
        self._closing.max_open += len(self._connections)
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while True:
            for connection in list(self._connections):
                if connection.is_idle:
                    connection.close()
            if not (self._connections or self._closing) or loop.time() >= deadline_s:
                self.close_all()
                return
            await asyncio.sleep(SHUTDOWN_POLL_S)

    def close_all(self) -> None:
        """Give back every socket, whatever is open."""
        self.stop_listening()
        for connection in list(self._connections):
            connection.close()
        self._closing.close()

    def _accepted(self, sock: socket.socket) -> None:
        self.serve(LingeringStream(sock, self._closing, MAX_UNPARSED_BYTES))

    def _remove_connection(self, connection: Connection) -> None:
        """The one place where a connection leaves the server."""
        self._connections.discard(connection)

    def _close_one_idle(self) -> bool:
        """Close an idle connection, the lowest in eviction rank first; whether there was one."""
        candidates = (connection for connection in self._connections if not connection.is_busy)
        for connection in sorted(candidates, key=lambda candidate: candidate.eviction_rank):
            if connection.is_idle:
                connection.close()
                return True
        return False

    def _free_descriptor(self) -> None:
        """Have a connection that is closing, or is idle, give its descriptor back."""
        if len(self._closing) == 0:
            self._close_one_idle()
        self._closing.drop_oldest()
