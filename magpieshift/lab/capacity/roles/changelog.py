"""Change-log source: the cost of sending the target rate of purges to watches, by their number."""

from __future__ import annotations

import asyncio
import contextlib
import sys
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.processor import processor_s, resident_mb
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.capacity.roles.purges import RESIDENT

SETTLE_S = 0.3  # wait between connecting the watches and the measurement
WATCH_REQUEST = b"GET /changes HTTP/1.1\r\nHost: log\r\nAccept: text/event-stream\r\n\r\n"
NETWORK_BYTES_PER_S = 125e6 / 2  # half of a gigabit a second


class Watcher(asyncio.Protocol):
    """A watch of the change log that only counts the bytes it receives."""

    def __init__(self) -> None:
        self.bytes_received = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Request the event stream."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(WATCH_REQUEST)

    def data_received(self, data: bytes) -> None:
        """Count the bytes received."""
        self.bytes_received += len(data)


@dataclass(frozen=True, slots=True)
class LogProcess:
    """A started change log process and its port."""

    pid: int
    port: int


@contextlib.asynccontextmanager
async def log_process(rate: float) -> AsyncIterator[LogProcess]:
    """Run a change log in a separate process that sends this many purges a second."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "magpieshift.lab.capacity.log_process",
        str(rate),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    try:
        assert process.stdout is not None
        async with asyncio.timeout(30):
            port = int(await process.stdout.readline())
        yield LogProcess(process.pid, port)
    finally:
        if process.returncode is None:
            process.kill()
        await process.wait()


HALF_CORE_BUDGET = Budget(50.0, "half of the one core that one Python process can use")
NETWORK_BUDGET = Budget(NETWORK_BYTES_PER_S, "half of a gigabit a second, assumed")


class ChangeLogSource:
    """The emulated change log with watchers that read without delay. Without the fan-out tier, every router
    is a watch."""

    name = "change-log source"
    quantity = "watches"
    target = float(fleet.ROUTERS)
    sizes = (10.0, 20.0, 40.0, 80.0, 160.0)  # about 300 watches saturate one core
    quick_sizes = (10.0, 20.0, 40.0, 80.0)
    repeats = 2
    simulated = False
    resources = (
        Resource("processor", "% of a core", HALF_CORE_BUDGET),
        Resource("bytes", "bytes a second", NETWORK_BUDGET),
        RESIDENT,
    )

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Connect ``size`` watches and measure the change log's process for ``duration_s``."""
        return asyncio.run(self._measure(int(size), duration_s))

    async def _measure(self, watches: int, duration_s: float) -> Sample:
        loop = asyncio.get_running_loop()
        async with log_process(fleet.PURGES_PER_S) as log:
            watchers = []
            transports = []
            for _ in range(watches):
                transport, watcher = await loop.create_connection(Watcher, "127.0.0.1", log.port)
                watchers.append(watcher)
                transports.append(transport)
            await asyncio.sleep(SETTLE_S)
            processor_seconds = processor_s(log.pid)
            bytes_received = _total_bytes_received(watchers)
            started_s = time.monotonic()
            await asyncio.sleep(duration_s)
            took_s = time.monotonic() - started_s
            processor_seconds = processor_s(log.pid) - processor_seconds
            bytes_received = _total_bytes_received(watchers) - bytes_received
            memory = resident_mb(log.pid)
            for transport in transports:
                transport.close()
        return Sample(
            watches,
            {
                "processor": 100 * processor_seconds / took_s,
                "bytes": bytes_received / took_s,
                "resident memory": memory,
            },
        )


def _total_bytes_received(watchers: list[Watcher]) -> int:
    return sum(watcher.bytes_received for watcher in watchers)
