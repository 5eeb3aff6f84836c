"""The stand-in change log as a process of its own, so that its processor time is not that of its readers.

``python -m magpieshift.lab.capacity.log_process RATE`` prints its port and tells purges at this even rate
until its standard input ends.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time

from magpieshift.lab.emulators import peers

SEED = 1


async def tell_purges(log: peers.ChangeLog, rate: float) -> None:
    """Tell purges of objects drawn from all ids at an even rate, for ever."""
    draw = random.Random(SEED)
    begun = time.monotonic()
    told = 0
    while True:
        told += 1
        await asyncio.sleep(max(0.0, begun + told / rate - time.monotonic()))
        log.publish(invalidate={"object": f"{draw.getrandbits(64):016x}", "time": int(time.time() * 1000)})


async def serve(rate: float) -> None:
    """Serve a log until standard input ends."""
    log = peers.ChangeLog()
    await log.start()
    print(log.port, flush=True)
    telling = asyncio.ensure_future(tell_purges(log, rate))
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    telling.cancel()
    log.stop()


if __name__ == "__main__":
    asyncio.run(serve(float(sys.argv[1])))
