"""Compares the cost of hollow routers with that of real ones: the same control load runs in turn on
``magpieshift run`` processes, on hollow routers that share one process, and on hollow routers with a process
each. The result is the cost of each kind, and the ratios.

Hollow routers that share a process share its wake-ups, as a purge arrives on all their sockets at once.
Hollow routers with a process each show what a hollow router lacks compared with a real one; those that share
a process show the additional saving of sharing.

Memory is compared by increments: the memory per router beyond that of a process of the same kind that has
loaded its modules and holds no router.
"""

from __future__ import annotations

import asyncio
import os
import statistics
import sys
import tempfile
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import asdict, dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from magpieshift.control import sexp
from magpieshift.lab.fault_injection.ports import free_port
from magpieshift.lab.scale.fleet import Fleet, FleetOptions
from magpieshift.lab.scale.load import Rates, arrivals
from magpieshift.lab.scale.load_player import LoadPlayer
from magpieshift.lab.scale.processes import ProcessExitedError, cpu_seconds, resident_mb
from magpieshift.lab.scale.tier import CONTROL, DirectTier
from magpieshift.lab.scale.topology import Topology, generate

ROUTER_COUNTS = (1, 4, 10)  # numbers of real router processes that one machine can run side by side
MAX_RATIO_DEVIATION = 0.2  # deviation of a ratio from 1; a larger one is listed and must be explained
START_TIMEOUT_S = 30.0  # for all router processes to follow the change log and the control service
POLL_INTERVAL_S = 0.1  # between checks whether all router processes follow
IDLE_BEFORE_LOAD_S = 1.0  # pause between the start of the routers and the load
STOP_TIMEOUT_S = 8.0  # for a router process to exit after SIGTERM, before it is killed
MODULES = (
    "magpieshift.cli.main",
    "structlog",
    "magpieshift.extensions.runner",
    "magpieshift.extensions.control_channel",
)
EMPTY_PROCESS_CODE = f"import {', '.join(MODULES)}; print(flush=True); input()"
FIGURES = ("cpu_percent", "bytes_s", "mb")


class Kind(Enum):
    """The kind of router whose cost is measured."""

    REAL = "real"
    SHARED_PROCESS = "together"  # hollow routers that share one process
    OWN_PROCESS = "apart"  # hollow routers with a process each

    def workers(self, routers: int) -> int:
        """The number of worker processes for this many routers; real routers need none."""
        return {Kind.REAL: 0, Kind.SHARED_PROCESS: 1, Kind.OWN_PROCESS: routers}[self]


@dataclass(frozen=True)
class Calibration:
    """The parameters of a calibration; ``sizes`` are the numbers of routers to measure."""

    runs: int = 3
    seed: int = 1
    seconds: float = 10.0
    caches: int = 1000
    sizes: Sequence[int] = ROUTER_COUNTS


@dataclass(frozen=True)
class Cost:
    """The cost of one router: percent of a core, bytes per second (None: unknown), and increment of resident
    memory in MB."""

    cpu_percent: float
    bytes_s: float | None
    mb: float


class RealRouters:
    """Owner of router processes that follow a fleet's change log and control service."""

    def __init__(self, fleet: Fleet, tier: DirectTier, count: int, folder: Path) -> None:
        self._fleet = fleet
        self._tier = tier
        self._count = count
        self._folder = folder
        self._processes: list[asyncio.subprocess.Process] = []

    async def start(self) -> None:
        """Start all router processes; returns once all follow the change log and the control service."""
        path = self._folder / "settings.sexp"
        path.write_text(sexp.format_document(self._fleet.settings), encoding="utf-8")
        control = f"127.0.0.1:{self._tier.control.ports[CONTROL]}"
        environ = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        for number in range(self._count):
            listen = f"127.0.0.1:{free_port()}"
            self._processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    "-m",
                    "magpieshift",
                    "run",
                    "--config",
                    str(path),
                    "--control",
                    control,
                    "--name",
                    f"r{number}",
                    "--listen",
                    listen,
                    env=environ,
                    stdin=asyncio.subprocess.DEVNULL,
                    stdout=asyncio.subprocess.DEVNULL,
                    stderr=asyncio.subprocess.DEVNULL,
                )
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not await self._all_follow():
                await asyncio.sleep(POLL_INTERVAL_S)

    async def _all_follow(self) -> bool:
        if any(process.returncode is not None for process in self._processes):
            raise ProcessExitedError(
                "a router process exited before it followed change log and control service"
            )
        watches = (await self._fleet.log_report()).watches
        return watches == self._count and await self._tier.followers() == self._count

    def cpu_s(self) -> float:
        """CPU seconds of all router processes so far."""
        return sum(cpu_seconds(process.pid) for process in self._processes)

    def memory_mb(self) -> float:
        """Resident memory of all router processes, in MB."""
        return sum(resident_mb(process.pid) for process in self._processes)

    async def close(self) -> None:
        """Terminate all router processes; one that does not exit within ``STOP_TIMEOUT_S`` is killed."""
        for process in self._processes:
            if process.returncode is None:
                process.terminate()
        for process in self._processes:
            try:
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    await process.wait()
            except TimeoutError:
                process.kill()
                await process.wait()


