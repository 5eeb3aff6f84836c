"""The router processes of the testbed, owned by id: started, stopped, paused, killed, replaced."""

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
"""Text of the log line with which a router says that it serves."""
DRAIN_GRACE_S = 0.6
"""Seconds after SIGTERM from which clients may go unanswered; less excuses real losses, more
blames the router for clients that could not know yet."""


class RouterProcesses(AdminClients):
    """Owner of all router processes of a run. ``clocks`` names the routers whose clocks can be set."""

    def __init__(self, folder: Path, program: Iterable[str] = PROGRAM, clocks: Iterable[str] = ()) -> None:
        super().__init__()
        self.folder = folder
        """Where settings, logs and clock files are."""
        self.outages = Outages()
        """When routers could not answer."""
        self.unexpected_exits: list[str] = []
        """A line for each process that ended with another code than it should have."""
        self._program = tuple(program)
        self._clocks = frozenset(clocks)
        self._started: list[asyncio.subprocess.Process] = []
        """All processes ever started: a router may have had several."""
        self._exit_watchers: list[asyncio.Task[None]] = []
        """Tasks that await the end of processes that were replaced."""

    async def end_all(self) -> None:
        """Kill what still runs, paused processes too."""
        for task in self._exit_watchers:
            task.cancel()
        for process in self._started:
            if process.returncode is None:
                process.kill()
                await process.wait()

    def left_running(self) -> int:
        """Return how many of the processes have not ended."""
        return sum(process.returncode is None for process in self._started)

    def running(self) -> dict[str, int]:
        """Return process ids by router."""
        return {
            router.name: router.process.pid
            for router in self.routers.values()
            if router.alive and router.process is not None
        }

    def log_path(self, name: str, start: int) -> Path:
        """Return the log of one process of a router, counted from 1."""
        return self.folder / f"{name}.{start}.log"

    def _has_served(self, name: str, start: int) -> bool:
        return READY_EVENT in self.log_path(name, start).read_text(errors="replace")

    async def start(self, *names: str, arguments: Sequence[str] = (), program: Sequence[str] = ()) -> None:
        """Start routers, all at once; wait for nothing.

        ``arguments`` are added to the ``run`` command; ``program`` replaces the testbed's own command.
        A router named in ``clocks`` runs ``skewed_clock`` in any case, which accepts no ``arguments``.
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
        """Start a further process of a router, with its own admin port; the caller ends the other one."""
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
        # one that never served may have been rejected by its predecessor: no fault
        if code != 0 and self._has_served(name, start) and not self.routers[name].killed:
            self.unexpected_exits.append(f"a process of {name} ended with {code}")

    async def wait_until_serving(self, *names: str) -> None:
        """Wait until these routers answer at their admin servers."""

        async def all_answer() -> bool:
            answers = [await self.call(name, "PING") for name in names]
            return all(answer.succeeded for answer in answers)

        await self.wait_until(all_answer, f"{', '.join(names)} serving")
        for name in names:
            self.outages.router_available(name)

    def _process(self, name: str) -> tuple[RouterInstance, asyncio.subprocess.Process]:
        """A router with its process, which must have been started."""
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
        """Let a paused process go on, with SIGCONT."""
        router, process = self._process(name)
        self.outages.process_resumed(name)
        process.send_signal(signal.SIGCONT)
        router.paused = False
        self.outages.router_available(name)

    async def stop(self, name: str) -> None:
        """Shut a router down gracefully, with SIGTERM, and wait for its end."""
        router, process = self._process(name)
        process.terminate()
        self.outages.router_unavailable(name, DRAIN_GRACE_S)
        code = await asyncio.wait_for(process.wait(), STARTUP_TIMEOUT_S)
        self.outages.process_halted(name, router.starts)
        if code != 0:
            self.unexpected_exits.append(f"{name} ended with {code}")

    async def replace(self, name: str, timeout_s: float = STARTUP_TIMEOUT_S) -> None:
        """Replace a router's process by a new one under the same name and at the clients' address.

        The old one is shut down gracefully once the new one is ready; for a while there are two, each with an
        admin port of its own.
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
        """Step the wall clock of a router that was named in ``clocks``, and set the rate of all its clocks.

        Raises ``ValueError`` for another router.
        """
        if name not in self._clocks:
            raise ValueError(f"found {name}, expected one of {sorted(self._clocks)}")
        skewed_clock.write_clock(self._clock_path(name), int(step_s * 1e6), rate)
