"""Stand-ins, written from the protocol pages: a store, a change log, and a client that counts its answers."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import socket
import time
from collections.abc import Callable, Mapping
from typing import Any

from magpieshift.downstream import frames
from magpieshift.downstream.frames import FrameType, ResponseCode
from magpieshift.upstream import codec

ANSWER_BODY = b"x" * 600


def free_port() -> int:
    """A port of loopback that nobody listens on right now."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


class OverlapDetector:
    """What the stores see together: the rules that need more than one of them to judge."""

    def __init__(self) -> None:
        self._in_flight: dict[str, int] = {}
        self.overlapping: list[str] = []  # requests of which a second attempt came while one was out
        self.attempts = 0

    def attempt_started(self, ident: str) -> None:
        self.attempts += 1
        self._in_flight[ident] = self._in_flight.get(ident, 0) + 1
        if self._in_flight[ident] > 1:
            self.overlapping.append(ident)

    def attempt_ended(self, ident: str) -> None:
        self._in_flight[ident] -= 1
        if not self._in_flight[ident]:
            del self._in_flight[ident]


class StubEndpoint:
    """A cache or an origin: it answers what it holds, and keeps what it was asked to fill."""

    def __init__(
        self, ident: str, watch: OverlapDetector, delay_s: float = 0.004, holds_all: bool = False
    ) -> None:
        self.name = ident
        self._overlaps = watch
        self.delay_s = delay_s
        self._is_origin = holds_all
        self._stored_parts: set[tuple[str, str]] = set()
        self.body = ANSWER_BODY  # of every answer
        self._server: asyncio.Server | None = None
        self.received: list[tuple[float, str]] = []  # when, and what for
        self.port = 0

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        open_: dict[str, asyncio.Task[None]] = {}
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "ASK":
                    fields = codec.read_fields(words[2])
                    size = int(words[3])
                    if size:
                        await reader.readexactly(size + len(codec.LINE_END))
                    else:
                        await reader.readline()
                    open_[words[1]] = asyncio.ensure_future(self._answer(words[1], fields, writer, open_))
                elif words[0] == "QUIT" and (task := open_.pop(words[1], None)) is not None:
                    task.cancel()
                elif words[0] in ("NOOP", "INFO"):
                    writer.write(f"{words[1]} well - 0\r\n\r\n".encode())
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for task in open_.values():
                task.cancel()
            writer.close()

    async def _answer(
        self, ident: str, fields: Mapping[str, str], writer: asyncio.StreamWriter, open_: dict[str, Any]
    ) -> None:
        part = fields["key"], fields["part"]
        self.received.append((time.time(), ident))
        self._overlaps.attempt_started(ident)
        try:
            await asyncio.sleep(self.delay_s)
        finally:
            self._overlaps.attempt_ended(ident)
        if not (self._is_origin or part in self._stored_parts or "via" in fields):
            writer.write(f"{ident} absent - 0\r\n\r\n".encode())
        else:
            self._stored_parts.add(part)
            minted = int(time.time() * 1000)
            head = f"{ident} data tag=t1,minted={minted} {len(self.body)}\r\n"
            writer.write(head.encode() + self.body + codec.LINE_END)
        open_.pop(ident, None)


class ChangeLog:
    """The change log: what was told is told again from where a router left off."""

    def __init__(self) -> None:
        self._events: list[dict[str, Any]] = []
        self._published = asyncio.Event()
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    def publish(self, **event: Any) -> None:
        self._events.append({"seq": len(self._events) + 1} | event)
        self._published.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # at the end of the program the server's tasks are cancelled, which asyncio's streams would report
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            last = head.partition("last-event-id:")[2].partition("\r\n")[0].strip()
            at = int(last or 0)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
            while True:
                for event in self._events[at:]:
                    writer.write(f"id: {event['seq']}\ndata: {json.dumps(event)}\n\n".encode())
                at = len(self._events)
                writer.write(b": alive\n\n")
                await writer.drain()
                self._published.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._published.wait(), 0.5)
        writer.close()


