"""What a coordinator decides, as the records of its journal, and their form on disk.

The keys and words on disk stand here alone, and stay as they are: a journal of an earlier version must
resume.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any

Row = Mapping[str, Any]
"""A record as it stands on disk."""


class RolloutPhase(Enum):
    """Where a rollout is going; the value is its word on disk and in the status."""

    ADVANCING = "forward"
    ROLLING_BACK = "back"
    HELD = "hold"
    """Stopped where it stands, until people resume it."""
    ENDED = "ended"


@dataclass(frozen=True, slots=True)
class Started:
    """A coordinator has begun, or gone on."""

    term: int
    """Its fencing term."""
    plan_digest: str
    """Of the plan that it carries out."""
    plan_name: str = ""
    """The plan's name, for people."""


@dataclass(frozen=True, slots=True)
class StepStarted:
    """A router is about to be changed."""

    step: int
    """Number of the step, from 1."""
    router: str
    """Name of the router."""
    label: str
    """Of the build that it is to run."""
    term: int = 0
    """Of the coordinator."""


@dataclass(frozen=True, slots=True)
class StepDone:
    """A router was changed."""

    step: int
    """Number of the step."""
    router: str
    """Name of the router."""
    label: str
    """Of the build that it runs."""
    term: int = 0
    """Of the coordinator."""


@dataclass(frozen=True, slots=True)
class StepFailed:
    """A router could not be changed."""

    step: int
    """Number of the step."""
    router: str
    """Name of the router."""
    label: str
    """Of the build that it was to run."""
    reason: str
    """Why it failed."""
    term: int = 0
    """Of the coordinator."""


@dataclass(frozen=True, slots=True)
class StagePassed:
    """The new side did no worse through a stage."""

    stage: str = ""
    """Name of the stage."""
    reason: str = ""
    """What the analysis said."""
    term: int = 0
    """Of the coordinator."""


@dataclass(frozen=True, slots=True)
class PhaseChanged:
    """The rollout goes another way, or ends."""

    phase: RolloutPhase
    """From now on."""
    reason: str
    """Why."""
    term: int = 0
    """Of the coordinator."""


@dataclass(frozen=True, slots=True)
class PauseChanged:
    """People have paused the rollout, or let it go on."""

    paused: bool
    """From now on."""
    term: int = 0
    """Of the coordinator."""


JournalRecord = Started | StepStarted | StepDone | StepFailed | StagePassed | PhaseChanged | PauseChanged


def to_row(record: JournalRecord) -> dict[str, Any]:
    """A record's form on disk."""
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
    """The record of a row on disk; None for a kind that this version does not know."""
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
    """The records of a journal, without those of kinds that this version does not know."""
    return [record for row in rows if (record := from_row(row)) is not None]
