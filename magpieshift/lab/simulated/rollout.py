"""Rollouts on a fake clock: the real plan, judge and coordinator over a fleet of modelled processes.

A process is a rate of requests by class, the share of them that it serves in time, processor time, memory
and a chance to go away. What strikes all (an outage, a slow origin) and what only the new version has are
drawn apart, so it is known whether a stop was right. Coordinators are killed and resumed, paused and
overtaken; steps fail; doors fall silent."""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import Any

import numpy as np

from magpieshift.rollout.coordinator import Action, Coordinator, Judged, Replace, Way, Write
from magpieshift.rollout.figures import Figures
from magpieshift.rollout.judge import Judge, Verdict
from magpieshift.rollout.plan import Plan, Router, Side, Stage, Worse

SECOND = 1_000_000
LOOK_S = 2
OLD, NEW = "old", "new"
CLASSES = {"picture": 0.9, "basket": 0.06, "order": 0.04}
SERVED = 0.97
MOST_S = 7_200


@dataclass(frozen=True)
class Version:
    """How the new version differs from the old."""

    served: dict[str, float] = field(default_factory=dict)  # by class: so much less is served in time
    only_zone: str = ""  # worse there alone
    after_s: float = 0.0  # worse only so long after a process's start
    processor: float = 1.0  # times the time a request
    leak_mb_per_min: float = 0.0
    starts: bool = True
    answers: bool = True
    crash_s: float = 0.0  # mean time until it goes away; 0: it does not


@dataclass(frozen=True)
class Scenario:
    """A version, and what strikes both sides meanwhile."""

    version: Version = field(default_factory=Version)
    bad: bool = False  # whether it should be stopped
    outages: int = 0  # in which all serve less, for some time
    kills: float = 0.0  # routers that die an hour, in all, and come back
    cuts: float = 0.0  # doors that fall silent an hour, in all
    coordinator: bool = False  # it is killed and resumed, and once a second one takes over


SCENARIOS: dict[str, Scenario] = {
    "same": Scenario(),
    "same-with-outage": Scenario(outages=3, kills=20.0, cuts=20.0, coordinator=True),
    "worse-class": Scenario(Version({"basket": 0.03}), bad=True),
    "worse-with-outage": Scenario(Version({"basket": 0.03}), True, outages=3, kills=20.0, cuts=20.0,
                                  coordinator=True),
    "worse-zone": Scenario(Version({"picture": 0.06}, only_zone="z0"), bad=True),
    "worse-later": Scenario(Version({"picture": 0.03}, after_s=60.0), bad=True),
    "leak": Scenario(Version(leak_mb_per_min=1.0), bad=True),
    "slower": Scenario(Version(processor=1.3), bad=True),
    "no-start": Scenario(Version(starts=False), bad=True),
    "mute": Scenario(Version(answers=False), bad=True),
    "late-crash": Scenario(Version(crash_s=40.0), bad=True),
}  # fmt: skip


@dataclass
class _Process:
    label: str
    incarnation: str
    born_us: int
    rss: float = 30.0
    cpu_us: float = 0.0
    counts: dict[str, list[int]] = field(default_factory=lambda: {name: [0, 0] for name in CLASSES})
    crash_us: int | None = None


@dataclass
class Outcome:
    """What came of one rollout."""

    scenario: str
    seed: int
    ended: str = ""
    why: str = ""
    bad: bool = False
    stopped: bool = False
    seconds: float = 0.0
    exposed_routers: float = 0.0  # the most that were new, of all
    exposed_requests: float = 0.0  # taken by new processes, of all, until all was put back
    most_away: int = 0  # that the coordinator took away while others were away, at one time
    terms_at_once: int = 0  # instants at which two coordinators had steps under way
    stage: str = ""


