"""How long the operators' door takes to answer while a router serves, and others call to say nothing."""

from __future__ import annotations

import asyncio
import os
import random
import statistics
import time
from typing import Any

from magpieshift.admin.server import MAX_CONNECTIONS
from magpieshift.lab.emulators import peers
from magpieshift.lab.emulators.world import LoopbackInstallation
from magpieshift.lab.experiments.cost import Variant, started


async def _call(port: int, line: bytes) -> tuple[float, bytes]:
    begun = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(line)
    answer = await reader.readline()
    writer.close()
    return time.monotonic() - begun, answer


async def _mute(port: int) -> None:
    """Half a call, again and again."""
    while True:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"PI")
        await reader.read()
        writer.close()


async def measure(calls: int, rate: float) -> dict[str, Any]:
    """One router under load; a row."""
    world = LoopbackInstallation()
    port = peers.free_port()
    await world.start()
    here = os.path.dirname(os.path.dirname(os.path.dirname(__file__)))
    variant = Variant("this", here, environment={"EDGE_CONSOLE": f"127.0.0.1:{port}"})
    async with started(variant, world) as (process, _):
        clients = [
            peers.RequestGenerator(world.router_port, random.Random(i), lambda: True) for i in range(4)
        ]
        loads = [asyncio.ensure_future(c.run(rate / len(clients), lambda: ["picture"])) for c in clients]
        mute = [asyncio.ensure_future(_mute(port)) for _ in range(MAX_CONNECTIONS)]
        await asyncio.sleep(0.5)
        found = [await _call(port, b"PING\n") for _ in range(calls)]
        for each in mute:
            each.cancel()
        for client in clients:
            client.stop_sending()
        await asyncio.gather(*loads)
        process.terminate()
        await asyncio.wait_for(process.wait(), 20)
    world.stop()
    times = [1000 * took for took, _ in found]
    return {
        "calls": calls,
        "wrong": sum(answer != b"OK serving\n" for _, answer in found),
        "median ms": round(statistics.median(times), 2),
        "slowest ms": round(max(times), 2),
        "mute callers": len(mute),
        "requests": sum(c.sent for c in clients),
        "lost": sum(c.lost for c in clients),
    }
