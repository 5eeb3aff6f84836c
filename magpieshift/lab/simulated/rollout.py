"""Rollouts on a fake clock: the real plan, canary analysis and coordinator over modelled processes.

Faults that affect both versions (outages, killed processes) are drawn independently of the defects of the new
version, so it is known whether stopping a rollout was right. Coordinators are killed and resumed, or paused
and superseded; replacement steps fail; admin servers stop responding.
"""

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

ROUND_INTERVAL_S = 2  # between two rounds of a coordinator
MAX_ROLLOUT_S = 7_200  # a rollout that has not ended by then counts as not ended


@dataclass
class Outcome:
    """The result of one rollout. Exposure is measured up to the end, including a rollback."""

    scenario: str
    seed: int
    final_phase: str = ""  # phase of the coordinator at the end
    reason: str = ""  # why that phase was entered, or why the coordinator waits
    is_bad: bool = False  # whether the new version should be stopped
    stopped: bool = False  # whether a rollback began
    seconds: float = 0.0  # simulated duration
    exposed_routers: float = 0.0  # highest fraction of routers that ran the new version at one time
    exposed_requests: float = 0.0  # fraction of all requests that went to new processes
    max_unavailable: int = 0  # most routers unavailable during a step, including the one being replaced
    concurrent_step_rounds: int = 0  # rounds in which two coordinators each finished a step
    stage: str = ""  # the stage in which a rollback began, or the last one


class CoordinatorProcess:
    """A coordinator's process. It may be killed or paused, and another resumes from its journal with a higher
    term. With ``own_records`` it writes to a copy of the fleet's journal."""

    def __init__(self, fleet: Fleet, own_records: bool = False) -> None:
        self.fleet = fleet
        self.records = list(fleet.records) if own_records else fleet.records
        fleet.term += 1
        plan = fleet.plan
        self.coordinator = Coordinator(plan, fleet.term, fleet.now_us, self.records)
        self.analysis = self._new_analysis()
        # step under way, with the time (us) at which it finishes
        self.step: tuple[int, ReplaceProcess] | None = None
        self.last_replaced_us = -1  # when its last successful step finished
        self.paused_until_us = 0
        self.carry_out(self.coordinator.begin())

    def _new_analysis(self) -> CanaryAnalysis:
        plan = self.fleet.plan
        zones = {name: router.zone for name, router in plan.routers.items()}
        return CanaryAnalysis(plan.tolerances, NEW, OLD, zones, self.fleet.now_us)

    def carry_out(self, actions: list[Instruction]) -> None:
        """Carry out the coordinator's instructions; a replacement takes 1 to 4 s."""
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
        """Run one round: finish a step whose time has come, collect the counters of all routers, and let the
        coordinator decide."""
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
        """The verdict of the ablation: compares the new side with a fixed baseline, the rate ``SERVED_SHARE``
        of the old side without faults, in place of the old side at the same time."""
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
    """Simulate one rollout until it ends, is held, or has taken ``MAX_ROLLOUT_S``."""
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
            if rand.random() < 0.5:  # the coordinator is killed, and resumed from its journal
                run = CoordinatorProcess(fleet)
            else:  # it is paused, another takes over from its journal, and it resumes
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
        outcome.concurrent_step_rounds += len(active) > 1
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
            outcome.max_unavailable = max(
                outcome.max_unavailable, 1 + len(run.coordinator.unreachable(fleet.now_us))
            )
    outcome.seconds = fleet.now_us / SECOND_US
    outcome.final_phase = run.coordinator.state.phase.value
    outcome.reason = run.coordinator.state.reason or run.coordinator.waiting_reason
    outcome.exposed_requests = round(fleet.requests[NEW] / max(1, sum(fleet.requests.values())), 4)
    return outcome


def play_many(
    name: str, routers: int, runs: int, seed: int, workers: int, against_baseline: bool = False
) -> dict[str, Any]:
    """Simulate ``runs`` rollouts of a scenario, with seeds from ``seed`` on, in several worker processes.
    Return the summary that ``--json`` prints."""
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
        "held": sum(outcome.final_phase == "hold" for outcome in outcomes),
        "not_ended": sum(outcome.final_phase not in ("ended", "hold") for outcome in outcomes),
        "exposed_share": round(sum(outcome.exposed_routers for outcome in outcomes) / runs, 4),
        "exposed_most": max(outcome.exposed_routers for outcome in outcomes),
        "exposed_requests": round(sum(outcome.exposed_requests for outcome in outcomes) / runs, 4),
        "exposed_requests_most": max(outcome.exposed_requests for outcome in outcomes),
        "most_away": max(outcome.max_unavailable for outcome in outcomes),
        "away_allowed": allowed,
        "terms_at_once": sum(outcome.concurrent_step_rounds for outcome in outcomes),
        "seconds_median": sorted(outcome.seconds for outcome in outcomes)[runs // 2],
        "stages": {
            s: sum(outcome.stage == s for outcome in outcomes)
            for s in sorted({outcome.stage for outcome in outcomes})
        },
        "examples": sorted({outcome.reason[:110] for outcome in outcomes})[:3],
        "real_s": round(time.perf_counter() - started_s, 1),
    }
