"""What a coordinator wants done, in order."""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.rollout.records import JournalRecord


@dataclass(frozen=True, slots=True)
class RecordDecision:
    """Write this record through to the journal, before anything that follows."""

    record: JournalRecord
    """What was decided."""


@dataclass(frozen=True, slots=True)
class ReplaceProcess:
    """Make this router run that build; answered by ``Coordinator.step_finished``. If it runs already, nothing
    is to be done."""

    step: int
    """Number of the step."""
    router: str
    """Name of the router."""
    label: str
    """Of the build."""


@dataclass(frozen=True, slots=True)
class BeginStage:
    """A new stage: the canary analysis begins anew."""

    stage: str
    """Name of the stage."""


Instruction = RecordDecision | ReplaceProcess | BeginStage
