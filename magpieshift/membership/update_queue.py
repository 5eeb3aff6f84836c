"""News that waits to be passed on, what has been told least first."""

from __future__ import annotations

from itertools import islice

from magpieshift.membership.member_table import Accusation, Member

MOST_RUMOURS = 4096

Key = tuple[str, ...]
"""``("m", name)`` of a member's record, ``("a", about, accuser)`` of an accusation."""


class UpdateQueue:
    """News to be passed on so many times each: what has been passed on least goes first. Each step costs the
    same however much there is; with hundreds that join at once there are thousands."""

    def __init__(self, most: int = MOST_RUMOURS) -> None:
        self._most = most
        self._levels: list[dict[Key, Member | Accusation]] = []  # by how often each is still to be told
        self._left: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self._left)

    def __contains__(self, key: Key) -> bool:
        return key in self._left

    def put(self, key: Key, item: Member | Accusation, times: int) -> None:
        """Pass this on so many times, in place of what is known under this key. Where there is no room, what
        has been told most gives way."""
        self.drop(key)
        if len(self._left) >= self._most:
            self.drop(next(key for level in self._levels for key in level))
        while len(self._levels) <= times:
            self._levels.append({})
        self._levels[times][key] = item
        self._left[key] = times

    def first(self, count: int) -> list[tuple[Key, Member | Accusation]]:
        """So many at the most, what has been told least first."""
        every = (pair for level in reversed(self._levels) for pair in level.items())
        return list(islice(every, count))

    def told(self, key: Key) -> None:
        """Once more; the last time it is dropped."""
        left = self._left[key] - 1
        item = self._levels[self._left[key]].pop(key)
        if left <= 0:
            del self._left[key]
        else:
            self._levels[left][key] = item
            self._left[key] = left

    def drop(self, key: Key) -> None:
        if (left := self._left.pop(key, None)) is not None:
            del self._levels[left][key]
