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

from magpieshift.lab.simulated.rollout_fleet import NEW, OLD, SECOND_US, SERVED_SHARE, Fleet, rollout_plan
from magpieshift.lab.simulated.rollout_scenarios import SCENARIOS
from magpieshift.rollout.canary_analysis import CanaryAnalysis
from magpieshift.rollout.coordinator import Coordinator
from magpieshift.rollout.instructions import BeginStage, Instruction, RecordDecision, ReplaceProcess
from magpieshift.rollout.process_counters import ProcessCounters
from magpieshift.rollout.records import PhaseChanged, RolloutPhase
from magpieshift.rollout.verdict import Verdict

ROUND_INTERVAL_S = 2
MAX_ROLLOUT_S = 7_200


@dataclass
class Outcome:
    """What came of one rollout."""

    scenario: str
    seed: int
    ended: str = ""
    reason: str = ""
    is_bad: bool = False
    stopped: bool = False
    seconds: float = 0.0
    exposed_routers: float = 0.0  # the most that were new, of all
    exposed_requests: float = 0.0  # taken by new processes, of all, until all was put back
    most_away: int = 0  # that the coordinator took away while others were away, at one time
    terms_at_once: int = 0  # instants at which two coordinators had steps under way
    stage: str = ""


class CoordinatorProcess:
    """A coordinator's process: it may be killed, paused, and resumed under a later term."""

    def __init__(self, fleet: Fleet, own_records: bool = False) -> None:
        self.fleet = fleet
        self.records = list(fleet.records) if own_records else fleet.records
        fleet.term += 1
        plan = fleet.plan
        self.coordinator = Coordinator(plan, fleet.term, fleet.now_us, self.records)
        self.analysis = self._new_analysis()
        self.step: tuple[int, ReplaceProcess] | None = None  # when it is over
        self.last_replaced_us = -1  # when a step of its last changed anything
        self.paused_until_us = 0
        self.carry_out(self.coordinator.begin())

    def _new_analysis(self) -> CanaryAnalysis:
        plan = self.fleet.plan
        zones = {name: router.zone for name, router in plan.routers.items()}
        return CanaryAnalysis(plan.tolerances, NEW, OLD, zones, self.fleet.now_us)

    def carry_out(self, actions: list[Instruction]) -> None:
        """Carry out what the coordinator says; a replacement takes some seconds."""
        for action in actions:
            match action:
                case RecordDecision(record=record):
                    self.records.append(record)
                case BeginStage():
                    self.analysis = self._new_analysis()
                case ReplaceProcess():
                    self.analysis.expect_restart(action.router)
                    duration_s = self.fleet.rand.uniform(1.0, 4.0)
                    self.step = self.fleet.now_us + int(duration_s * SECOND_US), action

    def run_round(self) -> Verdict:
        """One round: finish the step that is due, observe, and let the coordinator decide."""
        fleet = self.fleet
        coordinator = self.coordinator
        now = fleet.now_us
        if now < self.paused_until_us:
            return coordinator.verdict
        if self.step is not None and now >= self.step[0]:
            _, action = self.step
            self.step = None
            reason = fleet.replace(action.router, action.label, coordinator.term)
            if not reason:
                self.last_replaced_us = now
            if reason == "over":
                coordinator.supersede("term over")
                return coordinator.verdict
            self.analysis.expect_restart(action.router)
            self.carry_out(coordinator.step_finished(now, action.step, reason))
        counters: dict[str, ProcessCounters | None] = {}
        for name in fleet.plan.routers:
            processes = fleet.reachable_processes(name)
            coordinator.record_labels(now, name, frozenset(p.label for p in processes))
            counters[name] = fleet.counters(processes[-1]) if processes else None
        if self.step is not None:
            counters.pop(self.step[1].router)
        self.analysis.record_round(now, counters)
        verdict = self.analysis.verdict(now, coordinator.next_fraction)
        if fleet.against_baseline:
            verdict = self._verdict_against_baseline(verdict)
        self.carry_out(coordinator.tick(now, verdict, self.analysis.reason))
        return verdict

    def _verdict_against_baseline(self, verdict: Verdict) -> Verdict:
        """The ablation: the new side now against the old one in the calm before, by the same bounds."""
        worst = 0.0
        has_enough = True
        for difference in self.analysis.differences.values():
            has_enough = has_enough and difference.requests_new >= 200
            if difference.requests_new >= 200:
                share = difference.served_new / difference.requests_new
                error = 3.0 * (SERVED_SHARE * (1 - SERVED_SHARE) / difference.requests_new) ** 0.5
                worst = max(worst, SERVED_SHARE - share - error)
        if worst > 0.01 or verdict == Verdict.WORSE and not self.analysis.reason.count("served in time"):
            return Verdict.WORSE
        return Verdict.NO_WORSE if has_enough else Verdict.UNDECIDED


