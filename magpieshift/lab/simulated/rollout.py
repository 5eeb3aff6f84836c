"""Rollouts on a fake clock: the real plan, judge and coordinator over a fleet of modelled processes.

What strikes all (an outage, a slow origin) and what only the new version has are drawn apart, so it is known
whether a stop was right. Coordinators are killed and resumed, paused and overtaken; steps fail; doors fall
silent."""

from __future__ import annotations

import random
import time
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from typing import Any

from magpieshift.lab.simulated.rollout_fleet import NEW, OLD, SECOND, SERVED, Fleet, plan_of
from magpieshift.lab.simulated.rollout_scenarios import SCENARIOS
from magpieshift.rollout.canary_analysis import CanaryAnalysis
from magpieshift.rollout.coordinator import Coordinator
from magpieshift.rollout.instructions import BeginStage, Instruction, RecordDecision, ReplaceProcess
from magpieshift.rollout.process_counters import ProcessCounters
from magpieshift.rollout.records import PhaseChanged, RolloutPhase
from magpieshift.rollout.verdict import Verdict

LOOK_S = 2
MOST_S = 7_200


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


class Run:
    """A coordinator's process: it may be killed, paused, and resumed under a later term."""

    def __init__(self, fleet: Fleet, own_records: bool = False) -> None:
        self.fleet = fleet
        self.records = list(fleet.records) if own_records else fleet.records
        fleet.term += 1
        plan = fleet.plan
        self.coordinator = Coordinator(plan, fleet.term, fleet.now_us, self.records)
        self.judge = self._fresh()
        self.step: tuple[int, ReplaceProcess] | None = None  # when it is over
        self.acted_us = -1  # when a step of its last changed anything
        self.paused_until = 0
        self.do(self.coordinator.begin())

    def _fresh(self) -> CanaryAnalysis:
        plan = self.fleet.plan
        zones = {name: router.zone for name, router in plan.routers.items()}
        return CanaryAnalysis(plan.tolerances, NEW, OLD, zones, self.fleet.now_us)

    def do(self, actions: list[Instruction]) -> None:
        """Carry out what the coordinator says; a replacement takes some seconds."""
        for action in actions:
            match action:
                case RecordDecision(record=record):
                    self.records.append(record)
                case BeginStage():
                    self.judge = self._fresh()
                case ReplaceProcess():
                    self.judge.expect_restart(action.router)
                    takes = self.fleet.rand.uniform(1.0, 4.0)
                    self.step = self.fleet.now_us + int(takes * SECOND), action

    def look(self) -> Verdict:
        """One round: finish the step that is due, observe, and let the coordinator decide."""
        fleet = self.fleet
        coordinator = self.coordinator
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
                coordinator.supersede("term over")
                return coordinator.verdict
            self.judge.expect_restart(action.router)
            self.do(coordinator.step_finished(now, action.step, why))
        answers: dict[str, ProcessCounters | None] = {}
        for name in fleet.plan.routers:
            there = fleet.answers(name)
            coordinator.record_labels(now, name, frozenset(p.label for p in there))
            answers[name] = fleet.figures(there[-1]) if there else None
        if self.step is not None:
            answers.pop(self.step[1].router)
        self.judge.record_round(now, answers)
        verdict = self.judge.verdict(now, coordinator.next_fraction)
        if fleet.before:
            verdict = self._before(verdict)
        self.do(coordinator.tick(now, verdict, self.judge.reason))
        return verdict

    def _before(self, verdict: Verdict) -> Verdict:
        """The ablation: the new side now against the old one in the calm before, by the same bounds."""
        worst = 0.0
        enough = True
        for each in self.judge.differences.values():
            enough = enough and each.requests_new >= 200
            if each.requests_new >= 200:
                share = each.served_new / each.requests_new
                error = 3.0 * (SERVED * (1 - SERVED) / each.requests_new) ** 0.5
                worst = max(worst, SERVED - share - error)
        if worst > 0.01 or verdict == Verdict.WORSE and not self.judge.reason.count("served in time"):
            return Verdict.WORSE
        return Verdict.NO_WORSE if enough else Verdict.UNDECIDED


def play(name: str, routers: int, seed: int, before: bool = False) -> Outcome:
    """One rollout to its end."""
    scenario = SCENARIOS[name]
    fleet = Fleet(scenario, routers, seed, before=before)
    out = Outcome(name, seed, bad=scenario.bad)
    run = Run(fleet)
    older: list[Run] = []
    rand = random.Random(f"coordinator {seed}")
    trouble_s = rand.uniform(5, 200) if scenario.coordinator else float("inf")
    troubles = 0
    while not run.coordinator.is_over and fleet.now_us < MOST_S * SECOND:
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
        older = [
            r for r in older if not r.coordinator.is_over and fleet.now_us < r.paused_until + 60 * SECOND
        ]
        acting = [r for r in [*older, run] if r.acted_us == fleet.now_us]
        out.terms_at_once += len(acting) > 1
        new = sum(1 for there in fleet.processes.values() if there and there[-1].label == NEW)
        out.exposed_routers = max(out.exposed_routers, round(new / routers, 4))
        if not out.stopped:
            out.stage = run.coordinator.stage.name
        out.stopped = any(
            isinstance(record, PhaseChanged) and record.phase is RolloutPhase.ROLLING_BACK
            for record in run.records
        )
        if run.coordinator.state.phase == RolloutPhase.HELD:
            break
        if run.step is not None:
            out.most_away = max(out.most_away, 1 + len(run.coordinator.unreachable(fleet.now_us)))
    out.seconds = fleet.now_us / SECOND
    out.ended = run.coordinator.state.phase.value
    out.why = run.coordinator.state.reason or run.coordinator.waiting_reason
    out.exposed_requests = round(fleet.asked[NEW] / max(1, sum(fleet.asked.values())), 4)
    return out


def many(name: str, routers: int, runs: int, seed: int, workers: int, before: bool = False) -> dict[str, Any]:
    """So many rollouts of one scenario, by several processes; the last line's figures."""
    began = time.perf_counter()
    one = partial(play, name, routers, before=before)
    with ProcessPoolExecutor(workers) as pool:
        outs = list(pool.map(one, range(seed, seed + runs), chunksize=1))
    bad = SCENARIOS[name].bad
    allowed = plan_of(routers).max_unreachable
    return {
        "scenario": name,
        "routers": routers,
        "runs": runs,
        "stopped_wrongly": sum(o.stopped for o in outs) if not bad else 0,
        "caught": sum(o.stopped for o in outs) if bad else 0,
        "held": sum(o.ended == "hold" for o in outs),
        "not_ended": sum(o.ended not in ("ended", "hold") for o in outs),
        "exposed_share": round(sum(o.exposed_routers for o in outs) / runs, 4),
        "exposed_most": max(o.exposed_routers for o in outs),
        "exposed_requests": round(sum(o.exposed_requests for o in outs) / runs, 4),
        "exposed_requests_most": max(o.exposed_requests for o in outs),
        "most_away": max(o.most_away for o in outs),
        "away_allowed": allowed,
        "terms_at_once": sum(o.terms_at_once for o in outs),
        "seconds_median": sorted(o.seconds for o in outs)[runs // 2],
        "stages": {s: sum(o.stage == s for o in outs) for s in sorted({o.stage for o in outs})},
        "examples": sorted({o.why[:110] for o in outs})[:3],
        "real_s": round(time.perf_counter() - began, 1),
    }
