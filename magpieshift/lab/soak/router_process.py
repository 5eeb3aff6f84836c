"""A router process of a soak run: start, signals, readiness and exit."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path

READY_EVENT = "event=ready "
READY_TIMEOUT_S = 10.0
"""Maximum time in seconds until a router is ready. The rule demands this of nine in ten restarts only, but a
process on a free port has no reason to take longer."""
POLL_INTERVAL_S = 0.01
"""Polling interval in seconds for a process's log and signal handlers."""
KILL_DELAY_S = 3.7
"""Seconds from SIGTERM to SIGKILL: the platform's shortest delay, for deadlines of up to 3 s."""
SIGHUP_BIT = 1 << (signal.SIGHUP - 1)
"""Bit of SIGHUP in the ``SigCgt`` mask of /proc."""


class RouterProcess:
    """One router process and its log."""

    def __init__(self, process: asyncio.subprocess.Process, log: Path) -> None:
        self.process = process
        self.log = log
        self.started_s = time.monotonic()
        self.terminated_s: float | None = None
        """Steady time of the first SIGTERM."""

    @classmethod
    async def start(
        cls, program: Sequence[str], arguments: Sequence[str], environment: Mapping[str, str], log: Path
    ) -> RouterProcess:
        """Start a router that logs to this file."""
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable, *program, *arguments, stderr=file, env=os.environ | dict(environment)
            )
        return cls(process, log)

    def log_text(self) -> str:
        """Return the log written so far."""
        return self.log.read_text(errors="replace")

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)
        if number is signal.SIGTERM and self.terminated_s is None:
            self.terminated_s = time.monotonic()

    async def wait_until_handling_signals(self) -> None:
        """Wait until the program runs: it handles SIGHUP from its first line on."""
        status = Path(f"/proc/{self.process.pid}/status")
        while self.process.returncode is None:
            caught = [line for line in status.read_text().splitlines() if line.startswith("SigCgt:")]
            if caught and int(caught[0].split()[1], 16) & SIGHUP_BIT:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_ready(self) -> bool:
        """Wait until the router is ready; return False if it exits first or takes too long."""
        while READY_EVENT not in self.log_text():
            if self.process.returncode is not None or time.monotonic() - self.started_s > READY_TIMEOUT_S:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return True

    async def wait_for_exit(self) -> int | None:
        """Wait for the exit code; after ``KILL_DELAY_S`` kill the process and return None."""
        terminated_s = self.terminated_s if self.terminated_s is not None else time.monotonic()
        try:
            async with asyncio.timeout(max(0.0, terminated_s + KILL_DELAY_S - time.monotonic())):
                return await self.process.wait()
        except TimeoutError:
            await self.kill()
            return None

    async def kill(self) -> None:
        """Kill the process if it has not ended."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