def play(name: str, routers: int, seed: int, against_baseline: bool = False) -> Outcome:
    """One rollout to its end."""
    scenario = SCENARIOS[name]
    fleet = Fleet(scenario, routers, seed, against_baseline=against_baseline)
    outcome = Outcome(name, seed, is_bad=scenario.is_bad)
    run = CoordinatorProcess(fleet)
    previous: list[CoordinatorProcess] = []
    rand = random.Random(f"coordinator {seed}")
    next_fault_s = rand.uniform(5, 200) if scenario.has_coordinator_faults else float("inf")
    fault_count = 0
    while not run.coordinator.is_over and fleet.now_us < MAX_ROLLOUT_S * SECOND_US:
        fleet.run(ROUND_INTERVAL_S)
        if fleet.now_us >= next_fault_s * SECOND_US:
            fault_count += 1
            next_fault_s = (
                fleet.now_us / SECOND_US + rand.uniform(60, 400) if fault_count < 3 else float("inf")
            )
            if rand.random() < 0.5:  # killed, and resumed by its journal
                run = CoordinatorProcess(fleet)
            else:  # it stands still, another takes over from its journal, and it wakes
                run.paused_until_us = fleet.now_us + rand.randrange(2 * SECOND_US, 15 * SECOND_US)
                previous.append(run)
                fleet.records = list(run.records)
                run = CoordinatorProcess(fleet)
        for process in [*previous, run]:
            process.run_round()
        previous = [
            r
            for r in previous
            if not r.coordinator.is_over and fleet.now_us < r.paused_until_us + 60 * SECOND_US
        ]
        active = [r for r in [*previous, run] if r.last_replaced_us == fleet.now_us]
        outcome.terms_at_once += len(active) > 1
        new_count = sum(
            1 for processes in fleet.processes.values() if processes and processes[-1].label == NEW
        )
        outcome.exposed_routers = max(outcome.exposed_routers, round(new_count / routers, 4))
        if not outcome.stopped:
            outcome.stage = run.coordinator.stage.name
        outcome.stopped = any(
            isinstance(record, PhaseChanged) and record.phase is RolloutPhase.ROLLING_BACK
            for record in run.records
        )
        if run.coordinator.state.phase == RolloutPhase.HELD:
            break
        if run.step is not None:
            outcome.most_away = max(outcome.most_away, 1 + len(run.coordinator.unreachable(fleet.now_us)))
    outcome.seconds = fleet.now_us / SECOND_US
    outcome.ended = run.coordinator.state.phase.value
    outcome.reason = run.coordinator.state.reason or run.coordinator.waiting_reason
    outcome.exposed_requests = round(fleet.requests[NEW] / max(1, sum(fleet.requests.values())), 4)
    return outcome


def play_many(
    name: str, routers: int, runs: int, seed: int, workers: int, against_baseline: bool = False
) -> dict[str, Any]:
    """So many rollouts of one scenario, by several processes; the last line's figures."""
    started_s = time.perf_counter()
    play_seed = partial(play, name, routers, against_baseline=against_baseline)
    with ProcessPoolExecutor(workers) as pool:
        outcomes = list(pool.map(play_seed, range(seed, seed + runs), chunksize=1))
    is_bad = SCENARIOS[name].is_bad
    allowed = rollout_plan(routers).max_unreachable
    return {
        "scenario": name,
        "routers": routers,
        "runs": runs,
        "stopped_wrongly": sum(outcome.stopped for outcome in outcomes) if not is_bad else 0,
        "caught": sum(outcome.stopped for outcome in outcomes) if is_bad else 0,
        "held": sum(outcome.ended == "hold" for outcome in outcomes),
        "not_ended": sum(outcome.ended not in ("ended", "hold") for outcome in outcomes),
        "exposed_share": round(sum(outcome.exposed_routers for outcome in outcomes) / runs, 4),
        "exposed_most": max(outcome.exposed_routers for outcome in outcomes),
        "exposed_requests": round(sum(outcome.exposed_requests for outcome in outcomes) / runs, 4),
        "exposed_requests_most": max(outcome.exposed_requests for outcome in outcomes),
        "most_away": max(outcome.most_away for outcome in outcomes),
        "away_allowed": allowed,
        "terms_at_once": sum(outcome.terms_at_once for outcome in outcomes),
        "seconds_median": sorted(outcome.seconds for outcome in outcomes)[runs // 2],
        "stages": {
            s: sum(outcome.stage == s for outcome in outcomes)
            for s in sorted({outcome.stage for outcome in outcomes})
        },
        "examples": sorted({outcome.reason[:110] for outcome in outcomes})[:3],
        "real_s": round(time.perf_counter() - started_s, 1),
    }
