"""Files of a rollout's folder other than its journal: the status, the history for the report, and the action
requested by an operator. Their names and keys are defined only here."""

from __future__ import annotations

import json
import logging
import os
import time
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Any

from magpieshift.log import fields
from magpieshift.rollout.canary_analysis import CanaryAnalysis
from magpieshift.rollout.coordinator import Coordinator
from magpieshift.rollout.verdict import Verdict

log = logging.getLogger(__name__)

STATUS_FILE = "status.json"
REQUEST_FILE = "asked"
HISTORY_FILE = "history.jsonl"
MAX_HISTORY_BYTES = 64 << 20
"""Maximum size of the history, enough for some days of rounds; then no more lines are added."""
MAX_SHOWN_LENGTH = 40
"""Maximum characters of an unknown request that are logged."""


class Request(Enum):
    """Action that an operator may request of a coordinator; the value is the name of the command."""

    PAUSE = "pause"
    GO_ON = "go-on"
    STOP = "stop"
    ROLL_BACK = "back"


@dataclass(frozen=True, slots=True)
class RequestedAction:
    """An action requested by an operator."""

    request: Request
    """The requested action."""
    reason: str
    """Reason for the journal; may be empty."""


class StateFolder:
    """Reads and writes the files in the folder of one rollout."""

    def __init__(self, path: Path) -> None:
        """``path`` is the folder; it need not exist yet."""
        self.path = path
        """Path of the folder."""

    def clear_request(self) -> None:
        """Remove a request made to an earlier coordinator."""
        (self.path / REQUEST_FILE).unlink(missing_ok=True)

    def take_request(self) -> RequestedAction | None:
        """Remove and return the action requested since the last call; None if there is none or it is
        unknown."""
        path = self.path / REQUEST_FILE
        try:
            word, _, reason = path.read_text().strip().partition(" ")
            path.unlink()
        except OSError:
            return None
        try:
            request = Request(word)
        except ValueError:
            log.warning("unknown rollout action requested", extra=fields(found=word[:MAX_SHOWN_LENGTH]))
            return None
        log.info("rollout action requested", extra=fields(action=word, reason=reason))
        return RequestedAction(request, reason)

    def write_status(self, status: Mapping[str, Any]) -> None:
        """Replace the status file atomically, so that readers never see a partial one."""
        path = self.path / f"{STATUS_FILE}.{os.getpid()}"
        path.write_text(json.dumps(status, indent=1))
        path.replace(self.path / STATUS_FILE)

    def append_history(self, status: Mapping[str, Any]) -> None:
        """Add a line to the history for the report. A failure to write is logged but otherwise ignored."""
        classes = {
            name: [*row["new"], *row["old"], *row["between"]]
            for name, row in status["figures"]["classes"].items()
        }
        row = {
            "at": round(time.time(), 1),
            "way": status["way"],
            "stage": status["stage"],
            "new": len(status["new"]),
            "old": len(status["old"]),
            "away": len(status["away"]),
            "verdict": status["verdict"],
            "classes": classes,
        }
        try:
            with (self.path / HISTORY_FILE).open("a", encoding="utf-8") as file:
                if file.tell() < MAX_HISTORY_BYTES:
                    file.write(json.dumps(row, separators=(",", ":")) + "\n")
        except OSError as err:
            log.warning("rollout history not written", extra=fields(reason=err.strerror or err))


def request_action(folder: Path, word: str, reason: str = "") -> None:
    """Request an action of the coordinator that uses this folder; it is read in the coordinator's next
    round."""
    path = folder / f"{REQUEST_FILE}.{os.getpid()}"
    path.write_text(f"{word} {reason}\n")
    path.replace(folder / REQUEST_FILE)


def make_status(
    coordinator: Coordinator, analysis: CanaryAnalysis, verdict: Verdict, now_us: int
) -> dict[str, Any]:
    """Status of a rollout, for operators and their tools."""
    plan = coordinator.plan
    state = coordinator.state
    labels = {name: view.label for name, view in coordinator.routers.items()}
    return {
        "name": plan.name,
        "term": coordinator.term,
        "way": state.phase.value,
        "fenced": coordinator.superseded,
        "paused": state.paused,
        "why": state.reason or coordinator.waiting_reason,
        "stage": coordinator.stage.name,
        "stages": [stage.name for stage in plan.stages],
        "new": sorted(name for name, label in labels.items() if label == plan.new.label),
        "old": sorted(name for name, label in labels.items() if label == plan.old.label),
        "away": coordinator.unreachable(now_us),
        "verdict": verdict.value,
        "figures": analysis.as_data(),
    }
