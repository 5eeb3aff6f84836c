"""Changes a fleet in stages: which router is next, when a stage has passed, when to stop and roll back.

A state machine without I/O: what was observed, what came of steps, and the time go in; records to write and
steps to take come out.

Every decision is recorded before it is carried out, and all that a resumed coordinator knows is what was
recorded (``replay``). What runs where is never taken from there: it is looked at, and a step is "make this
router run that label", which does nothing if it does so already. So a step that was done and not recorded is
found done, and one that was broken off is taken up.

One step at a time. Before each, all routers that do not answer are counted as unreachable, the one to be
changed as well; with more than the plan allows, nothing is begun.
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
"""Before a step that failed is tried once more: a process's start takes less."""
MAX_STEP_ATTEMPTS = 3
"""Of one step while advancing; rolling back, it is tried until it works."""


class Coordinator:
    """One run of a rollout under one fencing term. Times are of the monotonic clock."""

    def __init__(self, plan: Plan, term: int, now_us: int, records: Iterable[JournalRecord] = ()) -> None:
        """``JournalMismatchError`` if the records are of another plan, or of a term as late as this one."""
        self.plan = plan
        """What is carried out."""
        self.term = term
        """The fencing term of this run."""
        self.state = replay(records)
        """What is recorded."""
        if self.state.plan_digest and self.state.plan_digest != plan.digest:
            raise JournalMismatchError(
                f"the journal is of plan {self.state.plan_digest}, this is {plan.digest}"
            )
        if self.state.term >= term:
            raise JournalMismatchError(
                f"term {term} is not later than {self.state.term}, which the journal is of"
            )
        self.routers = {name: RouterView() for name in plan.routers}
        """What is seen, by router."""
        self.superseded = False
        """Whether another coordinator goes on under a later term."""
        self.verdict = Verdict.UNDECIDED
        """The last one heard."""
        self.waiting_reason = ""
        """Why nothing is done now, for people."""
        self._began_us = now_us
        # since when all routers of the stage are as they should be
        self._complete_since_us: int | None = None
        # of that, the time that counts
        self._baked_us = 0
        self._last_tick_us = now_us
        # earliest next attempt, by router
        self._not_before_us: dict[str, int] = {}
        # the step in flight
        self._step: ReplaceProcess | None = None

    def begin(self) -> list[Instruction]:
        """To be carried out first. A rollout that was held goes on: that was decided by resuming it."""
        started = Started(self.term, self.plan.digest, self.plan.name)
        instructions: list[Instruction] = [RecordDecision(started), BeginStage(self.stage.name)]
        unfinished = self.state.unfinished_step
        if unfinished is not None:
            # nobody knows how far it came: what runs there will be seen, and it is begun anew if need be
            failed = StepFailed(unfinished.step, unfinished.router, unfinished.label, "broken off", self.term)
            instructions.append(RecordDecision(failed))
            self.state.unfinished_step = None
        if self.state.phase is RolloutPhase.HELD:
            instructions += self._change_phase(RolloutPhase.ADVANCING, "resumed")
        return instructions

    # --- what can be asked

    @property
    def stage(self) -> Stage:
        """The stage under way, or the last."""
        return self.plan.stages[min(self.state.stage_index, len(self.plan.stages) - 1)]

    @property
    def is_over(self) -> bool:
        """Whether this coordinator has nothing more to do."""
        return self.superseded or self.state.phase is RolloutPhase.ENDED

    @property
    def next_fraction(self) -> float:
        """The fraction of the fleet that is new once the next stage is complete."""
        following = self.plan.stages[min(self.state.stage_index + 1, len(self.plan.stages) - 1)]
        return len(following.targets) / len(self.plan.routers)

    def target_label(self, router: str) -> str:
        """The label that a router should run now."""
        is_new = self.state.phase is not RolloutPhase.ROLLING_BACK and router in self.stage.targets
        return self.plan.new.label if is_new else self.plan.old.label

    def unreachable(self, now_us: int) -> list[str]:
        """Routers that have not answered for long, or never since this coordinator began."""
        return sorted(
            name
            for name, view in self.routers.items()
            if now_us - (view.seen_us if view.seen_us is not None else self._began_us) >= UNREACHABLE_AFTER_US
        )

    # --- events

    def record_labels(self, now_us: int, router: str, labels: frozenset[str]) -> None:
        """The labels that serve at a router: none if nothing answered, two while one replaces the other."""
        if not labels:
            return
        view = self.routers[router]
        view.seen_us = now_us
        view.two_processes = len(labels) > 1
        view.label = next(iter(labels)) if len(labels) == 1 else view.label

    def step_finished(self, now_us: int, step: int, failure: str = "") -> list[Instruction]:
        """What came of a step; ``failure`` says why it failed, empty if it did not."""
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
        self._not_before_us[router] = now_us + STEP_RETRY_DELAY_US
        instructions: list[Instruction] = [RecordDecision(failed)]
        attempts = self.state.failed_attempts[router]
        if self.state.phase is RolloutPhase.ADVANCING and attempts >= MAX_STEP_ATTEMPTS:
            instructions += self._stop_by_plan(f"{router} could not be changed {attempts} times: {failure}")
        return instructions

    def supersede(self, reason: str) -> None:
        """Another coordinator goes on, or nothing can be recorded any more: this one does nothing more."""
        self.superseded = True
        self.waiting_reason = reason

    def pause(self, paused: bool) -> list[Instruction]:
        """People pause the rollout, or let it go on."""
        record = PauseChanged(paused, self.term)
        self.state.apply(record)
        return [RecordDecision(record)]

    def stop(self, reason: str, roll_back: bool) -> list[Instruction]:
        """People stop the rollout where it stands, or roll it back."""
        phase = RolloutPhase.ROLLING_BACK if roll_back else RolloutPhase.HELD
        unchanged = {RolloutPhase.ROLLING_BACK, phase}
        if self.is_over or self.state.phase in unchanged:
            return []
        return self._change_phase(phase, reason)

    def tick(self, now_us: int, verdict: Verdict, reason: str) -> list[Instruction]:
        """To be called now and then, after ``record_labels`` of all; with what the analysis finds by now, and
        why."""
        since_us = now_us - self._last_tick_us
        self._last_tick_us = now_us
        if self.is_over or self._step is not None:
            return []
        self.verdict = verdict
        instructions: list[Instruction] = []
        if self.state.phase is RolloutPhase.ADVANCING and verdict is Verdict.WORSE:
            instructions += self._stop_by_plan(f"stage {self.stage.name}: {reason}")
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
        return instructions + self._bake(now_us, since_us, verdict, reason)

    # --- inside

    def _stop_by_plan(self, reason: str) -> list[Instruction]:
        """The plan says what follows when a stage does worse."""
        roll_back = self.plan.on_failure is OnFailure.ROLL_BACK
        return self._change_phase(RolloutPhase.ROLLING_BACK if roll_back else RolloutPhase.HELD, reason)

    def _change_phase(self, phase: RolloutPhase, reason: str) -> list[Instruction]:
        record = PhaseChanged(phase, reason, self.term)
        self.state.apply(record)
        self._not_before_us.clear()
        self._complete_since_us = None
        return [RecordDecision(record)]

    def _next_step(self, now_us: int, verdict: Verdict) -> list[Instruction] | None:
        """The next step; None if nothing is to be changed, or if (``waiting_reason``) it cannot be now."""
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
        ready = [name for name in candidates if now_us >= self._not_before_us.get(name, 0)]
        if not ready:
            self.waiting_reason = f"{candidates[0]} is tried again soon"
            return None
        step = ReplaceProcess(self.state.last_step + 1, ready[0], self.target_label(ready[0]))
        started = StepStarted(step.step, step.router, step.label, self.term)
        self.state.apply(started)
        self._step = step
        return [RecordDecision(started), step]

    def _routers_to_change(self, unreachable: list[str]) -> list[str]:
        """The routers that answer and do not run what they should, those of the stage first. Says in
        ``waiting_reason`` what is missing if there is none."""
        self.waiting_reason = ""
        targets = self.stage.targets if self.state.phase is RolloutPhase.ADVANCING else ()
        others = [name for name in self.routers if name not in targets]
        candidates: list[str] = []
        for name in (*targets, *others):
            view = self.routers[name]
            if view.seen_us is None and name not in unreachable:
                self.waiting_reason = f"{name} has not been looked at yet"
            elif name not in unreachable and (view.two_processes or view.label != self.target_label(name)):
                candidates.append(name)
        rolling_back = self.state.phase is RolloutPhase.ROLLING_BACK
        missing = [name for name in unreachable if name in targets or rolling_back]
        if not candidates and missing and not self.waiting_reason:
            self.waiting_reason = f"away: {', '.join(missing)}"
        return candidates

    def _bake(self, now_us: int, since_us: int, verdict: Verdict, reason: str) -> list[Instruction]:
        """All routers are as they should be: for how long, and is it known that they do no worse?"""
        if self.state.phase is RolloutPhase.ROLLING_BACK:
            return self._end(f"put back: {self.state.reason}")
        if self._complete_since_us is None:
            self._complete_since_us = now_us
            self._baked_us = 0
        elif verdict is not Verdict.COMMON_FAULT:  # time in which something strikes all shows nothing
            self._baked_us += since_us
        stage = self.stage
        if self._baked_us < stage.bake_s * 1e6:
            self.waiting_reason = f"stage {stage.name} is being looked at"
            return []
        is_last = len(stage.targets) == len(self.plan.routers)
        # with nobody left to compare with, that nothing was found worse in its time is all there can be
        if verdict is Verdict.NO_WORSE or (is_last and verdict is Verdict.UNDECIDED):
            return self._pass_stage(stage, reason)
        if self._baked_us >= stage.max_bake_s * 1e6:
            # not shown to be worse, nor that it is not: that is for people to decide
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
        """The rollout is over. The status goes on to say why the phase changed before."""
        self.state.phase = RolloutPhase.ENDED
        return [RecordDecision(PhaseChanged(RolloutPhase.ENDED, reason, self.term))]
