"""The thin driver of the front: sockets to sessions, and sessions to the engine."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping

from tornado.iostream import StreamClosedError

from magpieshift.clock import LoopClock
from magpieshift.config import Document
from magpieshift.downstream.frames import MOST, FrameError
from magpieshift.downstream.session import MOST_OPEN, Abandoned, Asked, Chunks, ReadyAsked, Session, Unusable
from magpieshift.engine.engine import Engine
from magpieshift.engine.model import ClientRequest, Response
from magpieshift.lifecycle import Lifecycle, State
from magpieshift.log import fields
from magpieshift.sockets import READ_CHUNK_BYTES, LingeringClose, LingeringStream, Listener

log = logging.getLogger(__name__)

MOST_READ = 1 << 20  # bytes of one connection that its stream holds unparsed
AT_ONCE = 8  # reads of one connection before others have their turn: a flood costs its own connection alone
HIGH_WATER = 1 << 20  # unsent bytes of one connection, above which its new requests wait
MOST_UNSENT = HIGH_WATER + MOST_OPEN * MOST  # it can owe no more than that to whoever keeps to the protocol
WHOLE_S = 2.0  # for a client to send a whole frame, from its connecting or from the frame's first byte
IDLE_S = 60.0  # with nothing open; clients close after 4 s
STALL_S = 10.0  # without taking a byte of its answers
NOTICE_IDLE_S = 0.3  # after a client was told to send no more, and has nothing open: it is not coming back


class Connection:
    """One client: owner of its socket, of its session and of the bytes held for it."""

    def __init__(self, server: DownstreamServer, stream: LingeringStream) -> None:
        self._server = server
        self._stream = stream
        self._session = Session(server.classes)
        self._ops: dict[int, int] = {}  # open stream: the engine's number
        self._held: dict[int, None] = {}  # of those, the ones that wait for it to take its answers
        self._unsent = 0
        self._read: asyncio.Future[bytes] | None = None
        self._ended = False
        self._leaving = False
        self._told_unusable = False
        self.held = 0
        self._owes_since_us: int | None = server.clock.now_us()  # since when a whole frame is to come
        self.heard_us = self._moved_us = server.clock.now_us()

    @property
    def busy(self) -> bool:
        return bool(self._ops) or self._unsent > 0

    @property
    def resting(self) -> bool:
        """Whether nothing is owed on it: nothing open or unsent, and nothing come that was not read yet. A
        request may have come just now, and one that came before the close has a right to its answer."""
        read = self._read is not None and self._read.done()
        return not (self.busy or read or self._stream.has_unread)

    @property
    def eviction_rank(self) -> tuple[bool, int]:
        """The least goes first where room is needed: who has never asked, then who was silent longest."""
        return self._session.frames > 0, self.heard_us

    @property
    def owing(self) -> bool:
        return self._unsent > 0

    async def serve(self) -> None:
        """Read until the client leaves or is let go; then give up what it has open. It is always read from,
        also when it takes nothing: its cancels and its close must be seen."""
        in_one_turn = 0
        try:
            while True:
                self._read = asyncio.ensure_future(self._stream.read_bytes(READ_CHUNK_BYTES, partial=True))
                in_one_turn = in_one_turn + 1 if self._read.done() else 0
                data = await self._read
                if not self._leaving:
                    self._take(data)
                if in_one_turn >= AT_ONCE:
                    in_one_turn = 0
                    await asyncio.sleep(0)
        except StreamClosedError:
            pass
        except Exception:
            log.exception("connection failed")
        finally:
            self._end()

    def _take(self, data: bytes) -> None:
        """What the client sent."""
        self.heard_us = self._server.clock.now_us()
        before = self._session.frames
        try:
            for event in self._session.feed(data):
                self._on(event)
        except FrameError as err:
            log.warning("bad frame", extra=fields(reason=err))
            return self.leave(str(err))
        except Exception:
            log.exception("client's bytes not taken")
            return self.leave("internal error")
        if self._session.pending == 0 and self._session.frames > before:
            self._owes_since_us = None
        elif self._owes_since_us is None or self._session.frames > before:
            self._owes_since_us = self.heard_us
        self._account()

    def _look(self) -> None:
        """Take in what the client has sent by now, ahead of the loop's turn: it may be a cancel or its close,
        and nothing begins for a client that has gone."""
        if self._ended or self._read is None or self._read.done() or self._stream.closed():
            return
        try:
            data = self._stream.socket.recv(READ_CHUNK_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self._end()
        elif not self._leaving:
            self._take(data)

    def leave(self, reason: str) -> None:
        """Tell the client of an error, answer what was taken before it, and close. From here on what comes is
        read and thrown away."""
        if not self._leaving:
            self._leaving = True
            self._write(self._session.error(reason))
            self._settle()

    def _on(self, event: Asked | Unusable | Abandoned | ReadyAsked) -> None:
        engine = self._server.engine
        stream = event.stream
        match event:
            case Asked() if self._server.turning_away:  # told, and asking on: answered at once
                self._write(self._session.answer(stream, engine.draining_response()))
            case Asked(call=call) if self._server.relieved is not None and self._server.relieved(call):
                self._write(self._session.answer(stream, engine.draining_response()))
            case Asked(call=call):
                waits = self._unsent > HIGH_WATER
                op = engine.submit(call, lambda answer: self._answer(stream, answer), waits, self._look)
                self._ops[stream] = op
                if waits:
                    self._held[stream] = None
            case Unusable(reason=reason, verdict=verdict):
                if not self._told_unusable:  # once for each client, or one of them fills the log
                    log.warning("unusable request", extra=fields(reason=reason))
                self._told_unusable = True
                self._write(self._session.answer(stream, Response(verdict)))
            case Abandoned():
                op = self._ops[stream]
                self._release(stream)
                engine.cancel(op)
            case ReadyAsked():
                self._write(self._session.ready(stream, self._server.lifecycle.is_ready))

    def _answer(self, stream: int, answer: Response) -> None:
        self._write(self._session.answer(stream, answer))
        self._release(stream)

    def _release(self, stream: int) -> None:
        """The one place where an open request leaves its connection."""
        self._ops.pop(stream, None)
        self._held.pop(stream, None)
        self._settle()

    def _settle(self) -> None:
        """Close once nothing is owed to a client that is let go."""
        if self._leaving and not self.busy:
            self._end()

    def no_more(self) -> None:
        self._write(self._session.no_more())

    def close(self) -> None:
        """Let this client go; ``serve`` ends with it."""
        self._end()

    def late(self, past_us: int) -> bool:
        """Whether it has owed a whole frame since then: some say nothing, or never come to an end."""
        return self._owes_since_us is not None and self._owes_since_us < past_us

    def done_after_notice(self, quiet_since_us: int) -> bool:
        """Whether a client that was told to send no more holds its connection for nothing. Who only asks
        whether we are ready may go on asking."""
        if self.busy or not self._session.told_no_more:
            return False
        turning_away = self._server.lifecycle.rejects_requests
        cutting = self._server.lifecycle.cuts_incomplete_requests
        asks_only = self._session.requests == 0
        quiet = self.heard_us < quiet_since_us
        if self._session.pending:
            return cutting
        return quiet or (turning_away and not asks_only)

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
        while self._held and self._unsent <= HIGH_WATER:
            stream = next(iter(self._held))
            del self._held[stream]
            self._server.engine.resume(self._ops[stream])
        self._settle()
        self._account()
        if self._unsent > MOST_UNSENT:  # it asks without end, and takes no answer
            log.warning("slow client dropped", extra=fields(held=self.held))
            self._end()

    def _account(self) -> None:
        """Tell the server how much is held for this client: what it has not taken, and a frame in part."""
        held = 0 if self._ended else self._unsent + self._session.pending
        change = held - self.held
        self.held = held
        self._server.account(change)

    def _end(self) -> None:
        """The one place where a connection is given back."""
        if self._ended:
            return
        self._ended = True
        for stream, op in list(self._ops.items()):
            self._release(stream)
            self._server.engine.cancel(op)
        self._account()
        self._server.forget(self)
        self._stream.close()


class DownstreamServer:
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
        self.engine = engine
        self.clock = clock
        self.classes = classes
        self.lifecycle = lifecycle
        self.held = 0  # bytes held for all clients
        self.relieved: Callable[[ClientRequest], bool] | None = (
            None  # whether a request is a neighbour's to take
        )
        self.most_held = most_held
        self.most_connections = most_connections
        self._connections: set[Connection] = set()
        self._listener: Listener | None = None
        self._closing = LingeringClose()
        self._ending = False
        self._serving: set[asyncio.Task[None]] = set()

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Nothing of its own to make ready: classes are the engine's, bounds the limits'."""
        return lambda: None

    def running(self) -> dict[str, object]:
        """The classes that requests may name."""
        return {"classes": sorted(self.classes)}

    def _taken(self, sock: socket.socket) -> None:
        self.serve(LingeringStream(sock, self._closing, MOST_READ))

    def serve(self, stream: LingeringStream) -> None:
        """A client has connected: serve it until it leaves or is let go."""
        stream.set_nodelay(True)
        if len(self._connections) >= self.most_connections and not self._close_idle_one():
            log.warning("too many clients", extra=fields(open=len(self._connections)))
            return stream.close()
        connection = Connection(self, stream)
        self._connections.add(connection)
        serving = asyncio.ensure_future(connection.serve())
        self._serving.add(serving)
        serving.add_done_callback(self._serving.discard)

    def _close_idle_one(self) -> bool:
        for connection in sorted((c for c in self._connections if not c.busy), key=lambda c: c.eviction_rank):
            if connection.resting:
                connection.close()
                return True
        return False

    def _short(self) -> None:
        """Descriptors have run out: who is on the way out, or rests, gives one back."""
        if len(self._closing) == 0:
            self._close_idle_one()
        self._closing.drop_oldest()

    def tidy(self) -> None:
        """Close connections on which nothing is open and nothing has come for long, and those whose clients
        have long taken nothing of their answers or owe the rest of a frame. Called now and then."""
        now = self.clock.now_us()
        idle, stall, whole, quiet = (now - int(1e6 * s) for s in (IDLE_S, STALL_S, WHOLE_S, NOTICE_IDLE_S))
        lame = self.lifecycle.state == State.LAME_DUCK
        if self.lifecycle.arrivals_settled:
            self.announce_end()
        for connection in list(self._connections):
            late = connection.late(whole)
            unused = late or connection.heard_us < idle or (lame and connection.done_after_notice(quiet))
            if connection.stalled(stall) or (unused and connection.resting):
                connection.close()
            elif late:  # what it asked before is answered yet
                connection.leave("frame not whole in time")

    def account(self, change: int) -> None:
        """Memory is bounded: the client for which most is held goes, and can tell that answers broke off."""
        self.held += change
        if change > 0 and self.held > self.most_held:
            greediest = max(self._connections, key=lambda c: c.held)
            log.warning("slow client dropped", extra=fields(held=greediest.held))
            greediest.close()

    def listen_on(self, sock: socket.socket) -> None:
        self._listener = Listener(sock, self._taken, self._short)

    def stop_listening(self) -> None:
        """Listen no more; what waits in the listener's queue is taken first."""
        listener = self._listener
        self._listener = None
        if listener is not None:
            listener.close()

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

    @property
    def turning_away(self) -> bool:
        """Whether what still comes is refused at once."""
        return self._ending or self.lifecycle.rejects_requests

    async def end(self, within_s: float) -> None:
        """Listen no more, refuse what still comes, and close each connection once nothing is owed on it; all
        that is left after this time is closed as it is."""
        self._ending = True
        self.stop_listening()
        # nobody comes any more, so descriptors do not bound how many linger at once
        self._closing.max_open += len(self._connections)
        loop = asyncio.get_running_loop()
        end = loop.time() + within_s
        while True:
            for connection in list(self._connections):
                if connection.resting:
                    connection.close()
            if not (self._connections or self._closing) or loop.time() >= end:
                return self.close_all()
            await asyncio.sleep(0.005)

    def close_all(self) -> None:
        """Give back every socket, whatever is open."""
        self.stop_listening()
        for connection in list(self._connections):
            connection.close()
        self._closing.close()
