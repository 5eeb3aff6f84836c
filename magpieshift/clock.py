"""The process's time source, and the ``Clock`` interface that gives the engine time and timers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol


class TimerHandle(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Cancel the timer; has no effect once it has fired."""
        ...


class Clock(Protocol):
    """Time and timers for the engine."""

    def now_us(self) -> int:
        """Unix time in microseconds; it can go backwards if the system clock is set."""
        ...

    def after(self, delay_us: int, call: Callable[[], None]) -> TimerHandle:
        """Call a function after a delay."""
        ...

    def soon(self, call: Callable[[], None]) -> None:
        """Call a function in the next event loop iteration."""
        ...


class TimeSource:
    """The clocks of a process, in microseconds."""

    def unix_us(self) -> int:
        """Unix time of the system clock; it can go backwards if the clock is set."""
        return time.time_ns() // 1000

    def steady_us(self) -> int:
        """A monotonic clock shared by all processes of a machine; it also advances while this process is
        stopped."""
        return time.monotonic_ns() // 1000


source = TimeSource()
"""The time source of this process; a test environment may replace it before other objects are created."""


class LoopClock:
    """A ``Clock`` on the running event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    def now_us(self) -> int:
        """Unix time in microseconds."""
        return source.unix_us()

    def after(self, delay_us: int, call: Callable[[], None]) -> TimerHandle:
        """Call a function after a delay; if it is negative, in the next event loop iteration."""
        return self._loop.call_later(max(delay_us, 0) / 1e6, call)

    def soon(self, call: Callable[[], None]) -> None:
        """Call a function in the next event loop iteration."""
        self._loop.call_soon(call)
