"""Measures a router's own memory and processor time under floods of requests that are over at once.

What a router keeps of such requests would grow with the clients' rate, which nothing limits.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import secrets
import tempfile
import time
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import Any

from magpieshift.downstream import frames
from magpieshift.downstream.frames import FrameType
from magpieshift.lab.capacity.processor import processor_s
from magpieshift.lab.emulators.loopback_installation import LoopbackInstallation
from magpieshift.lab.experiments.processor_cost import platform_json
from magpieshift.lab.process_memory import MemoryKind, memory_mb
from magpieshift.lab.soak.router_process import RouterProcess

OWN_PROGRAM = ("-m", "magpieshift")
"""The interpreter's arguments that start this package's router."""
READ_CLASS = "picture"
WRITE_CLASS = "basket"
CLIENTS = 6
CANCELLED_AT_ONCE = 300
"""Number of requests that a client sends and takes back in one write."""
OPEN_AT_ONCE = 32
"""Number of requests that the platform's clients may have open on a connection."""
BODY_BYTES = 48_000
"""Size of the body of a write, the largest that the platform allows."""
READ_BYTES = 65_536
SAMPLE_INTERVAL_S = 0.05
WAIT_TIMEOUT_S = 20.0
"""Time after which a client gives up on the answers to one write."""


class FloodKind(StrEnum):
    """How the requests of a flood end."""

    CANCELLED = "cancelled"
    """Taken back in the write that sends them."""
    DUPLICATE = "duplicate"
    """Failed, as their id is in use by an open request."""
    SERVED = "served"
    REJECTED = "rejected"
    """Rejected by the policy, as no endpoint is listed."""
    BODIES = "bodies"
    """Writes with a body, taken back in the write that sends them."""


@dataclass(frozen=True)
class FloodResult:
    """What a router needed for one flood."""

    kind: FloodKind
    requests: int
    seconds: float
    memory_before_mb: float
    """The router's own memory (anonymous pages) before the flood, in MB of 2**20 bytes."""
    memory_peak_mb: float
    """The most that it had for itself while the flood lasted."""
    processor_us: float
    """Processor time of the router for each request, in microseconds."""
    has_ended: bool
    """Whether the router has ended meanwhile."""

    def as_row(self) -> dict[str, object]:
        """The result as a row of a report."""
        return {
            "flood": self.kind.value,
            "requests": self.requests,
            "a_second": round(self.requests / self.seconds),
            "memory_before_mb": round(self.memory_before_mb, 1),
            "memory_peak_mb": round(self.memory_peak_mb, 1),
            "processor_us": round(self.processor_us, 1),
            "ended": self.has_ended,
        }


class FloodClient:
    """A client that sends as fast as the router answers, and reads whatever it is sent."""

    def __init__(self, kind: FloodKind) -> None:
        self._kind = kind
        self._parser = frames.FrameParser()
        self._last_stream = 0
        self._last_readiness_stream = 0
        self.requests = 0
        """Number of requests that are over."""

    async def run(self, port: int, until_s: float) -> None:
        """Flood a router on this port of loopback until a steady time, or until it disconnects."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        with contextlib.suppress(ConnectionError, TimeoutError):
            while time.monotonic() < until_s:
                data, count, answers = self._next_requests()
                writer.write(data)
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    await self._read_answers(reader, answers)
                self.requests += count
        writer.close()

    def _next_requests(self) -> tuple[bytes, int, int]:
        """The next bytes to write, the number of requests in them, and the number of frames that answer
        them."""
        if self._kind in (FloodKind.CANCELLED, FloodKind.BODIES):
            has_body = self._kind is FloodKind.BODIES
            count = OPEN_AT_ONCE if has_body else CANCELLED_AT_ONCE
            data = b"".join(self._request(has_body) + self._cancel() for _ in range(count))
            return data + self._readiness_request(), count, 1
        count = OPEN_AT_ONCE
        request_id = secrets.token_hex(8) if self._kind is FloodKind.DUPLICATE else ""
        return b"".join(self._request(request_id=request_id) for _ in range(count)), count, count

    def _request(self, has_body: bool = False, request_id: str = "") -> bytes:
        self._last_stream += 1
        values = {
            "c": WRITE_CLASS if has_body else READ_CLASS,
            "i": request_id or secrets.token_hex(8),
            "d": "2000",
            "o": "7f3a9c21e0b4d655",
            "slice": "1",
            "m": "9.5",
        }
        if has_body:
            values["k"] = secrets.token_hex(16)
        body = bytes(BODY_BYTES) if has_body else b""
        payload = frames.write_fields(values)
        return frames.frame_head(FrameType.REQUEST, self._last_stream, payload, len(body)) + body

    def _cancel(self) -> bytes:
        return frames.frame_head(FrameType.CANCEL, self._last_stream)

    def _readiness_request(self) -> bytes:
        """A request whose answer shows that everything before it was read."""
        self._last_readiness_stream += 1
        payload = frames.write_fields({})
        return frames.frame_head(FrameType.READINESS_REQUEST, self._last_readiness_stream, payload)

    async def _read_answers(self, reader: asyncio.StreamReader, count: int) -> None:
        while count > 0:
            data = await reader.read(READ_BYTES)
            if not data:
                raise ConnectionResetError("the router has disconnected")
            count -= sum(frame.type != FrameType.GO_AWAY for frame in self._parser.feed(data))


def router_config(router_port: int, change_log_port: int) -> dict[str, Any]:
    """The platform's configuration of a router with a class for reads and one for writes."""
    config = platform_json(router_port, change_log_port)
    settings = config["settings"]
    (reads,) = settings["Classes"]
    settings["Classes"].append(reads | {"Name": WRITE_CLASS, "Effect": "guarded", "DedupWindowUs": 3_000_000})
    specifics = settings["Specifics"]
    for name, value in (("ClassWrite", True), ("InPieces", False), ("GraceForUs", 0), ("MaxAgeUs", 0)):
        specifics[name].append(value)
    specifics["StaleEarns"].append(0.0)
    return config


