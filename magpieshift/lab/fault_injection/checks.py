"""Invariants of a cluster that are checked from outside its processes, one class for each.

A check observes the cluster periodically while it runs, and returns the violations at the end. The rules that
endpoints check are in ``emulators.protocol_checker.ProtocolChecker``, which all endpoints and clients of a
run share.
"""

from __future__ import annotations

import math
import os
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

from magpieshift.lab.fault_injection.outages import ENDLESS, Halt

MAX_TOTAL_QUOTA = 1.0 + 1e-4
"""Maximum sum of the quotas in use: 1, plus the rounding errors of the six decimal places in logs."""
MAX_MEMORY_MB = 64
"""Memory limit of a router process in megabytes, the same as in the cluster's settings."""
MAX_DESCRIPTORS = 512
"""Limit of a router process's file descriptors, the same as in the cluster's settings."""
MAX_SENT_PER_SERVED = 10
"""Maximum number of requests sent per request served. It is high because scenarios take most endpoints
down."""
MAX_EXAMPLES = 5
"""Maximum number of lost requests that a violation describes."""
MAX_TRACEBACK_CHARACTERS = 600
"""Maximum length of the traceback in a violation; it begins with the first frames."""
QUOTA_TOLERANCE = 1e-9
"""Smallest increase of the sum of quotas that counts: smaller ones are rounding errors of float sums."""


class ObservedFleet(Protocol):
    """The parts of a cluster that checks observe."""

    folder: Path
    """Folder of the routers' logs."""

    def running(self) -> Mapping[str, int]:
        """Return process ids by router."""
        ...

    def halts(self) -> list[Halt]:
        """Return the periods in which processes were paused or dead."""
        ...

    def request_counts(self) -> Mapping[str, int]:
        """Return the number of the clients' requests by outcome."""
        ...

    def lost_examples(self) -> list[str]:
        """Return descriptions of some lost requests, one line each."""
        ...


class Check(Protocol):
    """A check of one invariant."""

    def observe(self, fleet: ObservedFleet, views: Mapping[str, Mapping[str, Any]]) -> None:
        """Observe the current state of the cluster; ``views`` are membership views by router, if any."""
        ...

    def violations(self, fleet: ObservedFleet) -> list[str]:
        """Return a line for each violation at the end of the run."""
        ...


class FinalCheck:
    """A check that is made only at the end of the run."""

    def observe(self, fleet: ObservedFleet, views: Mapping[str, Mapping[str, Any]]) -> None:
        """Do nothing."""


class AnswerCheck(FinalCheck):
    """Checks that each request that could be answered has exactly one answer, and that enough are served."""

    def violations(self, fleet: ObservedFleet) -> list[str]:
        """Return a line each for lost requests, for duplicate answers and for too few served requests."""
        counts = fleet.request_counts()
        found = []
        if counts["lost"]:
            examples = "; ".join(fleet.lost_examples()[:MAX_EXAMPLES])
            found.append(f"{counts['lost']} requests lost, such as {examples}")
        if counts["doubles"]:
            found.append(f"{counts['doubles']} requests answered twice")
        if counts["sent"] and counts["served"] < counts["sent"] / MAX_SENT_PER_SERVED:
            found.append(f"{counts['served']} requests served of {counts['sent']}")
        return found


class LogCheck(FinalCheck):
    """Checks that no router logged a traceback."""

    def violations(self, fleet: ObservedFleet) -> list[str]:
        """Return the first traceback of each log."""
        found = []
        for log in sorted(fleet.folder.glob("*.log")):
            text = log.read_text(errors="replace")
            if "Traceback" in text:
                quoted = text[text.index("Traceback") :][:MAX_TRACEBACK_CHARACTERS]
                found.append(f"{log.name}: {quoted}")
        return found


class ResourceLimitCheck:
    """Checks that memory and file descriptors of each process stay within the settings' limits."""

    def __init__(self) -> None:
        self.max_memory_mb = 0.0
        """Highest resident memory observed in one process."""
        self.max_descriptors = 0
        """Highest number of open descriptors observed in one process."""

    def observe(self, fleet: ObservedFleet, views: Mapping[str, Mapping[str, Any]]) -> None:
        """Read each process's memory and descriptors from /proc."""
        for pid in fleet.running().values():
            try:
                pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
                self.max_descriptors = max(self.max_descriptors, len(os.listdir(f"/proc/{pid}/fd")))
            except (OSError, IndexError):
                continue  # the process has ended
            self.max_memory_mb = max(self.max_memory_mb, pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20))

    def violations(self, fleet: ObservedFleet) -> list[str]:
        """Return a line for each limit that a process exceeded."""
        found = []
        if self.max_memory_mb > MAX_MEMORY_MB:
            found.append(f"a process held {self.max_memory_mb:.1f} MB, limit {MAX_MEMORY_MB}")
        if self.max_descriptors > MAX_DESCRIPTORS:
            found.append(f"a process had {self.max_descriptors} descriptors, limit {MAX_DESCRIPTORS}")
        return found


