"""Where a rollout stands, as the records of its journal give it, and what is seen of its routers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

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


@dataclass
class RolloutState:
    """What the records say. What runs where is never taken from them: it is looked at."""

    phase: RolloutPhase = RolloutPhase.ADVANCING
    """Where the rollout is going."""
    stage_index: int = 0
    """Of the stage under way; the number of stages once all have passed."""
    last_step: int = 0
    """Number of the last step that was begun."""
    paused: bool = False
    """Whether people have paused it."""
    unfinished_step: StepStarted | None = None
    """A step without a recorded outcome."""
    reason: str = ""
    """Why the phase changed last."""
    failed_attempts: dict[str, int] = field(default_factory=dict)
    """Attempts that failed in this phase since the last success, by router."""
    term: int = 0
    """The latest fencing term."""
    plan_digest: str = ""
    """Of the plan that the journal is of; empty in an empty journal."""

    def apply(self, record: JournalRecord) -> None:
        """Take in the next record."""
        match record:
            case Started():
                self.term = max(self.term, record.term)
                self.plan_digest = self.plan_digest or record.plan_digest
            case StepStarted():
                self.last_step = record.step
                self.unfinished_step = record
            case StepDone():
                self.unfinished_step = None
                self.failed_attempts.pop(record.router, None)
            case StepFailed():
                self.unfinished_step = None
                self.failed_attempts[record.router] = self.failed_attempts.get(record.router, 0) + 1
            case StagePassed():
                self.stage_index += 1
            case PhaseChanged():
                self.phase = record.phase
                self.reason = record.reason
                self.failed_attempts = {}
            case PauseChanged():
                self.paused = record.paused


@dataclass(slots=True)
class RouterView:
    """What is seen of one router."""

    label: str = ""
    """Of the build that serves there, as last seen."""
    two_processes: bool = False
    """Whether one process was replacing another when last seen."""
    seen_us: int | None = None
    """When it last answered."""


def replay(records: Iterable[JournalRecord]) -> RolloutState:
    """The state after all records."""
    state = RolloutState()
    for record in records:
        state.apply(record)
    return state
