"""Schedules snapshots, and shares one among all streams that need one at about the same time.

Snapshots are sent at a limited rate: each stream gets a time slot of its own, and a stream that misses its
slot does not delay the others.
"""

from __future__ import annotations

from magpieshift.relay.limits import MAX_SNAPSHOTS_PER_S, SNAPSHOT_REUSE_US
from magpieshift.relay.log import SequencedLog
from magpieshift.relay.log_state import LogState
from magpieshift.relay.messages import Snapshot

SLOT_EXPIRY_US = 1_000_000
"""Time after which an unused slot expires and its stream gets another one; long compared with the driver's
tick."""


class SnapshotSchedule:
    """The time slots of all streams that need a snapshot. Times are of the monotonic clock."""

    def __init__(self, per_s: int = MAX_SNAPSHOTS_PER_S) -> None:
        """``per_s`` is the number of slots a second."""
        self._interval_us = 1_000_000 // per_s
        # time of the slot, by stream
        self._slots_us: dict[int, int] = {}
        # time of the latest slot that was used
        self._last_taken_us: int | None = None

    def reserve(self, stream: int, now_us: int) -> int:
        """The time of the stream's slot; assigns the next free one if it has none or its slot has expired."""
        slot_us = self._slots_us.get(stream)
        if slot_us is None or now_us > slot_us + SLOT_EXPIRY_US:
            slot_us = self._next_free_us(now_us)
            self._slots_us[stream] = slot_us
        return slot_us

    def slot_us(self, stream: int) -> int | None:
        """The time of the stream's slot; None if it has none."""
        return self._slots_us.get(stream)

    def take_slot(self, stream: int, now_us: int) -> bool:
        """Whether the stream's slot is reached; if so, the slot is used up."""
        slot_us = self.reserve(stream, now_us)
        if now_us < slot_us:
            return False
        del self._slots_us[stream]
        self._last_taken_us = slot_us if self._last_taken_us is None else max(self._last_taken_us, slot_us)
        return True

    def cancel(self, stream: int) -> None:
        """Remove the stream's slot, if it has one."""
        self._slots_us.pop(stream, None)

    def _next_free_us(self, now_us: int) -> int:
        others = [*self._slots_us.values()]
        if self._last_taken_us is not None:
            others.append(self._last_taken_us)
        return max(now_us, max(others) + self._interval_us) if others else now_us


class SnapshotCache:
    """The last snapshot of a log, which is reused for ``SNAPSHOT_REUSE_US``."""

    def __init__(self, log: SequencedLog, state: LogState) -> None:
        """``state`` is the accumulated state of all entries of ``log``."""
        self._log = log
        self._state = state
        self._snapshot: Snapshot | None = None
        self._created_us = 0

    def get(self, now_us: int) -> Snapshot:
        """A snapshot less than ``SNAPSHOT_REUSE_US`` old, whose following entries are all retained in the
        log."""
        log = self._log
        snapshot = self._snapshot
        usable = snapshot is not None and snapshot.epoch == log.epoch and snapshot.applied + 1 >= log.first
        if snapshot is None or not usable or now_us - self._created_us >= SNAPSHOT_REUSE_US:
            snapshot = self._state.snapshot(log.epoch, log.head, now_us)
            self._snapshot = snapshot
            self._created_us = now_us
        return snapshot
