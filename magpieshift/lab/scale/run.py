"""A run: starts the processes, applies load and scenario, and collects the result."""

from __future__ import annotations

import asyncio
import math
import os
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from pathlib import Path

from magpieshift.lab.scale import memory
from magpieshift.lab.scale.faults import Faults
from magpieshift.lab.scale.fleet import Fleet, FleetOptions
from magpieshift.lab.scale.load import DAY_S, Burst, Rates, arrivals
from magpieshift.lab.scale.load_player import LoadPlayer
from magpieshift.lab.scale.messages import LogReport, WorkerReport
from magpieshift.lab.scale.processes import Child
from magpieshift.lab.scale.relays import RELAYS_PER_REGION, RelayTier
from magpieshift.lab.scale.result import (
    Result,
    evaluate_losses,
    evaluate_purges,
    evaluate_versions,
    purge_times,
)
from magpieshift.lab.scale.scenario import Scenario
from magpieshift.lab.scale.tier import DirectTier, Tier
from magpieshift.lab.scale.topology import TARGET_REGIONS, Topology, generate
from magpieshift.relay.limits import FRESHNESS_LEASE_US

TIERS: Mapping[str, Callable[[Topology], Tier]] = {
    "direct": lambda topology: DirectTier(),
    "relay": RelayTier,
}
FEEDS = tuple(TIERS)
# upper bound of the number of control processes by feed, including the change log
CONTROL_PROCESSES = {
    "direct": 2,
    "relay": 2 + RELAYS_PER_REGION * TARGET_REGIONS,
}
MAX_WORKERS = 6  # more worker processes would leave fewer cores to control
ROUTERS_PER_WORKER = 10  # while there are fewer than MAX_WORKERS; beyond that, workers get more routers
POLL_INTERVAL_S = 0.25  # between checks whether routers have caught up after the load
SAMPLE_INTERVAL_S = 2.0  # between samples of the workers' CPU time and of the streams' byte counters
BUSY_WORKER_CPU_PERCENT = 90.0  # of a core; above it, measured times include waiting within the worker

ProgressCallback = Callable[[str], None]


@dataclass(frozen=True)
class Plan:
    """The parameters of a run."""

    scenario: Scenario
    routers: int
    seed: int = 1
    seconds: float = 20.0
    feed: str = "direct"
    caches: int = 1000
    rates: Rates = field(default_factory=Rates)
    topology: Topology | None = None  # None: generated from the seed
    settle_s: float = 15.0  # maximum wait after the load for all routers to catch up
    workers: int = 0  # worker processes; 0: chosen by the number of routers
    drop_every: int = 0  # injected fault for tests: each router drops every n-th purge; 0: none
    logs: str = ""  # folder for the log files of the processes; empty: logs are discarded

    def check(self) -> None:
        """Raise ``ConfigError`` where the run needs too much memory or too many processes."""
        memory.check(self.routers, self.processes + CONTROL_PROCESSES[self.feed], self.caches)

    @property
    def processes(self) -> int:
        """The number of worker processes, which run the hollow routers."""
        return self.workers or min(MAX_WORKERS, math.ceil(self.routers / ROUTERS_PER_WORKER))


@dataclass(frozen=True)
class Sample:
    """Cumulative costs of processes and streams, and counts of the load, at one moment."""

    at_s: float
    workers_cpu_s: float
    control_cpu_s: dict[str, float]
    network_cpu_s: float
    stream_bytes: int | None
    purges: int
    versions: int