def program_of(checkout: Path) -> list[str]:
    """The interpreter's arguments that start the router of a checkout."""
    start = "runpy.run_module('magpieshift', run_name='__main__', alter_sys=True)"
    return ["-c", f"import runpy, sys; sys.path.insert(0, {str(checkout.resolve())!r}); {start}"]


async def run_flood(kind: FloodKind, seconds: float, program: Sequence[str] = OWN_PROGRAM) -> FloodResult:
    """Start a router between emulated peers, and flood it; ``LookupError`` if it does not get ready.

    ``program`` are the interpreter's arguments that start the router.
    """
    installation = LoopbackInstallation()
    installation.cache.delay_s = installation.origin.delay_s = 0.0
    await installation.start()
    if kind is FloodKind.REJECTED:
        installation.change_log.publish(fleet={"revision": 2, "complete": True, "members": []})
    with tempfile.TemporaryDirectory() as folder:
        config = Path(folder) / "config.json"
        config.write_text(json.dumps(router_config(installation.router_port, installation.change_log.port)))
        environment = {"EDGE_CONFIG": str(config), "TMPDIR": folder}
        router = await RouterProcess.start(program, [], environment, Path(folder) / "log")
        try:
            if not await router.wait_until_ready():
                raise LookupError(f"router: found not ready, expected ready; its log: {router.log_text()!r}")
            return await _flood(router, kind, installation.router_port, seconds)
        finally:
            await router.kill()
            installation.stop()


async def _flood(router: RouterProcess, kind: FloodKind, port: int, seconds: float) -> FloodResult:
    pid = router.process.pid
    memory_before_mb = memory_peak_mb = memory_mb(pid, MemoryKind.ANONYMOUS)
    processor_before_s = processor_spent_s = processor_s(pid)
    clients = [FloodClient(kind) for _ in range(CLIENTS)]
    started_s = time.monotonic()
    flooding = [asyncio.ensure_future(client.run(port, started_s + seconds)) for client in clients]
    while not all(task.done() for task in flooding) and router.process.returncode is None:
        with contextlib.suppress(OSError):
            memory_peak_mb = max(memory_peak_mb, memory_mb(pid, MemoryKind.ANONYMOUS))
            processor_spent_s = processor_s(pid)
        await asyncio.wait(flooding, timeout=SAMPLE_INTERVAL_S)
    await asyncio.gather(*flooding)
    requests = sum(client.requests for client in clients)
    return FloodResult(
        kind,
        requests,
        time.monotonic() - started_s,
        memory_before_mb,
        memory_peak_mb,
        1e6 * (processor_spent_s - processor_before_s) / max(1, requests),
        router.process.returncode is not None,
    )


async def run_floods(
    kinds: Iterable[FloodKind], seconds: float, program: Sequence[str] = OWN_PROGRAM
) -> list[FloodResult]:
    """Run floods one after another, each with a router of its own."""
    return [await run_flood(kind, seconds, program) for kind in kinds]
