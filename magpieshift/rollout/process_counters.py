"""Counters that routers report through their admin servers, and the difference between two readings."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from magpieshift.rollout.errors import UnreadableCountersError

MAX_CLASSES = 64
"""Maximum number of request classes whose counts are read from one answer."""
MAX_SHOWN_LENGTH = 80
"""Maximum characters of an unreadable answer that an error shows."""


@dataclass(frozen=True)
class RequestCounts:
    """Requests of one class by outcome."""

    requests: int
    """All requests that ended."""
    served: int
    """Served within the latency objective."""
    late: int = 0
    """Served after the latency objective."""
    rejected: int = 0
    """Rejected because of overload."""
    failed: int = 0
    """Answered with an error."""
    abandoned: int = 0
    """Abandoned by their clients before the end."""

    def since(self, earlier: RequestCounts) -> RequestCounts:
        """Difference to an earlier reading, with negative values replaced by 0."""
        return RequestCounts(
            max(0, self.requests - earlier.requests),
            max(0, self.served - earlier.served),
            max(0, self.late - earlier.late),
            max(0, self.rejected - earlier.rejected),
            max(0, self.failed - earlier.failed),
            max(0, self.abandoned - earlier.abandoned),
        )


NO_REQUESTS = RequestCounts(0, 0)
"""Earlier counts of a class that an earlier reading did not contain."""


@dataclass(frozen=True)
class ProcessCounters:
    """One reading of a process's counters, which count from its start."""

    label: str
    """Label of its build."""
    incarnation: str
    """Identifies one run of the process; different after each start."""
    state: str
    """Lifecycle state, such as ``serving``."""
    up_us: int
    """Time since its start, in microseconds."""
    classes: Mapping[str, RequestCounts]
    """Counts by request class."""
    cpu_us: int
    """Processor time since its start, in microseconds."""
    rss_kb: int = 0
    """Resident memory; 0 if the operating system does not report it."""
    descriptors: int = 0
    """Open files and sockets; 0 if the operating system does not report them."""
    settings_version: int = 0
    """Version number of the settings in force."""
    latency: Mapping[str, str] = field(default_factory=dict)
    """Encoded latency histograms by request class."""


def parse_counters(text: str) -> ProcessCounters:
    """Parse an admin server's answer to FIGURES, without the leading OK.

    Keys that a later version adds are ignored, and counters that an earlier version lacks are 0. The keys of
    the answer are defined only here. Raises ``UnreadableCountersError`` if the text is not such an answer.
    """
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
    """Difference between two readings of a router's process counters."""

    classes: Mapping[str, RequestCounts]
    """Counts by request class."""
    cpu_us: int
    """Processor time used, in microseconds."""
    duration_us: int
    """Running time covered, in microseconds."""
    same_process: bool = True
    """False if the process was restarted in between; the difference then covers only the time since the
    restart."""

    @property
    def requests(self) -> int:
        """Number of requests of all classes that ended."""
        return sum(counts.requests for counts in self.classes.values())


def counter_delta(before: ProcessCounters, after: ProcessCounters) -> CounterDelta:
    """Difference between two readings. Counters of the same incarnation only increase; those of another
    incarnation started at 0, so the later reading itself is the difference."""
    same_process = before.incarnation == after.incarnation
    earlier: Mapping[str, RequestCounts] = before.classes if same_process else {}
    classes = {name: counts.since(earlier.get(name, NO_REQUESTS)) for name, counts in after.classes.items()}
    cpu_us = after.cpu_us - (before.cpu_us if same_process else 0)
    up_us = after.up_us - (before.up_us if same_process else 0)
    return CounterDelta(classes, max(0, cpu_us), max(0, up_us), same_process)
