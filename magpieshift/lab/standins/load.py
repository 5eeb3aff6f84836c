"""Clients with open arrivals: each fetches the parts of an object one after another, a refused request is
tried once more after the time it was told, marked as a repeat, and a write keeps its key."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np
from hdrh.histogram import HdrHistogram

from magpieshift.front import frames
from magpieshift.front.frames import Code, Type

PATIENCE_MS = {"picture": 1500, "basket": 2000, "order": 2000}


@dataclass
class Second:
    """What came in one slice of time."""

    sent: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    lost: int = 0
    cut: int = 0  # without an answer, where none could come
    latency_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, 60_000_000, 2))


@dataclass
class _Pending:
    ident: str
    key: str
    sent: float
    done: asyncio.Future[tuple[int, dict[str, str], bytes]]


class Connection:
    """One client's connection; it is made anew when it ends."""

    def __init__(self, port: int) -> None:
        self._port = port
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self._open: dict[int, _Pending] = {}
        self._streams = 0
        self._given_up: set[int] = set()  # streams whose answer nobody waits for any more: it may yet come
        self._connecting = asyncio.Lock()
        self.doubles = 0

    async def ask(
        self, fields: dict[str, str], body: bytes, patience_s: float
    ) -> tuple[int, dict[str, str], bytes] | None:
        """The answer's code, fields and body; None where none came."""
        try:
            async with self._connecting:
                if self._writer is None:
                    reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
                    self._reading = asyncio.ensure_future(self._read(reader))
                    self._streams = 0
                    self._given_up.clear()
        except OSError:
            return None
        self._streams += 1
        stream = self._streams
        done: asyncio.Future[tuple[int, dict[str, str], bytes]] = asyncio.get_running_loop().create_future()
        self._open[stream] = _Pending(fields["i"], fields["o"], time.time(), done)
        self._writer.write(frames.head(Type.REQUEST, stream, frames.write_fields(fields), len(body)) + body)
        try:
            async with asyncio.timeout(patience_s + 1.0):
                return await done
        except TimeoutError:
            self._given_up.add(stream)
            return None
        except ConnectionError:
            return None
        finally:
            self._open.pop(stream, None)

    async def _read(self, reader: asyncio.StreamReader) -> None:
        parser = frames.FrameParser()
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(65536):
                for frame in parser.feed(data):
                    if frame.type == Type.ANSWER:
                        pending = self._open.pop(frame.stream, None)
                        if pending is None and frame.stream in self._given_up:
                            self._given_up.discard(frame.stream)
                        elif pending is None:
                            self.doubles += 1
                        elif not pending.done.done():
                            fields, at = frames.read_fields(frame.payload[1:])
                            pending.done.set_result((frame.payload[0], fields, frame.payload[1 + at :]))
        self.close()

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()
            self._writer = None
        for pending in self._open.values():
            if not pending.done.done():
                pending.done.set_exception(ConnectionError())


class Load:
    """All clients of one router; ``served`` is told each copy: object, when it was minted, when it was asked
    for, and the request's id, which begins with ``mark``. ``excused`` tells whether a request of that moment
    (on the steady clock) may have gone without an answer."""

    def __init__(
        self, port: int, rate: float, objects: int, seed: int,
        served: Callable[[str, int, float, str], None], mark: str = "",
        excused: Callable[[float], bool] = lambda began: False,
    ) -> None:  # fmt: skip
        self._rate, self._objects, self._served = rate, objects, served
        self._mark, self._excused, self._settled = mark, excused, False
        self._draw, self._random = np.random.default_rng(seed), random.Random(seed)
        self._connections = [Connection(port) for _ in range(8)]
        self._sessions: set[asyncio.Task[None]] = set()
        self.slices: list[Second] = []
        self.total = Second()
        self.retries = 0
        self._began = time.monotonic()

    @property
    def doubles(self) -> int:
        return sum(connection.doubles for connection in self._connections)

    def _slice(self) -> list[Second]:
        number = int(time.monotonic() - self._began)
        while len(self.slices) <= number:
            self.slices.append(Second())
        return [self.slices[number], self.total]

    async def run(self, seconds: float) -> None:
        """Sessions begin at random for so long; returns once all are over."""
        self._began = time.monotonic()
        parts = 2.0  # mean of a session
        while time.monotonic() - self._began < seconds and not self._settled:
            await asyncio.sleep(float(self._draw.exponential(parts / self._rate)))
            task = asyncio.ensure_future(self._session())
            self._sessions.add(task)
            task.add_done_callback(self._sessions.discard)
        while self._sessions:
            await asyncio.wait(list(self._sessions))
        for connection in self._connections:
            connection.close()

    def settle(self) -> None:
        """Begin nothing more; ``run`` returns once all that is open is over."""
        self._settled = True

    async def _session(self) -> None:
        connection = self._random.choice(self._connections)
        key = f"{int(self._draw.zipf(1.2)) % self._objects + 1:016x}"
        write = self._random.random()
        if write < 0.1:
            await self._request(connection, "order" if write < 0.04 else "basket", key, 0)
            return
        for part in range(self._random.randint(1, 3)):
            if not await self._request(connection, "picture", key, part):
                return

    async def _request(self, connection: Connection, name: str, key: str, part: int) -> bool:
        once = f"{self._random.getrandbits(64):016x}"
        for attempt in range(2):
            ident = self._mark + f"{self._random.getrandbits(64):016x}"[len(self._mark) :]
            fields = {
                "c": name, "i": ident, "d": str(PATIENCE_MS[name]), "o": key,
                "slice": str(part), "set": str(int(key, 16) % 256), "m": "0.9",
            }  # fmt: skip
            if name == "basket":
                fields["k"] = once
            if attempt:
                fields["r"] = "1"
                self.retries += 1
            began, sent = time.monotonic(), time.time()
            for counts in self._slice():
                counts.sent += 1
            body = b"" if name == "picture" else b"eggs"
            answer = await connection.ask(fields, body, PATIENCE_MS[name] / 1000)
            took = max(1, int(1e6 * (time.monotonic() - began)))
            for counts in self._slice():
                if answer is None:
                    excused = self._excused(began)
                    counts.lost += not excused
                    counts.cut += excused
                else:
                    counts.served += answer[0] == Code.OK
                    counts.refused += answer[0] == Code.REFUSED
                    counts.failed += answer[0] == Code.FAILED
                    if answer[0] == Code.OK:
                        counts.latency_us.record_value(min(took, 59_000_000))
            if answer is None or answer[0] != Code.REFUSED:
                if answer is not None and answer[0] == Code.OK and name == "picture":
                    words = answer[2].split(b" ", 3)
                    self._served(key, int(words[2]), sent, ident)
                return answer is not None and answer[0] == Code.OK
            await asyncio.sleep(int(answer[1].get("w", "100")) / 1000)
        return False
