"""A router whose clocks are not the machine's:
``python -m magpieshift.lab.fault_injection.skewed_clock FILE run ...``.

The file holds two numbers that the testbed changes while the process runs: by how much its wall clock is
stepped, and how much faster than the machine's all its clocks go. Nothing of the system is changed.
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
"""The file's content: step of the wall clock in microseconds; rate of all clocks, 1 is true."""


def write_clock(path: Path, step_us: int = 0, rate: float = 1.0) -> None:
    """Set the clock of the process that was started with this file: one write, seen at its next reading."""
    with path.open("r+b" if path.exists() else "wb") as file:
        file.write(CLOCK_FORMAT.pack(step_us, rate))


class SkewedTimeSource(clock.TimeSource):
    """The machine's clocks, stepped and run at another rate.

    A new rate holds from its reading on: no clock jumps by it, and the steady one never goes back.
    """

    def __init__(self, path: Path) -> None:
        with path.open("rb") as file:
            self._map = mmap.mmap(file.fileno(), CLOCK_FORMAT.size, access=mmap.ACCESS_READ)
        # the machine's steady clock, and this one's, when the rate was last changed
        self._true_ns = time.monotonic_ns()
        self._skewed_ns = self._true_ns
        self._rate = 1.0
        self._unix_ns = time.time_ns() - self._true_ns
        """Unix time at which the machine's steady clock was 0."""

    def _read(self) -> tuple[int, int]:
        """The skewed steady clock in nanoseconds, and the step of the wall clock in microseconds."""
        step_us, rate = CLOCK_FORMAT.unpack(self._map[:])
        true_ns = time.monotonic_ns()
        skewed_ns = self._skewed_ns + int((true_ns - self._true_ns) * self._rate)
        if rate != self._rate:
            self._true_ns = true_ns
            self._skewed_ns = skewed_ns
            self._rate = rate
        return skewed_ns, step_us

    def unix_us(self) -> int:
        """Return the skewed wall clock in microseconds since 1970."""
        skewed_ns, step_us = self._read()
        return (skewed_ns + self._unix_ns) // 1000 + step_us

    def steady_us(self) -> int:
        """Return the skewed steady clock in microseconds."""
        return self._read()[0] // 1000


class SkewedEventLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers go by the skewed clock."""

    def time(self) -> float:
        """Return the skewed steady clock in seconds."""
        return clock.source.steady_us() / 1e6


class SkewedEventLoopPolicy(asyncio.DefaultEventLoopPolicy):
    """The policy by which the router's runner gets a skewed event loop."""

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Return a new skewed event loop."""
        return SkewedEventLoop()


def main() -> None:
    """Run a router with the clocks of the file."""
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
