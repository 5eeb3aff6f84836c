"""A started router between emulated neighbours, for roles that measure a whole process."""

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
from magpieshift.lab.emulators.world import LoopbackInstallation
from magpieshift.lab.experiments.cost import Variant, serving_router

REPOSITORY_ROOT = str(Path(__file__).resolve().parents[3])
CATCH_UP_TIMEOUT_S = 60.0  # for all that the change log has sent
POLL_INTERVAL_S = 0.02  # between looks at the router's log
MAX_START_ATTEMPTS = 4  # each at another port
PORT_TAKEN = "Address already in use"


class CountingChangeLog(peers.ChangeLog):
    """The emulated change log, which counts the bytes that it writes."""

    def __init__(self) -> None:
        super().__init__()
        self.bytes_written = 0
        self.events_sent = 0

    def publish(self, **event: object) -> None:
        """Send an event to all watches, and count it."""
        super().publish(**event)
        self.events_sent += 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await super()._serve(reader, CountingWriter(writer, self))  # type: ignore[arg-type]


class CountingWriter:
    """A stream writer that adds what is written to a log's count."""

    def __init__(self, writer: asyncio.StreamWriter, log: CountingChangeLog) -> None:
        self._writer = writer
        self._log = log

    def write(self, data: bytes) -> None:
        """Write data, and count its bytes."""
        self._log.bytes_written += len(data)
        self._writer.write(data)

    async def drain(self) -> None:
        """Wait until the transport takes more."""
        await self._writer.drain()

    def close(self) -> None:
        """Close the stream."""
        self._writer.close()


class CountingWorld(LoopbackInstallation):
    """Emulated neighbours of a router, with a change log that counts."""

    change_log: CountingChangeLog

    def __init__(self) -> None:
        super().__init__()
        self.change_log = CountingChangeLog()

    def purge(self, draw: random.Random, made_s: float) -> None:
        """Send one purge of an object drawn from all 64-bit ids, made at this Unix time."""
        self.change_log.publish(
            invalidate={"object": f"{draw.getrandbits(64):016x}", "time": int(made_s * 1000)}
        )


@dataclass(frozen=True, slots=True)
class Reading:
    """What the kernel and the emulated change log have counted of a router so far."""

    processor_s: float
    memory_mb: float
    log_bytes: int
    at_s: float  # steady clock


class StartedRouter:
    """A router that serves, and its world."""

    def __init__(self, world: CountingWorld, pid: int, log: Path) -> None:
        self.world = world
        self.pid = pid
        self._log = log

    def read(self) -> Reading:
        """The counts now."""
        return Reading(
            processor_s(self.pid),
            resident_mb(self.pid),
            self.world.change_log.bytes_written,
            time.monotonic(),
        )

    async def caught_up(self) -> None:
        """Wait until the router has applied all that its change log has sent; ``TimeoutError`` where it
        does not."""
        last = f"seq={self.world.change_log.events_sent}"
        async with asyncio.timeout(CATCH_UP_TIMEOUT_S):
            while last not in self._log.read_text().split():
                await asyncio.sleep(POLL_INTERVAL_S)


@contextlib.asynccontextmanager
async def started_router(folder: str = REPOSITORY_ROOT, members: int = 1) -> AsyncIterator[StartedRouter]:
    """The router of a checkout, started as the platform does, beside a list of so many caches."""
    async with contextlib.AsyncExitStack() as stack:
        ready = await start_router(stack, folder, members)
        await ready.caught_up()
        yield ready


async def _no_arguments(world: CountingWorld) -> Sequence[str]:
    """The arguments after ``-m magpieshift`` of a router as the platform starts it: none."""
    return ()


async def start_router(
    stack: contextlib.AsyncExitStack,
    folder: str,
    members: int = 1,
    arguments: Callable[[CountingWorld], Awaitable[Sequence[str]]] = _no_arguments,
) -> StartedRouter:
    """A router that serves, until the stack is closed; another port is tried where the free one was
    taken meanwhile. ``arguments`` returns those of its command line, once its world is there."""
    for _ in range(MAX_START_ATTEMPTS):
        world = CountingWorld()
        stack.callback(world.stop)
        await world.start(members)
        variant = Variant("router", folder, await arguments(world))
        try:
            process, log = await stack.enter_async_context(serving_router(variant, world))
        except RuntimeError as err:
            if PORT_TAKEN not in str(err):
                raise
        else:
            return StartedRouter(world, process.pid, log)
    raise RuntimeError(f"no free port in {MAX_START_ATTEMPTS} tries")


class StartedRouterRole:
    """Base of the roles that start the router of a checkout."""

    def __init__(self, folder: str = REPOSITORY_ROOT) -> None:
        self._folder = folder
