"""The router processes of one life: started, signalled, and ended at the latest by the kill."""

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
"""The rule for nine in ten restarts; one process on a free port has no reason to take longer."""
POLL_INTERVAL_S = 0.01
"""Between two looks at a log, or at a process's signal handlers."""
KILL_DELAY_S = 3.7
"""From SIGTERM to SIGKILL: the platform's shortest, for deadlines of 3 s and less."""
SIGHUP_BIT = 1 << (signal.SIGHUP - 1)


class RouterProcess:
    """One process, with its log."""

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
        """Start a router; its log goes to this file."""
        with log.open("wb") as file:
            process = await asyncio.create_subprocess_exec(
                sys.executable, *program, *arguments, stderr=file, env=os.environ | dict(environment)
            )
        return cls(process, log)

    def log_text(self) -> str:
        """Its log so far."""
        return self.log.read_text(errors="replace")

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless it has ended."""
        if self.process.returncode is None:
            self.process.send_signal(number)
        if number is signal.SIGTERM and self.terminated_s is None:
            self.terminated_s = time.monotonic()

    async def wait_until_handling_signals(self) -> None:
        """Wait until the interpreter has come to the program, which handles SIGHUP from its first line on."""
        status = Path(f"/proc/{self.process.pid}/status")
        while self.process.returncode is None:
            caught = [line for line in status.read_text().splitlines() if line.startswith("SigCgt:")]
            if caught and int(caught[0].split()[1], 16) & SIGHUP_BIT:
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def wait_until_ready(self) -> bool:
        """Wait until it serves; False if it ends before, or takes too long."""
        while READY_EVENT not in self.log_text():
            if self.process.returncode is not None or time.monotonic() - self.started_s > READY_TIMEOUT_S:
                return False
            await asyncio.sleep(POLL_INTERVAL_S)
        return True

    async def wait_for_exit(self) -> int | None:
        """Wait for its end until the kill is due; its exit code, or None if it had to be killed."""
        terminated_s = self.terminated_s if self.terminated_s is not None else time.monotonic()
        try:
            async with asyncio.timeout(max(0.0, terminated_s + KILL_DELAY_S - time.monotonic())):
                return await self.process.wait()
        except TimeoutError:
            await self.kill()
            return None

    async def kill(self) -> None:
        """Kill it, if it has not ended."""
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
