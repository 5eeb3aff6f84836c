"""A simple client that sends requests at random times to one router, and counts the answers."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import Callable

from magpieshift.downstream import frames
from magpieshift.downstream.frames import FrameType, ResponseCode

TIME_LIMIT_MS = 1500  # time limit of each request
ANSWER_TIMEOUT_S = 2.5  # until a request counts as lost: its time limit and 1 s for a loaded machine
EXPIRY_POLL_S = 0.01  # polling interval for lost requests while the client stops
OBJECTS = 200  # number of objects requested; fewer give more hits
READ_BYTES = 65536  # maximum per read, the order of magnitude of a socket buffer


class RequestGenerator:
    """A client with one connection, reopened when it ends. Every request must get exactly one answer."""

    def __init__(self, port: int, rand: random.Random, is_router_running: Callable[[], bool]) -> None:
        """``is_router_running`` returns whether the router should answer: requests that are open when it is
        killed count as interrupted, not as lost."""
        self._port = port
        self._random = rand
        self._is_router_running = is_router_running
        self._deadlines_s: dict[int, float] = {}
        """Steady time at which an open request counts as lost, by stream."""
        self._writer: asyncio.StreamWriter | None = None
        self.sent = 0
        self.served = 0
        self.rejected = 0
        self.failed = 0
        self.lost = 0
        """Requests without an answer although the router was running."""
        self.interrupted = 0
        """Requests without an answer because the router was not running."""
        self.duplicate_answers = 0
        """Answers on streams without an open request."""
        self._stopping = asyncio.Event()

    async def run(self, rate: float, classes: Callable[[], list[str]]) -> None:
        """Send requests with open-loop arrivals, on average ``rate`` per second, each of a class drawn from
        ``classes()``, until ``stop_sending`` is called."""
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
            while self._deadlines_s:  # each is answered, or counts as lost at its deadline
                await asyncio.sleep(EXPIRY_POLL_S)
                self._expire()
        finally:
            if reading is not None:
                reading.cancel()
            if self._writer is not None:
                self._writer.close()

    def stop_sending(self) -> None:
        """Send no more requests; ``run`` returns when each is answered or lost."""
        self._stopping.set()

    def _send(self, stream: int, class_name: str) -> None:
        assert self._writer is not None
        fields = {
            "c": class_name,
            "i": f"{self._random.getrandbits(64):016x}",
            "d": str(TIME_LIMIT_MS),
            "o": f"{self._random.randrange(OBJECTS) + 1:016x}",
            "slice": "0",
            "set": "1",
            "m": "1",
        }
        if class_name.startswith("basket"):
            fields["k"] = fields["i"]
        self._writer.write(frames.frame_head(FrameType.REQUEST, stream, frames.write_fields(fields)))
        self._deadlines_s[stream] = time.monotonic() + ANSWER_TIMEOUT_S
        self.sent += 1

    async def _read(self, reader: asyncio.StreamReader) -> None:
        parser = frames.FrameParser()
        try:
            while data := await reader.read(READ_BYTES):
                for frame in parser.feed(data):
                    if frame.type == FrameType.RESPONSE:
                        self._answer_received(frame)
        except ConnectionError:
            pass  # handled like the end of the stream
        # before the next request: by then a router that was killed may be running again
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
        now_s = time.monotonic()
        for stream in [stream for stream, end_s in self._deadlines_s.items() if end_s < now_s]:
            del self._deadlines_s[stream]
            self._count_lost(1)

    def _connection_ended(self) -> None:
        """Count the requests that were open on the ended connection."""
        self._count_lost(len(self._deadlines_s))
        self._deadlines_s.clear()
        if self._writer is not None:
            self._writer.close()
            self._writer = None

    def _count_lost(self, count: int) -> None:
        if self._is_router_running():
            self.lost += count
        else:
            self.interrupted += count
