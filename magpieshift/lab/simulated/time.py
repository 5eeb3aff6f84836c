"""One fake clock for a whole fleet, and each router's view of it."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class ScheduledCall:
    """A call that is due at some time, unless it is cancelled."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], object]) -> None:
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        """Cancel the call."""
        self.call = None


class SimulatedTime:
    """One heap of events under one clock, in microseconds: what falls on one instant happens in the order in
    which it was asked for, so the same seed gives the same history."""

    def __init__(self, now_us: int = 1_000_000_000) -> None:
        self.now_us = now_us
        self.start_us = now_us
        self._heap: list[tuple[int, int, ScheduledCall]] = []
        self._order = count()

    def at(self, when_us: int, call: Callable[[], object]) -> ScheduledCall:
        """Schedule a call at a time; one in the past is due now."""
        event = ScheduledCall(call)
        heapq.heappush(self._heap, (max(when_us, self.now_us), next(self._order), event))
        return event

    def after(self, delay_us: float, call: Callable[[], object]) -> ScheduledCall:
        """Schedule a call after a delay."""
        return self.at(self.now_us + int(delay_us), call)

    def run(self, until_us: int) -> None:
        """Run all calls that are due until then, and stop at that time."""
        while self._heap and self._heap[0][0] <= until_us:
            self.now_us, _, event = heapq.heappop(self._heap)
            if event.call is not None:
                event.call()
        self.now_us = until_us

    @property
    def second(self) -> int:
        """Whole seconds since the beginning."""
        return (self.now_us - self.start_us) // 1_000_000


class RouterClock:
    """The clock of one router, which may be killed or stand still: what falls due meanwhile never happens, or
    happens when it wakes, in order."""

    def __init__(self, time: SimulatedTime) -> None:
        self._time = time
        self.dead = False
        self.paused_until_us = 0

    def now_us(self) -> int:
        """The time; it goes on while the router is paused."""
        return self._time.now_us

    def after(self, delay_us: int, call: Callable[[], None]) -> ScheduledCall:
        """Schedule a call after a delay; a negative one is 0."""
        event = ScheduledCall(call)
        self._time.after(max(delay_us, 0), lambda: self._run_due(event))
        return event

    def soon(self, call: Callable[[], None]) -> None:
        """Schedule a call without delay."""
        self.after(0, call)

    def _run_due(self, event: ScheduledCall) -> None:
        if event.call is None or self.dead:
            return
        if self._time.now_us < self.paused_until_us:
            self._time.at(self.paused_until_us, lambda: self._run_due(event))
            return
        event.call()
