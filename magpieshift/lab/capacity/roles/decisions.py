"""Router, data path: the cost of the policy's decisions for a request, by the number of caches in the zone.
No sockets are used."""

from __future__ import annotations

from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.processor import count_processor_time
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.experiments.decisions import OPEN_ATTEMPTS, PolicyRun

REQUESTS = 400  # requests in one measurement
HALF_CORE_US = 0.5e6 / fleet.REQUESTS_PER_ROUTER_S
BUDGET = Budget(
    HALF_CORE_US / 2,
    f"half of a core for {fleet.REQUESTS_PER_ROUTER_S:.0f} requests a second (the mean is not the most), and"
    " half of that for decisions",
)


class Decisions:
    """Requests that are each a cache hit, or a miss followed by its fill."""

    name = "router: decisions"
    quantity = "caches in the zone"
    target = float(fleet.CACHES_PER_ZONE)
    sizes = (4.0, 10.0, 21.0, 42.0, 84.0, 160.0, 400.0)
    quick_sizes = (4.0, 21.0, 42.0, 100.0)
    repeats = 2
    simulated = False
    resources = (Resource("processor", "us a request", BUDGET),)

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Handle requests in a zone of ``size`` caches."""
        run = PolicyRun(int(size), seed)
        for _ in range(2 * OPEN_ATTEMPTS):
            run.request()
        with count_processor_time() as spent:
            for _ in range(REQUESTS):
                run.request()
        return Sample(size, {"processor": 1e6 * spent.seconds / REQUESTS})
