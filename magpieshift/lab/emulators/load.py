"""Clients with open arrivals: each fetches the parts of an object one after another, a refused request is
tried once more after the time it was told, marked as a repeat, and a write keeps its key."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from enum import Enum

import numpy as np
from hdrh.histogram import HdrHistogram

from magpieshift.downstream import frames
from magpieshift.downstream.frames import FrameType, ResponseCode

TIME_LIMITS_MS = {"picture": 1500, "basket": 2000, "order": 2000}


@dataclass
class RequestCounts:
    """What came in one slice of time."""

    sent: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    lost: int = 0
    interrupted: int = 0  # without an answer, where none could come
    latency_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 2))


Answer = tuple[int, dict[str, str], bytes]  # its code, fields and body
RESEND_WINDOW_S = 0.05  # what was written so long before an idle connection's end may be sent once more
MAX_EXAMPLES = 20


class NoAnswer(Enum):
    """Why a request has no answer, in the words of a verdict."""

    UNREACHED = "no connection came up"
    ENDED = "its connection ended"
    CROSSED = "it crossed the end of its connection, twice"
    SILENT = "nothing came in time"


@dataclass
class _PendingAnswer:
    written_s: float  # on the steady clock
    answer: asyncio.Future[Answer]


class _Link:
    """One connection of a client, until either end closes it; ``leaving`` once nothing new may go on it."""

    def __init__(self, crossed_s: float) -> None:
        self._resend_window_s = crossed_s
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._pending: dict[int, _PendingAnswer] = {}
        self._streams = 0
        self._abandoned: set[int] = set()  # streams whose answer nobody waits for any more: it may yet come
        self.is_draining = False
        self.duplicate_answers = 0

    async def connect(self, port: int) -> None:
        reader, self._writer = await asyncio.open_connection("127.0.0.1", port)
        self._reading = asyncio.ensure_future(self._read(reader))

    async def request(self, fields: dict[str, str], body: bytes, patience_s: float) -> Answer | NoAnswer:
        if self._writer is None:  # it ended since it was chosen; nothing was written
            return NoAnswer.CROSSED
        self._streams += 1
        stream = self._streams
        done: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        pending = self._pending[stream] = _PendingAnswer(time.monotonic(), done)
        self._writer.write(
            frames.frame_head(FrameType.REQUEST, stream, frames.write_fields(fields), len(body)) + body
        )
        try:
            async with asyncio.timeout(patience_s + 1.0):
                return await done
        except TimeoutError:
            self._abandoned.add(stream)
            return NoAnswer.SILENT
        except ConnectionError:
            lately = time.monotonic() - pending.written_s <= self._resend_window_s
            return NoAnswer.CROSSED if lately else NoAnswer.ENDED
        finally:
            self._pending.pop(stream, None)
            self._close_if_drained()

    async def _read(self, reader: asyncio.StreamReader) -> None:
        parser = frames.FrameParser()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                for frame in parser.feed(data):
                    if frame.type == FrameType.GO_AWAY:
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
            fields, at = frames.read_fields(frame.payload[1:])
            pending.answer.set_result((frame.payload[0], fields, frame.payload[1 + at :]))

    def _close_if_drained(self) -> None:
        """Who was told to send no more leaves once nothing is open."""
        if self.is_draining and not self._pending and not self._abandoned:
            self.close()

    @property
    def is_closed(self) -> bool:
        return self._writer is None

    def close(self) -> None:
        self.is_draining = True
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        for pending in self._pending.values():
            if not pending.answer.done():
                pending.answer.set_exception(ConnectionError())


class ClientConnection:
    """One client, as the protocol page has it: it goes on over a new connection once it is told to send no
    more on the one it has, and sends a request that crossed a connection's end once more. The loss of
    what a router had read is not hidden by that: stores judge what then comes to them twice.

    ``crossed_s``: how long before its connection's end a request was written at most to be sent again."""

    def __init__(self, port: int, crossed_s: float = RESEND_WINDOW_S) -> None:
        self._port = port
        self._resend_window_s = crossed_s
        self._link: _Link | None = None
        self._links: list[_Link] = []  # all that are not over
        self._connecting = asyncio.Lock()
        self._closed_duplicate_answers = 0  # on connections that are over

    @property
    def duplicate_answers(self) -> int:
        return self._closed_duplicate_answers + sum(link.duplicate_answers for link in self._links)

    async def request(self, fields: dict[str, str], body: bytes, patience_s: float) -> Answer | NoAnswer:
        """The answer, or why there is none."""
        for _ in range(2):
            try:
                async with self._connecting:
                    if self._link is None or self._link.is_draining:
                        self._link = await self._connect()
                    link = self._link
            except OSError:
                return NoAnswer.UNREACHED
            answer = await link.request(fields, body, patience_s)
            if answer is not NoAnswer.CROSSED:
                break
        return answer

    async def _connect(self) -> _Link:
        for over in [link for link in self._links if link.is_closed]:
            self._closed_duplicate_answers += over.duplicate_answers
            self._links.remove(over)
        link = _Link(self._resend_window_s)
        await link.connect(self._port)
        self._links.append(link)
        return link

    def close(self) -> None:
        for link in self._links:
            link.close()


