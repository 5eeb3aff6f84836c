"""Runs the emulated change log as a separate process, so that its processor time is not mixed with that of
its readers.

``python -m magpieshift.lab.capacity.log_process RATE`` prints its port and sends RATE purges a second, evenly
spaced, until standard input ends.
"""

from __future__ import annotations

import asyncio
import random
import sys
import time

from magpieshift.lab.emulators import peers

SEED = 1  # seed of the random object ids: every run purges the same objects


async def send_purges(log: peers.ChangeLog, rate: float) -> None:
    """Send evenly spaced purges of random 64-bit object ids until cancelled."""
    rng = random.Random(SEED)
    started_s = time.monotonic()
    sent = 0
    while True:
        sent += 1
        await asyncio.sleep(max(0.0, started_s + sent / rate - time.monotonic()))
        log.publish(invalidate={"object": f"{rng.getrandbits(64):016x}", "time": int(time.time() * 1000)})


async def serve(rate: float) -> None:
    """Serve the change log until standard input ends."""
    log = peers.ChangeLog()
    await log.start()
    print(log.port, flush=True)
    sender = asyncio.ensure_future(send_purges(log, rate))
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)
    sender.cancel()
    log.stop()


if __name__ == "__main__":
    asyncio.run(serve(float(sys.argv[1])))
