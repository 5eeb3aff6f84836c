"""A router whose clocks are not the machine's:
``python -m magpieshift.lab.fault_injection.skewed FILE run ...``.

The file holds two numbers that the proving ground changes while the process runs: by how much its wall clock
is stepped, and how much faster than the machine's all its clocks go. Nothing of the system is changed.
"""

from __future__ import annotations

import asyncio
import mmap
import struct
import time
from argparse import ArgumentParser
from pathlib import Path

from magpieshift import clock
from magpieshift.extensions import runner
from magpieshift.log import setup

FORM = struct.Struct("<qd")  # microseconds; rate, 1 is true


def write(path: Path, step_us: int = 0, rate: float = 1.0) -> None:
    """Set the clock of the process that was started with this file; a whole write, seen at its next look."""
    with path.open("r+b" if path.exists() else "wb") as file:
        file.write(FORM.pack(step_us, rate))


class Skewed(clock.TimeSource):
    """The machine's clocks, stepped and bent. A change of the rate bends from then on: no clock jumps by it,
    and the steady one never goes back."""

    def __init__(self, path: Path) -> None:
        with path.open("rb") as file:
            self._map = mmap.mmap(file.fileno(), FORM.size, access=mmap.ACCESS_READ)
        self._true_ns = self._bent_ns = time.monotonic_ns()
        self._rate = 1.0
        self._unix_ns = time.time_ns() - self._true_ns  # of the machine, where its steady clock is 0

    def _now(self) -> tuple[int, int]:
        """The steady clock, bent, in nanoseconds, and the step of the wall clock in microseconds."""
        step_us, rate = FORM.unpack(self._map[:])
        true = time.monotonic_ns()
        bent = self._bent_ns + int((true - self._true_ns) * self._rate)
        if rate != self._rate:
            self._true_ns = true
            self._bent_ns = bent
            self._rate = rate
        return bent, step_us

    def unix_us(self) -> int:
        bent, step_us = self._now()
        return (bent + self._unix_ns) // 1000 + step_us

    def steady_us(self) -> int:
        return self._now()[0] // 1000


class Loop(asyncio.SelectorEventLoop):
    """An event loop whose timers go by a clock that may be bent."""

    def time(self) -> float:
        return clock.source.steady_us() / 1e6


class Policy(asyncio.DefaultEventLoopPolicy):
    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        return Loop()


def main() -> None:
    words = ArgumentParser(prog="skewed")
    words.add_argument("clock", type=Path)
    words.add_argument("run")
    words.add_argument("--config", required=True)
    words.add_argument("--console", default="")
    told = words.parse_args()
    clock.source = Skewed(told.clock)
    asyncio.set_event_loop_policy(Policy())
    setup("INFO")
    runner.run(runner.Options(config=told.config, console=told.console))


if __name__ == "__main__":
    main()
