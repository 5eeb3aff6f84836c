"""Decides which router is changed next, when a stage has passed, and when to stop or roll back.

A state machine without I/O: its inputs are observations, outcomes of steps and the time, its outputs are
records to write and steps to carry out.

Every decision is recorded before it is carried out, and a resumed coordinator restores its state only from
the records (``replay``). Which build a router runs is not restored but observed. A step means "make this
router run that label" and does nothing if the router runs it already. So a step that was done but not
recorded is found done, and an interrupted one is repeated.

Only one step runs at a time. Before it starts, the unreachable routers and the one to be changed are counted;
if they are more than the plan allows, the step does not start.
"""

from __future__ import annotations

from collections.abc import Iterable

from magpieshift.rollout.errors import JournalMismatchError
from magpieshift.rollout.instructions import BeginStage, Instruction, RecordDecision, ReplaceProcess
from magpieshift.rollout.plan import OnFailure, Plan, Stage
from magpieshift.rollout.process_losses import UNREACHABLE_AFTER_US
from magpieshift.rollout.records import (
    JournalRecord,
    PauseChanged,
    PhaseChanged,
    RolloutPhase,
    StagePassed,
    Started,
    StepDone,
    StepFailed,
    StepStarted,
)
from magpieshift.rollout.rollout_state import RouterView, replay
from magpieshift.rollout.verdict import Verdict

STEP_RETRY_DELAY_US = 5_000_000
"""Delay before a failed step is retried: longer than the start of a process."""
MAX_STEP_ATTEMPTS = 3
"""Failed attempts to change one router after which an advancing rollout stops; a rollback retries without
limit."""


