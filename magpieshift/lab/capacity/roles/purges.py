"""Router, control: the cost of purges, by their rate, to a started router that gets no requests and reads the
change log directly."""

from __future__ import annotations

import asyncio
import random
import time

from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.capacity.routers import CountingInstallation, StartedRouterRole, started_router

PURGE_RETENTION_S = 12.0  # twice the purge propagation time of the emulated settings

CONTROL_DERIVATION = "all of control on a router"
PROCESSOR = Resource("processor", "% of a core", Budget(fleet.CONTROL_CPU_PERCENT, CONTROL_DERIVATION))
BYTES = Resource("bytes", "bytes a second", Budget(fleet.CONTROL_BYTES_PER_S, CONTROL_DERIVATION))
MEMORY = Resource("memory", "MB above a router at rest", Budget(fleet.CONTROL_MB, CONTROL_DERIVATION))
RESIDENT = Resource("resident memory", "MB of the whole process")


def send_retained_purges(installation: CountingInstallation, rate: float, rng: random.Random) -> None:
    """Send without pause as many purges as arrive at this rate within ``PURGE_RETENTION_S``, with creation
    times spread over that time."""
    now = time.time()
    count = int(rate * PURGE_RETENTION_S)
    for number in range(count):
        installation.purge(rng, now - PURGE_RETENTION_S * (1 - number / count))


async def send_purges(
    installation: CountingInstallation, rate: float, rng: random.Random, duration_s: float
) -> None:
    """Send single, evenly spaced purges at this rate for about ``duration_s``: their number is rounded, and
    at least one."""
    started = time.monotonic()
    count = max(1, round(rate * duration_s))
    for number in range(1, count + 1):
        await asyncio.sleep(max(0.0, started + number / rate - time.monotonic()))
        installation.purge(rng, time.time())


class RouterPurges(StartedRouterRole):
    """Single purges at an even rate, while the router retains the purges of ``PURGE_RETENTION_S`` at that
    rate."""

    name = "router: purges"
    quantity = "purges a second"
    target = float(fleet.PURGES_PER_S)
    sizes = (1.0, 27.0, 55.0, 110.0, 220.0, 440.0)
    quick_sizes = (1.0, 27.0, 55.0, 110.0)
    repeats = 2
    simulated = False
    resources = (PROCESSOR, BYTES, MEMORY, RESIDENT)

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Send purges to a started router at this rate."""
        return asyncio.run(self._measure(size, random.Random(seed), duration_s))

    async def _measure(self, rate: float, rng: random.Random, duration_s: float) -> Sample:
        async with started_router(self._folder) as router:
            idle = router.read()
            send_retained_purges(router.installation, rate, rng)
            await router.wait_until_caught_up()
            started = router.read()
            await send_purges(router.installation, rate, rng, duration_s)
            ended = router.read()
        took_s = ended.at_s - started.at_s
        return Sample(
            rate,
            {
                "processor": 100 * (ended.processor_s - started.processor_s) / took_s,
                "bytes": (ended.log_bytes - started.log_bytes) / took_s,
                "memory": max(0.0, ended.memory_mb - idle.memory_mb),
                "resident memory": ended.memory_mb,
            },
        )
