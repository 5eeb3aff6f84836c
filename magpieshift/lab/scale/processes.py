"""The coordinator's handle of a process of a run: requests, replies, and the process's CPU time and memory
from ``/proc``."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from pathlib import Path
from typing import TypeVar

from magpieshift.lab.process_memory import MemoryKind, memory_mb
from magpieshift.lab.scale.messages import MAX_LINE_BYTES, Failed, Message, Ready, decode, encode

REPLY_TIMEOUT_S = 120.0  # for one reply, the start of all routers of a worker included
STOP_TIMEOUT_S = 5.0  # for a process to exit after the end of its input, before it is killed
TICKS_PER_S = os.sysconf("SC_CLK_TCK")

ReplyType = TypeVar("ReplyType", bound=Message)


class ProcessExitedError(Exception):
    """A process of the run exited unexpectedly, or could not handle a message."""


def cpu_seconds(pid: int) -> float:
    """CPU time of a process with all its threads, user and system; ``OSError`` once the process has been
    reaped."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8", errors="replace")
    user, system = stat.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Resident memory of a process, in MB; ``OSError`` once the process has exited."""
    return memory_mb(pid, MemoryKind.RESIDENT)


class Child:
    """Owner of one process of the run. ``logs`` is the folder for the log files of all processes; None: logs
    are discarded."""

    logs: Path | None = None

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self._process = process
        self._request_lock = asyncio.Lock()
        self._cpu_s = 0.0
        self.ports: dict[str, int] = {}

    @classmethod
    async def start(cls, name: str, role: str, first: Message) -> Child:
        """Start ``lab scale-process`` in a role, and wait until it is ready."""
        path = cls.logs / f"{name.replace(' ', '-')}.log" if cls.logs is not None else Path(os.devnull)
        with path.open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "magpieshift",
                "lab",
                "scale-process",
                role,
                stdin=asyncio.subprocess.PIPE,
                stdout=asyncio.subprocess.PIPE,
                stderr=log,
                limit=MAX_LINE_BYTES,
                start_new_session=True,
            )
        child = cls(name, process)
        try:
            child.ports = (await child.request(first, Ready)).ports
        except BaseException:
            await child.kill()
            raise
        return child

    @property
    def pid(self) -> int:
        """The process id."""
        return self._process.pid

    def cpu_s(self) -> float:
        """CPU seconds of the process so far; once it has been reaped, the last value read."""
        with contextlib.suppress(OSError):
            self._cpu_s = cpu_seconds(self.pid)
        return self._cpu_s

    def memory_mb(self) -> float:
        """Current resident memory, in MB; ``OSError`` once the process has exited."""
        return resident_mb(self.pid)

    async def send(self, message: Message) -> None:
        """Send a message that has no reply."""
        assert self._process.stdin is not None
        try:
            self._process.stdin.write(encode(message))
            await self._process.stdin.drain()
        except ConnectionError:
            raise ProcessExitedError(f"{self.name} exited before it read {message.kind!r}") from None

    async def request(self, message: Message, reply_type: type[ReplyType]) -> ReplyType:
        """Send a message, and return the reply, which must be of this type."""
        assert self._process.stdout is not None
        async with self._request_lock:
            await self.send(message)
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                line = await self._process.stdout.readline()
        if not line:
            raise ProcessExitedError(f"{self.name} exited without a reply to {message.kind!r}")
        match decode(line):
            case Failed(reason=reason):
                raise ProcessExitedError(f"{self.name}: {reason}")
            case answer if isinstance(answer, reply_type):
                return answer
            case other:
                raise ProcessExitedError(
                    f"{self.name} sent an unexpected reply {other.kind!r} to {message.kind!r}"
                )

    async def kill(self) -> None:
        """Send SIGKILL, to simulate the loss of a machine, and wait for the exit."""
        self.cpu_s()
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()

    async def stop(self) -> None:
        """Close its standard input, and wait until it exits; kill it after ``STOP_TIMEOUT_S``."""
        self.cpu_s()
        if self._process.stdin is not None:
            self._process.stdin.close()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()