async def empty_process_mb() -> float:
    """Resident memory, in MB, of a Python process that has only imported the modules of a router."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-c",
        EMPTY_PROCESS_CODE,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
    )
    assert process.stdout is not None and process.stdin is not None
    try:
        await process.stdout.readline()
        return resident_mb(process.pid)
    finally:
        process.stdin.close()
        process.terminate()
        await process.wait()


async def measure(plan: Calibration, routers: int, run: int, kind: Kind) -> Cost:
    """Measure one run of one kind with ``routers`` routers; returns the mean cost of one router."""
    tier = DirectTier()
    fleet = Fleet(
        Topology(generate(routers, plan.seed)), FleetOptions(kind.workers(routers), plan.caches), tier
    )
    real: RealRouters | None = None
    player = LoadPlayer(fleet, lambda: None, lambda: None)
    with tempfile.TemporaryDirectory(prefix="calibrate-") as folder:
        try:
            await fleet.open()
            if kind is not Kind.REAL:
                await fleet.start_routers(list(fleet.places))
            else:
                real = RealRouters(fleet, tier, routers, Path(folder))
                await real.start()
            await asyncio.sleep(IDLE_BEFORE_LOAD_S)

            def cpu_s() -> float:
                return real.cpu_s() if real is not None else sum(w.cpu_s() for w in fleet.workers)

            first_cpu_s = cpu_s()
            first_bytes = await fleet.stream_bytes()
            begin = time.monotonic()
            due = arrivals(Rates(restarts_per_day=0.0), plan.seconds, plan.seed + run)
            await player.play(due, plan.seconds)
            spent_s = cpu_s() - first_cpu_s
            last_bytes = await fleet.stream_bytes()
            took_s = time.monotonic() - begin
            if real is not None:
                mb = real.memory_mb() / routers - await empty_process_mb()
            else:
                mb = fleet.mb_per_router or 0.0
            known = first_bytes is not None and last_bytes is not None
            bytes_s = ((last_bytes or 0) - (first_bytes or 0)) / took_s / routers if known else None
            return Cost(100 * spent_s / took_s / routers, bytes_s, mb)
        finally:
            player.close()
            if real is not None:
                await real.close()
            await fleet.close()


def compare_costs(routers: int, costs: Mapping[Kind, Sequence[Cost]]) -> dict[str, Any]:
    """A row of the result: for each figure the mean of every kind, and for both kinds of hollow routers the
    ratio of the means to that of real routers, with the lowest and highest ratio of any run."""
    row: dict[str, Any] = {"routers": routers, "runs": len(costs[Kind.REAL])}
    for figure in FIGURES:
        by = {kind: [getattr(cost, figure) for cost in found] for kind, found in costs.items()}
        for kind, values in by.items():
            row[f"{figure}_{kind.value}"] = _mean(values)
        for kind in (Kind.SHARED_PROCESS, Kind.OWN_PROCESS):
            row |= _ratios(f"{figure}_{kind.value}_ratio", by[kind], by[Kind.REAL])
    return row


def _mean(values: Sequence[float | None]) -> float | None:
    known = [value for value in values if value is not None]
    return round(statistics.fmean(known), 4) if known else None


def _ratios(name: str, hollow: Sequence[float | None], real: Sequence[float | None]) -> dict[str, Any]:
    pairs = [(h, r) for h, r in zip(hollow, real, strict=True) if h is not None and r is not None and r > 0]
    if not pairs:
        return {name: None, f"{name}_low": None, f"{name}_high": None}
    ratios = [h / r for h, r in pairs]
    mean = statistics.fmean(h for h, _ in pairs) / statistics.fmean(r for _, r in pairs)
    return {name: round(mean, 3), f"{name}_low": round(min(ratios), 3), f"{name}_high": round(max(ratios), 3)}


async def calibrate(
    plan: Calibration, report_progress: Callable[[str], None] = lambda line: None
) -> dict[str, Any]:
    """Measure all sizes, alternating between the kinds. Returns one row per size, the cost of every run, and
    the ratios that deviate from 1 by more than ``MAX_RATIO_DEVIATION``."""
    rows = []
    costs = []
    differ = []
    for routers in plan.sizes:
        found: dict[Kind, list[Cost]] = {kind: [] for kind in Kind}
        for run in range(plan.runs):
            for kind in Kind:
                report_progress(f"{routers} routers, run {run + 1} of {plan.runs}, {kind.value}")
                cost = await measure(plan, routers, run, kind)
                found[kind].append(cost)
                costs.append({"routers": routers, "run": run, "kind": kind.value} | asdict(cost))
        rows.append(row := compare_costs(routers, found))
        for name, ratio in row.items():
            if name.endswith("_ratio") and ratio is not None and abs(ratio - 1) > MAX_RATIO_DEVIATION:
                differ.append(f"{name} at {routers}: {ratio}")
    return {
        "seconds": plan.seconds,
        "caches": plan.caches,
        "memory": "increment of resident memory a router",
        "rows": rows,
        "costs": costs,
        "differ_by_over_a_fifth": differ,
    }
