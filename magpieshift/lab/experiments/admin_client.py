"""Measures the response time of the admin server while the router serves requests and silent clients occupy
the admin connections."""

from __future__ import annotations

import asyncio
import os
import random
import statistics
import time
from typing import Any

from magpieshift.admin.server import MAX_CONNECTIONS
from magpieshift.lab.emulators.loopback_installation import LoopbackInstallation
from magpieshift.lab.emulators.request_generator import RequestGenerator
from magpieshift.lab.experiments.processor_cost import Variant, serving_router
from magpieshift.lab.fault_injection.ports import free_port

CLIENTS = 4  # load clients that share the request rate
SETTLE_S = 0.5  # wait before the first timed command, in which the clients connect
STOP_TIMEOUT_S = 20  # timeout for the router's graceful shutdown


async def _send_command(port: int, line: bytes) -> tuple[float, bytes]:
    """Send one command. Returns the seconds until its answer, and the answer."""
    started_s = time.monotonic()
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(line)
    answer = await reader.readline()
    writer.close()
    return time.monotonic() - started_s, answer


async def _stay_silent(port: int) -> None:
    """Send half a command and wait. Repeat on a new connection each time the server closes it."""
    while True:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"PI")
        await reader.read()
        writer.close()


async def measure(calls: int, rate: float) -> dict[str, Any]:
    """Send ``calls`` admin commands to a router that serves ``rate`` requests per second.

    Returns a row of the report.
    """
    loopback = LoopbackInstallation()
    port = free_port()
    await loopback.start()
    checkout = os.path.dirname(os.path.dirname(os.path.dirname(__file__)))
    variant = Variant("this", checkout, environment={"EDGE_CONSOLE": f"127.0.0.1:{port}"})
    async with serving_router(variant, loopback) as (process, _):
        clients = [
            RequestGenerator(loopback.router_port, random.Random(i), lambda: True) for i in range(CLIENTS)
        ]
        loads = [asyncio.ensure_future(c.run(rate / len(clients), lambda: ["picture"])) for c in clients]
        silent_clients = [asyncio.ensure_future(_stay_silent(port)) for _ in range(MAX_CONNECTIONS)]
        await asyncio.sleep(SETTLE_S)
        results = [await _send_command(port, b"PING\n") for _ in range(calls)]
        for silent_client in silent_clients:
            silent_client.cancel()
        for client in clients:
            client.stop_sending()
        await asyncio.gather(*loads)
        process.terminate()
        await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
    loopback.stop()
    times = [1000 * seconds for seconds, _ in results]
    return {
        "calls": calls,
        "wrong": sum(answer != b"OK serving\n" for _, answer in results),
        "median ms": round(statistics.median(times), 2),
        "slowest ms": round(max(times), 2),
        "mute callers": len(silent_clients),
        "requests": sum(c.sent for c in clients),
        "lost": sum(c.lost for c in clients),
    }
