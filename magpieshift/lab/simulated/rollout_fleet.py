"""A fleet of modelled processes for rollouts on a fake clock.

A process is a rate of requests by class, the share of them that it serves in time, processor time, memory
and a chance to go away. Processes die and come back, doors fall silent, outages strike all alike."""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from itertools import count

import numpy as np

from magpieshift.lab.simulated.rollout_scenarios import Scenario
from magpieshift.rollout.plan import Build, OnFailure, Plan, RouterPlace, Stage, Tolerances
from magpieshift.rollout.process_counters import ProcessCounters, RequestCounts
from magpieshift.rollout.records import JournalRecord

SECOND = 1_000_000
OLD = "old"
NEW = "new"
CLASSES = {"picture": 0.9, "basket": 0.06, "order": 0.04}
SERVED = 0.97


@dataclass
class Process:
    """A modelled router process, and what it has counted since its start."""

    label: str
    incarnation: str
    born_us: int
    rss: float = 30.0
    cpu_us: float = 0.0
    counts: dict[str, list[int]] = field(default_factory=lambda: {name: [0, 0] for name in CLASSES})
    crash_us: int | None = None


def plan_of(routers: int, zones: int = 4) -> Plan:
    """The plan that is tried: one, a tenth, a half, all, across zones."""
    doors = ("127.0.0.1", 1), ("127.0.0.1", 2)
    places = {f"r{n}": RouterPlace(f"r{n}", f"z{n % zones}", doors) for n in range(routers)}
    order = sorted(places, key=lambda name: int(name[1:]))
    stages: list[Stage] = []
    shares = {"one": (0.0, 120.0), "tenth": (0.1, 120.0), "half": (0.5, 60.0), "all": (1.0, 60.0)}
    for name, (share, soak) in shares.items():
        targets = tuple(order[: max(1, round(share * routers))])
        if not stages or len(targets) > len(stages[-1].targets):
            stages.append(Stage(name, targets, soak, 1_800.0))
    return Plan(
        "simulated",
        Build(NEW, "-"),
        Build(OLD, "-"),
        places,
        tuple(stages),
        Tolerances(),
        max(2, routers // 50),
        30.0,
        OnFailure.ROLL_BACK,
        "simulated",
    )


class Fleet:
    """Modelled processes, and one or two coordinators at work on them."""

    def __init__(
        self, scenario: Scenario, routers: int, seed: int, rate: float = 20.0, before: bool = False
    ) -> None:
        self.scenario = scenario
        self.plan = plan_of(routers)
        self.rate = rate
        self.rand = random.Random(seed)
        self.draw = np.random.default_rng(seed)
        self.now_us = 0
        self.before = before  # an ablation: the new side is compared with what the old did before the stage
        self.processes: dict[str, list[Process]] = {}
        self.silent_us = dict.fromkeys(self.plan.routers, 0)
        self.dead_us: dict[str, int] = {}
        self.term = 0  # the latest that routers know
        self.records: list[JournalRecord] = []
        self.asked = {OLD: 0, NEW: 0}
        self._births = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self.outages: list[tuple[int, int, float]] = []
        for name in self.plan.routers:
            self.processes[name] = [self._new(OLD)]
        self._troubles()

    def _troubles(self) -> None:
        rand = self.rand
        s = self.scenario
        for _ in range(s.outages):
            since = rand.randrange(600 * SECOND)
            for_us = rand.randrange(5 * SECOND, 60 * SECOND)
            self.outages.append((since, since + for_us, rand.uniform(0.2, 0.9)))
        for many, do in ((s.kills, self._kill), (s.cuts, self._cut)):
            at = 0.0
            while many and at < 3_600:
                at += rand.expovariate(many / 3_600)
                self.at(int(at * SECOND), do)

    def at(self, when_us: int, do: Callable[[], None]) -> None:
        """Have something happen at this time of the fake clock."""
        heapq.heappush(self._heap, (when_us, next(self._order), do))

    def _kill(self) -> None:
        name = self.rand.choice(sorted(self.plan.routers))
        if name not in self.dead_us and self.processes[name]:
            label = self.processes[name][-1].label
            self.processes[name] = []
            self.dead_us[name] = self.now_us
            back_us = self.now_us + self.rand.randrange(2 * SECOND, 30 * SECOND)
            self.at(back_us, lambda: self._return(name, label))

    def _return(self, name: str, label: str) -> None:
        """A process that died is started again by its machine, as it was."""
        self.dead_us.pop(name, None)
        if not self.processes[name]:
            self.processes[name] = [self._new(label)]

    def _cut(self) -> None:
        name = self.rand.choice(sorted(self.plan.routers))
        self.silent_us[name] = self.now_us + self.rand.randrange(2 * SECOND, 40 * SECOND)

    def _new(self, label: str) -> Process:
        self._births += 1
        crash_s = self.scenario.version.crash_s if label == NEW else 0.0
        process = Process(label, f"{self._births}", self.now_us)
        process.rss = 30.0 + self.rand.random()
        if crash_s:
            process.crash_us = self.now_us + int(self.rand.uniform(0.8, 1.2) * crash_s * SECOND)
        return process

    # --- time

    def go(self, seconds: float) -> None:
        """Let that much time pass, with all that happens in it."""
        end = self.now_us + int(seconds * SECOND)
        while self._heap and self._heap[0][0] <= end:
            when, _, do = heapq.heappop(self._heap)
            self.now_us = max(self.now_us, when)
            do()
        self.now_us = end
        self._serve(seconds)

    def _serve(self, seconds: float) -> None:
        version = self.scenario.version
        out = [depth for since, until, depth in self.outages if since <= self.now_us < until]
        whole = min(out, default=1.0)
        for name, processes in self.processes.items():
            for process in list(processes):
                if process.crash_us is not None and self.now_us >= process.crash_us:
                    processes.remove(process)
                    self.dead_us[name] = self.now_us
                    self.at(self.now_us + 5 * SECOND, partial(self._return, name, process.label))
            if not processes:
                continue
            process = processes[-1]  # what comes new is the later one's
            new = process.label == NEW
            if new and not version.answers:
                continue
            here = not version.only_zone or self.plan.routers[name].zone == version.only_zone
            late = self.now_us - process.born_us >= version.after_s * SECOND
            busy = 2.0 if self.plan.routers[name].zone == "z0" else 1.0
            for cls, share in CLASSES.items():
                asked = int(self.draw.poisson(self.rate * busy * share * seconds))
                p = SERVED - (version.served.get(cls, 0.0) if new and here and late else 0.0)
                served = int(self.draw.binomial(asked, p * whole)) if asked else 0
                process.counts[cls][0] += asked
                process.counts[cls][1] += served
                self.asked[process.label] += asked
                each_us = 1_000 * (version.processor if new else 1.0) * self.rand.uniform(0.9, 1.1)
                process.cpu_us += asked * each_us
            process.cpu_us += 5_000 * seconds
            process.rss += version.leak_mb_per_min * seconds / 60 if new else 0.0

    # --- what a coordinator does and sees

    def answers(self, name: str) -> list[Process]:
        """The processes of a router whose admin servers answer now."""
        return [] if self.now_us < self.silent_us[name] else self.processes[name]

    def figures(self, process: Process) -> ProcessCounters:
        """What a process reports of itself; its memory varies a little from look to look."""
        classes = {
            name: RequestCounts(requests, served, requests - served)
            for name, (requests, served) in process.counts.items()
        }
        rss = process.rss + self.rand.uniform(-0.2, 0.2)
        return ProcessCounters(
            process.label,
            process.incarnation,
            "serving",
            self.now_us - process.born_us,
            classes,
            int(process.cpu_us),
            int(rss * 1024),
        )

    def replace(self, name: str, label: str, term: int) -> str:
        """A step's end: why it failed, or nothing; ``over`` where the term is."""
        if term < self.term:
            return "over"
        if not self.answers(name):
            return "nobody answers"
        if label == NEW and not self.scenario.version.starts:
            return "new did not serve within 30 s"
        if self.rand.random() < 0.01:
            return "drawn"
        if self.processes[name][-1].label != label:
            self.processes[name] = [self._new(label)]
        return ""
