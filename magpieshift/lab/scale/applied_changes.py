"""Records what hollow routers have applied, without I/O: purges by index and versions by number.

Purges are numbered from 0 in the order in which the change log accepted them. The object that a purge names
encodes this index, so that a purge is recognized independently of its route. Times are seconds of the
machine's monotonic clock, which all processes share.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

PURGE_EXPIRY_S = 12.0  # age from which a purge has expired: twice the setting ``purges done-ms``
NOT_APPLIED = 0.0  # stands for the time of a purge that no router has applied


def object_of(index: int) -> str:
    """The object key, in hexadecimal, that the purge with this index names."""
    return f"{index + 1:016x}"


def index_of(object_number: int) -> int:
    """The index of the purge that names the object with this key."""
    return object_number - 1


@dataclass
class ProcessAppliedChanges:
    """The record of all routers of one process: when the last of them applied each purge and version."""

    purges: list[float] = field(default_factory=list)  # time of the last application, by index
    versions: dict[str, dict[int, float]] = field(default_factory=dict)  # time, by path, then by number
    accepted_by: tuple[int, float] = 0, 0.0  # index and time: all purges below it were made by this time

    def record_purge(self, index: int, now_s: float) -> None:
        """Record that a router has applied a purge. Calls come in time order, so the last one counts."""
        if index >= len(self.purges):
            self.purges.extend([NOT_APPLIED] * (index + 1 - len(self.purges)))
        self.purges[index] = now_s

    def record_version(self, path: str, number: int, now_s: float) -> None:
        """Record that a router on this network path has a version in force."""
        self.versions.setdefault(path, {})[number] = now_s


class RouterAppliedChanges:
    """What one router has applied since its start."""

    def __init__(self, shared: ProcessAppliedChanges, path: str, first_purge: int, version: int) -> None:
        """The router must apply all purges from index ``first_purge`` on, and has all versions up to
        ``version``."""
        self._shared = shared
        self.path = path
        self.next_purge = first_purge  # the lowest index that is neither applied nor expired
        self._applied_ahead: set[int] = set()  # applied purges above ``next_purge``
        self._highest = first_purge - 1
        self.version = version
        self.lease_lapsed_at_s: float | None = None  # None while it holds a lease
        # purges applied without a lease: index, time of application, and time of the lease's lapse
        self.applied_without_lease: list[tuple[int, float, float]] = []
        self.out_of_order = 0
        self.forgotten = 0  # purges never received that had expired when a later one arrived

    def record_purges(self, ages: Mapping[int, float], now_s: float) -> None:
        """Record purges that were applied in one call, given the age of each in seconds. No request can
        observe the order within one call, so it does not count. Purges applied before are ignored."""
        for index in sorted(ages):
            if index > self.next_purge:
                self._skip_expired(index, ages[index], now_s)
            if index == self.next_purge:
                self.next_purge += 1
                if self._applied_ahead:
                    self._advance()
            elif index > self.next_purge and index not in self._applied_ahead:
                self._applied_ahead.add(index)
            else:
                continue
            if index < self._highest:
                self.out_of_order += 1
            self._highest = max(index, self._highest)
            if self.lease_lapsed_at_s is None:
                self._shared.record_purge(index, now_s)
            else:
                self.applied_without_lease.append((index, now_s, self.lease_lapsed_at_s))

    def set_lease_held(self, held: bool, now_s: float) -> None:
        """Record whether the router holds a lease now. Without one, it limits the age of the cached copies
        that it accepts."""
        if held:
            self.lease_lapsed_at_s = None
        elif self.lease_lapsed_at_s is None:
            self.lease_lapsed_at_s = now_s

    def _skip_expired(self, index: int, age_s: float, now_s: float) -> None:
        """Count missing purges below ``index`` as forgotten if they have expired: snapshots omit expired
        purges. All purges below one that has expired itself have expired; so have those below the index in
        ``accepted_by``, ``PURGE_EXPIRY_S`` after the time given there."""
        below, made_by_s = self._shared.accepted_by
        if age_s >= PURGE_EXPIRY_S:
            oldest = index
        elif now_s - made_by_s >= PURGE_EXPIRY_S:
            oldest = min(index, below)
        else:
            oldest = 0
        if oldest > self.next_purge:
            self.forgotten += sum(each not in self._applied_ahead for each in range(self.next_purge, oldest))
            self._applied_ahead = {each for each in self._applied_ahead if each >= oldest}
            self.next_purge = oldest

    def _advance(self) -> None:
        while self.next_purge in self._applied_ahead:
            self._applied_ahead.remove(self.next_purge)
            self.next_purge += 1

    def missing_count(self, accepted: int) -> int:
        """The number of purges that the router should have applied and has not; ``accepted`` is the number of
        purges accepted so far."""
        return max(0, accepted - self.next_purge - len(self._applied_ahead))

    def mark_missing(self, marks: bytearray) -> None:
        """Set to 1 the marks of the purges that the router should have applied and has not. ``marks`` has one
        mark per purge accepted so far, by index."""
        for index in range(self.next_purge, len(marks)):
            if index not in self._applied_ahead:
                marks[index] = 1

    def record_version(self, number: int, now_s: float) -> None:
        """Record that a version has come into force, along with all earlier ones not recorded yet."""
        for passed in range(self.version + 1, number + 1):
            self._shared.record_version(self.path, passed, now_s)
        self.version = max(self.version, number)


def latest(parts: Iterable[Mapping[int, float]]) -> dict[int, float]:
    """For each number, the latest time in any of the parts."""
    found: dict[int, float] = {}
    for part in parts:
        for number, at in part.items():
            found[number] = max(at, found.get(number, NOT_APPLIED))
    return found
