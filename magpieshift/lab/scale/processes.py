"""The coordinator's end of a process of a run: requests, replies, and the process's cost by ``/proc``."""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
from pathlib import Path
from typing import TypeVar

from magpieshift.lab.scale.messages import MAX_LINE_BYTES, Failed, Message, Ready, decode, encode

REPLY_TIMEOUT_S = 120.0  # for one reply, the start of all routers of a worker included
STOP_TIMEOUT_S = 5.0  # for a process to exit by itself; then it is killed
TICKS_PER_S = os.sysconf("SC_CLK_TCK")

M = TypeVar("M", bound=Message)


class ProcessExitedError(Exception):
    """A process of the run has ended by itself, or cannot carry out an order."""


def cpu_seconds(pid: int) -> float:
    """Processor time of a process with all its threads, system time included; ``OSError`` once it is gone."""
    stat = Path(f"/proc/{pid}/stat").read_text(encoding="utf-8", errors="replace")
    user, system = stat.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Resident memory of a process; ``OSError`` once it is gone."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise ProcessLookupError(f"process {pid} has no memory")


class Child:
    """Owner of one process of the run. ``logs`` is the folder for what all of them log; None: nowhere."""

    logs: Path | None = None

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self._process = process
        self._request_lock = asyncio.Lock()
        self._cpu_s = 0.0
        self.ports: dict[str, int] = {}

    @classmethod
    async def start(cls, name: str, role: str, first: Message) -> Child:
        """Start a process in a role of ``lab scale-process``, and wait until it is ready."""
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
        """Its processor time; once it is gone, what was read last."""
        with contextlib.suppress(OSError):
            self._cpu_s = cpu_seconds(self.pid)
        return self._cpu_s

    def memory_mb(self) -> float:
        """Resident memory now; ``OSError`` once the process is gone."""
        return resident_mb(self.pid)

    async def send(self, message: Message) -> None:
        """Send a message that has no reply."""
        assert self._process.stdin is not None
        try:
            self._process.stdin.write(encode(message))
            await self._process.stdin.drain()
        except ConnectionError:
            raise ProcessExitedError(f"{self.name} has ended") from None

    async def request(self, message: Message, wanted: type[M]) -> M:
        """Send a message, and return the reply, which must be of this type."""
        assert self._process.stdout is not None
        async with self._request_lock:
            await self.send(message)
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                line = await self._process.stdout.readline()
        if not line:
            raise ProcessExitedError(f"{self.name} has ended")
        match decode(line):
            case Failed(reason=reason):
                raise ProcessExitedError(f"{self.name}: {reason}")
            case answer if isinstance(answer, wanted):
                return answer
            case other:
                raise ProcessExitedError(f"{self.name} answered {other.kind!r} to {message.kind!r}")

    async def kill(self) -> None:
        """SIGKILL, as a machine that is lost."""
        self.cpu_s()
        if self._process.returncode is None:
            self._process.kill()
        await self._process.wait()

    async def stop(self) -> None:
        """End its input, and wait until it is gone."""
        self.cpu_s()
        if self._process.stdin is not None:
            self._process.stdin.close()
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._process.wait()
        except TimeoutError:
            await self.kill()
