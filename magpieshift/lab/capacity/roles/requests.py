"""Router, data path: the cost of requests to a started router, by their rate and by the size of the
response."""

from __future__ import annotations

import asyncio
import random

from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.capacity.routers import StartedRouter, StartedRouterRole, started_router
from magpieshift.lab.emulators.request_generator import RequestGenerator

SETTLE_S = 0.2  # wait between the start of the clients and the measurement
CLIENTS = 4  # clients; each sends an equal part of the requests
HALF_CORE_BUDGET = Budget(
    50.0, "half of the one core that one Python process can use: the mean is not the most"
)
BYTES_REQUEST_RATE = 60.0  # requests a second while the cost by response size is measured


async def percent_of_core(
    router: StartedRouter, rate: float, seed: int, duration_s: float
) -> tuple[float, float]:
    """Send requests at this rate; returns percent of a core used by the router, and the requests sent a
    second."""
    clients = [
        RequestGenerator(router.installation.router_port, random.Random(seed + n), lambda: True)
        for n in range(CLIENTS)
    ]
    loads = [asyncio.ensure_future(client.run(rate / CLIENTS, lambda: ["picture"])) for client in clients]
    await asyncio.sleep(SETTLE_S)
    started = router.read()
    sent = sum(client.sent for client in clients)
    await asyncio.sleep(duration_s)
    ended = router.read()
    sent = sum(client.sent for client in clients) - sent
    for client in clients:
        client.stop_sending()
    await asyncio.gather(*loads)
    if lost := sum(client.lost for client in clients):
        raise RuntimeError(f"{lost} of {sum(client.sent for client in clients)} requests had no answer")
    took_s = ended.at_s - started.at_s
    return 100 * (ended.processor_s - started.processor_s) / took_s, sent / took_s


class Requests(StartedRouterRole):
    """The cost by the rate of requests for small objects, with one cache and an origin."""

    name = "router: requests"
    quantity = "requests a second"
    target = float(round(fleet.REQUESTS_PER_ROUTER_S))
    sizes = (38.0, 75.0, 151.0, 302.0, 604.0)
    quick_sizes = (19.0, 38.0, 75.0, 151.0)
    repeats = 2
    simulated = False
    resources = (
        Resource("processor", "% of a core", HALF_CORE_BUDGET),
        Resource("resident memory", "MB of the whole process"),
    )

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Send requests to a started router at this rate."""
        return asyncio.run(self._measure(size, seed, duration_s))

    async def _measure(self, rate: float, seed: int, duration_s: float) -> Sample:
        async with started_router(self._folder) as router:
            percent, sent = await percent_of_core(router, rate, seed, duration_s)
            memory = router.read().memory_mb
        # arrivals are random and do not wait for responses, so the cost is scaled to the requested rate
        return Sample(rate, {"processor": percent * rate / sent, "resident memory": memory})


class ResponseBytes(StartedRouterRole):
    """The cost of a request by the size of its response. Endpoints may send at most 256 KB in one
    response."""

    name = "router: bytes of an answer"
    quantity = "bytes of an answer"
    target = float(round(fleet.BYTES_PER_REQUEST))
    sizes = (600.0, 30_000.0, 60_000.0, 120_000.0, 240_000.0)
    quick_sizes = (600.0, 15_000.0, 30_000.0, 60_000.0)
    repeats = 2
    simulated = False
    resources = (
        Resource(
            "processor",
            "us a request",
            Budget(
                0.5e6 / fleet.REQUESTS_PER_ROUTER_S,
                f"half of a core for {fleet.REQUESTS_PER_ROUTER_S:.0f} requests a second",
            ),
        ),
    )

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Send requests whose responses have ``size`` bytes."""
        return asyncio.run(self._measure(int(size), seed, duration_s))

    async def _measure(self, size: int, seed: int, duration_s: float) -> Sample:
        async with started_router(self._folder) as router:
            for endpoint in (router.installation.cache, router.installation.origin):
                endpoint.body = b"x" * size
            percent, sent = await percent_of_core(router, BYTES_REQUEST_RATE, seed, duration_s)
        return Sample(size, {"processor": 1e4 * percent / sent})
