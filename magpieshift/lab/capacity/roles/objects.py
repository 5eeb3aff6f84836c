"""Router, data path: what a request costs, and what the policy keeps, by the objects requested."""

from __future__ import annotations

import tracemalloc
from dataclasses import replace

from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.processor import count_processor_time
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.capacity.roles.decisions import BUDGET
from magpieshift.lab.experiments.decisions import PolicyRun
from magpieshift.policy.events import Event, RequestReceived

TARGET_OBJECTS = 35_000_000_000  # of the whole fleet
MEASURED_REQUESTS = 100  # requests over which the cost of one is measured
PROGRAM_MEMORY_MB = 16.0  # of the emulated settings' 64 MB, for the program


class EveryObjectOnce(PolicyRun):
    """Requests of which each asks for an object that was never requested."""

    def _handle(self, event: Event) -> None:
        if isinstance(event, RequestReceived):
            event = replace(event, object_key=event.request_id)
        super()._handle(event)


class Objects:
    """So many objects requested, one after another, in a zone of the target's size."""

    name = "router: objects known"
    quantity = "objects asked for"
    target = TARGET_OBJECTS / fleet.ROUTERS
    sizes = (125.0, 250.0, 500.0, 1000.0)
    quick_sizes = (100.0, 110.0, 120.0, 240.0)
    repeats = 1
    simulated = False
    resources = (
        Resource("processor", "us a request", BUDGET),
        Resource("memory", "MB", Budget(PROGRAM_MEMORY_MB, "a quarter of 64 MB is the program's")),
    )

    def measure(self, size: float, seed: int, for_s: float) -> Sample:
        """Request so many different objects; the last ones are timed."""
        run = EveryObjectOnce(fleet.CACHES_PER_ZONE, seed)
        for _ in range(int(size) - MEASURED_REQUESTS):
            run.request()
        with count_processor_time() as spent:
            for _ in range(MEASURED_REQUESTS):
                run.request()
        return Sample(
            size,
            {"processor": 1e6 * spent.seconds / MEASURED_REQUESTS, "memory": self._allocated_mb(size, seed)},
        )

    @staticmethod
    def _allocated_mb(size: float, seed: int) -> float:
        """Memory allocated once all were requested; counted in a run of its own, as counting takes time."""
        tracemalloc.start()
        try:
            run = EveryObjectOnce(fleet.CACHES_PER_ZONE, seed)
            for _ in range(int(size)):
                run.request()
            return tracemalloc.get_traced_memory()[0] / 1e6
        finally:
            tracemalloc.stop()
