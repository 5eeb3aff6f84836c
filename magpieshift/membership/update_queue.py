"""News that waits to be passed on, what has been told least first."""

from __future__ import annotations

from itertools import islice

from magpieshift.membership.member_table import Member, SuspicionReport

MAX_QUEUED_UPDATES = 4096

UpdateKey = tuple[str, ...]
"""``("m", name)`` of a member's record, ``("a", about, accuser)`` of an accusation."""


class UpdateQueue:
    """News to be passed on so many times each: what has been passed on least goes first. Each step costs the
    same however much there is; with hundreds that join at once there are thousands."""

    def __init__(self, most: int = MAX_QUEUED_UPDATES) -> None:
        self._max_size = most
        self._levels: list[
            dict[UpdateKey, Member | SuspicionReport]
        ] = []  # by how often each is still to be told
        self._remaining: dict[UpdateKey, int] = {}

    def __len__(self) -> int:
        return len(self._remaining)

    def __contains__(self, key: UpdateKey) -> bool:
        return key in self._remaining

    def put(self, key: UpdateKey, item: Member | SuspicionReport, times: int) -> None:
        """Pass this on so many times, in place of what is known under this key. Where there is no room, what
        has been told most gives way."""
        self.drop(key)
        if len(self._remaining) >= self._max_size:
            self.drop(next(key for level in self._levels for key in level))
        while len(self._levels) <= times:
            self._levels.append({})
        self._levels[times][key] = item
        self._remaining[key] = times

    def first(self, count: int) -> list[tuple[UpdateKey, Member | SuspicionReport]]:
        """So many at the most, what has been told least first."""
        every = (pair for level in reversed(self._levels) for pair in level.items())
        return list(islice(every, count))

    def mark_sent(self, key: UpdateKey) -> None:
        """Once more; the last time it is dropped."""
        left = self._remaining[key] - 1
        item = self._levels[self._remaining[key]].pop(key)
        if left <= 0:
            del self._remaining[key]
        else:
            self._levels[left][key] = item
            self._remaining[key] = left

    def drop(self, key: UpdateKey) -> None:
        if (left := self._remaining.pop(key, None)) is not None:
            del self._levels[left][key]
