"""The router processes of the proving ground, owned by id: started, stopped, paused, killed, replaced."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path

from magpieshift.lab.fault_injection import skewed
from magpieshift.lab.fault_injection.admin_clients import UP_S, Doors
from magpieshift.lab.fault_injection.outages import Outages
from magpieshift.lab.fault_injection.ports import free_ports

PROGRAM = (sys.executable, "-m", "magpieshift")
COMING_S = 0.6  # after a planned end was asked for, clients may still come


class Processes(Doors):
    """Owner of all router processes of a run. ``clocks`` names the routers whose clocks can be set."""

    def __init__(self, folder: Path, program: Iterable[str] = PROGRAM, clocks: Iterable[str] = ()) -> None:
        super().__init__()
        self.folder = folder
        self.outages = Outages()
        self.ended_wrong: list[str] = []
        self._program = tuple(program)
        self._clocks = frozenset(clocks)
        self._started: list[asyncio.subprocess.Process] = []  # all of them: a place may have had several
        self._tasks_of_ends: list[asyncio.Task[None]] = []

    async def end_all(self) -> None:
        """Kill what still runs, paused processes too."""
        for task in self._tasks_of_ends:
            task.cancel()
        for process in self._started:
            if process.returncode is None:
                process.kill()
                await process.wait()

    def left_running(self) -> int:
        return sum(process.returncode is None for process in self._started)

    def running(self) -> dict[str, int]:
        """Process ids by router."""
        return {p.name: p.process.pid for p in self.places.values() if p.alive and p.process is not None}

    async def start(self, *names: str, words: Sequence[str] = (), program: Sequence[str] = ()) -> None:
        """Start routers, all at once; wait for nothing. ``words`` go behind ``run``, ``program`` is another
        one than the cluster's."""
        for name in names:
            place = self.places[name]
            place.starts += 1
            place.paused = False
            place.killed = False
            with (self.folder / f"{name}.{place.starts}.log").open("wb") as log:
                begins = tuple(program) or self._program
                if name in self._clocks:
                    clock = str(self.folder / f"{name}.clock")
                    begins = (sys.executable, "-m", "magpieshift.lab.fault_injection.skewed", clock)
                process = await asyncio.create_subprocess_exec(
                    *begins,
                    "run",
                    "--config",
                    str(self.folder / f"{name}.sexp"),
                    "--console",
                    f"127.0.0.1:{place.console}",
                    *words,
                    stderr=log,
                    env=os.environ | {"TMPDIR": str(self.folder)},
                )
                place.process = process
                self._started.append(process)

    async def beside(self, name: str, door: int, words: Sequence[str], program: Sequence[str] = ()) -> None:
        """Start a further process of a place, with a door of its own; whoever asked for it ends the other."""
        place = self.places[name]
        old = place.process
        number = place.starts
        place.console = door
        await self.start(name, words=words, program=program)
        if old is not None:
            self._tasks_of_ends.append(asyncio.ensure_future(self._note_end(name, number, old)))

    async def _note_end(self, name: str, number: int, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self.outages.stopped(name, number)
        served = " event=ready " in (self.folder / f"{name}.{number}.log").read_text(errors="replace")
        if code != 0 and served and not self.places[name].killed:  # one that never served may be turned down
            self.ended_wrong.append(f"a process of {name} ended with {code}")

    async def serving(self, *names: str) -> None:
        """Wait until these answer at their doors."""

        async def up() -> bool:
            said = [await self.call(name, "PING") for name in names]
            return all(line is not None and line.startswith("OK") for line in said)

        await self.until(up, f"{', '.join(names)} serving")
        for name in names:
            self.outages.back(name)

    def kill(self, name: str) -> None:
        place = self.places[name]
        assert place.process is not None
        place.killed = True
        self.outages.leave(name)
        self.outages.stopped(name, place.starts)
        place.process.kill()

    async def died(self, *names: str) -> None:
        for name in names:
            process = self.places[name].process
            assert process is not None
            await process.wait()

    def pause(self, name: str) -> None:
        place = self.places[name]
        assert place.process is not None
        place.process.send_signal(signal.SIGSTOP)
        place.paused = True
        self.outages.leave(name)
        self.outages.stopped(name, place.starts)

    def wake(self, name: str) -> None:
        place = self.places[name]
        assert place.process is not None
        self.outages.resumed(name)
        place.process.send_signal(signal.SIGCONT)
        place.paused = False
        self.outages.back(name)

    async def stop(self, name: str) -> None:
        """A planned end."""
        place = self.places[name]
        assert place.process is not None
        place.process.terminate()
        self.outages.leave(name, COMING_S)
        code = await asyncio.wait_for(place.process.wait(), UP_S)
        self.outages.stopped(name, place.starts)
        if code != 0:
            self.ended_wrong.append(f"{name} ended with {code}")

    async def replace(self, name: str, within_s: float = UP_S) -> None:
        """A new process takes over under the same name and at the clients' address, and the old one ends as
        planned once the new one is ready; for a while there are two, each with a door of its own."""
        place = self.places[name]
        place.console = free_ports(1)[0]
        old = place.process
        number = place.starts
        assert old is not None
        await self.start(name)
        log = self.folder / f"{name}.{place.starts}.log"

        async def ready() -> bool:
            return " event=ready " in log.read_text(errors="replace")

        await self.until(ready, f"the new {name} is ready", within_s)
        old.terminate()
        code = await asyncio.wait_for(old.wait(), UP_S)
        self.outages.stopped(name, number)
        if code != 0:
            self.ended_wrong.append(f"the old {name} ended with {code}")

    def set_clock(self, name: str, step_s: float = 0.0, rate: float = 1.0) -> None:
        """Step the wall clock of a process that was named in ``clocks``, and bend all its clocks."""
        if name not in self._clocks:
            raise ValueError(f"found {name}, expected one of {sorted(self._clocks)}")
        skewed.write(self.folder / f"{name}.clock", int(step_s * 1e6), rate)
