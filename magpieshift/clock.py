"""The time of this process, and the event loop's timers behind the interface that the engine is given."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol


class TimerHandle(Protocol):
    """A timer that can be cancelled."""

    def cancel(self) -> None:
        """Keep it from firing; without effect after it has."""
        ...


class Clock(Protocol):
    """All that the engine knows of time."""

    def now_us(self) -> int:
        """Unix time in microseconds; it may be set back."""
        ...

    def after(self, delay_us: int, call: Callable[[], None]) -> TimerHandle:
        """Call a function after a delay."""
        ...

    def soon(self, call: Callable[[], None]) -> None:
        """Call a function in the next turn of the event loop."""
        ...


class TimeSource:
    """Where a process has its time from, in microseconds."""

    def unix_us(self) -> int:
        """The system's Unix clock; it may be set back."""
        return time.time_ns() // 1000

    def steady_us(self) -> int:
        """A monotonic clock, shared by all processes of a machine; it runs on while this one is stopped."""
        return time.monotonic_ns() // 1000


source = TimeSource()
"""The time source of this process; a laboratory may replace it before anything is built."""


class LoopClock:
    """The clock of the running event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    def now_us(self) -> int:
        """Unix time in microseconds."""
        return source.unix_us()

    def after(self, delay_us: int, call: Callable[[], None]) -> TimerHandle:
        """Call a function after a delay; at once, in the next turn, where the delay is negative."""
        return self._loop.call_later(max(delay_us, 0) / 1e6, call)

    def soon(self, call: Callable[[], None]) -> None:
        """Call a function in the next turn of the event loop."""
        self._loop.call_soon(call)
