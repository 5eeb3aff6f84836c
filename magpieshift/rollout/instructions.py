"""Instructions that a coordinator issues, to be carried out in order."""

from __future__ import annotations

from dataclasses import dataclass

from magpieshift.rollout.records import JournalRecord


@dataclass(frozen=True, slots=True)
class RecordDecision:
    """Append this record to the journal and sync it before carrying out any later instruction."""

    record: JournalRecord
    """The decision to record."""


@dataclass(frozen=True, slots=True)
class ReplaceProcess:
    """Replace the router's process by one of the given build; the outcome goes to
    ``Coordinator.step_finished``. Does nothing if the router runs that build already."""

    step: int
    """Number of the step."""
    router: str
    """Name of the router."""
    label: str
    """Label of the build that the router is to run."""


@dataclass(frozen=True, slots=True)
class BeginStage:
    """Start a stage with a new canary analysis."""

    stage: str
    """Name of the stage."""


Instruction = RecordDecision | ReplaceProcess | BeginStage
