"""Starts, stops, pauses, kills and replaces the router processes of a cluster."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path

from magpieshift.lab.fault_injection import skewed_clock
from magpieshift.lab.fault_injection.admin_clients import STARTUP_TIMEOUT_S, AdminClients
from magpieshift.lab.fault_injection.outages import Outages
from magpieshift.lab.fault_injection.ports import free_ports
from magpieshift.lab.fault_injection.router_instance import RouterInstance

PROGRAM = (sys.executable, "-m", "magpieshift")
"""The command of the router under test."""
READY_EVENT = " event=ready "
"""Text in the log line that a router writes when it is ready to serve."""
DRAIN_GRACE_S = 0.6
"""Time in seconds from SIGTERM until requests may remain without an answer. A shorter one hides real losses;
a longer one blames the router for requests of clients that could not know of the shutdown yet."""


class RouterProcesses(AdminClients):
    """Owns all router processes of a run. ``clocks`` names the routers whose clocks can be changed."""

    def __init__(self, folder: Path, program: Iterable[str] = PROGRAM, clocks: Iterable[str] = ()) -> None:
        super().__init__()
        self.folder = folder
        """Folder of settings, logs and clock files."""
        self.outages = Outages()
        """Records of when routers could not answer or were halted."""
        self.unexpected_exits: list[str] = []
        """A line for each process that ended with an unexpected exit code."""
        self._program = tuple(program)
        self._clocks = frozenset(clocks)
        self._started: list[asyncio.subprocess.Process] = []
        """All processes started so far: a router may have had several."""
        self._exit_watchers: list[asyncio.Task[None]] = []
        """Tasks that await the exit of replaced processes."""

    async def end_all(self) -> None:
        """Kill all processes that still run, including paused ones."""
        for task in self._exit_watchers:
            task.cancel()
        for process in self._started:
            if process.returncode is None:
                process.kill()
                await process.wait()

    def left_running(self) -> int:
        """Return the number of processes that have not ended."""
        return sum(process.returncode is None for process in self._started)

    def running(self) -> dict[str, int]:
        """Return the process ids of the living routers, by router."""
        return {
            router.name: router.process.pid
            for router in self.routers.values()
            if router.alive and router.process is not None
        }

    def log_path(self, name: str, start: int) -> Path:
        """Return the path of the log of a router's process number ``start``, counted from 1."""
        return self.folder / f"{name}.{start}.log"

    def _has_served(self, name: str, start: int) -> bool:
        return READY_EVENT in self.log_path(name, start).read_text(errors="replace")

    async def start(self, *names: str, arguments: Sequence[str] = (), program: Sequence[str] = ()) -> None:
        """Start routers without waiting until they serve.

        ``arguments`` are added to the ``run`` command; ``program`` replaces the default program. A router
        named in ``clocks`` always runs ``skewed_clock``, which accepts no ``arguments``.
        """
        for name in names:
            router = self.routers[name]
            router.starts += 1
            router.paused = False
            router.killed = False
            command = tuple(program) or self._program
            if name in self._clocks:
                command = (sys.executable, "-m", skewed_clock.__name__, str(self._clock_path(name)))
            with self.log_path(name, router.starts).open("wb") as log:
                process = await asyncio.create_subprocess_exec(
                    *command,
                    "run",
                    "--config",
                    str(self.folder / f"{name}.sexp"),
                    "--console",
                    f"127.0.0.1:{router.admin_port}",
                    *arguments,
                    stderr=log,
                    env=os.environ | {"TMPDIR": str(self.folder)},
                )
            router.process = process
            self._started.append(process)

    async def start_successor(
        self, name: str, admin_port: int, arguments: Sequence[str], program: Sequence[str] = ()
    ) -> None:
        """Start another process of a router, with its own admin port; the caller ends the previous one."""
        router = self.routers[name]
        old = router.process
        old_start = router.starts
        router.admin_port = admin_port
        await self.start(name, arguments=arguments, program=program)
        if old is not None:
            self._exit_watchers.append(asyncio.ensure_future(self._watch_exit(name, old_start, old)))

    async def _watch_exit(self, name: str, start: int, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self.outages.process_halted(name, start)
        # a successor that its predecessor rejects exits with another code before it has served: no error
        if code != 0 and self._has_served(name, start) and not self.routers[name].killed:
            self.unexpected_exits.append(f"a process of {name} ended with {code}")

    async def wait_until_serving(self, *names: str) -> None:
        """Wait until the admin servers of these routers answer."""

        async def all_answer() -> bool:
            answers = [await self.call(name, "PING") for name in names]
            return all(answer.succeeded for answer in answers)

        await self.wait_until(all_answer, f"{', '.join(names)} serving")
        for name in names:
            self.outages.router_available(name)

    def _process(self, name: str) -> tuple[RouterInstance, asyncio.subprocess.Process]:
        """Return a router and its process, which must have been started."""
        router = self.routers[name]
        assert router.process is not None
        return router, router.process

    def kill(self, name: str) -> None:
        """Kill a router's process with SIGKILL."""
        router, process = self._process(name)
        router.killed = True
        self.outages.router_unavailable(name)
        self.outages.process_halted(name, router.starts)
        process.kill()

    async def wait_for_exit(self, *names: str) -> None:
        """Wait until the processes of these routers have ended."""
        for name in names:
            _, process = self._process(name)
            await process.wait()

    def pause(self, name: str) -> None:
        """Halt a router's process with SIGSTOP."""
        router, process = self._process(name)
        process.send_signal(signal.SIGSTOP)
        router.paused = True
        self.outages.router_unavailable(name)
        self.outages.process_halted(name, router.starts)

    def resume(self, name: str) -> None:
        """Resume a paused process with SIGCONT."""
        router, process = self._process(name)
        self.outages.process_resumed(name)
        process.send_signal(signal.SIGCONT)
        router.paused = False
        self.outages.router_available(name)

    async def stop(self, name: str) -> None:
        """Shut a router down gracefully with SIGTERM, and wait until it has ended."""
        router, process = self._process(name)
        process.terminate()
        self.outages.router_unavailable(name, DRAIN_GRACE_S)
        code = await asyncio.wait_for(process.wait(), STARTUP_TIMEOUT_S)
        self.outages.process_halted(name, router.starts)
        if code != 0:
            self.unexpected_exits.append(f"{name} ended with {code}")

    async def replace(self, name: str, timeout_s: float = STARTUP_TIMEOUT_S) -> None:
        """Replace a router's process with a new one that has the same name and client address.

        The old process is shut down gracefully when the new one is ready. Until then both run, each with its
        own admin port.
        """
        router, old = self._process(name)
        old_start = router.starts
        router.admin_port = free_ports(1)[0]
        await self.start(name)

        async def ready() -> bool:
            return self._has_served(name, router.starts)

        await self.wait_until(ready, f"the new {name} is ready", timeout_s)
        old.terminate()
        code = await asyncio.wait_for(old.wait(), STARTUP_TIMEOUT_S)
        self.outages.process_halted(name, old_start)
        if code != 0:
            self.unexpected_exits.append(f"the old {name} ended with {code}")

    def _clock_path(self, name: str) -> Path:
        return self.folder / f"{name}.clock"

    def set_clock(self, name: str, step_s: float = 0.0, rate: float = 1.0) -> None:
        """Set the wall clock's step of a router that is named in ``clocks``, and the rate of all its clocks.

        Raises ``ValueError`` for any other router.
        """
        if name not in self._clocks:
            raise ValueError(f"clocks of router {name} cannot be set, expected one of {sorted(self._clocks)}")
        skewed_clock.write_clock(self._clock_path(name), int(step_s * 1e6), rate)
