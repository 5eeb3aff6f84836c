"""Progress of a rollout as replayed from its journal, and the observed state of its routers."""

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
    """Progress according to the journal. Which build a router runs is not derived from it, but observed."""

    phase: RolloutPhase = RolloutPhase.ADVANCING
    """Current phase of the rollout."""
    stage_index: int = 0
    """Index of the current stage; the number of stages once all have passed."""
    last_step: int = 0
    """Number of the last step that was started."""
    paused: bool = False
    """Whether an operator has paused the rollout."""
    unfinished_step: StepStarted | None = None
    """The step that was started and has no recorded outcome, if any."""
    reason: str = ""
    """Reason of the last phase change."""
    failed_attempts: dict[str, int] = field(default_factory=dict)
    """Failed attempts in this phase since the router's last success, by router."""
    term: int = 0
    """Latest fencing term in the journal."""
    plan_digest: str = ""
    """Digest of the plan that the journal belongs to; empty for an empty journal."""

    def apply(self, record: JournalRecord) -> None:
        """Update the state with the next record."""
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
    """Last observation of one router."""

    label: str = ""
    """Label of the build that the router ran when last observed with one label; empty before that."""
    two_processes: bool = False
    """Whether processes of two builds ran when the router last answered, one replacing the other."""
    last_answer_us: int | None = None
    """Time of the last answer, in microseconds; None if there was none."""


def replay(records: Iterable[JournalRecord]) -> RolloutState:
    """The state after applying all records."""
    state = RolloutState()
    for record in records:
        state.apply(record)
    return state
