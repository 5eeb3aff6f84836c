"""One fake clock for a whole fleet, and each router's view of it."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count


class ScheduledCall:
    """A call scheduled for a certain time; it can be cancelled until then."""

    __slots__ = ("call",)

    def __init__(self, call: Callable[[], object]) -> None:
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        """Cancel the call."""
        self.call = None


class SimulatedTime:
    """A clock in microseconds, with a heap of scheduled calls. Calls scheduled for the same time run in the
    order in which they were scheduled, so the same seed gives the same history."""

    def __init__(self, now_us: int = 1_000_000_000) -> None:
        self.now_us = now_us
        self.start_us = now_us
        self._heap: list[tuple[int, int, ScheduledCall]] = []
        self._order = count()

    def at(self, when_us: int, call: Callable[[], object]) -> ScheduledCall:
        """Schedule a call at ``when_us``; if that is in the past, at the current time."""
        event = ScheduledCall(call)
        heapq.heappush(self._heap, (max(when_us, self.now_us), next(self._order), event))
        return event

    def after(self, delay_us: float, call: Callable[[], object]) -> ScheduledCall:
        """Schedule a call after a delay; fractions of a microsecond are dropped."""
        return self.at(self.now_us + int(delay_us), call)

    def run(self, until_us: int) -> None:
        """Run all calls scheduled up to ``until_us``, and leave the clock at that time."""
        while self._heap and self._heap[0][0] <= until_us:
            self.now_us, _, event = heapq.heappop(self._heap)
            if event.call is not None:
                event.call()
        self.now_us = until_us

    @property
    def second(self) -> int:
        """Whole seconds since the start of the simulation."""
        return (self.now_us - self.start_us) // 1_000_000


class RouterClock:
    """The clock of one router, which may be killed or paused. Calls scheduled by a killed router never run;
    those that fall into a pause run at its end, in order."""

    def __init__(self, time: SimulatedTime) -> None:
        self._time = time
        self.is_killed = False
        self.paused_until_us = 0

    def now_us(self) -> int:
        """The current time; it advances while the router is paused."""
        return self._time.now_us

    def after(self, delay_us: int, call: Callable[[], None]) -> ScheduledCall:
        """Schedule a call after a delay; a negative delay counts as 0."""
        event = ScheduledCall(call)
        self._time.after(max(delay_us, 0), lambda: self._run_due(event))
        return event

    def soon(self, call: Callable[[], None]) -> None:
        """Schedule a call without delay."""
        self.after(0, call)

    def _run_due(self, event: ScheduledCall) -> None:
        if event.call is None or self.is_killed:
            return
        if self._time.now_us < self.paused_until_us:
            self._time.at(self.paused_until_us, lambda: self._run_due(event))
            return
        event.call()
