"""Runs a router with clocks that differ from the machine's:
``python -m magpieshift.lab.fault_injection.skewed_clock FILE run ...``.

The file contains two numbers that the cluster changes while the process runs: the step of its wall clock, and
the rate of all its clocks relative to the machine's. The machine's clocks are not changed.
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

CLOCK_FORMAT = struct.Struct("<qd")
"""Content of the file: step of the wall clock in microseconds; rate of all clocks, 1 for the true rate."""


def write_clock(path: Path, step_us: int = 0, rate: float = 1.0) -> None:
    """Set the clock of the process started with this file, in one write; its next reading applies it."""
    with path.open("r+b" if path.exists() else "wb") as file:
        file.write(CLOCK_FORMAT.pack(step_us, rate))


class SkewedTimeSource(clock.TimeSource):
    """The machine's clocks, with a step and another rate.

    A new rate applies from when it is read: no clock jumps, and the steady clock never goes back.
    """

    def __init__(self, path: Path) -> None:
        with path.open("rb") as file:
            self._map = mmap.mmap(file.fileno(), CLOCK_FORMAT.size, access=mmap.ACCESS_READ)
        # the machine's and the skewed steady time when the rate last changed
        self._true_ns = time.monotonic_ns()
        self._skewed_ns = self._true_ns
        self._rate = 1.0
        self._unix_ns = time.time_ns() - self._true_ns
        """Unix time in nanoseconds at which the machine's steady clock was 0."""

    def _read(self) -> tuple[int, int]:
        """Return the skewed steady time in nanoseconds, and the step of the wall clock in microseconds."""
        step_us, rate = CLOCK_FORMAT.unpack(self._map[:])
        true_ns = time.monotonic_ns()
        skewed_ns = self._skewed_ns + int((true_ns - self._true_ns) * self._rate)
        if rate != self._rate:
            self._true_ns = true_ns
            self._skewed_ns = skewed_ns
            self._rate = rate
        return skewed_ns, step_us

    def unix_us(self) -> int:
        """Return the skewed wall-clock time in microseconds since 1970."""
        skewed_ns, step_us = self._read()
        return (skewed_ns + self._unix_ns) // 1000 + step_us

    def steady_us(self) -> int:
        """Return the skewed steady time in microseconds."""
        return self._read()[0] // 1000


class SkewedEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers use the skewed clock."""

    def time(self) -> float:
        """Return the skewed steady time in seconds."""
        return clock.source.steady_us() / 1e6


class SkewedEventLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """An event loop policy that gives the router's runner a skewed event loop."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Return a new skewed event loop."""
        return SkewedEventLoop()


def main() -> None:
    """Run a router with the clocks that the file defines."""
    parser = ArgumentParser(prog="skewed")
    parser.add_argument("clock", type=Path)
    parser.add_argument("run")
    parser.add_argument("--config", required=True)
    parser.add_argument("--console", default="")
    arguments = parser.parse_args()
    clock.source = SkewedTimeSource(arguments.clock)
    asyncio.set_event_loop_policy(SkewedEventLoopPolicy())
    setup("INFO")
    runner.run(runner.Options(config=arguments.config, console=arguments.console))


if __name__ == "__main__":
    main()