def list_entry(
    store: StubEndpoint, zone: str, kind: str, cell: int, phase: str = "SERVING"
) -> dict[str, Any]:
    """A store as the change log lists it."""
    return {
        "id": store.name,
        "host_port": f"127.0.0.1:{store.port}",
        "locality": zone,
        "flavor": kind,
        "cell": cell,
        "phase": phase,
        "size": 4,
        "up_since_ms": 0,
    }


class RequestGenerator:
    """One client connection at a time, made anew when it ends; every request must get one answer.

    ``alive`` tells whether the router may be expected to answer: what is open when it is killed is
    ``cut``."""

    def __init__(self, port: int, rand: random.Random, alive: Callable[[], bool]) -> None:
        self._port = port
        self._random = rand
        self._router_runs = alive
        self._deadlines_s: dict[int, float] = {}  # stream: when its time is over
        self._writer: asyncio.StreamWriter | None = None
        self.sent = 0
        self.served = 0
        self.rejected = 0
        self.failed = 0
        self.lost = 0
        self.interrupted = 0
        self.duplicate_answers = 0
        self._stopping = asyncio.Event()

    async def run(self, rate: float, classes: Callable[[], list[str]]) -> None:
        """Send open arrivals until ``settle``."""
        reading: asyncio.Task[None] | None = None
        stream = 0
        try:
            while not self._stopping.is_set():
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._stopping.wait(), self._random.expovariate(rate))
                if self._stopping.is_set():
                    break
                self._expire()
                if self._writer is None or reading is None or reading.done():
                    try:
                        reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
                    except OSError:
                        continue
                    stream = 0
                    reading = asyncio.ensure_future(self._read(reader))
                stream += 1
                self._send(stream, self._random.choice(classes()))
            while self._deadlines_s:  # each has a time at which it counts as lost
                await asyncio.sleep(0.01)
                self._expire()
        finally:
            if reading is not None:
                reading.cancel()
            if self._writer is not None:
                self._writer.close()

    def stop_sending(self) -> None:
        """Send no more; ``run`` ends once all is answered or lost."""
        self._stopping.set()

    def _send(self, stream: int, name: str) -> None:
        assert self._writer is not None
        fields = {
            "c": name,
            "i": f"{self._random.getrandbits(64):016x}",
            "d": "1500",
            "o": f"{self._random.randrange(200) + 1:016x}",
            "slice": "0",
            "set": "1",
            "m": "1",
        }
        if name.startswith("basket"):
            fields["k"] = fields["i"]
        self._writer.write(frames.frame_head(FrameType.REQUEST, stream, frames.write_fields(fields)))
        self._deadlines_s[stream] = time.monotonic() + 2.5
        self.sent += 1

    async def _read(self, reader: asyncio.StreamReader) -> None:
        parser = frames.FrameParser()
        try:
            while data := await reader.read(65536):
                for frame in parser.feed(data):
                    if frame.type == FrameType.RESPONSE:
                        self._answer_received(frame)
        except ConnectionError:
            pass
        # at once: by the next request a router that was killed may be up again
        self._connection_ended()

    def _answer_received(self, frame: frames.Frame) -> None:
        if self._deadlines_s.pop(frame.stream_id, None) is None:
            self.duplicate_answers += 1
            return
        code = frame.payload[0]
        self.served += code == ResponseCode.OK
        self.rejected += code == ResponseCode.REJECTED
        self.failed += code == ResponseCode.FAILED

    def _expire(self) -> None:
        now = time.monotonic()
        for stream in [stream for stream, end in self._deadlines_s.items() if end < now]:
            del self._deadlines_s[stream]
            self._count_lost(1)

    def _connection_ended(self) -> None:
        """The connection has ended with requests open."""
        self._count_lost(len(self._deadlines_s))
        self._deadlines_s.clear()
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    def _count_lost(self, count: int) -> None:
        if self._router_runs():
            self.lost += count
        else:
            self.interrupted += count