def plan_of(routers: int, zones: int = 4) -> Plan:
    """The plan that is tried: one, a tenth, a half, all, across zones."""
    doors = ("127.0.0.1", 1), ("127.0.0.1", 2)
    places = {f"r{n}": Router(f"r{n}", f"z{n % zones}", doors) for n in range(routers)}
    order = sorted(places, key=lambda name: int(name[1:]))
    stages: list[Stage] = []
    shares = {"one": (0.0, 120.0), "tenth": (0.1, 120.0), "half": (0.5, 60.0), "all": (1.0, 60.0)}
    for name, (share, soak) in shares.items():
        targets = tuple(order[: max(1, round(share * routers))])
        if not stages or len(targets) > len(stages[-1].targets):
            stages.append(Stage(name, targets, soak, 1_800.0))
    return Plan("simulated", Side(NEW, "-"), Side(OLD, "-"), places, tuple(stages), Worse(),
                max(2, routers // 50), 30.0, "back", "simulated")  # fmt: skip


class Fleet:
    """Modelled processes, and one or two coordinators at work on them."""

    def __init__(self, scenario: Scenario, routers: int, seed: int, rate: float = 20.0,
                 before: bool = False) -> None:  # fmt: skip
        self.scenario, self.plan, self.rate = scenario, plan_of(routers), rate
        self.rand, self.draw = random.Random(seed), np.random.default_rng(seed)
        self.now_us = 0
        self.before = before  # an ablation: the new side is compared with what the old did before the stage
        self.processes: dict[str, list[_Process]] = {}
        self.silent_us = dict.fromkeys(self.plan.routers, 0)
        self.dead_us: dict[str, int] = {}
        self.term = 0  # the latest that routers know
        self.records: list[dict[str, Any]] = []
        self.asked = {OLD: 0, NEW: 0}
        self._births = 0
        self._heap: list[tuple[int, int, Callable[[], None]]] = []
        self._order = count()
        self.outages: list[tuple[int, int, float]] = []
        for name in self.plan.routers:
            self.processes[name] = [self._new(OLD)]
        self._troubles()

    def _troubles(self) -> None:
        rand, s = self.rand, self.scenario
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

    def _new(self, label: str) -> _Process:
        self._births += 1
        crash_s = self.scenario.version.crash_s if label == NEW else 0.0
        process = _Process(label, f"{self._births}", self.now_us)
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

    def answers(self, name: str) -> list[_Process]:
        return [] if self.now_us < self.silent_us[name] else self.processes[name]

    def figures(self, process: _Process) -> Figures:
        classes = {
            cls: {"asked": a, "served": s, "late": a - s, "refused": 0, "failed": 0, "left": 0}
            for cls, (a, s) in process.counts.items()
        }
        rss = process.rss + self.rand.uniform(-0.2, 0.2)
        return Figures(process.label, process.incarnation, "serving", self.now_us - process.born_us, classes,
                       int(process.cpu_us), int(rss * 1024))  # fmt: skip

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


class Run:
    """A coordinator's process: it may be killed, paused, and resumed under a later term."""

    def __init__(self, fleet: Fleet, own_records: bool = False) -> None:
        self.fleet = fleet
        self.records = list(fleet.records) if own_records else fleet.records
        fleet.term += 1
        plan = fleet.plan
        self.coordinator = Coordinator(plan, fleet.term, fleet.now_us, self.records)
        self.judge = self._fresh()
        self.step: tuple[int, Replace] | None = None  # when it is over
        self.acted_us = -1  # when a step of its last changed anything
        self.paused_until = 0
        self.do(self.coordinator.begin())

    def _fresh(self) -> Judge:
        plan = self.fleet.plan
        zones = {name: router.zone for name, router in plan.routers.items()}
        return Judge(plan.worse, NEW, OLD, zones, self.fleet.now_us)

    def do(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Write(record=record):
                    self.records.append(dict(record))
                case Judged():
                    self.judge = self._fresh()
                case Replace():
                    self.judge.expect(action.router)
                    takes = self.fleet.rand.uniform(1.0, 4.0)
                    self.step = self.fleet.now_us + int(takes * SECOND), action

    def look(self) -> Verdict:
        fleet, coordinator = self.fleet, self.coordinator
        now = fleet.now_us
        if now < self.paused_until:
            return coordinator.verdict
        if self.step is not None and now >= self.step[0]:
            _, action = self.step
            self.step = None
            why = fleet.replace(action.router, action.label, coordinator.term)
            if not why:
                self.acted_us = now
            if why == "over":
                coordinator.overtaken("term over")
                return coordinator.verdict
            self.judge.expect(action.router)
            self.do(coordinator.stepped(now, action.step, why))
        answers: dict[str, Figures | None] = {}
        for name in fleet.plan.routers:
            there = fleet.answers(name)
            coordinator.seen(now, name, frozenset(p.label for p in there))
            answers[name] = fleet.figures(there[-1]) if there else None
        if self.step is not None:
            answers.pop(self.step[1].router)
        self.judge.look(now, answers)
        verdict = self.judge.verdict(now, coordinator.next_share)
        if fleet.before:
            verdict = self._before(verdict)
        self.do(coordinator.tick(now, verdict, self.judge.why))
        return verdict

    def _before(self, verdict: Verdict) -> Verdict:
        """The ablation: the new side now against the old one in the calm before, by the same bounds."""
        worst, enough = 0.0, True
        for each in self.judge.sums.values():
            enough = enough and each.asked_new >= 200
            if each.asked_new >= 200:
                share = each.served_new / each.asked_new
                error = 3.0 * (SERVED * (1 - SERVED) / each.asked_new) ** 0.5
                worst = max(worst, SERVED - share - error)
        if worst > 0.01 or verdict == Verdict.WORSE and not self.judge.why.count("served in time"):
            return Verdict.WORSE
        return Verdict.FINE if enough else Verdict.UNKNOWN


def play(name: str, routers: int, seed: int, before: bool = False) -> Outcome:
    """One rollout to its end."""
    scenario = SCENARIOS[name]
    fleet = Fleet(scenario, routers, seed, before=before)
    out = Outcome(name, seed, bad=scenario.bad)
    run = Run(fleet)
    older: list[Run] = []
    rand = random.Random(f"coordinator {seed}")
    trouble_s, troubles = rand.uniform(5, 200) if scenario.coordinator else float("inf"), 0
    while not run.coordinator.over and fleet.now_us < MOST_S * SECOND:
        fleet.go(LOOK_S)
        if fleet.now_us >= trouble_s * SECOND:
            troubles += 1
            trouble_s = fleet.now_us / SECOND + rand.uniform(60, 400) if troubles < 3 else float("inf")
            if rand.random() < 0.5:  # killed, and resumed by its journal
                run = Run(fleet)
            else:  # it stands still, another takes over from its journal, and it wakes
                run.paused_until = fleet.now_us + rand.randrange(2 * SECOND, 15 * SECOND)
                older.append(run)
                fleet.records = list(run.records)
                run = Run(fleet)
        for each in [*older, run]:
            each.look()
        older = [r for r in older if not r.coordinator.over and fleet.now_us < r.paused_until + 60 * SECOND]
        acting = [r for r in [*older, run] if r.acted_us == fleet.now_us]
        out.terms_at_once += len(acting) > 1
        new = sum(1 for there in fleet.processes.values() if there and there[-1].label == NEW)
        out.exposed_routers = max(out.exposed_routers, round(new / routers, 4))
        if not out.stopped:
            out.stage = run.coordinator.stage.name
        out.stopped = any(record.get("way") == Way.BACK.value for record in run.records)
        if run.coordinator.state.way == Way.HOLD:
            break
        if run.step is not None:
            out.most_away = max(out.most_away, 1 + len(run.coordinator.away(fleet.now_us)))
    out.seconds = fleet.now_us / SECOND
    out.ended, out.why = run.coordinator.state.way.value, run.coordinator.state.why or run.coordinator.waits
    out.exposed_requests = round(fleet.asked[NEW] / max(1, sum(fleet.asked.values())), 4)
    return out


def many(name: str, routers: int, runs: int, seed: int, workers: int, before: bool = False) -> dict[str, Any]:
    """So many rollouts of one scenario, by several processes; the last line's figures."""
    began, one = time.perf_counter(), partial(play, name, routers, before=before)
    with ProcessPoolExecutor(workers) as pool:
        outs = list(pool.map(one, range(seed, seed + runs), chunksize=1))
    bad = SCENARIOS[name].bad
    allowed = plan_of(routers).most_away
    return {
        "scenario": name, "routers": routers, "runs": runs,
        "stopped_wrongly": sum(o.stopped for o in outs) if not bad else 0,
        "caught": sum(o.stopped for o in outs) if bad else 0,
        "held": sum(o.ended == "hold" for o in outs),
        "not_ended": sum(o.ended not in ("ended", "hold") for o in outs),
        "exposed_share": round(sum(o.exposed_routers for o in outs) / runs, 4),
        "exposed_most": max(o.exposed_routers for o in outs),
        "exposed_requests": round(sum(o.exposed_requests for o in outs) / runs, 4),
        "exposed_requests_most": max(o.exposed_requests for o in outs),
        "most_away": max(o.most_away for o in outs), "away_allowed": allowed,
        "terms_at_once": sum(o.terms_at_once for o in outs),
        "seconds_median": sorted(o.seconds for o in outs)[runs // 2],
        "stages": {s: sum(o.stage == s for o in outs) for s in sorted({o.stage for o in outs})},
        "examples": sorted({o.why[:110] for o in outs})[:3],
        "real_s": round(time.perf_counter() - began, 1),
    }  # fmt: skip
