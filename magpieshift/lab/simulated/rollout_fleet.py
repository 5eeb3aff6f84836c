"""A fleet of modelled processes for rollouts on a fake clock.

A modelled process has a request rate and a fraction served in time for each request class, processor time,
memory, and possibly a crash. Processes are killed and restarted, admin servers stop responding, and outages
affect both versions alike.
"""

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

SECOND_US = 1_000_000
OLD = "old"  # label of the version that is replaced
NEW = "new"  # label of the version that is rolled out
CLASS_SHARES = {"picture": 0.9, "basket": 0.06, "order": 0.04}  # fraction of requests of each request class
SERVED_SHARE = 0.97  # fraction of requests served in time without faults or defects


@dataclass
class Process:
    """A modelled router process, and its counters since its start."""

    label: str
    incarnation: str
    started_us: int
    rss_mb: float = 30.0
    cpu_us: float = 0.0
    # requests, and those served in time, by request class
    counts: dict[str, list[int]] = field(default_factory=lambda: {name: [0, 0] for name in CLASS_SHARES})
    crash_at_us: int | None = None  # None: does not crash


def rollout_plan(routers: int, zones: int = 4) -> Plan:
    """The simulated plan, with stages of one router, a tenth, half and all of them, spread over the zones."""
    admin_addresses = ("127.0.0.1", 1), ("127.0.0.1", 2)
    router_places = {f"r{n}": RouterPlace(f"r{n}", f"z{n % zones}", admin_addresses) for n in range(routers)}
    order = sorted(router_places, key=lambda name: int(name[1:]))
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
        router_places,
        tuple(stages),
        Tolerances(),
        max(2, routers // 50),
        30.0,
        OnFailure.ROLL_BACK,
        "simulated",
    )


