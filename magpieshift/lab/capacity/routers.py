"""A started router between stand-ins, for roles that measure a whole process."""

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
from magpieshift.lab.experiments.cost import Variant, started

HERE = str(Path(__file__).resolve().parents[3])
CAUGHT_UP_S = 60.0
POLL_S = 0.02
TRIES = 4
PORT_TAKEN = "Address already in use"


class CountingLog(peers.ChangeLog):
    """The stand-in change log, which counts the bytes it writes."""

    def __init__(self) -> None:
        super().__init__()
        self.written = 0
        self.told = 0

    def publish(self, **event: object) -> None:
        super().publish(**event)
        self.told += 1

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await super()._serve(reader, CountingWriter(writer, self))  # type: ignore[arg-type]


class CountingWriter:
    """A stream writer that adds what is written to a log's count."""

    def __init__(self, writer: asyncio.StreamWriter, log: CountingLog) -> None:
        self._writer = writer
        self._log = log

    def write(self, data: bytes) -> None:
        self._log.written += len(data)
        self._writer.write(data)

    async def drain(self) -> None:
        await self._writer.drain()

    def close(self) -> None:
        self._writer.close()


class CountedWorld(LoopbackInstallation):
    """Stand-ins round a router, with a change log that counts."""

    change_log: CountingLog

    def __init__(self) -> None:
        super().__init__()
        self.change_log = CountingLog()

    def purge(self, draw: random.Random, made_s: float) -> None:
        """Tell one purge of an object drawn from all 64-bit ids, made at this Unix time."""
        self.change_log.publish(
            invalidate={"object": f"{draw.getrandbits(64):016x}", "time": int(made_s * 1000)}
        )


@dataclass(frozen=True, slots=True)
class Reading:
    """What the kernel and the stand-ins have counted of a router so far."""

    processor_s: float
    memory_mb: float
    log_bytes: int
    at_s: float  # steady clock


class Ready:
    """A router that serves, and its world."""

    def __init__(self, world: CountedWorld, pid: int, log: Path) -> None:
        self.world = world
        self.pid = pid
        self._log = log

    def read(self) -> Reading:
        """The counts now."""
        return Reading(
            processor_s(self.pid), resident_mb(self.pid), self.world.change_log.written, time.monotonic()
        )

    async def caught_up(self) -> None:
        """Wait until the router has applied all that its change log told; ``TimeoutError`` where it does
        not."""
        last = f"seq={self.world.change_log.told}"
        async with asyncio.timeout(CAUGHT_UP_S):
            while last not in self._log.read_text().split():
                await asyncio.sleep(POLL_S)


@contextlib.asynccontextmanager
async def ready_router(folder: str = HERE, members: int = 1) -> AsyncIterator[Ready]:
    """The router of a checkout, started as the platform does, beside a list of so many caches."""
    async with contextlib.AsyncExitStack() as stack:
        ready = await come_up(stack, folder, members)
        await ready.caught_up()
        yield ready


async def _bare(world: CountedWorld) -> Sequence[str]:
    """The words behind ``-m magpieshift`` of a router as the platform starts it: none."""
    return ()


async def come_up(
    stack: contextlib.AsyncExitStack,
    folder: str,
    members: int = 1,
    words: Callable[[CountedWorld], Awaitable[Sequence[str]]] = _bare,
) -> Ready:
    """A router that serves, until the stack is closed; another port is tried where somebody took the one
    that was free. ``words`` are those of its command line, once its world is there."""
    for _ in range(TRIES):
        world = CountedWorld()
        stack.callback(world.stop)
        await world.start(members)
        variant = Variant("router", folder, await words(world))
        try:
            process, log = await stack.enter_async_context(started(variant, world))
        except RuntimeError as err:
            if PORT_TAKEN not in str(err):
                raise
        else:
            return Ready(world, process.pid, log)
    raise RuntimeError(f"no free port in {TRIES} tries")
