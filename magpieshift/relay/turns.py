"""Turns at a bounded rate, for snapshots: each stream gets a time of its own, and one that does not come
holds up nobody."""

from __future__ import annotations

from magpieshift.relay.limits import SNAPSHOTS_PER_S

MISSED_US = 1_000_000  # who comes later than this to its turn gets another


class Turns:
    """Which stream may go when."""

    def __init__(self, per_s: int = SNAPSHOTS_PER_S) -> None:
        self._interval_us = 1_000_000 // per_s
        self._turns: dict[int, int] = {}
        self._taken_us: int | None = None  # the latest turn that was taken

    def reserve(self, stream: int, now_us: int) -> int:
        """The turn of the stream: the one it has, or the next that is free."""
        turn_us = self._turns.get(stream)
        if turn_us is None or now_us > turn_us + MISSED_US:
            turn_us = self._turns[stream] = self._free_us(now_us)
        return turn_us

    def turn_us(self, stream: int) -> int | None:
        """The turn the stream has, if any."""
        return self._turns.get(stream)

    def take(self, stream: int, now_us: int) -> bool:
        """Whether it is the stream's turn, which is used up then."""
        turn_us = self.reserve(stream, now_us)
        if now_us < turn_us:
            return False
        del self._turns[stream]
        self._taken_us = turn_us if self._taken_us is None else max(self._taken_us, turn_us)
        return True

    def leave(self, stream: int) -> None:
        """The stream needs none."""
        self._turns.pop(stream, None)

    def _free_us(self, now_us: int) -> int:
        others = [*self._turns.values()]
        if self._taken_us is not None:
            others.append(self._taken_us)
        return max(now_us, max(others) + self._interval_us) if others else now_us
