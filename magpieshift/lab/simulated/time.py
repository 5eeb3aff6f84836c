"""One fake clock for a whole fleet, and each router's view of it."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class Event:
    """Something that is to happen; it can be called off."""

    __slots__ = ("do",)

    def __init__(self, do: Callable[[], object]) -> None:
        self.do: Callable[[], object] | None = do

    def cancel(self) -> None:
        self.do = None


class Time:
    """One heap of events under one clock, in microseconds: what falls on one instant happens in the order in
    which it was asked for, so the same seed gives the same history."""

    def __init__(self, now_us: int = 1_000_000_000) -> None:
        self.now_us = self.began_us = now_us
        self._heap: list[tuple[int, int, Event]] = []
        self._order = count()

    def at(self, when_us: int, do: Callable[[], object]) -> Event:
        event = Event(do)
        heapq.heappush(self._heap, (max(when_us, self.now_us), next(self._order), event))
        return event

    def after(self, delay_us: float, do: Callable[[], object]) -> Event:
        return self.at(self.now_us + int(delay_us), do)

    def run(self, until_us: int) -> None:
        """Let all happen that is due until then."""
        while self._heap and self._heap[0][0] <= until_us:
            self.now_us, _, event = heapq.heappop(self._heap)
            if event.do is not None:
                event.do()
        self.now_us = until_us

    @property
    def second(self) -> int:
        """Whole seconds since the beginning."""
        return (self.now_us - self.began_us) // 1_000_000


class RouterClock:
    """The clock of one router, which may be killed or stand still: what falls due meanwhile never happens, or
    happens when it wakes, in order."""

    def __init__(self, time: Time) -> None:
        self._time = time
        self.dead = False
        self.asleep_until_us = 0

    def now_us(self) -> int:
        return self._time.now_us

    def after(self, delay_us: int, call: Callable[[], None]) -> Event:
        event = Event(call)
        self._time.after(max(delay_us, 0), lambda: self._due(event))
        return event

    def soon(self, call: Callable[[], None]) -> None:
        self.after(0, call)

    def _due(self, event: Event) -> None:
        if event.do is None or self.dead:
            return
        if self._time.now_us < self.asleep_until_us:
            self._time.at(self.asleep_until_us, lambda: self._due(event))
            return
        event.do()
