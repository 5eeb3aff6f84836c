"""The thin driver of the front: sockets to sessions, and sessions to the engine."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable, Mapping

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from magpieshift.clock import LoopClock
from magpieshift.config import Document
from magpieshift.core.engine import Engine
from magpieshift.core.model import Answer, Call
from magpieshift.front.frames import FrameError
from magpieshift.front.session import Abandoned, Asked, Chunks, ReadyAsked, Session, Unusable
from magpieshift.lifecycle import Lifecycle, State
from magpieshift.log import fields
from magpieshift.streams import LINGER_S, discard

log = logging.getLogger(__name__)

READ_SIZE = 8_192  # many requests; the stream clears as much memory for each read
HIGH_WATER = 1 << 20  # unsent bytes of one connection, above which no more of it is read
WHOLE_S = 2.0  # for a client to send a whole frame, from its connecting or from the frame's first byte
IDLE_S = 60.0  # with nothing open; clients close after 4 s
STALL_S = 10.0  # without taking a byte of its answers
HUSH_S = 0.3  # after a client was told to send no more, and has nothing open: it is not coming back


class Connection:
    """One client: owner of its socket, of its session and of the bytes held for it."""

    def __init__(self, server: FrontServer, stream: IOStream) -> None:
        self._server, self._stream = server, stream
        self._session = Session(server.classes)
        self._ops: dict[int, int] = {}  # open stream: the engine's number
        self._settled = asyncio.Event()  # set while nothing is open or unsent
        self._drained = asyncio.Event()  # set while its unsent answers are few
        self._settled.set()
        self._drained.set()
        self._unsent = 0
        self._ended = self._told_unusable = False
        self.held = 0
        self._owes_since_us: int | None = server.clock.now_us()  # since when a whole frame is to come
        self.heard_us = self._moved_us = server.clock.now_us()

    @property
    def busy(self) -> bool:
        return bool(self._ops) or self._unsent > 0

    @property
    def spare(self) -> tuple[bool, int]:
        """The least goes first where room is needed: who has never asked, then who was silent longest."""
        return self._session.frames > 0, self.heard_us

    @property
    def owing(self) -> bool:
        return self._unsent > 0

    async def serve(self) -> None:
        """Read until the client leaves or errs; then give up what it has open."""
        try:
            while True:
                await self._drained.wait()  # a client that does not take its answers is not read from
                data = await self._stream.read_bytes(READ_SIZE, partial=True)
                self.heard_us = self._server.clock.now_us()
                before = self._session.frames
                for event in self._session.feed(data):
                    self._on(event)
                if self._session.pending == 0 and self._session.frames > before:
                    self._owes_since_us = None
                elif self._owes_since_us is None or self._session.frames > before:
                    self._owes_since_us = self.heard_us
                self._account()
        except FrameError as err:
            log.warning("bad frame", extra=fields(reason=err))
            await self._finish(str(err))
        except StreamClosedError:
            pass
        finally:
            self._end()

    async def _finish(self, reason: str) -> None:
        """Tell of the error, answer what was taken before it, and close. Until then what comes is read and
        thrown away: closing over unread bytes would reset the connection and destroy the last answers."""
        self._write(self._session.error(reason))
        discarding = asyncio.ensure_future(discard(self._stream))
        try:
            await asyncio.wait(
                [discarding, asyncio.ensure_future(self._settled.wait())],
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not self._stream.closed():
                self._stream.socket.shutdown(socket.SHUT_WR)
                await asyncio.wait([discarding], timeout=LINGER_S)
        except OSError:
            pass
        finally:
            discarding.cancel()

    def _on(self, event: Asked | Unusable | Abandoned | ReadyAsked) -> None:
        engine, stream = self._server.engine, event.stream
        match event:
            case Asked() if self._server.lifecycle.turning_away:  # told, and asking on: answered at once
                self._write(self._session.answer(stream, engine.turned_away()))
            case Asked(call=call) if self._server.relieved is not None and self._server.relieved(call):
                self._write(self._session.answer(stream, engine.turned_away()))
            case Asked(call=call):
                self._ops[stream] = engine.submit(call, lambda answer: self._answer(stream, answer))
                self._settled.clear()
            case Unusable(reason=reason, verdict=verdict):
                if not self._told_unusable:  # once for each client, or one of them fills the log
                    log.warning("unusable request", extra=fields(reason=reason))
                self._told_unusable = True
                self._write(self._session.answer(stream, Answer(verdict)))
            case Abandoned():
                op = self._ops[stream]
                self._release(stream)
                engine.abandon(op)
            case ReadyAsked():
                self._write(self._session.ready(stream, self._server.lifecycle.ready))

    def _answer(self, stream: int, answer: Answer) -> None:
        self._write(self._session.answer(stream, answer))
        self._release(stream)

    def _release(self, stream: int) -> None:
        """The one place where an open request leaves its connection."""
        self._ops.pop(stream, None)
        self._settle()

    def _settle(self) -> None:
        if not self._ops and not self._unsent:
            self._settled.set()

    def no_more(self) -> None:
        self._write(self._session.no_more())

    def close(self) -> None:
        """Let this client go; ``serve`` ends with it."""
        self._end()

    def late(self, past_us: int) -> bool:
        """Whether it has owed a whole frame since then: some say nothing, or never come to an end."""
        return self._owes_since_us is not None and self._owes_since_us < past_us

    def left(self, hushed_us: int) -> bool:
        """Whether a client that was told to send no more holds its connection for nothing. Who only asks
        whether we are ready may go on asking."""
        if self.busy or not self._session.told_no_more:
            return False
        turning_away, cutting = self._server.lifecycle.turning_away, self._server.lifecycle.cutting
        asks_only = self._session.requests == 0
        hushed = self.heard_us < hushed_us
        if self._session.pending:
            return cutting
        return hushed or (turning_away and not asks_only)

    def stalled(self, past_us: int) -> bool:
        """Whether it has taken nothing of its answers since then."""
        return self._unsent > 0 and self._moved_us < past_us

    def _write(self, chunks: Chunks) -> None:
        """Hand bytes to the socket; a body goes as a view of the buffer that the back has filled."""
        if self._stream.closed() or not chunks:
            return
        size = sum(map(len, chunks))
        try:
            for chunk in chunks:
                done = self._stream.write(memoryview(chunk))
        except StreamClosedError:
            return  # the first chunk found the client gone; whoever brought its answer must not suffer
        if not done.done():
            self._hold(size)
            done.add_done_callback(lambda _: self._hold(-size))

    def _hold(self, size: int) -> None:
        """The one place where unsent bytes are counted, and counted off."""
        if self._unsent == 0 or size < 0:
            self._moved_us = self._server.clock.now_us()
        self._unsent += size
        if self._unsent > HIGH_WATER:
            self._drained.clear()
        else:
            self._drained.set()
        if self._unsent > 0:
            self._settled.clear()
        self._settle()
        self._account()

    def _account(self) -> None:
        """Tell the server how much is held for this client: what it has not taken, and a frame in part."""
        held = 0 if self._ended else self._unsent + self._session.pending
        change, self.held = held - self.held, held
        self._server.account(change)

    def _end(self) -> None:
        """The one place where a connection is given back."""
        if self._ended:
            return
        self._ended = True
        for stream, op in list(self._ops.items()):
            self._release(stream)
            self._server.engine.abandon(op)
        self._account()
        self._server.forget(self)
        self._stream.close()


class FrontServer(TCPServer):
    """Listens for clients; owner of all their connections.

    ``classes`` numbers the classes by name; it is whoever made the server that keeps it true, in place."""

    part = "front"

    def __init__(
        self,
        engine: Engine,
        clock: LoopClock,
        classes: Mapping[str, int],
        most_connections: int,
        most_held: int,
        lifecycle: Lifecycle,
    ) -> None:
        super().__init__(max_buffer_size=1 << 20, read_chunk_size=READ_SIZE)
        self.engine, self.clock, self.classes = engine, clock, classes
        self.lifecycle = lifecycle
        self.held = 0  # bytes held for all clients
        self.relieved: Callable[[Call], bool] | None = None  # whether a request is a neighbour's to take
        self.most_held, self.most_connections = most_held, most_connections
        self._connections: set[Connection] = set()
        self._listener: socket.socket | None = None
        self._late: list[asyncio.Future[None]] = []  # of the connections that the queue held at the end

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Nothing of its own to make ready: classes are the engine's, bounds the limits'."""
        return lambda: None

    def running(self) -> dict[str, object]:
        """The classes that requests may name."""
        return {"classes": sorted(self.classes)}

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        stream.set_nodelay(True)
        if len(self._connections) >= self.most_connections and not self._close_idle_one():
            log.warning("too many clients", extra=fields(open=len(self._connections)))
            return stream.close()
        connection = Connection(self, stream)
        self._connections.add(connection)
        await connection.serve()

    def _close_idle_one(self) -> bool:
        idle = [c for c in self._connections if not c.busy]
        if idle:
            min(idle, key=lambda c: c.spare).close()
        return bool(idle)

    def tidy(self) -> None:
        """Close connections on which nothing is open and nothing has come for long, and those whose clients
        have long taken nothing of their answers or owe the rest of a frame. Called now and then."""
        now = self.clock.now_us()
        idle, stall, whole, hush = (now - int(1e6 * s) for s in (IDLE_S, STALL_S, WHOLE_S, HUSH_S))
        lame = self.lifecycle.state == State.LAME_DUCK
        if self.lifecycle.last_call:
            self.announce_end()
        for connection in list(self._connections):
            unused = not connection.busy and connection.heard_us < idle
            left = lame and connection.left(hush)
            if unused or left or connection.stalled(stall) or connection.late(whole):
                connection.close()

    def account(self, change: int) -> None:
        """Memory is bounded: the client for which most is held goes, and can tell that answers broke off."""
        self.held += change
        if change > 0 and self.held > self.most_held:
            greediest = max(self._connections, key=lambda c: c.held)
            log.warning("slow client dropped", extra=fields(held=greediest.held))
            greediest.close()

    def listen_on(self, sock: socket.socket) -> None:
        self._listener = sock
        self.add_socket(sock)

    def leave(self) -> None:
        """Listen no more. What waits in the listener's queue is taken first: it would be reset."""
        if self._listener is None:
            return
        listener, self._listener = self._listener, None
        with contextlib.suppress(OSError):
            while True:
                sock, address = listener.accept()
                stream = IOStream(sock, max_buffer_size=self.max_buffer_size, read_chunk_size=READ_SIZE)
                self._late.append(asyncio.ensure_future(self.handle_stream(stream, address)))
        self.stop()

    def forget(self, connection: Connection) -> None:
        self._connections.discard(connection)

    def announce_end(self) -> None:
        """Tell all clients to send no new request on their connections."""
        for connection in list(self._connections):
            connection.no_more()

    @property
    def connected(self) -> int:
        """How many clients' connections are open."""
        return len(self._connections)

    @property
    def owing(self) -> bool:
        """Whether there are answers that clients have yet to take."""
        return any(c.owing for c in self._connections)

    def close_all(self) -> None:
        for connection in list(self._connections):
            connection.close()
