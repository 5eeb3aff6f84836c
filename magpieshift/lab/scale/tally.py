"""What hollow routers have applied, without I/O: purges by index and versions by number.

A purge carries its index (from 0, in the order in which the change log accepted purges) as its object, so
that it is known again whichever way it came. Times are seconds of the machine's monotonic clock, which all
processes share.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

PURGE_RELEVANCE_S = 12.0  # a purge so old has expired: twice the settings' ``purges done-ms``
NOT_APPLIED = 0.0  # in place of a time: not applied by any router


def object_of(index: int) -> str:
    """The object that the purge with this index names."""
    return f"{index + 1:016x}"


def index_of(object_number: int) -> int:
    """The index of the purge that names the object with this number."""
    return object_number - 1


@dataclass
class ProcessTally:
    """The sum over all routers of one process: when the last of them had applied each purge and version."""

    purges: list[float] = field(default_factory=list)  # by index
    versions: dict[str, dict[int, float]] = field(default_factory=dict)  # by path, then by number
    accepted_by: tuple[int, float] = 0, 0.0  # all purges below this index were made by this time

    def purged(self, index: int, now_s: float) -> None:
        """A router has applied a purge; times never go back."""
        if index >= len(self.purges):
            self.purges.extend([NOT_APPLIED] * (index + 1 - len(self.purges)))
        self.purges[index] = now_s

    def version(self, path: str, number: int, now_s: float) -> None:
        """A router on this network path has a version in force."""
        self.versions.setdefault(path, {})[number] = now_s


class RouterTally:
    """What one router has applied since its start."""

    def __init__(self, shared: ProcessTally, path: str, first_purge: int, version: int) -> None:
        """It owes purges from ``first_purge`` on, and has all versions up to ``version``."""
        self._shared = shared
        self.path = path
        self.next_purge = first_purge  # all below are applied
        self._applied_ahead: set[int] = set()  # applied, with some below missing
        self._highest = first_purge - 1
        self.version = version
        self.lease_lapsed_at_s: float | None = None  # None while it holds a lease
        # purges applied without a lease: index, when, and since when there was none
        self.applied_without_lease: list[tuple[int, float, float]] = []
        self.out_of_order = 0
        self.forgotten = 0  # purges that it never received, and that had expired when the next ones came

    def record_purges(self, ages: Mapping[int, float], now_s: float) -> None:
        """Purges that were applied in one call, and the age in seconds of each; their order among themselves
        cannot be seen by any request. One that was applied before counts for nothing."""
        for index in sorted(ages):
            if index > self.next_purge:
                self._forget_below(index, ages[index], now_s)
            if index == self.next_purge:
                self.next_purge += 1
                if self._applied_ahead:
                    self._close_up()
            elif index > self.next_purge and index not in self._applied_ahead:
                self._applied_ahead.add(index)
            else:
                continue
            if index < self._highest:
                self.out_of_order += 1
            self._highest = max(index, self._highest)
            if self.lease_lapsed_at_s is None:
                self._shared.purged(index, now_s)
            else:
                self.applied_without_lease.append((index, now_s, self.lease_lapsed_at_s))

    def set_lease_held(self, held: bool, now_s: float) -> None:
        """Whether it holds a lease now: without one it bounds the age of the copies that it accepts."""
        if held:
            self.lease_lapsed_at_s = None
        elif self.lease_lapsed_at_s is None:
            self.lease_lapsed_at_s = now_s

    def _forget_below(self, index: int, age_s: float, now_s: float) -> None:
        """Some before a purge of this age are missing. Snapshots leave out expired purges: all that were made
        before an expired one, and those that are known to have expired."""
        below, made_by_s = self._shared.accepted_by
        if age_s >= PURGE_RELEVANCE_S:
            oldest = index
        elif now_s - made_by_s >= PURGE_RELEVANCE_S:
            oldest = min(index, below)
        else:
            oldest = 0
        if oldest > self.next_purge:
            self.forgotten += sum(each not in self._applied_ahead for each in range(self.next_purge, oldest))
            self._applied_ahead = {each for each in self._applied_ahead if each >= oldest}
            self.next_purge = oldest

    def _close_up(self) -> None:
        while self.next_purge in self._applied_ahead:
            self._applied_ahead.remove(self.next_purge)
            self.next_purge += 1

    def missing_count(self, accepted: int) -> int:
        """How many of the purges accepted so far it owes and has not applied."""
        return max(0, accepted - self.next_purge - len(self._applied_ahead))

    def mark_missing(self, marks: bytearray) -> None:
        """Set the marks, one for each purge accepted so far, of those it owes and has not applied."""
        for index in range(self.next_purge, len(marks)):
            if index not in self._applied_ahead:
                marks[index] = 1

    def record_version(self, number: int, now_s: float) -> None:
        """A version has come into force, and with it all that it replaces."""
        for passed in range(self.version + 1, number + 1):
            self._shared.version(self.path, passed, now_s)
        self.version = max(self.version, number)


def latest(parts: Iterable[Mapping[int, float]]) -> dict[int, float]:
    """For each number the latest time of all parts."""
    found: dict[int, float] = {}
    for part in parts:
        for number, at in part.items():
            found[number] = max(at, found.get(number, NOT_APPLIED))
    return found