@dataclass(frozen=True)
class QuotaChange:
    """A change of the quota that a process may use."""

    at_s: float
    """Steady time of the change in seconds; the routers log it as ``at_us``."""
    quota: float
    """New quota, as a share of what all processes may use together, 0 to 1."""
    log_name: str
    """File name of the process's log."""


class QuotaCheck(FinalCheck):
    """Checks that the quotas of all processes never add up to more than 1.

    The routers log each change of their quota with the time of the steady clock, which all processes on a
    machine share. A halted process uses no quota; one that is being replaced checks before each use whether
    its successor is alive, and then uses half of its quota.
    """

    def violations(self, fleet: ObservedFleet) -> list[str]:
        """Return a line with the greatest sum of quotas if it exceeds ``MAX_TOTAL_QUOTA``."""
        total, at_s = self.max_total(fleet)
        if total <= MAX_TOTAL_QUOTA:
            return []
        return [f"shares came to {total:.4f} of the whole at {at_s:.3f}"]

    def max_total(self, fleet: ObservedFleet) -> tuple[float, float]:
        """Return the greatest sum of quotas, and the steady time at which it was reached, in seconds."""
        changes = [change for log in fleet.folder.glob("*.log") for change in _effective_changes(fleet, log)]
        quotas: dict[str, float] = {}
        max_total = 0.0
        max_at_s = 0.0
        for change in sorted(changes, key=lambda change: (change.at_s, change.quota)):
            quotas[change.log_name] = change.quota
            if (total := sum(quotas.values())) > max_total + QUOTA_TOLERANCE:
                max_total = total
                max_at_s = change.at_s
        return max_total, max_at_s


def _effective_changes(fleet: ObservedFleet, log: Path) -> list[QuotaChange]:
    """Return all changes of one process's usable quota: logged ones, and those by its successor and halts."""
    name, start, _ = log.name.split(".")
    logged = _logged_changes(log)
    halts = [halt for halt in fleet.halts() if (halt.router, str(halt.start)) == (name, start)]
    successor = fleet.folder / f"{name}.{int(start) + 1}.log"
    changes = _halved_by_successor(logged, halts, successor, log.name) + logged
    for halt in halts:
        changes += _changes_by_halt(logged, halt, log.name)
    return changes


def _halved_by_successor(
    logged: list[QuotaChange], halts: list[Halt], successor: Path, log_name: str
) -> list[QuotaChange]:
    """Return the change to half of the quota when the successor of a living process first logs a quota."""
    successor_changes = _logged_changes(successor)[:1] if successor.exists() else []
    if not successor_changes:
        return []
    at_s = successor_changes[0].at_s
    earlier_quotas = [change.quota for change in logged if change.at_s <= at_s]
    if not earlier_quotas or any(halt.since_s < at_s for halt in halts):
        return []
    # just before the successor's first logged quota, so that the sum at that time contains only the half
    return [QuotaChange(math.nextafter(at_s, 0.0), earlier_quotas[-1] / 2, log_name)]


def _changes_by_halt(logged: list[QuotaChange], halt: Halt, log_name: str) -> list[QuotaChange]:
    """Return the change to zero when a process is halted, and the change back when it is resumed."""
    changes = [QuotaChange(halt.since_s, 0.0, log_name)]
    earlier_quotas = [change.quota for change in logged if change.at_s <= halt.since_s]
    changed_while_halted = any(halt.since_s < change.at_s < halt.until_s for change in logged)
    if halt.until_s != ENDLESS and earlier_quotas and not changed_while_halted:
        # A resumed process reads the clock before it uses its quota, so that the first quota which it then
        # logs already limits it from the resumption on.
        later_quotas = [change.quota for change in logged if change.at_s >= halt.until_s]
        changes.append(QuotaChange(halt.until_s, min([earlier_quotas[-1], *later_quotas[:1]]), log_name))
    return changes


def _logged_changes(log: Path) -> list[QuotaChange]:
    """Return the quota changes in a process's log."""
    changes = []
    for line in log.read_text(errors="replace").splitlines():
        if ' event="quota changed" ' in line:
            pairs = dict(word.split("=", 1) for word in line.split() if "=" in word)
            changes.append(QuotaChange(int(pairs["at_us"]) / 1e6, float(pairs["share"]), log.name))
    return changes


def standard_checks() -> list[Check]:
    """Return the checks made in every run."""
    return [AnswerCheck(), LogCheck(), ResourceLimitCheck(), QuotaCheck()]