class Run:
    """Owner of the fleet and the faults of one run."""

    def __init__(self, plan: Plan, report_progress: ProgressCallback = lambda line: None) -> None:
        plan.check()
        self.plan = plan
        self._report_progress = report_progress
        self.topology = plan.topology or Topology(generate(plan.routers, plan.seed))
        Child.logs = Path(plan.logs) if plan.logs else None
        options = FleetOptions(plan.processes, plan.caches, plan.drop_every)
        self.fleet = Fleet(self.topology, options, TIERS[plan.feed](self.topology))
        self.faults = Faults(self.fleet, plan.scenario, plan.seconds)
        # time covered by the samples of the load, in router-seconds and in seconds; their quotient is the
        # mean number of live routers
        self._router_seconds = 0.0
        self._sampled_s = 0.0
        self._busiest_percent = 0.0  # of a core: the highest of any worker between two samples
        self.result = Result(
            routers=len(self.topology.places),
            scenario=plan.scenario.name,
            feed=plan.feed,
            seed=plan.seed,
            seconds=plan.seconds,
            caches=plan.caches,
            workers=plan.processes,
        )

    async def play(self) -> Result:
        """Carry out the run, and stop all its processes, also after an error."""
        try:
            self._report_progress(
                f"starting {self.result.routers} routers in {self.plan.processes} processes"
            )
            await self.fleet.open(self.faults.networked_paths(self.plan.topology is not None))
            await self.faults.start_routers(self.plan.rates.purges_per_s)
            before = await self._sample()
            self._record_load_average()
            await self._play_load()
            after = await self._sample()
            self._report_progress("waiting until all routers have applied all purges and the newest version")
            await self._settle()
            await self.faults.close()
            await self._collect_result(before, after)
        finally:
            await self.fleet.close()
        return self.result

    def _record_load_average(self) -> None:
        """Record the machine's load average. If it exceeds the number of cores, all times include waiting for
        a core, and a note says so."""
        load = os.getloadavg()[0]
        cores = os.cpu_count() or 1
        self.result.load_average = round(load, 2)
        if load > cores:
            self.result.notes.append(
                f"the machine's load average was {load:.0f} on {cores} cores when the load began: "
                "all times hold waiting for a core"
            )

    # --- the load

    async def _play_load(self) -> None:
        """Apply arrivals and scenario events until the end of the load."""
        plan = self.plan
        scenario = self.plan.scenario
        bursts = (
            [] if scenario.burst_at_fraction is None else [Burst(scenario.burst_at_fraction * plan.seconds)]
        )
        due = arrivals(plan.rates, plan.seconds, plan.seed, bursts)
        player = LoadPlayer(self.fleet, self.faults.reachable_paths, self.faults.restart_one)
        events = asyncio.ensure_future(self.faults.play())
        watching = asyncio.ensure_future(self._sample_load())
        try:
            await player.play(due, plan.seconds)
            await events
        finally:
            player.close()
            events.cancel()
            watching.cancel()

    async def _sample_load(self) -> None:
        """Sample periodically the number of live routers, the workers' CPU time and the byte counters, and
        report progress."""
        loop = asyncio.get_running_loop()
        begin = loop.time()
        last = begin
        spent = self._workers_cpu_s()
        while True:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            now = loop.time()
            spent_now = self._workers_cpu_s()
            self._router_seconds += (now - last) * len(self.fleet.live)
            self._sampled_s += now - last
            busiest = max(after - before for after, before in zip(spent_now, spent, strict=True))
            self._busiest_percent = max(self._busiest_percent, 100 * busiest / (now - last))
            last = now
            spent = spent_now
            await self.fleet.stream_bytes()
            self._report_progress(
                f"{now - begin:.0f} of {self.plan.seconds:.0f} s, {self.fleet.purges} purges, "
                f"{len(self.fleet.live)} routers"
            )

    async def _settle(self) -> None:
        """Wait for at most ``settle_s`` until no live router lacks a purge or the newest version."""
        loop = asyncio.get_running_loop()
        end = loop.time() + self.plan.settle_s
        while await self.fleet.lagging_count() and loop.time() < end:
            await asyncio.sleep(POLL_INTERVAL_S)

    # --- result

    def _workers_cpu_s(self) -> list[float]:
        return [worker.cpu_s() for worker in self.fleet.workers]

    async def _sample(self) -> Sample:
        fleet = self.fleet
        return Sample(
            time.monotonic(),
            sum(self._workers_cpu_s()),
            fleet.control_cpu_s(),
            fleet.network_cpu_s(),
            await fleet.stream_bytes(),
            fleet.purges,
            len(fleet.published),
        )

    async def _collect_result(self, before: Sample, after: Sample) -> None:
        result = self.result
        fleet = self.fleet
        result.mb_per_router = fleet.mb_per_router  # read before the reports, which add to it
        log = await fleet.log_report()
        reports = await fleet.worker_reports()
        result.hollow = sum(r.live for r in reports)
        result.processes = fleet.processes
        result.purges = len(log.accepted)
        result.versions = len(fleet.published)
        self._record_costs(before, after)
        self._evaluate(log, reports)
        result.return_s = self.faults.catch_up_s
        result.return_bytes_per_router = self.faults.catch_up_bytes_per_router

    def _record_costs(self, before: Sample, after: Sample) -> None:
        result = self.result
        took_s = after.at_s - before.at_s
        per_second = (after.purges - before.purges) / took_s
        result.purges_per_s = round(per_second, 1)
        result.versions_per_day = round((after.versions - before.versions) / took_s * DAY_S)
        live = self._router_seconds / self._sampled_s if self._sampled_s else len(self.fleet.live)
        spent_s = after.workers_cpu_s - before.workers_cpu_s
        result.cpu_percent_per_router = round(100 * spent_s / took_s / live, 4)
        busiest = self._busiest_percent or 100 * spent_s / took_s / len(self.fleet.workers)
        result.worker_busy_max_percent = round(busiest, 1)
        if busiest > BUSY_WORKER_CPU_PERCENT:
            result.notes.append(
                f"a process of hollow routers took {busiest:.0f}% of a core for {SAMPLE_INTERVAL_S:.0f} s: "
                "the times are this machine's"
            )
        by = {
            name: round(100 * (cpu_s - before.control_cpu_s.get(name, 0.0)) / took_s, 2)
            for name, cpu_s in after.control_cpu_s.items()
        }
        result.control_cpu_percent = round(sum(by.values()), 2)
        result.control_cpu_percent_by = by
        if self.fleet.networks:
            result.network_cpu_percent = round(100 * (after.network_cpu_s - before.network_cpu_s) / took_s, 2)
        if before.stream_bytes is None or after.stream_bytes is None:
            result.notes.append("bytes are unknown: the machine has no command ss")
        else:
            result.bytes_per_router_s = round((after.stream_bytes - before.stream_bytes) / took_s / live)

    def _evaluate(self, log: LogReport, reports: list[WorkerReport]) -> None:
        result = self.result
        first = self.faults.first_purge
        result.out_of_order = sum(report.out_of_order for report in reports)
        missing = {index for report in reports for index in report.missing}
        late = [each for report in reports for each in report.late]
        applied = [report.purges for report in reports]
        times = purge_times(log.accepted, applied, missing, late, FRESHNESS_LEASE_US / 1e6)[first:]
        result.purges_by_lease = len({index for index, *_ in late if index >= first})
        result.purges_forgotten = sum(report.forgotten for report in reports)
        evaluate_purges(result, times)
        evaluate_versions(result, self.fleet.published, [report.versions for report in reports])
        lost: dict[str, int] = {}
        behind: dict[str, int] = {}
        for report in reports:
            lost |= report.lost
            behind |= report.version_behind
        newest = max((version.number for version in self.fleet.published), default=0)
        evaluate_losses(result, lost, behind, newest)
