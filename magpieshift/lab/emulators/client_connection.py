"""An emulated client that follows the protocol page, and reports why a request got no answer."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass
from enum import Enum

from magpieshift.downstream import frames
from magpieshift.downstream.frames import FrameType

RESEND_WINDOW_S = 0.05  # the protocol page: a request written up to 50 ms before a close is resent once
ANSWER_GRACE_S = 1.0  # waited beyond a request's time limit, for delays on a machine under load
READ_BYTES = 65536  # maximum per read, the order of magnitude of a socket buffer


@dataclass(frozen=True, slots=True)
class Answer:
    """A received response frame."""

    code: int
    """A ``ResponseCode``."""
    fields: dict[str, str]
    """The response's fields by their names on the wire."""
    body: bytes


class NoAnswer(Enum):
    """Why a request has no answer; the values are written into reports."""

    NOT_CONNECTED = "no connection came up"
    DISCONNECTED = "its connection ended"
    RACED_WITH_CLOSE = "it crossed the end of its connection, twice"
    TIMED_OUT = "nothing came in time"


@dataclass(slots=True)
class _PendingAnswer:
    written_s: float
    """Steady time at which the request was written."""
    answer: asyncio.Future[Answer]


class _Connection:
    """One TCP connection of a client. It is not reused after either end has closed it."""

    def __init__(self, resend_window_s: float, obeys_go_away: bool) -> None:
        self._resend_window_s = resend_window_s
        self._obeys_go_away = obeys_go_away
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._pending: dict[int, _PendingAnswer] = {}
        """Requests that await an answer, by stream."""
        self._last_stream = 0
        self._abandoned: set[int] = set()
        """Streams whose request timed out: an answer that still arrives is not a duplicate."""
        self.is_draining = False
        """Whether no more requests may be sent on the connection."""
        self.duplicate_answers = 0
        """Answers on streams that were already answered or never carried a request."""

    async def connect(self, port: int) -> None:
        """Connect to a port on loopback. Raises ``OSError`` if no process listens there."""
        reader, self._writer = await asyncio.open_connection("127.0.0.1", port)
        self._reading = asyncio.ensure_future(self._read(reader))

    async def request(self, fields: dict[str, str], body: bytes, time_limit_s: float) -> Answer | NoAnswer:
        """Send a request and wait for its answer; return the reason if there is none."""
        if self._writer is None:  # closed after it was chosen: nothing was written
            return NoAnswer.RACED_WITH_CLOSE
        self._last_stream += 1
        stream = self._last_stream
        answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        pending = _PendingAnswer(time.monotonic(), answer)
        self._pending[stream] = pending
        head = frames.frame_head(FrameType.REQUEST, stream, frames.write_fields(fields), len(body))
        self._writer.write(head + body)
        try:
            async with asyncio.timeout(time_limit_s + ANSWER_GRACE_S):
                return await answer
        except TimeoutError:
            self._abandoned.add(stream)
            return NoAnswer.TIMED_OUT
        except ConnectionError:
            has_raced = time.monotonic() - pending.written_s <= self._resend_window_s
            return NoAnswer.RACED_WITH_CLOSE if has_raced else NoAnswer.DISCONNECTED
        finally:
            self._pending.pop(stream, None)
            self._close_if_drained()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        parser = frames.FrameParser()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                for frame in parser.feed(data):
                    if frame.type == FrameType.GO_AWAY and self._obeys_go_away:
                        self.is_draining = True
                        self._close_if_drained()
                    elif frame.type == FrameType.RESPONSE:
                        self._answer_received(frame)
        self.close()

    def _answer_received(self, frame: frames.Frame) -> None:
        pending = self._pending.pop(frame.stream_id, None)
        if pending is None and frame.stream_id in self._abandoned:
            self._abandoned.discard(frame.stream_id)
        elif pending is None:
            self.duplicate_answers += 1
        elif not pending.answer.done():
            fields, body_start = frames.read_fields(frame.payload[1:])
            pending.answer.set_result(Answer(frame.payload[0], fields, frame.payload[1 + body_start :]))

    def _close_if_drained(self) -> None:
        if self.is_draining and not self._pending and not self._abandoned:
            self.close()

    @property
    def is_closed(self) -> bool:
        """Whether either end has closed the connection, or it was never established."""
        return self._writer is None

    def close(self) -> None:
        """Close the connection; pending requests end without an answer."""
        self.is_draining = True
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        for pending in self._pending.values():
            if not pending.answer.done():
                pending.answer.set_exception(ConnectionError())


class ClientConnection:
    """One client. After GO_AWAY it sends new requests on a new TCP connection, and it resends, once, a
    request that it wrote just before the connection closed.

    Resending does not hide a router that loses requests it has read: the endpoints then receive such a
    request twice, and detect it.
    """

    def __init__(
        self, port: int, resend_window_s: float = RESEND_WINDOW_S, obeys_go_away: bool = True
    ) -> None:
        """``resend_window_s``: a request is resent if it was written at most this long before the connection
        ended. ``obeys_go_away``: if False, the client uses a connection until it is closed."""
        self._obeys_go_away = obeys_go_away
        self._port = port
        self._resend_window_s = resend_window_s
        self._current: _Connection | None = None
        self._connections: list[_Connection] = []
        """The current connection and those that were still open when it was made."""
        self._connecting = asyncio.Lock()
        self._duplicates_on_closed = 0
        """Duplicate answers on connections removed from ``_connections``."""

    @property
    def duplicate_answers(self) -> int:
        """Answers beyond the first of their request."""
        return self._duplicates_on_closed + sum(
            connection.duplicate_answers for connection in self._connections
        )

    async def request(self, fields: dict[str, str], body: bytes, time_limit_s: float) -> Answer | NoAnswer:
        """Send a request; return its answer, or the reason if there is none."""
        for _ in range(2):
            try:
                async with self._connecting:
                    if self._current is None or self._current.is_draining:
                        self._current = await self._connect()
                    connection = self._current
            except OSError:
                return NoAnswer.NOT_CONNECTED
            answer = await connection.request(fields, body, time_limit_s)
            if answer is not NoAnswer.RACED_WITH_CLOSE:
                break
        return answer

    async def _connect(self) -> _Connection:
        for closed in [connection for connection in self._connections if connection.is_closed]:
            self._duplicates_on_closed += closed.duplicate_answers
            self._connections.remove(closed)
        connection = _Connection(self._resend_window_s, self._obeys_go_away)
        await connection.connect(self._port)
        self._connections.append(connection)
        return connection

    def close(self) -> None:
        """Close all connections."""
        for connection in self._connections:
            connection.close()
