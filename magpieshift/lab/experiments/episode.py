"""An episode: a real router's process in an emulated installation, under load and with the faults of a
scenario."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from magpieshift.control import sexp
from magpieshift.lab.emulators import peers
from magpieshift.lab.emulators.emulated_installation import EmulatedInstallation, router_settings
from magpieshift.lab.emulators.load import LoadGenerator
from magpieshift.lab.emulators.protocol_checker import ProtocolChecker
from magpieshift.lab.experiments.scenario import Fault, Scenario
from magpieshift.lab.fault_injection.ports import free_port

ROUTER_COMMAND = (sys.executable, "-m", "magpieshift")
ROUTER_TIMEOUT_S = 20.0  # timeout for the router's start and for its graceful shutdown


@dataclass
class Outcome:
    """Results of an episode."""

    scenario: Scenario
    seconds: float = 0.0
    figures: dict[str, Any] = field(default_factory=dict)
    slices: list[dict[str, float]] = field(default_factory=list)  # one for each second
    stores: dict[str, list[int]] = field(default_factory=dict)
    """Requests received in each second, by the endpoint's place; -1 while the endpoint is down."""
    broken: dict[str, int] = field(default_factory=dict)
    examples: list[str] = field(default_factory=list)
    log: str = ""

    @property
    def good(self) -> bool:
        """Whether no rule was violated and at least one request was served."""
        return not self.broken and self.figures.get("served", 0) > 0

    def as_json(self) -> dict[str, Any]:
        """Return the figures, and the number of violations by rule."""
        return self.figures | {"broken": self.broken, "rules_kept": not self.broken}


