"""Many router processes amid stand-ins, owned by id: started, stopped, paused, killed and started again."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from magpieshift.control import sexp
from magpieshift.control.schema import load_data, to_data
from magpieshift.lab.proving.switch import Switch
from magpieshift.lab.standins import peers
from magpieshift.lab.standins.world import World

UP_S = 30.0  # generous: a verdict must not hang on the machine's speed
PROGRAM = (sys.executable, "-m", "magpieshift")


def free_ports(count: int) -> list[int]:
    """Ports of loopback that nobody has, for datagrams and connections, below those the system gives away
    by itself: a process that starts again must find its own still free."""
    found: list[int] = []
    start = random.randrange(20_000, 30_000)  # not by the seed: other runs may go on beside this one
    for port in range(start, 32_000):
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                sock.bind(("127.0.0.1", port))
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free ports on loopback")


@dataclass
class Place:
    """One router's name, addresses and the process that runs under it."""

    name: str
    port: int
    console: int
    members: int  # its private port
    public: int  # where the others reach it
    process: asyncio.subprocess.Process | None = None
    paused: bool = False
    killed: bool = False
    starts: int = 0

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None


class Ground:
    """Owner of the stand-ins, the switch, the clients and all router processes."""

    def __init__(
        self, folder: Path, routers: int, seed: int = 1, alone: float = 0.5, rate: float = 20.0,
        program: Iterable[str] = PROGRAM,
    ) -> None:  # fmt: skip
        self.folder, self.count, self.seed, self.alone = folder, routers, seed, alone
        self.world, self.switch = World(), Switch(seed)
        self.places: dict[str, Place] = {}
        self.clients: dict[str, peers.Client] = {}
        self.broken: list[str] = []
        self.ended_wrong: list[str] = []
        self._idle: list[tuple[str, int, float, float]] = []  # who, which start, when it could do nothing
        self._rate, self._program = rate, tuple(program)
        self._tasks: list[asyncio.Task[None]] = []

    # --- beginning and end

    async def __aenter__(self) -> Ground:
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            await self._begin()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        await self.close()

    async def _begin(self) -> None:
        await self.world.start()
        ports = iter(free_ports(4 * self.count))
        for number in range(self.count):
            name, port, console, private, public = f"r{number}", *(next(ports) for _ in range(4))
            await self.switch.add(name, private, public)
            self.places[name] = Place(name, port, console, private, public)
        for place in self.places.values():
            self._write(place)

    def _write(self, place: Place) -> None:
        names = list(self.places)
        shop = {"routers": self.count, "attached-to": "hub"}
        seeds = [f"127.0.0.1:{self.places[name].public}" for name in names[:3]]
        members = {
            "fleet": "proving", "listen": f"127.0.0.1:{place.members}", "seeds": seeds,
            "advertise": f"127.0.0.1:{place.public}", "alone": self.alone,
            "council": names[: 3 if len(names) >= 3 else 1],
        }  # fmt: skip
        data = self.world.settings() | {
            "name": place.name, "listen": f"127.0.0.1:{place.port}",
            "console": f"127.0.0.1:{place.console}", "routers": self.count,
            "router-index": int(place.name[1:]), "members": members,
            "zones": {"hub": {"routers": 0}, "shop": shop},
        }  # fmt: skip
        path = self.folder / f"{place.name}.sexp"
        path.write_text(sexp.write(to_data(load_data(data).document)))

    async def close(self) -> None:
        """End all that was started, however things stand."""
        for task in self._tasks:
            task.cancel()
        for place in self.places.values():
            if place.process is not None and place.process.returncode is None:
                place.process.kill()  # a paused process, too
                await place.process.wait()
        self.switch.close()
        self.world.stop()
        await asyncio.sleep(0)

    def left_running(self) -> int:
        return sum(place.alive for place in self.places.values())

    # --- processes

    async def start(self, *names: str) -> None:
        """Start routers, all at once; wait for nothing."""
        for name in names:
            place = self.places[name]
            place.starts += 1
            place.paused = place.killed = False
            with (self.folder / f"{name}.{place.starts}.log").open("wb") as log:
                place.process = await asyncio.create_subprocess_exec(
                    *self._program, "run", "--config", str(self.folder / f"{name}.sexp"),
                    stderr=log, env=None,
                )  # fmt: skip

    async def serving(self, *names: str) -> None:
        """Wait until these answer at their doors."""

        async def up() -> bool:
            said = [await self.call(name, "PING") for name in names]
            return all(line is not None and line.startswith("OK") for line in said)

        await self.until(up, f"{', '.join(names)} serving")

    def kill(self, name: str) -> None:
        place = self.places[name]
        assert place.process is not None
        place.killed = True
        self._idle.append((name, place.starts, time.monotonic(), float("inf")))
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
        self._idle.append((name, place.starts, time.monotonic(), float("inf")))

    def wake(self, name: str) -> None:
        place = self.places[name]
        assert place.process is not None
        last = max(i for i, idle in enumerate(self._idle) if idle[0] == name)
        self._idle[last] = (*self._idle[last][:3], time.monotonic())
        place.process.send_signal(signal.SIGCONT)
        place.paused = False

    async def stop(self, name: str) -> None:
        """A planned end."""
        place = self.places[name]
        assert place.process is not None
        place.process.terminate()
        code = await asyncio.wait_for(place.process.wait(), UP_S)
        self._idle.append((name, place.starts, time.monotonic(), float("inf")))
        if code != 0:
            self.ended_wrong.append(f"{name} ended with {code}")

    # --- what can be asked

    async def call(self, name: str, word: str) -> str | None:
        """A line from a router's door; None where nobody answers soon."""
        try:
            async with asyncio.timeout(2.0):
                door = self.places[name].console
                reader, writer = await asyncio.open_connection("127.0.0.1", door, limit=1 << 20)
                writer.write(f"{word}\n".encode())
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError, ValueError):
            return None
        return line.decode().rstrip("\n") or None

    async def view(self, name: str) -> dict[str, Any] | None:
        """What a router says of its members."""
        line = await self.call(name, "MEMBERS")
        if line is None or not line.startswith("OK "):
            return None
        found: dict[str, Any] = json.loads(line[3:])
        return found

    async def views(self, names: Iterable[str] | None = None) -> dict[str, dict[str, Any]]:
        """The views of all who live and run."""
        running = [p.name for p in self.places.values() if p.alive and not p.paused]
        wanted = running if names is None else list(names)
        found = await asyncio.gather(*(self.view(name) for name in wanted))
        return {name: view for name, view in zip(wanted, found, strict=True) if view is not None}

    @staticmethod
    def here(view: dict[str, Any]) -> list[str]:
        return [row["name"] for row in view["members"] if row["standing"] in ("alive", "suspected")]

    @staticmethod
    def standing(view: dict[str, Any], name: str) -> str:
        return next((row["standing"] for row in view["members"] if row["name"] == name), "unknown")

    async def agreed(self, names: Iterable[str] | None = None) -> bool:
        """Whether all who live have one view, of exactly those who live."""
        living = sorted(p.name for p in self.places.values() if p.alive)
        wanted = sorted(names) if names is not None else living
        views = await self.views([name for name in wanted if not self.places[name].paused])
        if len(views) < len([name for name in wanted if not self.places[name].paused]):
            return False
        return len({view["digest"] for view in views.values()}) == 1 and all(
            sorted(self.here(view)) == living for view in views.values()
        )

    async def until(self, true: Callable[[], Awaitable[bool]], what: str, within_s: float = UP_S) -> float:
        """Wait for something to come true; how long it took. ``AssertionError`` where it does not."""
        began = time.monotonic()
        while not await true():
            if time.monotonic() - began > within_s:
                raise AssertionError(f"not within {within_s:g} s: {what}")
            await asyncio.sleep(0.1)
        return time.monotonic() - began

    def most_shared(self) -> tuple[float, float]:
        """The most that all shares in use came to at any instant, and when, from the routers' own logs: they
        tell each change of a share on the clock that all processes of a machine have in common. A process
        that stands still or is dead uses nothing."""
        steps: list[tuple[float, float, str]] = []
        for log in self.folder.glob("*.log"):
            name, start, _ = log.name.split(".")
            changes = []
            for line in log.read_text(errors="replace").splitlines():
                if " event=share " in line:
                    pairs = dict(word.split("=", 1) for word in line.split() if "=" in word)
                    changes.append((int(pairs["at_us"]) / 1e6, float(pairs["share"])))
            for at, share in changes:
                steps.append((at, share, log.name))
            for who, which, since, until in self._idle:
                if (who, str(which)) == (name, start):
                    held = [share for at, share in changes if at <= since]
                    steps.append((since, 0.0, log.name))
                    later = any(since < at < until for at, _ in changes)
                    if until != float("inf") and held and not later:
                        # it reads the clock before it acts: what it then logs is what it may use
                        nexts = [share for at, share in changes if at >= until]
                        steps.append((until, min([held[-1], *nexts[:1]]), log.name))
        now: dict[str, float] = {}
        most, when = 0.0, 0.0
        for at, share, which_log in sorted(steps, key=lambda step: (step[0], step[1])):
            now[which_log] = share
            if (total := sum(now.values())) > most + 1e-9:
                most, when = total, at
        return most, when

    # --- load

    def load(self) -> None:
        """One client at each router, until ``settle``; what a router held when it was killed is no loss."""
        for number, place in enumerate(self.places.values()):
            rand = random.Random(self.seed * 1000 + number)
            client = peers.Client(place.port, rand, lambda p=place: p.alive and not p.killed)  # type: ignore[misc]
            self.clients[place.name] = client
            self._tasks.append(
                asyncio.ensure_future(client.run(self._rate, lambda: ["picture"] * 9 + ["basket"]))
            )

    async def settle(self) -> dict[str, int]:
        """Stop the load, wait for the last answers, and count."""
        for client in self.clients.values():
            client.settle()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait_for(asyncio.gather(*self._tasks, return_exceptions=True), UP_S)
        counted = {
            what: sum(getattr(client, what) for client in self.clients.values())
            for what in ("sent", "served", "refused", "failed", "lost", "cut", "doubles")
        }
        if counted["doubles"]:
            self.broken.append(f"{counted['doubles']} requests answered twice")
        if self.world.watch.twice:
            self.broken.append(f"{len(self.world.watch.twice)} requests with two attempts out")
        for log in sorted(self.folder.glob("*.log")):
            text = log.read_text(errors="replace")
            if "Traceback" in text:
                self.broken.append(f"{log.name}: {text[text.index('Traceback'):][:300]}")
        return counted
