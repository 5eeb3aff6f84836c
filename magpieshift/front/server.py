"""The thin driver of the front: sockets to sessions, and sessions to the engine."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Mapping

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from magpieshift.clock import LoopClock
from magpieshift.core.engine import Engine
from magpieshift.core.model import Answer
from magpieshift.front.frames import FrameError
from magpieshift.front.session import Abandoned, Asked, Chunks, ReadyAsked, Session, Unusable
from magpieshift.log import fields

log = logging.getLogger(__name__)

READ_SIZE = 65_536
HIGH_WATER = 1 << 20  # unsent bytes of one connection, above which no more of it is read
IDLE_S = 60.0  # with nothing open; clients close after 4 s


class Unsent:
    """Bytes of answers that clients have yet to take, over all connections, and the bound on them."""

    def __init__(self, most: int) -> None:
        self.most, self.total = most, 0


class Connection:
    """One client: owner of its socket, of its session and of its unsent bytes."""

    def __init__(self, server: FrontServer, stream: IOStream) -> None:
        self._server, self._stream = server, stream
        self._session = Session(server.classes)
        self._ops: dict[int, int] = {}  # open stream: the engine's number
        self._drained = asyncio.Event()
        self._drained.set()
        self.unsent = 0
        self.heard_us = server.clock.now_us()

    @property
    def busy(self) -> bool:
        return self._session.busy or self.unsent > 0

    async def serve(self) -> None:
        """Read until the client leaves or errs; then give up what it has open."""
        try:
            while True:
                await self._drained.wait()  # a client that does not take its answers is not read from
                data = await self._stream.read_bytes(READ_SIZE, partial=True)
                self.heard_us = self._server.clock.now_us()
                for event in self._session.feed(data):
                    self._on(event)
        except FrameError as err:
            log.warning("bad frame", extra=fields(reason=err))
            self._write(self._session.error(str(err)))
        except StreamClosedError:
            pass
        finally:
            self._end()

    def _on(self, event: Asked | Unusable | Abandoned | ReadyAsked) -> None:
        engine, stream = self._server.engine, event.stream
        match event:
            case Asked(call=call):
                self._ops[stream] = engine.submit(call, lambda answer: self._answer(stream, answer))
            case Unusable(reason=reason, verdict=verdict):
                log.warning("unusable request", extra=fields(reason=reason))
                self._answer(stream, Answer(verdict))
            case Abandoned():
                engine.abandon(self._ops.pop(stream))
            case ReadyAsked():
                self._write(self._session.ready(stream, self._server.ready))

    def _answer(self, stream: int, answer: Answer) -> None:
        self._ops.pop(stream, None)
        self._write(self._session.answer(stream, answer))

    def no_more(self) -> None:
        self._write(self._session.no_more())

    def close(self) -> None:
        """Close the socket; ``serve`` ends with it."""
        self._stream.close()

    def _write(self, chunks: Chunks) -> None:
        """Hand bytes to the socket. A body goes as the view of it that the back has filled."""
        if self._stream.closed() or not chunks:
            return
        size = sum(map(len, chunks))
        for chunk in chunks:
            done = self._stream.write(memoryview(chunk))
        if not done.done():
            self._hold(size)
            done.add_done_callback(lambda _: self._hold(-size))

    def _hold(self, size: int) -> None:
        """The one place where unsent bytes are counted, and counted off."""
        self.unsent += size
        self._server.unsent.total += size
        if self.unsent > HIGH_WATER:
            self._drained.clear()
        else:
            self._drained.set()
        if size > 0 and self._server.unsent.total > self._server.unsent.most:
            self._server.shed_slowest()

    def _end(self) -> None:
        """The one place where a connection is given back."""
        for op in self._ops.values():
            self._server.engine.abandon(op)
        self._ops.clear()
        self._server.forget(self)
        self._drained.set()
        self._stream.close()


class FrontServer(TCPServer):
    """Listens for clients; owner of all their connections."""

    def __init__(
        self,
        engine: Engine,
        clock: LoopClock,
        classes: Mapping[str, int],
        most_connections: int,
        most_unsent: int,
    ) -> None:
        super().__init__(max_buffer_size=1 << 20, read_chunk_size=READ_SIZE)
        self.engine, self.clock, self.classes = engine, clock, classes
        self.unsent = Unsent(most_unsent)
        self.ready = False
        self._most = most_connections
        self._connections: set[Connection] = set()

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        stream.set_nodelay(True)
        if len(self._connections) >= self._most and not self._close_idle_one():
            log.warning("too many clients", extra=fields(open=len(self._connections)))
            return stream.close()
        connection = Connection(self, stream)
        self._connections.add(connection)
        await connection.serve()

    def _close_idle_one(self) -> bool:
        idle = [c for c in self._connections if not c.busy]
        if idle:
            min(idle, key=lambda c: c.heard_us).close()
        return bool(idle)

    def close_idle(self, idle_s: float = IDLE_S) -> None:
        """Close connections on which nothing is open and nothing has come for so long."""
        past = self.clock.now_us() - int(idle_s * 1e6)
        for connection in [c for c in self._connections if not c.busy and c.heard_us <= past]:
            connection.close()

    def shed_slowest(self) -> None:
        """Memory is bounded: the client that holds most of it goes, and can tell that answers broke off."""
        slowest = max(self._connections, key=lambda c: c.unsent, default=None)
        if slowest is not None:
            log.warning("slow client dropped", extra=fields(unsent=slowest.unsent))
            slowest.close()

    def forget(self, connection: Connection) -> None:
        self._connections.discard(connection)

    def announce_end(self) -> None:
        """Tell all clients to send no new request on their connections."""
        for connection in list(self._connections):
            connection.no_more()

    @property
    def busy(self) -> bool:
        return any(c.busy for c in self._connections)

    def close_all(self) -> None:
        for connection in list(self._connections):
            connection.close()


def listen_socket(host: str, port: int) -> socket.socket:
    """A listening socket on this address alone."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.setblocking(False)
    sock.bind((host, port))
    sock.listen(512)
    return sock
