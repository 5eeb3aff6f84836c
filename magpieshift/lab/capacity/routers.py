"""Starts a router with emulated endpoints and an emulated change log, for roles that measure a whole
process."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass
from pathlib import Path

from magpieshift.lab.capacity.processor import processor_s, resident_mb
from magpieshift.lab.emulators import peers
from magpieshift.lab.emulators.loopback_installation import LoopbackInstallation
from magpieshift.lab.experiments.processor_cost import Variant, serving_router

REPOSITORY_ROOT = str(Path(__file__).resolve().parents[3])
CATCH_UP_TIMEOUT_S = 60.0  # timeout for the router to apply all events that the change log has sent
POLL_INTERVAL_S = 0.02  # polling interval of the router's log file
MAX_START_ATTEMPTS = 4  # starts of a router, each with another port
PORT_TAKEN = "Address already in use"


class CountingChangeLog(peers.ChangeLog):
    """The emulated change log, which counts the events it sends and the bytes it writes."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_written = 0
        self.events_sent = 0

    def publish(self, **event: object) -> None:
        """Send an event to all watches and count it."""
        super().publish(**event)
        self.events_sent += 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await super()._serve(reader, CountingWriter(writer, self))  # type: ignore[arg-type]


class CountingWriter:
    """A stream writer that adds the bytes written to the count of a change log."""

    def __init__(self, writer: asyncio.StreamWriter, log: CountingChangeLog) -> None:
        self._writer = writer
        self._log = log

    def write(self, data: bytes) -> None:
        """Write data and count its bytes."""
        self._log.bytes_written += len(data)
        self._writer.write(data)

    async def drain(self) -> None:
        """Wait until the transport accepts more data."""
        await self._writer.drain()

    def close(self) -> None:
        """Close the stream."""
        self._writer.close()


class CountingInstallation(LoopbackInstallation):
    """The emulated endpoints of a router, with a change log that counts bytes and events."""

    change_log: CountingChangeLog

    def __init__(self) -> None:
        super().__init__()
        self.change_log = CountingChangeLog()

    def purge(self, rng: random.Random, created_s: float) -> None:
        """Send one purge of a random 64-bit object id, created at this Unix time."""
        self.change_log.publish(
            invalidate={"object": f"{rng.getrandbits(64):016x}", "time": int(created_s * 1000)}
        )


@dataclass(frozen=True, slots=True)
class Reading:
    """The processor time, memory and change log bytes of a router at one moment."""

    processor_s: float
    memory_mb: float
    log_bytes: int
    at_s: float  # monotonic clock


class StartedRouter:
    """A started router and its emulated installation."""

    def __init__(self, installation: CountingInstallation, pid: int, log: Path) -> None:
        self.installation = installation
        self.pid = pid
        self._log = log

    def read(self) -> Reading:
        """Read the current counts."""
        return Reading(
            processor_s(self.pid),
            resident_mb(self.pid),
            self.installation.change_log.bytes_written,
            time.monotonic(),
        )

    async def wait_until_caught_up(self) -> None:
        """Wait until the router has applied all events that its change log has sent; ``TimeoutError`` after
        ``CATCH_UP_TIMEOUT_S``."""
        last = f"seq={self.installation.change_log.events_sent}"
        async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
            while last not in self._log.read_text().split():
                await asyncio.sleep(POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def started_router(folder: str = REPOSITORY_ROOT, caches: int = 1) -> AsyncIterator[StartedRouter]:
    """Start the router of a checkout as the platform does, with an endpoint list of ``caches`` caches, and
    wait until it has caught up."""
    async with contextlib.AsyncExitStack() as stack:
        router = await start_router(stack, folder, caches)
        await router.wait_until_caught_up()
        yield router


async def _no_arguments(installation: CountingInstallation) -> Sequence[str]:
    """The command line arguments with which the platform starts a router: none."""
    return ()


async def start_router(
    stack: contextlib.AsyncExitStack,
    folder: str,
    caches: int = 1,
    arguments: Callable[[CountingInstallation], Awaitable[Sequence[str]]] = _no_arguments,
) -> StartedRouter:
    """Start a router that serves until the stack is closed. If another process has taken the chosen port, the
    start is repeated with another port. ``arguments`` returns the router's command line arguments; it is
    called once the emulated installation is running."""
    for _ in range(MAX_START_ATTEMPTS):
        installation = CountingInstallation()
        stack.callback(installation.stop)
        await installation.start(caches)
        variant = Variant("router", folder, await arguments(installation))
        try:
            process, log = await stack.enter_async_context(serving_router(variant, installation))
        except RuntimeError as err:
            if PORT_TAKEN not in str(err):
                raise
        else:
            return StartedRouter(installation, process.pid, log)
    raise RuntimeError(f"the router found its port taken at each of {MAX_START_ATTEMPTS} starts")


class StartedRouterRole:
    """Base class of the roles that start the router of a checkout."""

    def __init__(self, folder: str = REPOSITORY_ROOT) -> None:
        self._folder = folder
