"""The queue of updates to pass on, least often sent first, as in SWIM's dissemination."""

from __future__ import annotations

from itertools import islice

from magpieshift.membership.member import Member, SuspicionReport

MAX_QUEUED_UPDATES = 4096  # twice the members a view holds; beyond it the most often sent ones give way

UpdateKey = tuple[str, ...]
"""``("m", name)`` of a member's record, ``("a", suspect, reporter)`` of a suspicion report."""

Update = Member | SuspicionReport


class UpdateQueue:
    """Updates to be sent a number of times each; the least often sent goes first.

    Every step costs the same however many there are: with hundreds joining at once there are thousands.
    """

    def __init__(self, max_size: int = MAX_QUEUED_UPDATES) -> None:
        self._max_size = max_size
        self._by_remaining: list[
            dict[UpdateKey, Update]
        ] = []  # the index is how often each is to be sent yet
        self._remaining: dict[UpdateKey, int] = {}  # the same count by key

    def __len__(self) -> int:
        return len(self._remaining)

    def __contains__(self, key: UpdateKey) -> bool:
        return key in self._remaining

    def put(self, key: UpdateKey, update: Update, times: int) -> None:
        """Queue an update to be sent so many times, in place of the one under this key."""
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
        """An update was sent once more; after its last time it is dropped."""
        remaining = self._remaining[key] - 1
        update = self._by_remaining[self._remaining[key]].pop(key)
        if remaining <= 0:
            del self._remaining[key]
        else:
            self._by_remaining[remaining][key] = update
            self._remaining[key] = remaining

    def drop(self, key: UpdateKey) -> None:
        """Send an update no more."""
        if (remaining := self._remaining.pop(key, None)) is not None:
            del self._by_remaining[remaining][key]
