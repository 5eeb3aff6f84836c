"""Tracks up to which entry a log is visible to followers.

Entries become visible at *cuts*, at most one every ``BATCH_INTERVAL_US``, so that all up-to-date followers
get the same batches, which are serialized once.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from magpieshift.relay.limits import BATCH_INTERVAL_US, UNKNOWN_AGE_US
from magpieshift.relay.log import SequencedLog

AgeSource = Callable[[int], int | None]
"""Returns an age in microseconds at a time of the monotonic clock; None if it is unknown."""


@dataclass(frozen=True, slots=True)
class VisibleCut:
    """Up to which entry a log is visible to followers, and how fresh that is. Times are of the monotonic
    clock."""

    head: int
    """Sequence number of the last visible entry."""
    made_visible_us: int
    """When entries last became visible."""
    checked_us: int
    """When the log last had no entries beyond ``head``."""
    age_us: int | None
    """Age of the process's knowledge at ``checked_us``; None if it cannot give proofs."""
    source_age_us: int
    """The part of ``age_us`` by which the source lagged behind its change log."""


class Visibility:
    """Maintains the current cut of one log."""

    def __init__(self, log: SequencedLog, age_us: AgeSource, sync_age_us: AgeSource) -> None:
        """``age_us`` returns the age of the process's knowledge, ``sync_age_us`` the time since it last had
        everything that its source had."""
        self._log = log
        self._age_us = age_us
        self._sync_age_us = sync_age_us
        self._cut: VisibleCut | None = None

    def begin_epoch(self) -> None:
        """Reset the cut: the log has begun a new epoch, of which nothing is visible yet."""
        self._cut = None

    def refresh(self, now_us: int) -> VisibleCut:
        """The current cut. Entries beyond the previous one become visible if ``BATCH_INTERVAL_US`` has
        passed."""
        log = self._log
        cut = self._cut
        if cut is not None and log.head > cut.head and now_us < cut.made_visible_us + BATCH_INTERVAL_US:
            return cut
        made_visible_us = now_us if cut is None or log.head > cut.head else cut.made_visible_us
        self._cut = cut = VisibleCut(log.head, made_visible_us, now_us, *self._ages(now_us))
        return cut

    def next_visible_us(self, cursor: int) -> int | None:
        """When the entry after ``cursor`` becomes visible; None if it is visible already."""
        if self._cut is None or cursor < self._cut.head:
            return None
        return self._cut.made_visible_us + BATCH_INTERVAL_US

    def _ages(self, now_us: int) -> tuple[int | None, int]:
        """The age of the process's knowledge, and the part of it by which the source lagged its change
        log."""
        age_us = self._age_us(now_us)
        sync_age_us = self._sync_age_us(now_us)
        if sync_age_us is None:
            return None, 0
        age_us = UNKNOWN_AGE_US if age_us is None else age_us
        return age_us, max(0, age_us - sync_age_us)
