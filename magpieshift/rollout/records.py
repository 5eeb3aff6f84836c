"""Journal records of a coordinator's decisions, and their form on disk.

The keys and values on disk are defined only here and must not change: a rollout must be resumable from the
journal of an earlier version.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

Row = Mapping[str, Any]
"""A record in its form on disk."""


class RolloutPhase(Enum):
    """Phase of a rollout; the value is written to the journal and the status."""

    ADVANCING = "forward"
    ROLLING_BACK = "back"
    HELD = "hold"
    """Stopped without a rollback, until an operator resumes it."""
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Started:
    """A coordinator has started or resumed the rollout."""

    term: int
    """Fencing term of the coordinator."""
    plan_digest: str
    """Digest of the plan that it carries out."""
    plan_name: str = ""
    """Name of the plan, shown to operators."""


@dataclass(frozen=True, slots=True)
class StepStarted:
    """The coordinator is about to replace a router's process."""

    step: int
    """Number of the step, from 1."""
    router: str
    """Name of the router."""
    label: str
    """Label of the build that the router is to run."""
    term: int = 0
    """Fencing term of the coordinator."""


@dataclass(frozen=True, slots=True)
class StepDone:
    """A router's process was replaced."""

    step: int
    """Number of the step."""
    router: str
    """Name of the router."""
    label: str
    """Label of the build that the router now runs."""
    term: int = 0
    """Fencing term of the coordinator."""


@dataclass(frozen=True, slots=True)
class StepFailed:
    """An attempt to replace a router's process failed."""

    step: int
    """Number of the step."""
    router: str
    """Name of the router."""
    label: str
    """Label of the build that the router was to run."""
    reason: str
    """Why the attempt failed."""
    term: int = 0
    """Fencing term of the coordinator."""


@dataclass(frozen=True, slots=True)
class StagePassed:
    """A stage has passed: the new side was not found worse during its bake."""

    stage: str = ""
    """Name of the stage."""
    reason: str = ""
    """Reason given by the canary analysis."""
    term: int = 0
    """Fencing term of the coordinator."""


@dataclass(frozen=True, slots=True)
class PhaseChanged:
    """The rollout has entered another phase."""

    phase: RolloutPhase
    """The new phase."""
    reason: str
    """Why the phase changed."""
    term: int = 0
    """Fencing term of the coordinator."""


@dataclass(frozen=True, slots=True)
class PauseChanged:
    """An operator has paused or continued the rollout."""

    paused: bool
    """Whether the rollout is paused from now on."""
    term: int = 0
    """Fencing term of the coordinator."""


JournalRecord = Started | StepStarted | StepDone | StepFailed | StagePassed | PhaseChanged | PauseChanged


def to_row(record: JournalRecord) -> dict[str, Any]:
    """Convert a record to its form on disk."""
    match record:
        case Started():
            return {
                "what": "begin",
                "term": record.term,
                "plan": record.plan_digest,
                "name": record.plan_name,
            }
        case StepStarted():
            return {"what": "intent", **_step_row(record)}
        case StepDone():
            return {"what": "done", **_step_row(record)}
        case StepFailed():
            return {"what": "failed", "why": record.reason, **_step_row(record)}
        case StagePassed():
            return {"what": "passed", "stage": record.stage, "why": record.reason, "term": record.term}
        case PhaseChanged():
            return {"what": "way", "way": record.phase.value, "why": record.reason, "term": record.term}
        case PauseChanged():
            return {"what": "pause", "paused": record.paused, "term": record.term}


def _step_row(record: StepStarted | StepDone | StepFailed) -> dict[str, Any]:
    return {"step": record.step, "router": record.router, "label": record.label, "term": record.term}


def from_row(row: Row) -> JournalRecord | None:
    """Convert a row on disk to its record; None for a record kind unknown to this version."""
    term = int(row.get("term", 0))
    step = (int(row.get("step", 0)), str(row.get("router", "")), str(row.get("label", "")))
    reason = str(row.get("why", ""))
    match row["what"]:
        case "begin":
            return Started(int(row["term"]), str(row["plan"]), str(row.get("name", "")))
        case "intent":
            return StepStarted(*step, term)
        case "done":
            return StepDone(*step, term)
        case "failed":
            return StepFailed(*step, reason, term)
        case "passed":
            return StagePassed(str(row.get("stage", "")), reason, term)
        case "way":
            return PhaseChanged(RolloutPhase(row["way"]), reason, term)
        case "pause":
            return PauseChanged(bool(row["paused"]), term)
    return None


def from_rows(rows: Iterable[Row]) -> list[JournalRecord]:
    """Convert a journal's rows to records, skipping record kinds unknown to this version."""
    return [record for row in rows if (record := from_row(row)) is not None]
