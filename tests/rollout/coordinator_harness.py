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

SECOND_US = 1_000_000
PLAN_TEXT = """
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


def make_plan(**changes: Any) -> Plan:
    tree = parse(PLAN_TEXT, "plan", PLAN_HEAD)
    return load_plan(tree.data | changes, tree.lines)


class CoordinatorHarness:
    """Runs a coordinator with a journal in memory and simulated routers that carry out its steps."""

    def __init__(self, plan: Plan) -> None:
        self.plan, self.now_us, self.term = plan, 0, 0
        self.records: list[JournalRecord] = []
        self.labels = dict.fromkeys(plan.routers, "v6")
        self.unreachable: set[str] = set()
        self.failing: set[str] = set()
        self.pending: list[ReplaceProcess] = []
        self.writes_left = 1 << 30  # records until the coordinator is killed
        self.max_unavailable = 0
        self.router_terms = dict.fromkeys(plan.routers, 0)
        self.acting_terms: list[int] = []  # the term of each change to a router, in order

    def announce_term(self, term: int) -> str:
        """Announce a term to the reachable routers, as the executor does before each step."""
        reachable = [name for name in self.router_terms if name not in self.unreachable]
        if any(self.router_terms[name] > term for name in reachable):
            return "superseded"
        for name in reachable:
            self.router_terms[name] = term
        return "" if 2 * len(reachable) > len(self.router_terms) else "too few answer"

    def carry_out(self, coordinator: Coordinator, step: ReplaceProcess) -> list[Instruction]:
        """Carry out one step under its coordinator's term, and report the outcome to the coordinator."""
        rejection = self.announce_term(coordinator.term)
        if rejection == "superseded":
            coordinator.supersede("superseded")
            return []
        failure = rejection or ("step failed" if step.router in self.failing | self.unreachable else "")
        if not failure:
            self.labels[step.router] = step.label
            self.acting_terms.append(coordinator.term)
        return coordinator.step_finished(self.now_us, step.step, failure)

    def start_coordinator(self) -> None:
        self.term += 1
        self.coordinator = Coordinator(self.plan, self.term, self.now_us, list(self.records))
        self.pending = []
        self.announce_term(self.term)
        self.execute(self.coordinator.begin())

    def execute(self, instructions: list[Instruction]) -> bool:
        """Carry out instructions; False if the coordinator is killed, which happens right before a record is
        written."""
        for instruction in instructions:
            if isinstance(instruction, RecordDecision):
                if self.writes_left <= 0:
                    return False
                self.writes_left -= 1
                self.records.append(instruction.record)
            elif isinstance(instruction, ReplaceProcess):
                self.pending.append(instruction)
            else:
                assert isinstance(instruction, BeginStage)
        return True

    def run_second(self, verdict: Verdict = Verdict.NO_WORSE, reason: str = "") -> bool:
        """Simulate one second: observe the routers, carry out pending steps and call ``tick``. False if the
        coordinator is killed."""
        self.now_us += SECOND_US
        for name, label in self.labels.items():
            self.coordinator.record_labels(
                self.now_us, name, frozenset() if name in self.unreachable else frozenset({label})
            )
        while self.pending:
            step = self.pending.pop()
            self.max_unavailable = max(self.max_unavailable, 1 + len(self.unreachable - {step.router}))
            if not self.execute(self.carry_out(self.coordinator, step)):
                return False
        return self.execute(self.coordinator.tick(self.now_us, verdict, reason))

    def run(self, verdict: Verdict = Verdict.NO_WORSE, max_seconds: int = 400) -> bool:
        for _ in range(max_seconds):
            if self.coordinator.is_over or self.coordinator.state.phase == RolloutPhase.HELD:
                return True
            if not self.run_second(verdict, "test verdict"):
                return False
        raise AssertionError(
            f"the rollout did not end within {max_seconds} s: {self.coordinator.waiting_reason}"
        )
