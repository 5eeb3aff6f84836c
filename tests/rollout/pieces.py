"""Shared by the rollout tests: a plan, and a harness that runs a coordinator on simulated routers."""

from __future__ import annotations

from typing import Any

from magpieshift.control.sexp import parse
from magpieshift.rollout.coordinator import Coordinator
from magpieshift.rollout.instructions import BeginStage, Instruction, RecordDecision, ReplaceProcess
from magpieshift.rollout.plan import Plan
from magpieshift.rollout.plan_form import PLAN_HEAD
from magpieshift.rollout.plan_reader import load_plan
from magpieshift.rollout.records import JournalRecord, RolloutPhase
from magpieshift.rollout.verdict import Verdict

SECOND = 1_000_000
TEXT = """
(rollout
  (name new-7)
  (new (label v7) (start "/opt/edge/start {name} {label} {term} {console}"))
  (old (label v6) (start "/opt/edge/start-old {name} {label} {term} {console}"))
  (routers
    (r0 (doors 127.0.0.1:7000 127.0.0.1:7001) (zone a))
    (r1 (doors 127.0.0.1:7002 127.0.0.1:7003) (zone a))
    (r2 (doors 127.0.0.1:7004 127.0.0.1:7005) (zone b))
    (r3 (doors 127.0.0.1:7006 127.0.0.1:7007) (zone b)))
  (stages
    (one (routers 1) (soak-s 10))
    (half (share 0.5) (soak-s 10))
    (all (share 1) (soak-s 10))))
"""


def a_plan(**changes: Any) -> Plan:
    tree = parse(TEXT, "plan", PLAN_HEAD)
    return load_plan(tree.data | changes, tree.lines)


class Bench:
    """Runs a coordinator with a journal in memory and simulated routers that carry out its steps."""

    def __init__(self, wanted: Plan) -> None:
        self.plan, self.now, self.term = wanted, 0, 0
        self.records: list[JournalRecord] = []
        self.labels = dict.fromkeys(wanted.routers, "v6")
        self.dark: set[str] = set()
        self.fails: set[str] = set()
        self.pending: list[ReplaceProcess] = []
        self.writes_left = 1 << 30  # records until the coordinator is killed
        self.most_away = 0
        self.fences = dict.fromkeys(wanted.routers, 0)
        self.acts: list[int] = []  # the term of each change to a router, in order

    def hold(self, term: int) -> str:
        """Announce a term to the reachable routers, as the executor does before each step."""
        here = [name for name in self.fences if name not in self.dark]
        if any(self.fences[name] > term for name in here):
            return "over"
        for name in here:
            self.fences[name] = term
        return "" if 2 * len(here) > len(self.fences) else "too few answer"

    def carry_out(self, coordinator: Coordinator, step: ReplaceProcess) -> list[Instruction]:
        """Carry out one step under its coordinator's term, and report the outcome to the coordinator."""
        held = self.hold(coordinator.term)
        if held == "over":
            coordinator.supersede("over")
            return []
        failed = held or ("step failed" if step.router in self.fails | self.dark else "")
        if not failed:
            self.labels[step.router] = step.label
            self.acts.append(coordinator.term)
        return coordinator.step_finished(self.now, step.step, failed)

    def start(self) -> None:
        self.term += 1
        self.coordinator = Coordinator(self.plan, self.term, self.now, list(self.records))
        self.pending = []
        self.hold(self.term)
        self.do(self.coordinator.begin())

    def do(self, actions: list[Instruction]) -> bool:
        """Carry out instructions; False if the coordinator is killed, which happens right before a record is
        written."""
        for action in actions:
            if isinstance(action, RecordDecision):
                if self.writes_left <= 0:
                    return False
                self.writes_left -= 1
                self.records.append(action.record)
            elif isinstance(action, ReplaceProcess):
                self.pending.append(action)
            else:
                assert isinstance(action, BeginStage)
        return True

    def step(self, verdict: Verdict = Verdict.NO_WORSE, why: str = "") -> bool:
        """Simulate one second: observe the routers, carry out pending steps and call ``tick``. False if the
        coordinator is killed."""
        self.now += SECOND
        for name, label in self.labels.items():
            self.coordinator.record_labels(
                self.now, name, frozenset() if name in self.dark else frozenset({label})
            )
        while self.pending:
            step = self.pending.pop()
            self.most_away = max(self.most_away, 1 + len(self.dark - {step.router}))
            if not self.do(self.carry_out(self.coordinator, step)):
                return False
        return self.do(self.coordinator.tick(self.now, verdict, why))

    def run(self, verdict: Verdict = Verdict.NO_WORSE, most: int = 400) -> bool:
        for _ in range(most):
            if self.coordinator.is_over or self.coordinator.state.phase == RolloutPhase.HELD:
                return True
            if not self.step(verdict, "test verdict"):
                return False
        raise AssertionError(f"the rollout did not end within {most} s: {self.coordinator.waiting_reason}")
