"""An episode: an emulated installation with a real router's process in it, load, and failures by the
script."""

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
from magpieshift.control.schema import load_data, to_data
from magpieshift.lab.experiments.scenario import Failure, Scenario
from magpieshift.lab.standins import peers
from magpieshift.lab.standins.emulator import Figures, Rules, Store
from magpieshift.lab.standins.load import Load

ROUTER = (sys.executable, "-m", "magpieshift")
UP_S = 20.0


@dataclass
class Outcome:
    """What an episode showed."""

    scenario: Scenario
    seconds: float = 0.0
    figures: dict[str, Any] = field(default_factory=dict)
    slices: list[dict[str, float]] = field(default_factory=list)  # a second each
    stores: dict[str, list[int]] = field(
        default_factory=dict
    )  # by place: asked in each second, -1 while down
    broken: dict[str, int] = field(default_factory=dict)
    examples: list[str] = field(default_factory=list)
    log: str = ""

    @property
    def good(self) -> bool:
        return not self.broken and self.figures.get("served", 0) > 0

    def as_json(self) -> dict[str, Any]:
        return self.figures | {"broken": self.broken, "rules_kept": not self.broken}


class Episode:
    """Owner of the stand-ins and of the router's process."""

    def __init__(
        self, scenario: Scenario, words: Sequence[str] = (), program: Sequence[str] = ROUTER
    ) -> None:
        self._scenario, self._words, self._program = scenario, words, program
        self._random = random.Random(scenario.seed)
        self._rules, self._log = Rules(), peers.Log()
        self._places: dict[str, Store] = {}
        self._told: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self._late_until = 0.0
        self._revision = 0
        self._births = 0
        self._port = peers.free_port()

    def _new(self, place: str, late: bool) -> Store:
        """A process for a place: new ids for all but the origin, whose restart the list does not show."""
        self._births += 1
        kinds = {
            "box": ("shop", "box", Figures()),
            "hub": ("hub", "upper", Figures(slots=24, fetch_ms=10, fall_multiple=2.0)),
        }
        origin = ("hub", "source", Figures(slots=16, serve_ms=14, fetch_ms=25))
        zone, kind, figures = kinds.get(place[:3], origin)
        ident = f"s-{place}-{self._births}"
        store = Store(ident, zone, kind, self._births, figures, self._rules, self._random)
        store.up_since_ms = int(time.time() * 1000) if late else 0
        return store

    def _sources(self) -> None:
        """Whoever may be named in a fill, by the ids of now."""
        by_id = {store.ident: store for store in self._places.values()}
        for store in self._places.values():
            store.sources = by_id

    def _tell_list(self, whole: bool = False, **left: Store) -> None:
        """Tell the list's changes: these have gone, or come, or all."""
        self._revision += 1
        members = [store.listing() for store in self._places.values()] if whole else []
        members += [store.listing(phase) for phase, store in left.items()]
        self._told.put_nowait({"fleet": {"revision": self._revision, "complete": whole, "members": members}})

    async def _telling(self) -> None:
        """The change log runs late at times; what it tells then comes all at once, in order."""
        while True:
            event = await self._told.get()
            while time.monotonic() < self._late_until:
                await asyncio.sleep(0.02)
            for member in event.get("fleet", {}).get("members", []):
                if member["phase"] != "SERVING":
                    self._rules.told_drain[member["id"]] = time.time()
            if "invalidate" in event:  # the rule counts from when it was told, copies from when it was made
                purge = event["invalidate"]
                self._rules.purged[purge["object"]] = purge["time"] / 1000, time.time()
            self._log.tell(**event)

    async def _fail(self, failure: Failure) -> None:
        """Carry one failure out, from its beginning to its end."""
        store = self._places.get(failure.who)
        match failure.what:
            case "late-list":
                self._late_until = time.monotonic() + failure.for_s
            case "purge":
                key = f"{self._random.randrange(8) + 1:016x}"  # what is wanted most
                made_ms = int(time.time() * 1000)  # copies are dropped soon after, however late the log tells
                self._told.put_nowait({"invalidate": {"object": key, "time": made_ms}})
                await asyncio.sleep(0.2)
                for holder in self._places.values():
                    holder.drop(key)
            case "slow" if store is not None:
                store.slow_ms = failure.by
                await asyncio.sleep(failure.for_s)
                store.slow_ms = 0.0
            case "lose" if store is not None:
                store.lose = failure.by
                await asyncio.sleep(failure.for_s)
                store.lose = 0.0
            case "pause" if store is not None:
                store.paused.clear()
                await asyncio.sleep(failure.for_s)
                store.paused.set()
            case "reset" if store is not None:
                store.reset()
            case "drain" | "die" if store is not None and store.up and failure.who != "origin":
                await self._replace(failure, store)

    async def _replace(self, failure: Failure, store: Store) -> None:
        """A process goes, drained first or at once, and a new one, cold and empty, comes at its address."""
        if failure.what == "drain":
            self._tell_list(DRAINING=store)
            await asyncio.sleep(max(1.0, failure.for_s))
        store.die()
        self._tell_list(DELETED=store)
        await asyncio.sleep(failure.for_s)
        if self._places[failure.who] is not store:
            return
        new = self._new(failure.who, late=True)
        await new.start(store.port)
        self._places[failure.who] = new
        self._sources()
        self._tell_list(SERVING=new)

    def _settings(self) -> dict[str, Any]:
        picture = {"aim-ms": 300, "deadline-ms": 1500, "in-parts": True, "worth": 2, "late-worth": 0.3}
        basket = {
            "aim-ms": 500, "deadline-ms": 2000, "effect": "keyed", "dedup-ms": 4000,
            "write": True, "worth": 3,
        }  # fmt: skip
        order = {"aim-ms": 500, "deadline-ms": 2000, "effect": "unsafe", "write": True, "worth": 3}
        data = {
            "name": "lab", "listen": f"127.0.0.1:{self._port}", "change-log": f"127.0.0.1:{self._log.port}",
            "limits": {"memory-mb": 64, "sockets": 512}, "zone": "shop",
            "zones": {"hub": {"routers": 0}, "shop": {"routers": 1, "attached-to": "hub"}},
            "kinds": ["box", "upper", "source"], "parent-kind": "upper", "origin-kind": "source",
            "classes": {"picture": picture, "basket": basket, "order": order}, "client-kb-per-s": 300,
            "stores": {"cold-ms": 4000, "cold-from": 0.3},
            "parents": {"cold-ms": 4000, "cold-from": 0.3, "fall-multiple": 2},
        }  # fmt: skip
        return to_data(load_data(data).document)

    async def run(self, folder: Path, progress: Callable[[float], None] = lambda seconds: None) -> Outcome:
        """The whole episode; ``RuntimeError`` where the router does not come up."""
        scenario = self._scenario
        for place in scenario.places:
            self._places[place] = self._new(place, late=False)
            await self._places[place].start()
        self._sources()
        await self._log.start()
        self._tell_list(whole=True)
        telling = asyncio.ensure_future(self._telling())
        start, log = folder / "start.sexp", folder / "router.log"
        start.write_text(sexp.write(self._settings()))
        load = Load(self._port, scenario.rate, scenario.objects, scenario.seed, self._rules.served)
        outcome = Outcome(scenario)
        failing: list[asyncio.Task[None]] = []
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                *self._program, "run", "--config", str(start), *self._words, stderr=file
            )
        try:
            await self._up(log)
            began = time.monotonic()
            failing = [asyncio.ensure_future(self._at(began, failure)) for failure in scenario.failures]
            watching = asyncio.ensure_future(self._watch(outcome, began, progress))
            await load.run(scenario.seconds)
            watching.cancel()
            outcome.seconds = time.monotonic() - began
            spent = self._spent(process.pid)
            process.terminate()
            code = await asyncio.wait_for(process.wait(), UP_S)
            if code != 0:
                self._rules.broke("planned end", f"the router ended with {code}")
        finally:
            for task in [telling, *failing]:
                task.cancel()
            if process.returncode is None:
                process.kill()
                await process.wait()
            for store in self._places.values():
                store.die()
            self._log.stop()
        outcome.log = log.read_text(errors="replace")
        if "Traceback" in outcome.log:
            self._rules.broke("traceback", outcome.log[outcome.log.index("Traceback") :][:600])
        self._sum_up(outcome, load, spent)
        return outcome

    @staticmethod
    def _spent(pid: int) -> float:
        fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def _up(self, log: Path) -> None:
        """The router is ready, and has read the list."""
        end = time.monotonic() + UP_S
        while "change applied" not in log.read_text():
            if time.monotonic() > end:
                raise RuntimeError(f"the router did not come up: {log.read_text()[-800:]}")
            await asyncio.sleep(0.02)

    async def _at(self, began: float, failure: Failure) -> None:
        await asyncio.sleep(max(0.0, began + failure.at_s - time.monotonic()))
        await self._fail(failure)

    async def _watch(self, outcome: Outcome, began: float, progress: Callable[[float], None]) -> None:
        """Once a second: what each place was asked since, or that it is down."""
        before: dict[str, tuple[str, int]] = {}
        while True:
            await asyncio.sleep(1.0)
            for place, store in self._places.items():
                ident, asked = before.get(place, ("", 0))
                since = store.asked - (asked if ident == store.ident else 0)
                outcome.stores.setdefault(place, []).append(since if store.up else -1)
                before[place] = store.ident, store.asked
            progress(time.monotonic() - began)

    def _sum_up(self, outcome: Outcome, load: Load, spent: float) -> None:
        total, rules = load.total, self._rules
        if load.doubles:
            rules.broke("one final answer", f"{load.doubles} second answers")
        if total.lost:
            rules.broke("one final answer", f"{total.lost} requests without an answer")
        outcome.broken, outcome.examples = dict(rules.broken), rules.examples
        for number, slice_ in enumerate(load.slices):
            histogram = slice_.latency_us
            outcome.slices.append(
                {
                    "second": number, "sent": slice_.sent, "served": slice_.served, "refused": slice_.refused,
                    "failed": slice_.failed, "lost": slice_.lost,
                    "p50_ms": histogram.get_value_at_percentile(50) / 1000,
                    "p99_ms": histogram.get_value_at_percentile(99) / 1000,
                }
            )  # fmt: skip
        outcome.figures = {
            "seconds": round(outcome.seconds, 1), "seed": outcome.scenario.seed, "requests": total.sent,
            "served": total.served, "refused": total.refused, "failed": total.failed, "lost": total.lost,
            "retries": load.retries, "attempts": rules.attempts,
            "p50_ms": total.latency_us.get_value_at_percentile(50) / 1000,
            "p99_ms": total.latency_us.get_value_at_percentile(99) / 1000,
            "origin_fetches": sum(rules.fetches.values()), "failures": len(outcome.scenario.failures),
            "cpu_us_a_request": round(1e6 * spent / max(1, total.sent)),
        }  # fmt: skip


async def play(
    scenario: Scenario,
    words: Sequence[str] = (),
    progress: Callable[[float], None] = lambda seconds: None,
    program: Sequence[str] = ROUTER,
) -> Outcome:
    """An episode in a folder of its own; ``words`` are more of ``run``'s, as ``--capture DIR``."""
    with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as folder:
        return await Episode(scenario, words, program).run(Path(folder), progress)


def saved(outcome: Outcome) -> str:
    """An outcome as JSON, for a report beside another's later."""
    plain = {
        "figures": outcome.figures, "slices": outcome.slices, "stores": outcome.stores,
        "broken": outcome.broken, "examples": outcome.examples,
        "failures": [
            {"what": f.what, "who": f.who, "at_s": f.at_s, "for_s": f.for_s}
            for f in outcome.scenario.failures
        ],
    }  # fmt: skip
    return json.dumps(plain)