class Episode:
    """Runs the emulators, the load and the router's process."""

    def __init__(
        self, scenario: Scenario, arguments: Sequence[str] = (), program: Sequence[str] = ROUTER_COMMAND
    ) -> None:
        self._scenario = scenario
        self._arguments = arguments
        self._program = program
        self._random = random.Random(scenario.seed)
        self._checker, self._change_log = ProtocolChecker(), peers.ChangeLog()
        self._installation = EmulatedInstallation(
            scenario.boxes,
            scenario.hubs,
            self._checker,
            self._random,
            lambda event: self._change_log.publish(**event),
        )
        self._port = free_port()

    async def _inject_fault(self, fault: Fault) -> None:
        what = "hang" if fault.what == "pause" else fault.what
        await self._installation.inject_fault(what, fault.place, fault.duration_s, fault.amount)

    async def run(self, folder: Path, progress: Callable[[float], None] = lambda seconds: None) -> Outcome:
        """Run the whole episode. Raises ``RuntimeError`` if the router does not become ready."""
        scenario = self._scenario
        await self._installation.start()
        await self._change_log.start()
        self._installation.start_publishing()
        settings_path = folder / "start.sexp"
        log = folder / "router.log"
        settings_path.write_text(
            sexp.format_document(router_settings("lab", self._port, self._change_log.port))
        )
        load = LoadGenerator(
            self._port, scenario.rate, scenario.objects, scenario.seed, self._checker.copy_served
        )
        outcome = Outcome(scenario)
        fault_tasks: list[asyncio.Task[None]] = []
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                *self._program, "run", "--config", str(settings_path), *self._arguments, stderr=file
            )
        try:
            await self._wait_until_ready(log)
            started_s = time.monotonic()
            fault_tasks = [
                asyncio.ensure_future(self._inject_fault_at(started_s, fault)) for fault in scenario.faults
            ]
            record_task = asyncio.ensure_future(self._record_endpoints(outcome, started_s, progress))
            await load.run(scenario.seconds)
            record_task.cancel()
            outcome.seconds = time.monotonic() - started_s
            processor_time_s = self._processor_time_s(process.pid)
            process.terminate()
            code = await asyncio.wait_for(process.wait(), ROUTER_TIMEOUT_S)
            if code != 0:
                self._checker.record_violation("planned end", f"the router ended with {code}")
        finally:
            for task in fault_tasks:
                task.cancel()
            if process.returncode is None:
                process.kill()
                await process.wait()
            self._installation.stop()
            self._change_log.stop()
        outcome.log = log.read_text(errors="replace")
        if "Traceback" in outcome.log:
            self._checker.record_violation("traceback", outcome.log[outcome.log.index("Traceback") :][:600])
        self._set_results(outcome, load, processor_time_s)
        return outcome

    @staticmethod
    def _processor_time_s(pid: int) -> float:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def _wait_until_ready(self, log: Path) -> None:
        """Wait until the router has applied the endpoint list."""
        deadline_s = time.monotonic() + ROUTER_TIMEOUT_S
        while "changes applied" not in log.read_text():
            if time.monotonic() > deadline_s:
                raise RuntimeError(
                    f"found no event 'changes applied' in the router's log within {ROUTER_TIMEOUT_S:g} s; "
                    f"end of its log: {log.read_text()[-800:]}"
                )
            await asyncio.sleep(0.02)

    async def _inject_fault_at(self, started_s: float, fault: Fault) -> None:
        await asyncio.sleep(max(0.0, started_s + fault.start_s - time.monotonic()))
        await self._inject_fault(fault)

    async def _record_endpoints(
        self, outcome: Outcome, started_s: float, progress: Callable[[float], None]
    ) -> None:
        """Record once a second how many requests each endpoint has received since, or that it is down."""
        before: dict[str, tuple[str, int]] = {}
        while True:
            await asyncio.sleep(1.0)
            for place, endpoint in self._installation.places.items():
                endpoint_name, received_before = before.get(place, ("", 0))
                received = endpoint.received - (received_before if endpoint_name == endpoint.name else 0)
                outcome.stores.setdefault(place, []).append(received if endpoint.is_up else -1)
                before[place] = endpoint.name, endpoint.received
            progress(time.monotonic() - started_s)

    def _set_results(self, outcome: Outcome, load: LoadGenerator, processor_time_s: float) -> None:
        total = load.total
        checker = self._checker
        if load.duplicate_answers:
            checker.record_violation("one final answer", f"{load.duplicate_answers} second answers")
        if total.lost:
            checker.record_violation("one final answer", f"{total.lost} requests without an answer")
        outcome.broken = dict(checker.violations)
        outcome.examples = checker.examples
        for number, counts in enumerate(load.counts_by_second):
            histogram = counts.latency_us
            outcome.slices.append(
                {
                    "second": number,
                    "sent": counts.sent,
                    "served": counts.served,
                    "refused": counts.rejected,
                    "failed": counts.failed,
                    "lost": counts.lost,
                    "p50_ms": histogram.get_value_at_percentile(50) / 1000,
                    "p99_ms": histogram.get_value_at_percentile(99) / 1000,
                }
            )
        outcome.figures = {
            "seconds": round(outcome.seconds, 1),
            "seed": outcome.scenario.seed,
            "requests": total.sent,
            "served": total.served,
            "refused": total.rejected,
            "failed": total.failed,
            "lost": total.lost,
            "retries": load.retries,
            "attempts": checker.attempts,
            "p50_ms": total.latency_us.get_value_at_percentile(50) / 1000,
            "p99_ms": total.latency_us.get_value_at_percentile(99) / 1000,
            "origin_fetches": sum(checker.origin_fetches.values()),
            "failures": len(outcome.scenario.faults),
            "cpu_us_a_request": round(1e6 * processor_time_s / max(1, total.sent)),
        }


async def run_episode(
    scenario: Scenario,
    arguments: Sequence[str] = (),
    progress: Callable[[float], None] = lambda seconds: None,
    program: Sequence[str] = ROUTER_COMMAND,
) -> Outcome:
    """Run an episode in a temporary folder. ``arguments`` are added to those of ``run``."""
    with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as folder:
        return await Episode(scenario, arguments, program).run(Path(folder), progress)


def to_json(outcome: Outcome) -> str:
    """Return an outcome as JSON, for a later report that compares it with others."""
    plain = {
        "figures": outcome.figures,
        "slices": outcome.slices,
        "stores": outcome.stores,
        "broken": outcome.broken,
        "examples": outcome.examples,
        "failures": [
            {"what": f.what, "who": f.place, "at_s": f.start_s, "for_s": f.duration_s}
            for f in outcome.scenario.faults
        ],
    }
    return json.dumps(plain)