class Coordinator:
    """One run of a rollout under one fencing term. Times are microseconds of the monotonic clock."""

    def __init__(self, plan: Plan, term: int, now_us: int, records: Iterable[JournalRecord] = ()) -> None:
        """Raises ``JournalMismatchError`` if the records belong to another plan, or have this term or a later
        one."""
        self.plan = plan
        """Plan that is carried out."""
        self.term = term
        """Fencing term of this run."""
        self.state = replay(records)
        """Progress according to the journal."""
        if self.state.plan_digest and self.state.plan_digest != plan.digest:
            raise JournalMismatchError(
                f"the journal belongs to plan {self.state.plan_digest}, but this plan is {plan.digest}"
            )
        if self.state.term >= term:
            raise JournalMismatchError(
                f"found term {self.state.term} in the journal, expected one below the new term {term}"
            )
        self.routers = {name: RouterView() for name in plan.routers}
        """Last observation of each router, by name."""
        self.superseded = False
        """Whether another coordinator has taken over under a later term, or the journal can no longer be
        written."""
        self.verdict = Verdict.UNDECIDED
        """Verdict of the last tick."""
        self.waiting_reason = ""
        """Why no step is taken at present, shown to operators; empty if nothing is waited for."""
        self._start_us = now_us
        # since when no router of the stage needs a change; None while one does
        self._complete_since_us: int | None = None
        # bake time of the stage so far, without periods of a common fault
        self._baked_us = 0
        self._last_tick_us = now_us
        # earliest time of the next attempt, by router
        self._next_attempt_us: dict[str, int] = {}
        # the step in flight
        self._step: ReplaceProcess | None = None

    def begin(self) -> list[Instruction]:
        """The first instructions of this run. Resuming a held rollout means that it advances again."""
        started = Started(self.term, self.plan.digest, self.plan.name)
        instructions: list[Instruction] = [RecordDecision(started), BeginStage(self.stage.name)]
        unfinished = self.state.unfinished_step
        if unfinished is not None:
            # The outcome is unknown, so the step is recorded as failed. If the router is then observed not to
            # run its target label, a new step is started.
            failed = StepFailed(unfinished.step, unfinished.router, unfinished.label, "broken off", self.term)
            instructions.append(RecordDecision(failed))
            self.state.unfinished_step = None
        if self.state.phase is RolloutPhase.HELD:
            instructions += self._change_phase(RolloutPhase.ADVANCING, "resumed")
        return instructions

    # --- queries

    @property
    def stage(self) -> Stage:
        """The current stage, or the last one after all have passed."""
        return self.plan.stages[min(self.state.stage_index, len(self.plan.stages) - 1)]

    @property
    def is_over(self) -> bool:
        """Whether this coordinator has nothing more to do."""
        return self.superseded or self.state.phase is RolloutPhase.ENDED

    @property
    def next_fraction(self) -> float:
        """Fraction of the fleet that runs the new build once the next stage is complete."""
        following = self.plan.stages[min(self.state.stage_index + 1, len(self.plan.stages) - 1)]
        return len(following.targets) / len(self.plan.routers)

    def target_label(self, router: str) -> str:
        """The label that a router should run now."""
        is_new = self.state.phase is not RolloutPhase.ROLLING_BACK and router in self.stage.targets
        return self.plan.new.label if is_new else self.plan.old.label

    def unreachable(self, now_us: int) -> list[str]:
        """Routers without an answer for ``UNREACHABLE_AFTER_US``, counted from the start of this coordinator
        if they have not answered yet."""
        return sorted(
            name
            for name, view in self.routers.items()
            if now_us - (view.last_answer_us if view.last_answer_us is not None else self._start_us)
            >= UNREACHABLE_AFTER_US
        )

    # --- events

    def record_labels(self, now_us: int, router: str, labels: frozenset[str]) -> None:
        """Record the labels of a router's processes: none if no process answered, two while one replaces the
        other."""
        if not labels:
            return
        view = self.routers[router]
        view.last_answer_us = now_us
        view.two_processes = len(labels) > 1
        view.label = next(iter(labels)) if len(labels) == 1 else view.label

    def step_finished(self, now_us: int, step: int, failure: str = "") -> list[Instruction]:
        """Record the outcome of a step; ``failure`` is the reason if it failed, empty if it succeeded."""
        if self._step is None or self._step.step != step:
            return []
        router = self._step.router
        label = self._step.label
        self._step = None
        if not failure:
            done = StepDone(step, router, label, self.term)
            self.state.apply(done)
            self.record_labels(now_us, router, frozenset({label}))
            return [RecordDecision(done)]
        failed = StepFailed(step, router, label, failure, self.term)
        self.state.apply(failed)
        self._next_attempt_us[router] = now_us + STEP_RETRY_DELAY_US
        instructions: list[Instruction] = [RecordDecision(failed)]
        attempts = self.state.failed_attempts[router]
        if self.state.phase is RolloutPhase.ADVANCING and attempts >= MAX_STEP_ATTEMPTS:
            instructions += self._apply_on_failure(
                f"{router} could not be changed {attempts} times: {failure}"
            )
        return instructions

    def supersede(self, reason: str) -> None:
        """Stop this coordinator, because another has taken over or the journal cannot be written."""
        self.superseded = True
        self.waiting_reason = reason

    def pause(self, paused: bool) -> list[Instruction]:
        """Pause or continue the rollout at an operator's request."""
        record = PauseChanged(paused, self.term)
        self.state.apply(record)
        return [RecordDecision(record)]

    def stop(self, reason: str, roll_back: bool) -> list[Instruction]:
        """Hold the rollout or roll it back at an operator's request."""
        phase = RolloutPhase.ROLLING_BACK if roll_back else RolloutPhase.HELD
        unchanged = {RolloutPhase.ROLLING_BACK, phase}
        if self.is_over or self.state.phase in unchanged:
            return []
        return self._change_phase(phase, reason)

    def tick(self, now_us: int, verdict: Verdict, reason: str) -> list[Instruction]:
        """Decide what happens next. Called periodically, after ``record_labels`` for all routers, with the
        current verdict of the canary analysis and its reason."""
        elapsed_us = now_us - self._last_tick_us
        self._last_tick_us = now_us
        if self.is_over or self._step is not None:
            return []
        self.verdict = verdict
        instructions: list[Instruction] = []
        if self.state.phase is RolloutPhase.ADVANCING and verdict is Verdict.WORSE:
            instructions += self._apply_on_failure(f"stage {self.stage.name}: {reason}")
        if self.state.phase is RolloutPhase.HELD:
            self.waiting_reason = f"stopped: {self.state.reason}"
            return instructions
        if self.state.paused and self.state.phase is RolloutPhase.ADVANCING:
            self.waiting_reason = "paused"
            return instructions
        if (step := self._next_step(now_us, verdict)) is not None:
            self._complete_since_us = None
            return [*instructions, *step]
        if self.waiting_reason:
            return instructions
        return instructions + self._bake(now_us, elapsed_us, verdict, reason)

    # --- decisions

    def _apply_on_failure(self, reason: str) -> list[Instruction]:
        """Roll back or hold, as the plan says for a failure."""
        roll_back = self.plan.on_failure is OnFailure.ROLL_BACK
        return self._change_phase(RolloutPhase.ROLLING_BACK if roll_back else RolloutPhase.HELD, reason)

    def _change_phase(self, phase: RolloutPhase, reason: str) -> list[Instruction]:
        record = PhaseChanged(phase, reason, self.term)
        self.state.apply(record)
        self._next_attempt_us.clear()
        self._complete_since_us = None
        return [RecordDecision(record)]

    def _next_step(self, now_us: int, verdict: Verdict) -> list[Instruction] | None:
        """The next step; None if no router needs a change, or if no step may start now (see
        ``waiting_reason``)."""
        unreachable = self.unreachable(now_us)
        candidates = self._routers_to_change(unreachable)
        if not candidates:
            return None
        if len(unreachable) + 1 > self.plan.max_unreachable:
            self.waiting_reason = (
                f"away: {', '.join(unreachable)}; "
                f"{self.plan.max_unreachable} may be, the next to change included"
            )
            return None
        if verdict is Verdict.COMMON_FAULT and self.state.phase is RolloutPhase.ADVANCING:
            self.waiting_reason = "something strikes old and new alike"
            return None
        ready = [name for name in candidates if now_us >= self._next_attempt_us.get(name, 0)]
        if not ready:
            self.waiting_reason = f"{candidates[0]} is tried again soon"
            return None
        step = ReplaceProcess(self.state.last_step + 1, ready[0], self.target_label(ready[0]))
        started = StepStarted(step.step, step.router, step.label, self.term)
        self.state.apply(started)
        self._step = step
        return [RecordDecision(started), step]

    def _routers_to_change(self, unreachable: list[str]) -> list[str]:
        """Reachable routers that do not run their target label, those of the stage first. Sets
        ``waiting_reason`` if the stage or the rollback waits for an observation."""
        self.waiting_reason = ""
        targets = self.stage.targets if self.state.phase is RolloutPhase.ADVANCING else ()
        others = [name for name in self.routers if name not in targets]
        candidates: list[str] = []
        for name in (*targets, *others):
            view = self.routers[name]
            if view.last_answer_us is None and name not in unreachable:
                self.waiting_reason = f"{name} has not been looked at yet"
            elif name not in unreachable and (view.two_processes or view.label != self.target_label(name)):
                candidates.append(name)
        rolling_back = self.state.phase is RolloutPhase.ROLLING_BACK
        missing = [name for name in unreachable if name in targets or rolling_back]
        if not candidates and missing and not self.waiting_reason:
            self.waiting_reason = f"away: {', '.join(missing)}"
        return candidates

    def _bake(self, now_us: int, elapsed_us: int, verdict: Verdict, reason: str) -> list[Instruction]:
        """Called when no router needs a change: end a rollback, or count the bake time and pass or hold the
        stage, depending on that time and the verdict."""
        if self.state.phase is RolloutPhase.ROLLING_BACK:
            return self._end(f"put back: {self.state.reason}")
        if self._complete_since_us is None:
            self._complete_since_us = now_us
            self._baked_us = 0
        elif verdict is not Verdict.COMMON_FAULT:  # during a common fault the sides cannot be compared
            self._baked_us += elapsed_us
        stage = self.stage
        if self._baked_us < stage.bake_s * 1e6:
            self.waiting_reason = f"stage {stage.name} is being looked at"
            return []
        is_last = len(stage.targets) == len(self.plan.routers)
        # in a stage of all routers there is no old side left to compare with, so an undecided verdict passes
        if verdict is Verdict.NO_WORSE or (is_last and verdict is Verdict.UNDECIDED):
            return self._pass_stage(stage, reason)
        if self._baked_us >= stage.max_bake_s * 1e6:
            # the verdict is still open at the maximum bake time: an operator has to decide
            return self._change_phase(
                RolloutPhase.HELD, f"stage {stage.name}: not known in {stage.max_bake_s:g} s: {reason}"
            )
        self.waiting_reason = f"stage {stage.name}: {verdict.value}: {reason}"
        return []

    def _pass_stage(self, stage: Stage, reason: str) -> list[Instruction]:
        passed = StagePassed(stage.name, reason, self.term)
        self.state.apply(passed)
        self._complete_since_us = None
        if self.state.stage_index >= len(self.plan.stages):
            return [RecordDecision(passed), *self._end("all stages passed")]
        return [RecordDecision(passed), BeginStage(self.stage.name)]

    def _end(self, reason: str) -> list[Instruction]:
        """End the rollout. The state keeps the reason of the previous phase change, for the status."""
        self.state.phase = RolloutPhase.ENDED
        return [RecordDecision(PhaseChanged(RolloutPhase.ENDED, reason, self.term))]
