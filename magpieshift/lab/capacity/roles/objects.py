"""Router, data path: the cost of a request and the memory of the policy, by the number of objects
requested."""

from __future__ import annotations

import tracemalloc
from dataclasses import replace

from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.processor import count_processor_time
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.capacity.roles.decisions import BUDGET
from magpieshift.lab.experiments.decisions import PolicyRun
from magpieshift.policy.events import Event, RequestReceived

TARGET_OBJECTS = 35_000_000_000  # distinct objects of the whole fleet
MEASURED_REQUESTS = 100  # the last requests of a run, which are timed
PROGRAM_MEMORY_MB = 16.0  # the program's part of the 64 MB memory limit in the emulated settings


class DistinctObjectsRun(PolicyRun):
    """A run in which each request asks for an object that was not requested before."""

    def _handle(self, event: Event) -> None:
        if isinstance(event, RequestReceived):
            event = replace(event, object_key=event.request_id)
        super()._handle(event)


class Objects:
    """Distinct objects requested one after another, in a zone of the target fleet's size."""

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

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Request ``size`` different objects; the last ``MEASURED_REQUESTS`` requests are timed."""
        run = DistinctObjectsRun(fleet.CACHES_PER_ZONE, seed)
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
        """Memory allocated after all requests. It is counted in a separate run, because counting takes
        processor time."""
        tracemalloc.start()
        try:
            run = DistinctObjectsRun(fleet.CACHES_PER_ZONE, seed)
            for _ in range(int(size)):
                run.request()
            return tracemalloc.get_traced_memory()[0] / 1e6
        finally:
            tracemalloc.stop()
