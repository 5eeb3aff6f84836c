"""The queue of updates to disseminate, the least often sent first, as in SWIM."""

from __future__ import annotations

from itertools import islice

from magpieshift.membership.member import Member, SuspicionReport

MAX_QUEUED_UPDATES = 4096  # twice the members of a full view; when full, the most often sent one is dropped

UpdateKey = tuple[str, ...]
"""``("m", name)`` for a member's record, ``("a", suspect, reporter)`` for a suspicion report."""

Update = Member | SuspicionReport


class UpdateQueue:
    """Updates with the number of transmissions left for each; the one with most left is sent first.

    Each operation takes constant time, because hundreds of members that join at once queue thousands of
    updates.
    """

    def __init__(self, max_size: int = MAX_QUEUED_UPDATES) -> None:
        self._max_size = max_size
        self._by_remaining: list[
            dict[UpdateKey, Update]
        ] = []  # the index is the number of transmissions left
        self._remaining: dict[UpdateKey, int] = {}  # by key: the number of transmissions left

    def __len__(self) -> int:
        return len(self._remaining)

    def __contains__(self, key: UpdateKey) -> bool:
        return key in self._remaining

    def put(self, key: UpdateKey, update: Update, times: int) -> None:
        """Queue an update for ``times`` transmissions; it replaces a queued one with the same key."""
        self.drop(key)
        if len(self._remaining) >= self._max_size:
            self.drop(next(key for level in self._by_remaining for key in level))
        while len(self._by_remaining) <= times:
            self._by_remaining.append({})
        self._by_remaining[times][key] = update
        self._remaining[key] = times

    def first(self, count: int) -> list[tuple[UpdateKey, Update]]:
        """Up to ``count`` updates, the least often sent first."""
        ordered = (pair for level in reversed(self._by_remaining) for pair in level.items())
        return list(islice(ordered, count))

    def mark_sent(self, key: UpdateKey) -> None:
        """Count a transmission of an update; drops the update after its last one."""
        remaining = self._remaining[key] - 1
        update = self._by_remaining[self._remaining[key]].pop(key)
        if remaining <= 0:
            del self._remaining[key]
        else:
            self._by_remaining[remaining][key] = update
            self._remaining[key] = remaining

    def drop(self, key: UpdateKey) -> None:
        """Remove an update from the queue, if it is queued."""
        if (remaining := self._remaining.pop(key, None)) is not None:
            del self._by_remaining[remaining][key]
