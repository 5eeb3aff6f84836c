"""Rollout coordinator and judge by routers: pure state machines, fed with figures."""

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

MEASURED_ROUNDS = 3  # in one measurement
REQUESTS_PER_ROUND = 1000  # of each router
STAGES_PASSED = 2  # of one, tenth, half, all: half of the fleet is new
SECOND_US = 1_000_000


class ObservedFleet:
    """A fleet half of which runs the new version, with its coordinator and judge."""

    def __init__(self, routers: int, seed: int) -> None:
        self._draw = random.Random(seed)
        self.plan = rollout_plan(routers)
        records = [StagePassed()] * STAGES_PASSED
        self.coordinator = Coordinator(self.plan, 1, 0, records)
        zones = {name: router.zone for name, router in self.plan.routers.items()}
        self.judge = CanaryAnalysis(self.plan.tolerances, NEW, OLD, zones, 0)
        self._counts = dict.fromkeys(self.plan.routers, 0)
        self.now_us = MEMORY_SETTLE_US
        targets = set(self.coordinator.stage.targets)
        self._labels = {name: NEW if name in targets else OLD for name in self.plan.routers}

    def answers(self) -> dict[str, ProcessCounters | None]:
        """The counters of all admin servers at the next round."""
        self.now_us += ROUND_INTERVAL_S * SECOND_US
        return {name: self._figures(name, label) for name, label in self._labels.items()}

    def _figures(self, name: str, label: str) -> ProcessCounters:
        self._counts[name] += REQUESTS_PER_ROUND
        requests = self._counts[name]
        served = requests - self._draw.randrange(requests // 50 + 1)
        row = RequestCounts(requests, served)
        cpu_us = int(1000 * requests * self._draw.uniform(0.95, 1.05))
        rss_kb = 30_000 + self._draw.randrange(500)
        return ProcessCounters(label, f"{name}-1", "serving", self.now_us, {"picture": row}, cpu_us, rss_kb)

    def judge_round(self, answers: dict[str, ProcessCounters | None]) -> Verdict:
        """One round, as the rollout's loop runs it."""
        for name, figures in answers.items():
            if figures is not None:
                self.coordinator.record_labels(self.now_us, name, frozenset({figures.label}))
        self.judge.record_round(self.now_us, answers)
        verdict = self.judge.verdict(self.now_us, self.coordinator.next_fraction)
        self.coordinator.tick(self.now_us, verdict, self.judge.reason)
        return verdict


class RolloutRound:
    """One round over all routers, without connecting to their admin servers."""

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

    def measure(self, size: float, seed: int, for_s: float) -> Sample:
        """Judge a fleet of so many routers for several rounds."""
        watched = ObservedFleet(int(size), seed)
        watched.judge_round(watched.answers())
        rounds = [watched.answers() for _ in range(MEASURED_ROUNDS)]
        with count_processor_time() as spent:
            for answers in rounds:
                watched.judge_round(answers)
        return Sample(size, {"processor": 1e3 * spent.seconds / MEASURED_ROUNDS})


class RolloutMemory:
    """What the judge keeps once its samples of each process are full."""

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

    def measure(self, size: float, seed: int, for_s: float) -> Sample:
        """Fill the samples of so many routers, and count the memory allocated."""
        tracemalloc.start()
        try:
            watched = ObservedFleet(int(size), seed)
            for _ in range(MAX_SAMPLES):
                watched.judge.record_round(watched.now_us, watched.answers())
            return Sample(size, {"memory": tracemalloc.get_traced_memory()[0] / 1e6})
        finally:
            tracemalloc.stop()
