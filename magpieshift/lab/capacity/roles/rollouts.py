"""Rollout coordinator and canary analysis, by the number of routers: state machines fed with generated
counters."""

from __future__ import annotations

import random
import tracemalloc

from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.processor import count_processor_time
from magpieshift.lab.capacity.role import Budget, Resource, Sample
from magpieshift.lab.simulated.rollout import ROUND_INTERVAL_S
from magpieshift.lab.simulated.rollout_fleet import NEW, OLD, rollout_plan
from magpieshift.rollout.canary_analysis import CanaryAnalysis
from magpieshift.rollout.coordinator import Coordinator
from magpieshift.rollout.memory_trend import MAX_SAMPLES, MEMORY_SETTLE_US
from magpieshift.rollout.process_counters import ProcessCounters, RequestCounts
from magpieshift.rollout.records import StagePassed
from magpieshift.rollout.verdict import Verdict

MEASURED_ROUNDS = 3  # rounds in one measurement
REQUESTS_PER_ROUND = 1000  # requests that each router counts between two rounds
STAGES_PASSED = 2  # of the stages one, tenth, half and all, so half of the fleet runs the new version
SECOND_US = 1_000_000


class ObservedFleet:
    """A fleet of which half runs the new version, with its rollout coordinator and canary analysis."""

    def __init__(self, routers: int, seed: int) -> None:
        self._rng = random.Random(seed)
        self.plan = rollout_plan(routers)
        records = [StagePassed()] * STAGES_PASSED
        self.coordinator = Coordinator(self.plan, 1, 0, records)
        zones = {name: router.zone for name, router in self.plan.routers.items()}
        self.analysis = CanaryAnalysis(self.plan.tolerances, NEW, OLD, zones, 0)
        self._counts = dict.fromkeys(self.plan.routers, 0)
        self.now_us = MEMORY_SETTLE_US
        targets = set(self.coordinator.stage.targets)
        self._labels = {name: NEW if name in targets else OLD for name in self.plan.routers}

    def next_counters(self) -> dict[str, ProcessCounters | None]:
        """Advance the clock by one round; returns the counters that the admin servers of all routers
        report."""
        self.now_us += ROUND_INTERVAL_S * SECOND_US
        return {name: self._next_process_counters(name, label) for name, label in self._labels.items()}

    def _next_process_counters(self, name: str, label: str) -> ProcessCounters:
        self._counts[name] += REQUESTS_PER_ROUND
        requests = self._counts[name]
        served = requests - self._rng.randrange(requests // 50 + 1)
        row = RequestCounts(requests, served)
        cpu_us = int(1000 * requests * self._rng.uniform(0.95, 1.05))
        rss_kb = 30_000 + self._rng.randrange(500)
        return ProcessCounters(label, f"{name}-1", "serving", self.now_us, {"picture": row}, cpu_us, rss_kb)

    def run_round(self, counters_by_router: dict[str, ProcessCounters | None]) -> Verdict:
        """Run one round of the rollout's loop: record the counters, get a verdict and pass it on."""
        for name, counters in counters_by_router.items():
            if counters is not None:
                self.coordinator.record_labels(self.now_us, name, frozenset({counters.label}))
        self.analysis.record_round(self.now_us, counters_by_router)
        verdict = self.analysis.verdict(self.now_us, self.coordinator.next_fraction)
        self.coordinator.tick(self.now_us, verdict, self.analysis.reason)
        return verdict


class RolloutRound:
    """One round over all routers, without the connections to their admin servers."""

    name = "rollout: look"
    quantity = "routers"
    target = float(fleet.ROUTERS)
    sizes = (16.0, 150.0, 300.0, 600.0, 1200.0, 2400.0, 4800.0)
    quick_sizes = (16.0, 150.0, 300.0, 600.0)
    repeats = 2
    simulated = True
    resources = (
        Resource(
            "processor",
            "ms a look",
            Budget(500.0 * ROUND_INTERVAL_S, f"half of the {ROUND_INTERVAL_S} s between two looks"),
        ),
    )

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Run several rounds over a fleet of ``size`` routers."""
        observed = ObservedFleet(int(size), seed)
        observed.run_round(observed.next_counters())
        rounds = [observed.next_counters() for _ in range(MEASURED_ROUNDS)]
        with count_processor_time() as spent:
            for counters_by_router in rounds:
                observed.run_round(counters_by_router)
        return Sample(size, {"processor": 1e3 * spent.seconds / MEASURED_ROUNDS})


class RolloutMemory:
    """The memory of the canary analysis once it holds the maximum number of samples of each process."""

    name = "rollout: judge's memory"
    quantity = "routers"
    target = float(fleet.ROUTERS)
    sizes = (5.0, 10.0, 20.0, 40.0, 80.0)
    quick_sizes = (2.0, 3.0, 4.0, 8.0)
    repeats = 1
    simulated = True
    resources = (
        Resource("memory", "MB", Budget(1000.0, "a gigabyte of the machine that rolls out, assumed")),
    )

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Fill the samples of ``size`` routers and count the memory allocated."""
        tracemalloc.start()
        try:
            observed = ObservedFleet(int(size), seed)
            for _ in range(MAX_SAMPLES):
                observed.analysis.record_round(observed.now_us, observed.next_counters())
            return Sample(size, {"memory": tracemalloc.get_traced_memory()[0] / 1e6})
        finally:
            tracemalloc.stop()
