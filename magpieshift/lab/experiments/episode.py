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
from magpieshift.lab.emulators.emulated import EmulatedInstallation, router_settings
from magpieshift.lab.emulators.load import LoadGenerator
from magpieshift.lab.emulators.protocol_checker import ProtocolChecker
from magpieshift.lab.experiments.scenario import Fault, Scenario
from magpieshift.lab.fault_injection.ports import free_port

ROUTER = (sys.executable, "-m", "magpieshift")
UP_S = 20.0  # timeout for the router's start and for its graceful shutdown


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
        self, scenario: Scenario, words: Sequence[str] = (), program: Sequence[str] = ROUTER
    ) -> None:
        self._scenario = scenario
        self._words = words
        self._program = program
        self._random = random.Random(scenario.seed)
        self._rules, self._log = ProtocolChecker(), peers.ChangeLog()
        self._stores = EmulatedInstallation(
            scenario.boxes, scenario.hubs, self._rules, self._random, lambda event: self._log.publish(**event)
        )
        self._port = free_port()

    async def _fail(self, failure: Fault) -> None:
        what = "hang" if failure.what == "pause" else failure.what
        await self._stores.inject_fault(what, failure.place, failure.duration_s, failure.amount)

    async def run(self, folder: Path, progress: Callable[[float], None] = lambda seconds: None) -> Outcome:
        """Run the whole episode. Raises ``RuntimeError`` if the router does not become ready."""
        scenario = self._scenario
        await self._stores.start()
        await self._log.start()
        self._stores.start_publishing()
        start = folder / "start.sexp"
        log = folder / "router.log"
        start.write_text(sexp.format_document(router_settings("lab", self._port, self._log.port)))
        load = LoadGenerator(
            self._port, scenario.rate, scenario.objects, scenario.seed, self._rules.copy_served
        )
        outcome = Outcome(scenario)
        failing: list[asyncio.Task[None]] = []
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                *self._program, "run", "--config", str(start), *self._words, stderr=file
            )
        try:
            await self._up(log)
            began = time.monotonic()
            failing = [asyncio.ensure_future(self._at(began, failure)) for failure in scenario.faults]
            watching = asyncio.ensure_future(self._watch(outcome, began, progress))
            await load.run(scenario.seconds)
            watching.cancel()
            outcome.seconds = time.monotonic() - began
            spent = self._spent(process.pid)
            process.terminate()
            code = await asyncio.wait_for(process.wait(), UP_S)
            if code != 0:
                self._rules.record_violation("planned end", f"the router ended with {code}")
        finally:
            for task in failing:
                task.cancel()
            if process.returncode is None:
                process.kill()
                await process.wait()
            self._stores.stop()
            self._log.stop()
        outcome.log = log.read_text(errors="replace")
        if "Traceback" in outcome.log:
            self._rules.record_violation("traceback", outcome.log[outcome.log.index("Traceback") :][:600])
        self._sum_up(outcome, load, spent)
        return outcome

    @staticmethod
    def _spent(pid: int) -> float:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def _up(self, log: Path) -> None:
        """Wait until the router has applied the endpoint list."""
        end = time.monotonic() + UP_S
        while "changes applied" not in log.read_text():
            if time.monotonic() > end:
                raise RuntimeError(
                    f"found no event 'changes applied' in the router's log within {UP_S:g} s; "
                    f"end of its log: {log.read_text()[-800:]}"
                )
            await asyncio.sleep(0.02)

    async def _at(self, began: float, failure: Fault) -> None:
        await asyncio.sleep(max(0.0, began + failure.start_s - time.monotonic()))
        await self._fail(failure)

    async def _watch(self, outcome: Outcome, began: float, progress: Callable[[float], None]) -> None:
        """Record once a second how many requests each endpoint has received since, or that it is down."""
        before: dict[str, tuple[str, int]] = {}
        while True:
            await asyncio.sleep(1.0)
            for place, store in self._stores.places.items():
                ident, asked = before.get(place, ("", 0))
                since = store.received - (asked if ident == store.name else 0)
                outcome.stores.setdefault(place, []).append(since if store.is_up else -1)
                before[place] = store.name, store.received
            progress(time.monotonic() - began)

    def _sum_up(self, outcome: Outcome, load: LoadGenerator, spent: float) -> None:
        total = load.total
        rules = self._rules
        if load.duplicate_answers:
            rules.record_violation("one final answer", f"{load.duplicate_answers} second answers")
        if total.lost:
            rules.record_violation("one final answer", f"{total.lost} requests without an answer")
        outcome.broken = dict(rules.violations)
        outcome.examples = rules.examples
        for number, slice_ in enumerate(load.counts_by_second):
            histogram = slice_.latency_us
            outcome.slices.append(
                {
                    "second": number,
                    "sent": slice_.sent,
                    "served": slice_.served,
                    "refused": slice_.rejected,
                    "failed": slice_.failed,
                    "lost": slice_.lost,
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
            "attempts": rules.attempts,
            "p50_ms": total.latency_us.get_value_at_percentile(50) / 1000,
            "p99_ms": total.latency_us.get_value_at_percentile(99) / 1000,
            "origin_fetches": sum(rules.origin_fetches.values()),
            "failures": len(outcome.scenario.faults),
            "cpu_us_a_request": round(1e6 * spent / max(1, total.sent)),
        }


async def play(
    scenario: Scenario,
    words: Sequence[str] = (),
    progress: Callable[[float], None] = lambda seconds: None,
    program: Sequence[str] = ROUTER,
) -> Outcome:
    """Run an episode in a temporary folder. ``words`` are more arguments of ``run``, as ``--capture DIR``."""
    with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as folder:
        return await Episode(scenario, words, program).run(Path(folder), progress)


def saved(outcome: Outcome) -> str:
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
