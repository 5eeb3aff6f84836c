"""A bounded log of entries that are numbered from 1 within an epoch."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from itertools import islice

from magpieshift.relay.limits import MOST_LOG_ENTRIES
from magpieshift.relay.messages import Entry, Epoch


class Gap(Exception):
    """Entries are missing before those that were given."""


class Dropped(Exception):
    """The entries asked for are not kept any more: a snapshot is needed."""


class SequencedLog:
    """The newest entries of one epoch. A source appends to its own; a relay's is a copy of the source's."""

    def __init__(self, epoch: Epoch, applied: int = 0, most: int = MOST_LOG_ENTRIES) -> None:
        """An empty log whose next entry has the number ``applied + 1``."""
        if most < 1 or applied < 0:
            raise ValueError(f"a log of {most} entries after {applied}")
        self._most = most
        self.restart(epoch, applied)

    def restart(self, epoch: Epoch, applied: int) -> None:
        """Forget all entries and go on after ``applied``, as after a snapshot of that epoch."""
        self.epoch = epoch
        self.head = applied  # sequence number of the newest entry, or what the log began after
        self._entries: deque[Entry] = deque(maxlen=self._most)

    @property
    def first(self) -> int:
        """Sequence number of the oldest entry that is kept; ``head + 1`` where none is."""
        return self.head - len(self._entries) + 1

    def append(self, entry: Entry) -> int:
        """Add an entry; returns its sequence number. The oldest entry is dropped where there are too many."""
        self._entries.append(entry)
        self.head += 1
        return self.head

    def extend(self, first: int, entries: Iterable[Entry]) -> int:
        """Add entries of the same epoch, the first of which has the number ``first``; those that are known
        are skipped. Returns how many were new; ``Gap``, with nothing added, where some before are missing."""
        if first > self.head + 1:
            raise Gap(f"entry {self.head + 1} is missing before {first}")
        known = self.head + 1 - first
        fresh = tuple(islice(entries, known, None))
        self._entries.extend(fresh)
        self.head += len(fresh)
        return len(fresh)

    def after(self, sequence: int, up_to: int | None = None) -> tuple[Entry, ...]:
        """The entries with numbers above ``sequence``, up to and with ``up_to`` (the head by default);
        ``Dropped`` where one of them is not kept."""
        if sequence + 1 < self.first:
            raise Dropped(f"entry {sequence + 1} is dropped, {self.first} is the first")
        end = self.head if up_to is None else min(up_to, self.head)
        # from the nearer end: a deque is walked from its ends, and who is up to date reads the last few
        count = end - sequence
        if count <= 0:
            return ()
        newest_first = islice(reversed(self._entries), self.head - end, self.head - sequence)
        return tuple(newest_first)[::-1]