class Fleet:
    """The modelled processes of all routers, and what their coordinators share: the highest term and the
    journal."""

    def __init__(
        self, scenario: Scenario, routers: int, seed: int, rate: float = 20.0, against_baseline: bool = False
    ) -> None:
        self.scenario = scenario
        self.plan = rollout_plan(routers)
        self.rate = rate  # requests per second of each router; twice that in zone z0
        self.rand = random.Random(seed)
        self.np_rand = np.random.default_rng(seed)
        self.now_us = 0
        # ablation: the new side is compared with a fixed baseline, not with the old side at the same time
        self.against_baseline = against_baseline
        self.processes: dict[str, list[Process]] = {}
        self.unreachable_until_us = dict.fromkeys(self.plan.routers, 0)
        self.dead_since_us: dict[str, int] = {}
        self.term = 0  # highest term that the routers know
        self.records: list[JournalRecord] = []
        self.requests = {OLD: 0, NEW: 0}
        self._process_count = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self.outages: list[tuple[int, int, float]] = []  # start, end (us), factor of the served fraction
        for name in self.plan.routers:
            self.processes[name] = [self._new_process(OLD)]
        self._schedule_faults()

    def _schedule_faults(self) -> None:
        rand = self.rand
        scenario = self.scenario
        for _ in range(scenario.outages):
            start_us = rand.randrange(600 * SECOND_US)
            for_us = rand.randrange(5 * SECOND_US, 60 * SECOND_US)
            self.outages.append((start_us, start_us + for_us, rand.uniform(0.2, 0.9)))
        for rate_per_hour, call in (
            (scenario.kills_per_hour, self._kill),
            (scenario.unreachable_per_hour, self._make_unreachable),
        ):
            at = 0.0
            while rate_per_hour and at < 3_600:
                at += rand.expovariate(rate_per_hour / 3_600)
                self.at(int(at * SECOND_US), call)

    def at(self, when_us: int, call: Callable[[], None]) -> None:
        """Schedule a call at this time of the fake clock."""
        heapq.heappush(self._heap, (when_us, next(self._order), call))

    def _kill(self) -> None:
        name = self.rand.choice(sorted(self.plan.routers))
        if name not in self.dead_since_us and self.processes[name]:
            label = self.processes[name][-1].label
            self.processes[name] = []
            self.dead_since_us[name] = self.now_us
            back_us = self.now_us + self.rand.randrange(2 * SECOND_US, 30 * SECOND_US)
            self.at(back_us, lambda: self._restart(name, label))

    def _restart(self, name: str, label: str) -> None:
        """Restart a killed or crashed process with the same version, unless the router runs again."""
        self.dead_since_us.pop(name, None)
        if not self.processes[name]:
            self.processes[name] = [self._new_process(label)]

    def _make_unreachable(self) -> None:
        name = self.rand.choice(sorted(self.plan.routers))
        self.unreachable_until_us[name] = self.now_us + self.rand.randrange(2 * SECOND_US, 40 * SECOND_US)

    def _new_process(self, label: str) -> Process:
        self._process_count += 1
        mean_crash_s = self.scenario.version.mean_crash_s if label == NEW else 0.0
        process = Process(label, f"{self._process_count}", self.now_us)
        process.rss_mb = 30.0 + self.rand.random()
        if mean_crash_s:
            process.crash_at_us = self.now_us + int(self.rand.uniform(0.8, 1.2) * mean_crash_s * SECOND_US)
        return process

    # --- time

    def run(self, seconds: float) -> None:
        """Run the scheduled faults of the next ``seconds``, then the requests of that time."""
        end_us = self.now_us + int(seconds * SECOND_US)
        while self._heap and self._heap[0][0] <= end_us:
            when_us, _, call = heapq.heappop(self._heap)
            self.now_us = max(self.now_us, when_us)
            call()
        self.now_us = end_us
        self._serve(seconds)

    def _serve(self, seconds: float) -> None:
        version = self.scenario.version
        active_outages = [
            served_factor
            for start_us, end_us, served_factor in self.outages
            if start_us <= self.now_us < end_us
        ]
        outage_factor = min(active_outages, default=1.0)
        for name, processes in self.processes.items():
            for process in list(processes):
                if process.crash_at_us is not None and self.now_us >= process.crash_at_us:
                    processes.remove(process)
                    self.dead_since_us[name] = self.now_us
                    self.at(self.now_us + 5 * SECOND_US, partial(self._restart, name, process.label))
            if not processes:
                continue
            process = processes[-1]  # new requests go to the process that was started last
            is_new = process.label == NEW
            if is_new and not version.responds:
                continue
            is_affected_zone = not version.only_zone or self.plan.routers[name].zone == version.only_zone
            is_after_onset = self.now_us - process.started_us >= version.onset_s * SECOND_US
            zone_load_factor = 2.0 if self.plan.routers[name].zone == "z0" else 1.0
            for cls, share in CLASS_SHARES.items():
                requests = int(self.np_rand.poisson(self.rate * zone_load_factor * share * seconds))
                served_probability = SERVED_SHARE - (
                    version.served_loss.get(cls, 0.0)
                    if is_new and is_affected_zone and is_after_onset
                    else 0.0
                )
                served = (
                    int(self.np_rand.binomial(requests, served_probability * outage_factor))
                    if requests
                    else 0
                )
                process.counts[cls][0] += requests
                process.counts[cls][1] += served
                self.requests[process.label] += requests
                each_us = 1_000 * (version.cpu_factor if is_new else 1.0) * self.rand.uniform(0.9, 1.1)
                process.cpu_us += requests * each_us
            process.cpu_us += 5_000 * seconds
            process.rss_mb += version.leak_mb_per_min * seconds / 60 if is_new else 0.0

    # --- interface of the coordinators

    def reachable_processes(self, name: str) -> list[Process]:
        """The processes of a router; none while its admin servers do not respond."""
        return [] if self.now_us < self.unreachable_until_us[name] else self.processes[name]

    def counters(self, process: Process) -> ProcessCounters:
        """The counters that a process reports; its memory varies by up to 0.2 MB between reports."""
        classes = {
            name: RequestCounts(requests, served, requests - served)
            for name, (requests, served) in process.counts.items()
        }
        rss_mb = process.rss_mb + self.rand.uniform(-0.2, 0.2)
        return ProcessCounters(
            process.label,
            process.incarnation,
            "serving",
            self.now_us - process.started_us,
            classes,
            int(process.cpu_us),
            int(rss_mb * 1024),
        )

    def replace(self, name: str, label: str, term: int) -> str:
        """Finish a replacement step of a coordinator with this term. Return why it failed, or an empty
        string; ``over`` if the routers know a higher term."""
        if term < self.term:
            return "over"
        if not self.reachable_processes(name):
            return "nobody answers"
        if label == NEW and not self.scenario.version.starts:
            return "new did not serve within 30 s"
        if self.rand.random() < 0.01:
            return "drawn"
        if self.processes[name][-1].label != label:
            self.processes[name] = [self._new_process(label)]
        return ""
