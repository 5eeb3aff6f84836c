"""A bounded log of entries, which are numbered from 1 within an epoch."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from itertools import islice

from magpieshift.relay.errors import DroppedEntriesError, MissingEntriesError
from magpieshift.relay.limits import MAX_LOG_ENTRIES
from magpieshift.relay.messages import Entry, Epoch


class SequencedLog:
    """The newest entries of one epoch. A source appends to its log; a relay's log is a copy of the
    source's."""

    def __init__(self, epoch: Epoch, applied: int = 0, max_entries: int = MAX_LOG_ENTRIES) -> None:
        """An empty log whose next entry has the number ``applied + 1``."""
        if max_entries < 1 or applied < 0:
            raise ValueError(
                f"log: found max_entries {max_entries} and applied {applied}, expected at least 1 and 0"
            )
        self._max_entries = max_entries
        self.restart(epoch, applied)

    def restart(self, epoch: Epoch, applied: int) -> None:
        """Drop all entries and continue after ``applied``, as after a snapshot of that epoch."""
        self.epoch = epoch
        """Epoch of all entries."""
        self.head = applied
        """Sequence number of the newest entry; ``applied`` if none was added since."""
        self._entries: deque[Entry] = deque(maxlen=self._max_entries)

    @property
    def first(self) -> int:
        """Sequence number of the oldest retained entry; ``head + 1`` if there is none."""
        return self.head - len(self._entries) + 1

    def append(self, entry: Entry) -> int:
        """Add an entry; returns its sequence number. Drops the oldest entry if the log is full."""
        self._entries.append(entry)
        self.head += 1
        return self.head

    def extend(self, first: int, entries: Iterable[Entry]) -> int:
        """Add entries of the same epoch, the first of which has the number ``first``; entries that the log
        has or had are skipped. Returns how many were new. ``MissingEntriesError``, with nothing added, if
        there is a gap before ``first``."""
        if first > self.head + 1:
            raise MissingEntriesError(f"entry {self.head + 1} is missing before {first}")
        known = self.head + 1 - first
        new_entries = tuple(islice(entries, known, None))
        self._entries.extend(new_entries)
        self.head += len(new_entries)
        return len(new_entries)

    def entries_after(self, sequence: int, up_to: int | None = None) -> tuple[Entry, ...]:
        """The entries with numbers above ``sequence``, up to and including ``up_to`` (the head by default);
        ``DroppedEntriesError`` if one of them was dropped."""
        if sequence + 1 < self.first:
            raise DroppedEntriesError(f"entry {sequence + 1} is dropped, {self.first} is the first")
        end = self.head if up_to is None else min(up_to, self.head)
        # read from the newer end: a deque is traversed from its ends, and most followers need the last few
        count = end - sequence
        if count <= 0:
            return ()
        newest_first = islice(reversed(self._entries), self.head - end, self.head - sequence)
        return tuple(newest_first)[::-1]
