"""Routers' own counters as they come from admin servers, and what was counted between two looks."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from magpieshift.rollout.errors import UnreadableCountersError

MAX_CLASSES = 64
"""Read of one answer: one that holds more is not read on."""
MAX_SHOWN_LENGTH = 80
"""Characters of an unreadable answer that an error shows."""


@dataclass(frozen=True)
class RequestCounts:
    """How requests of one class have ended."""

    requests: int
    """All that ended."""
    served: int
    """Served in time."""
    late: int = 0
    """Served after the latency objective."""
    rejected: int = 0
    """Rejected under load."""
    failed: int = 0
    """Answered with an error."""
    abandoned: int = 0
    """Given up by their clients."""

    def since(self, earlier: RequestCounts) -> RequestCounts:
        """What was counted since an earlier look; no less than 0."""
        return RequestCounts(
            max(0, self.requests - earlier.requests),
            max(0, self.served - earlier.served),
            max(0, self.late - earlier.late),
            max(0, self.rejected - earlier.rejected),
            max(0, self.failed - earlier.failed),
            max(0, self.abandoned - earlier.abandoned),
        )


NO_REQUESTS = RequestCounts(0, 0)
"""Of a class that was not there before."""


@dataclass(frozen=True)
class ProcessCounters:
    """One look at one process. Counters are since its start."""

    label: str
    """Of its build."""
    incarnation: str
    """New with each start."""
    state: str
    """Of its lifecycle."""
    up_us: int
    """Since its start."""
    classes: Mapping[str, RequestCounts]
    """By class of requests."""
    cpu_us: int
    """Processor time."""
    rss_kb: int = 0
    """Resident memory; 0 if its system does not tell."""
    descriptors: int = 0
    """Open files and sockets; 0 if its system does not tell."""
    settings_version: int = 0
    """Number of the settings in force."""
    latency: Mapping[str, str] = field(default_factory=dict)
    """By class, encoded histograms."""


def parse_counters(text: str) -> ProcessCounters:
    """An admin server's answer to FIGURES, without its OK; ``UnreadableCountersError`` if it is none. What a
    later version adds is passed over, and what an earlier one lacks is 0. The answer's names stand here
    alone."""
    try:
        raw = json.loads(text)
        classes = {str(name): _parse_counts(row) for name, row in list(raw["classes"].items())[:MAX_CLASSES]}
        latency = {str(name): str(row.get("latency", "")) for name, row in raw["classes"].items()}
        return ProcessCounters(
            label=str(raw["label"]),
            incarnation=str(raw["incarnation"]),
            state=str(raw.get("state", "")),
            up_us=int(raw["up_us"]),
            classes=classes,
            cpu_us=int(raw.get("cpu_us", 0)),
            rss_kb=int(raw.get("rss_kb", 0)),
            descriptors=int(raw.get("descriptors", 0)),
            settings_version=int(raw.get("settings", 0)),
            latency=latency,
        )
    except (ValueError, KeyError, TypeError, AttributeError) as err:
        shown = f"{text[:MAX_SHOWN_LENGTH]!r}"
        raise UnreadableCountersError(f"found {shown}: {type(err).__name__}") from None


def _parse_counts(row: Mapping[str, Any]) -> RequestCounts:
    names = ("asked", "served", "late", "refused", "failed", "left")
    return RequestCounts(*(max(0, int(row.get(name, 0))) for name in names))


@dataclass(frozen=True)
class CounterDelta:
    """What one process did between two looks."""

    classes: Mapping[str, RequestCounts]
    """By class of requests."""
    cpu_us: int
    """Processor time."""
    duration_us: int
    """For which it ran."""
    same_process: bool = True
    """False if it was restarted meanwhile: then only what it did since is known."""

    @property
    def requests(self) -> int:
        """Requests of all classes that ended."""
        return sum(counts.requests for counts in self.classes.values())


def counter_delta(before: ProcessCounters, after: ProcessCounters) -> CounterDelta:
    """What was counted between two looks: counters of one incarnation only rise, those of another begin at
    0."""
    same_process = before.incarnation == after.incarnation
    earlier: Mapping[str, RequestCounts] = before.classes if same_process else {}
    classes = {name: counts.since(earlier.get(name, NO_REQUESTS)) for name, counts in after.classes.items()}
    cpu_us = after.cpu_us - (before.cpu_us if same_process else 0)
    up_us = after.up_us - (before.up_us if same_process else 0)
    return CounterDelta(classes, max(0, cpu_us), max(0, up_us), same_process)