class LoadGenerator:
    """All clients of one router; ``served`` is told each copy: object, when it was minted, when it was asked
    for, and the request's id, which begins with ``mark``. ``excused`` tells whether a request of that moment
    (on the steady clock) may have gone without an answer. A refused request comes back at one of the ports
    ``elsewhere``, where there are any."""

    def __init__(
        self,
        port: int,
        rate: float,
        objects: int,
        seed: int,
        served: Callable[[str, int, float, str], None],
        mark: str = "",
        excused: Callable[[float], bool] = lambda began: False,
        crossed_s: float = RESEND_WINDOW_S,
        elsewhere: Sequence[int] = (),
    ) -> None:
        self._rate = rate
        self._objects = objects
        self._copy_served = served
        self._request_id_prefix = mark
        self._may_go_unanswered = excused
        self._stopping = False
        self._arrivals = np.random.default_rng(seed)
        self._random = random.Random(seed)
        self._connections = [ClientConnection(port, crossed_s) for _ in range(8)]
        self._retry_connections = [ClientConnection(other, crossed_s) for other in elsewhere]
        self._sessions: set[asyncio.Task[None]] = set()
        self.counts_by_second: list[RequestCounts] = []
        self.total = RequestCounts()
        self.retries = 0
        self.unanswered_examples: list[str] = []  # some of those lost, each with what is known of it
        self._started_s = time.monotonic()

    @property
    def duplicate_answers(self) -> int:
        return sum(
            connection.duplicate_answers for connection in [*self._connections, *self._retry_connections]
        )

    def _current_counts(self) -> list[RequestCounts]:
        number = int(time.monotonic() - self._started_s)
        while len(self.counts_by_second) <= number:
            self.counts_by_second.append(RequestCounts())
        return [self.counts_by_second[number], self.total]

    async def run(self, seconds: float) -> None:
        """Sessions begin at random for so long; returns once all are over."""
        self._started_s = time.monotonic()
        parts = 2.0  # mean of a session
        while time.monotonic() - self._started_s < seconds and not self._stopping:
            await asyncio.sleep(float(self._arrivals.exponential(parts / self._rate)))
            task = asyncio.ensure_future(self._session())
            self._sessions.add(task)
            task.add_done_callback(self._sessions.discard)
        while self._sessions:
            await asyncio.wait(list(self._sessions))
        for connection in [*self._connections, *self._retry_connections]:
            connection.close()

    def stop_sending(self) -> None:
        """Begin nothing more; ``run`` returns once all that is open is over."""
        self._stopping = True

    async def _session(self) -> None:
        connection = self._random.choice(self._connections)
        key = f"{int(self._arrivals.zipf(1.2)) % self._objects + 1:016x}"
        write = self._random.random()
        if write < 0.1:
            await self._request(connection, "order" if write < 0.04 else "basket", key, 0)
            return
        for part in range(self._random.randint(1, 3)):
            if not await self._request(connection, "picture", key, part):
                return

    async def _request(self, connection: ClientConnection, name: str, key: str, part: int) -> bool:
        once = f"{self._random.getrandbits(64):016x}"
        for attempt in range(2):
            ident = (
                self._request_id_prefix
                + f"{self._random.getrandbits(64):016x}"[len(self._request_id_prefix) :]
            )
            fields = {
                "c": name,
                "i": ident,
                "d": str(TIME_LIMITS_MS[name]),
                "o": key,
                "slice": str(part),
                "set": str(int(key, 16) % 256),
                "m": "0.9",
            }
            if name == "basket":
                fields["k"] = once
            if attempt:
                fields["r"] = "1"
                self.retries += 1
                if self._retry_connections:  # as a front does
                    connection = self._random.choice(self._retry_connections)
            began = time.monotonic()
            sent = time.time()
            for counts in self._current_counts():
                counts.sent += 1
            body = b"" if name == "picture" else b"eggs"
            answer = await connection.request(fields, body, TIME_LIMITS_MS[name] / 1000)
            took = max(1, int(1e6 * (time.monotonic() - began)))
            excused = isinstance(answer, NoAnswer) and self._may_go_unanswered(began)
            if isinstance(answer, NoAnswer) and not excused and len(self.unanswered_examples) < MAX_EXAMPLES:
                after = f"{name} at {began:.3f}, after {took / 1e6:.3f} s"
                self.unanswered_examples.append(f"{ident} ({after}): {answer.value}")
            for counts in self._current_counts():
                if isinstance(answer, NoAnswer):
                    counts.lost += not excused
                    counts.interrupted += excused
                else:
                    counts.served += answer[0] == ResponseCode.OK
                    counts.rejected += answer[0] == ResponseCode.REJECTED
                    counts.failed += answer[0] == ResponseCode.FAILED
                    if answer[0] == ResponseCode.OK:
                        counts.latency_us.record_value(min(took, 59_000_000))
            if isinstance(answer, NoAnswer):
                return False
            if answer[0] != ResponseCode.REJECTED:
                if answer[0] == ResponseCode.OK and name == "picture":
                    words = answer[2].split(b" ", 3)
                    self._copy_served(key, int(words[2]), sent, ident)
                return answer[0] == ResponseCode.OK
            await asyncio.sleep(int(answer[1].get("w", "100")) / 1000)
        return False
