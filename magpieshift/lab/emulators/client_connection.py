"""One emulated client, as the protocol page has it, with the reason for each answer that didn't come."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass
from enum import Enum

from magpieshift.downstream import frames
from magpieshift.downstream.frames import FrameType

RESEND_WINDOW_S = 0.05  # the protocol page: what crossed a close within 50 ms is sent again, once
ANSWER_GRACE_S = 1.0  # beyond a request's time limit, for a machine under load
READ_BYTES = 65536  # of one read; a socket buffer's order of magnitude


@dataclass(frozen=True, slots=True)
class Answer:
    """A response frame as it came."""

    code: int
    """A ``ResponseCode``."""
    fields: dict[str, str]
    """Under the wire's names."""
    body: bytes


class NoAnswer(Enum):
    """Why a request has no answer, in the words of a report."""

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
    """One TCP connection of a client, until either end closes it."""

    def __init__(self, resend_window_s: float, obeys_go_away: bool) -> None:
        self._resend_window_s = resend_window_s
        self._obeys_go_away = obeys_go_away
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._pending: dict[int, _PendingAnswer] = {}
        """Requests without an answer, by stream."""
        self._last_stream = 0
        self._abandoned: set[int] = set()
        """Streams that timed out: an answer may yet come, and isn't a duplicate."""
        self.is_draining = False
        """Whether nothing new may be sent on it."""
        self.duplicate_answers = 0
        """Answers on streams that had been answered, or never asked."""

    async def connect(self, port: int) -> None:
        """Connect to this port of loopback; ``OSError`` where nobody listens."""
        reader, self._writer = await asyncio.open_connection("127.0.0.1", port)
        self._reading = asyncio.ensure_future(self._read(reader))

    async def request(self, fields: dict[str, str], body: bytes, time_limit_s: float) -> Answer | NoAnswer:
        """Send a request, and wait for its answer."""
        if self._writer is None:  # it ended since it was chosen; nothing was written
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
        """Whether either end has closed it, or it never came up."""
        return self._writer is None

    def close(self) -> None:
        """Close it; pending requests end without an answer."""
        self.is_draining = True
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        for pending in self._pending.values():
            if not pending.answer.done():
                pending.answer.set_exception(ConnectionError())


class ClientConnection:
    """One client: it goes on over a new TCP connection once it receives GO_AWAY on the one it has, and sends
    a request that crossed a connection's end once more.

    The loss of what a router had read is not hidden by that: endpoints detect what then comes to them twice.
    """

    def __init__(
        self, port: int, resend_window_s: float = RESEND_WINDOW_S, obeys_go_away: bool = True
    ) -> None:
        """``resend_window_s``: a request is sent again if it was written at most so long before the end.
        ``obeys_go_away``: if not, it uses a connection until that is closed."""
        self._obeys_go_away = obeys_go_away
        self._port = port
        self._resend_window_s = resend_window_s
        self._current: _Connection | None = None
        self._connections: list[_Connection] = []
        """All that were open when the last one was made."""
        self._connecting = asyncio.Lock()
        self._duplicates_on_closed = 0
        """Duplicate answers on links that are forgotten."""

    @property
    def duplicate_answers(self) -> int:
        """Answers beyond the first of their request."""
        return self._duplicates_on_closed + sum(
            connection.duplicate_answers for connection in self._connections
        )

    async def request(self, fields: dict[str, str], body: bytes, time_limit_s: float) -> Answer | NoAnswer:
        """Send a request: the answer, or why there is none."""
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
        """Close all links."""
        for connection in self._connections:
            connection.close()
