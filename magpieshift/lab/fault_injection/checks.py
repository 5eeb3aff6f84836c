"""What is checked of a fleet of processes from outside: one class for each invariant.

A check observes the fleet now and then while it runs, and is asked at the end for the violations it saw. The
rules at the endpoints are in ``emulators.protocol_checker.ProtocolChecker``, which all endpoints and clients
of a run have in common.
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
"""Most that all quotas may come to: the whole, and the rounding of logs that write six places."""
MAX_MEMORY_MB = 64
"""Memory limit of a router process, as the cluster's settings have it."""
MAX_DESCRIPTORS = 512
"""Limit of a router's file descriptors, as the cluster's settings have it."""
MAX_SENT_PER_SERVED = 10
"""Requests sent for each one served, beyond which a fleet counts as useless: many, as scenarios take most
endpoints away."""
MAX_EXAMPLES = 5
"""Lost requests that a violation names: enough to begin with."""
MAX_TRACEBACK_CHARACTERS = 600
"""How much of a traceback a violation quotes: its first frames."""
QUOTA_TOLERANCE = 1e-9
"""Rise of the total that counts as a rise, beyond the error of float sums."""


class ObservedFleet(Protocol):
    """What a check may observe."""

    folder: Path
    """Where the routers' logs are."""

    def running(self) -> Mapping[str, int]:
        """Return process ids by router."""
        ...

    def halts(self) -> list[Halt]:
        """Return when processes were paused or dead."""
        ...

    def request_counts(self) -> Mapping[str, int]:
        """Return what became of the clients' requests."""
        ...

    def lost_examples(self) -> list[str]:
        """Return some of the lost requests, each in a line."""
        ...


class Check(Protocol):
    """One invariant."""

    def observe(self, fleet: ObservedFleet, views: Mapping[str, Mapping[str, Any]]) -> None:
        """Observe the fleet at this moment; ``views`` are membership views by router, if any."""
        ...

    def violations(self, fleet: ObservedFleet) -> list[str]:
        """Return a line for each violation, at the end of the run; none where the invariant held."""
        ...


class FinalCheck:
    """A check that needs to observe nothing while the fleet runs."""

    def observe(self, fleet: ObservedFleet, views: Mapping[str, Mapping[str, Any]]) -> None:
        """Do nothing."""


class AnswerCheck(FinalCheck):
    """Each request that a router could answer has one final answer, and enough of them are served."""

    def violations(self, fleet: ObservedFleet) -> list[str]:
        """Return lost requests, requests with two answers, and a fleet that serves next to nothing."""
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
    """No router raised an error that it did not expect."""

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
    """Memory and descriptors of each process stay within its settings."""

    def __init__(self) -> None:
        self.max_memory_mb = 0.0
        """Most resident memory seen in one process."""
        self.max_descriptors = 0
        """Most open descriptors seen in one process."""

    def observe(self, fleet: ObservedFleet, views: Mapping[str, Mapping[str, Any]]) -> None:
        """Read each process's memory and descriptors from /proc."""
        for pid in fleet.running().values():
            try:
                pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
                self.max_descriptors = max(self.max_descriptors, len(os.listdir(f"/proc/{pid}/fd")))
            except (OSError, IndexError):
                continue  # it ended meanwhile
            self.max_memory_mb = max(self.max_memory_mb, pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20))

    def violations(self, fleet: ObservedFleet) -> list[str]:
        """Return the limits that some process exceeded."""
        found = []
        if self.max_memory_mb > MAX_MEMORY_MB:
            found.append(f"a process held {self.max_memory_mb:.1f} MB, limit {MAX_MEMORY_MB}")
        if self.max_descriptors > MAX_DESCRIPTORS:
            found.append(f"a process had {self.max_descriptors} descriptors, limit {MAX_DESCRIPTORS}")
        return found


@dataclass(frozen=True)
class QuotaChange:
    """From when on a process may use which quota."""

    at_s: float
    """Time in seconds on the steady clock, by which the routers log ``at_us``."""
    quota: float
    """Share of the whole, 0 to 1."""
    log_name: str
    """The log of the process."""


class QuotaCheck(FinalCheck):
    """At no instant do the quotas that all processes may use come to more than the whole.

    The routers' logs have each change of a quota, on the clock that all processes of a machine have in
    common. A process that is halted uses nothing; one that is being replaced checks before it acts whether
    its successor lives, and then uses half.
    """

    def violations(self, fleet: ObservedFleet) -> list[str]:
        """Return the greatest total, where it is more than the whole."""
        total, at_s = self.max_total(fleet)
        if total <= MAX_TOTAL_QUOTA:
            return []
        return [f"shares came to {total:.4f} of the whole at {at_s:.3f}"]

    def max_total(self, fleet: ObservedFleet) -> tuple[float, float]:
        """Return the greatest total of quotas, and when it was reached, in seconds."""
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
    """All changes of the quota that one process may use: those logged, by its successor, and by its halts."""
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
    """The change to half of the quota when the successor of a living process first acts."""
    successor_changes = _logged_changes(successor)[:1] if successor.exists() else []
    if not successor_changes:
        return []
    at_s = successor_changes[0].at_s
    earlier_quotas = [change.quota for change in logged if change.at_s <= at_s]
    if not earlier_quotas or any(halt.since_s < at_s for halt in halts):
        return []
    return [
        QuotaChange(math.nextafter(at_s, 0.0), earlier_quotas[-1] / 2, log_name)
    ]  # just before the successor acts


def _changes_by_halt(logged: list[QuotaChange], halt: Halt, log_name: str) -> list[QuotaChange]:
    """The changes to nothing while a process is halted, and back when it is resumed."""
    changes = [QuotaChange(halt.since_s, 0.0, log_name)]
    earlier_quotas = [change.quota for change in logged if change.at_s <= halt.since_s]
    changed_while_halted = any(halt.since_s < change.at_s < halt.until_s for change in logged)
    if halt.until_s != ENDLESS and earlier_quotas and not changed_while_halted:
        # it reads the clock before it acts: what it logs next is what it may use from its resumption on
        later_quotas = [change.quota for change in logged if change.at_s >= halt.until_s]
        changes.append(QuotaChange(halt.until_s, min([earlier_quotas[-1], *later_quotas[:1]]), log_name))
    return changes


def _logged_changes(log: Path) -> list[QuotaChange]:
    """The changes of its quota that a process logged."""
    changes = []
    for line in log.read_text(errors="replace").splitlines():
        if " event=share " in line:
            pairs = dict(word.split("=", 1) for word in line.split() if "=" in word)
            changes.append(QuotaChange(int(pairs["at_us"]) / 1e6, float(pairs["share"]), log.name))
    return changes


def standard_checks() -> list[Check]:
    """Return the checks that hold in every run."""
    return [AnswerCheck(), LogCheck(), ResourceLimitCheck(), QuotaCheck()]
