"""The system's Unix clock and the event loop's timers, behind the small interface that the core is given."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol


class Handle(Protocol):
    """A timer that can be called off."""

    def cancel(self) -> None: ...


class Clock(Protocol):
    """All that the core knows of time."""

    def now_us(self) -> int: ...

    def after(self, delay_us: int, call: Callable[[], None]) -> Handle: ...

    def soon(self, call: Callable[[], None]) -> None: ...


class Source:
    """Where a process has its time from, in microseconds."""

    def unix_us(self) -> int:
        """The system's Unix clock; it may be set back."""
        return time.time_ns() // 1000

    def steady_us(self) -> int:
        """A clock that never goes back, runs on while the process is stopped, and is the same in all
        processes of a machine."""
        return time.monotonic_ns() // 1000


source = Source()
"""The time of this process; a laboratory may put another in its place before anything is built."""


class LoopClock:
    """The clock of the running event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()

    def now_us(self) -> int:
        return source.unix_us()

    def after(self, delay_us: int, call: Callable[[], None]) -> Handle:
        return self._loop.call_later(max(delay_us, 0) / 1e6, call)

    def soon(self, call: Callable[[], None]) -> None:
        self._loop.call_soon(call)
