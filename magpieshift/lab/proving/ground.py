"""Many router processes amid an emulated installation, owned by id: started, stopped, paused, killed and
started again, with faults on every way between any two of them.

The ends of ways are the routers (r0, r1, ...), the stores by place (box1, hub1, origin), the change log
(``log``) and the clients (``clients``). Routers speak to each other in datagrams
through a ``Switch``, all else goes in streams, each pair through a ``Relay`` of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable, Iterable, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from magpieshift.control import sexp
from magpieshift.control.schema import load_data, to_data
from magpieshift.lab.proving import checks, skewed
from magpieshift.lab.proving.relay import Relay
from magpieshift.lab.proving.switch import Switch
from magpieshift.lab.proving.ways import Ways
from magpieshift.lab.standins import emulated, peers
from magpieshift.lab.standins.emulator import Rules
from magpieshift.lab.standins.load import CROSSED_S, Load

UP_S = 30.0  # generous: a verdict must not hang on the machine's speed
PROGRAM = (sys.executable, "-m", "magpieshift")
LOG, CLIENTS = "log", "clients"
KNOWS_S = 3.0  # after a cut from the change log, or a pause, by when a router has read on
COMING_S = 0.6  # after a planned end was asked for, clients may still come
OBJECTS = 400
FIRST_PORT, LAST_PORT, PORTS_EACH = 20_000, 32_000, 300
PLACES = (LAST_PORT - FIRST_PORT) // PORTS_EACH
SLACK_S = 0.05


def free_ports(count: int) -> list[int]:
    """Ports of loopback that nobody has, for datagrams and connections, below those the system gives away
    by itself: a process that starts again must find its own still free. Grounds of several processes, side by
    side, begin to look in places of their own."""
    found: list[int] = []
    place = os.getpid() % PLACES
    start = FIRST_PORT + place * PORTS_EACH + random.randrange(PORTS_EACH // 2)  # not by the seed
    for port in (*range(start, LAST_PORT), *range(FIRST_PORT, start)):
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
    doors: tuple[int, int]  # of a process and of one that takes over from it; ``console`` is in use
    members: int  # its private port
    public: int  # where the others reach it
    clients: int = 0  # where its clients reach it
    process: asyncio.subprocess.Process | None = None
    paused: bool = False
    killed: bool = False
    starts: int = 0

    @property
    def alive(self) -> bool:
        return self.process is not None and self.process.returncode is None


class Ground:
    """Owner of the installation, the ways, the clients and all router processes.

    ``digests`` and ``hand_over`` are set as in the settings' members. ``slack_s`` is granted beyond the
    time limits of the rules on top of the platform's 0.05 s: more where a verdict must not hang on how busy
    the machine is. ``clocks`` names the routers whose clocks can be set."""

    def __init__(
        self, folder: Path, routers: int, seed: int = 1, alone: float = 0.5, rate: float = 20.0,
        program: Iterable[str] = PROGRAM, boxes: int = 2, hubs: int = 1, slack_s: float = SLACK_S,
        clocks: Iterable[str] = (), seeds: int = 3, digests: bool = False, hand_over: bool = False,
    ) -> None:  # fmt: skip
        self.folder, self.count, self.seed, self.alone = folder, routers, seed, alone
        self.ways = Ways()
        self.switch = Switch(seed, self.ways)
        self.rules = Rules(slack_s, self._knew)
        self.stores = emulated.Emulated(boxes, hubs, self.rules, random.Random(seed), self._tell)
        self.checks: list[checks.Check] = checks.standard()
        self.places: dict[str, Place] = {}
        self.loads: dict[str, Load] = {}
        self.broken: list[str] = []
        self.ended_wrong: list[str] = []
        self._idle: list[tuple[str, int, float, float]] = []  # who, which start, when it could do nothing
        self._away: dict[str, list[tuple[float, float]]] = {}  # when a router could not answer
        self._deaf: dict[str, list[tuple[float, float]]] = {}  # when the change log did not reach it
        self._rate, self._program, self._clocks = rate, tuple(program), frozenset(clocks)
        self._seeds, self._digests, self._hand_over = seeds, digests, hand_over
        self._logs: dict[str, peers.Log] = {}
        self._relays: dict[tuple[str, str], Relay] = {}
        self._tasks: list[asyncio.Task[None]] = []
        self._tasks_of_ends: list[asyncio.Task[None]] = []
        self._watching: asyncio.Task[None] | None = None
        self._started: list[asyncio.subprocess.Process] = []  # all of them: a place may have had several

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
        ports = iter(free_ports(5 * self.count))
        for number in range(self.count):
            name, port, console, second, private, public = f"r{number}", *(next(ports) for _ in range(5))
            await self.switch.add(name, private, public)
            self.places[name] = Place(name, port, console, (console, second), private, public)
            self._leave(name)  # until it serves
            self._logs[name] = peers.Log()
            await self._logs[name].start()
        await self.stores.start()
        for place in self.places.values():
            await self._relay(place.name, LOG, self._logs[place.name].port)
            for where, store in self.stores.places.items():
                await self._relay(place.name, where, store.port)
            place.clients = (await self._relay(CLIENTS, place.name, place.port)).port
            self._write(place)
        self.stores.tell_on()
        self._watching = asyncio.ensure_future(self._watch())

    async def _relay(self, source: str, target: str, port: int) -> Relay:
        relay = self._relays[source, target] = Relay(self.ways, source, target, port)
        await relay.start()
        return relay

    def _tell(self, event: dict[str, Any]) -> None:
        """The change log speaks to each router by itself: to each a store is at the end of its own relay."""
        for name, log in self._logs.items():
            told = event
            if "fleet" in event:
                members = [
                    member | {"host_port": f"127.0.0.1:{self._relays[name, _where(member['id'])].port}"}
                    for member in event["fleet"]["members"]
                ]
                told = event | {"fleet": event["fleet"] | {"members": members}}
            log.tell(**told)

    def _write(self, place: Place) -> None:
        names = list(self.places)
        seeds = [f"127.0.0.1:{self.places[name].public}" for name in names[: self._seeds]]
        members = {
            "fleet": "proving", "listen": f"127.0.0.1:{place.members}", "seeds": seeds,
            "advertise": f"127.0.0.1:{place.public}", "alone": self.alone,
            "council": names[: 3 if len(names) >= 3 else 1],
            "digests": self._digests, "hand-over": self._hand_over,
        }  # fmt: skip
        log_port = self._relays[place.name, LOG].port
        data = emulated.settings(place.name, place.port, log_port, self.count) | {
            "console": f"127.0.0.1:{place.console}", "router-index": int(place.name[1:]), "members": members,
        }  # fmt: skip
        path = self.folder / f"{place.name}.sexp"
        document = load_data(data).document
        self.rules.copies = emulated.may_copy(document)
        path.write_text(sexp.write(to_data(document)))
        if place.name in self._clocks:
            skewed.write(self.folder / f"{place.name}.clock")

    async def _watch(self) -> None:
        """Note when the change log does not reach a router, and let the checks look."""
        while True:
            now = time.monotonic()
            for name in self.places:
                spans = self._deaf.setdefault(name, [])
                faults = self.ways.either(name, LOG)
                if any(f.cut or f.silent or f.reset or f.delay_ms or f.kb_per_s for f in faults):
                    if not spans or spans[-1][1] != float("inf"):
                        spans.append((now, float("inf")))
                elif spans and spans[-1][1] == float("inf"):
                    spans[-1] = (spans[-1][0], now)
            for check in self.checks:
                check.look(self, {})
            await asyncio.sleep(0.2)

    async def close(self) -> None:
        """End all that was started, however things stand."""
        if self._watching is not None:
            self._watching.cancel()
        for task in [*self._tasks, *self._tasks_of_ends]:
            task.cancel()
        for process in self._started:
            if process.returncode is None:
                process.kill()  # a paused process, too
                await process.wait()
        self.switch.close()
        for relay in self._relays.values():
            relay.close()
        for log in self._logs.values():
            log.stop()
        self.stores.stop()
        await asyncio.sleep(0)

    def left_running(self) -> int:
        return sum(process.returncode is None for process in self._started)

    # --- processes

    async def start(self, *names: str, words: Sequence[str] = (), program: Sequence[str] = ()) -> None:
        """Start routers, all at once; wait for nothing. ``words`` go behind ``run``, ``program`` is another
        one than the ground's."""
        for name in names:
            place = self.places[name]
            place.starts += 1
            place.paused = place.killed = False
            with (self.folder / f"{name}.{place.starts}.log").open("wb") as log:
                begins = tuple(program) or self._program
                if name in self._clocks:
                    clock = str(self.folder / f"{name}.clock")
                    begins = (sys.executable, "-m", "magpieshift.lab.proving.skewed", clock)
                process = await asyncio.create_subprocess_exec(
                    *begins, "run", "--config", str(self.folder / f"{name}.sexp"),
                    "--console", f"127.0.0.1:{place.console}", *words,
                    stderr=log, env=os.environ | {"TMPDIR": str(self.folder)},
                )  # fmt: skip
                place.process = process
                self._started.append(process)

    async def beside(self, name: str, door: int, words: Sequence[str], program: Sequence[str] = ()) -> None:
        """Start a further process of a place, with a door of its own; whoever asked for it ends the other."""
        place = self.places[name]
        old, number = place.process, place.starts
        place.console = door
        await self.start(name, words=words, program=program)
        if old is not None:
            self._tasks_of_ends.append(asyncio.ensure_future(self._note_end(name, number, old)))

    async def _note_end(self, name: str, number: int, process: asyncio.subprocess.Process) -> None:
        code = await process.wait()
        self._idle.append((name, number, time.monotonic(), float("inf")))
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
            self._back(name)

    def _leave(self, name: str, in_s: float = 0.0) -> None:
        """From now, or so long from now, on it cannot answer."""
        self._away.setdefault(name, []).append((time.monotonic() + in_s, float("inf")))

    def _back(self, name: str) -> None:
        spans = self._away.setdefault(name, [])
        if spans and spans[-1][1] == float("inf"):
            spans[-1] = spans[-1][0], time.monotonic()

    def kill(self, name: str) -> None:
        place = self.places[name]
        assert place.process is not None
        place.killed = True
        self._leave(name)
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
        self._leave(name)
        self._idle.append((name, place.starts, time.monotonic(), float("inf")))

    def wake(self, name: str) -> None:
        place = self.places[name]
        assert place.process is not None
        last = max(i for i, idle in enumerate(self._idle) if idle[0] == name)
        self._idle[last] = (*self._idle[last][:3], time.monotonic())
        place.process.send_signal(signal.SIGCONT)
        place.paused = False
        self._back(name)

    async def stop(self, name: str) -> None:
        """A planned end."""
        place = self.places[name]
        assert place.process is not None
        place.process.terminate()
        self._leave(name, COMING_S)
        code = await asyncio.wait_for(place.process.wait(), UP_S)
        self._idle.append((name, place.starts, time.monotonic(), float("inf")))
        if code != 0:
            self.ended_wrong.append(f"{name} ended with {code}")

    async def replace(self, name: str, within_s: float = UP_S) -> None:
        """A new process takes over under the same name and at the clients' address, and the old one ends as
        planned once the new one is ready; for a while there are two, each with a door of its own."""
        place = self.places[name]
        place.console = free_ports(1)[0]
        old, number = place.process, place.starts
        assert old is not None
        await self.start(name)
        log = self.folder / f"{name}.{place.starts}.log"

        async def ready() -> bool:
            return " event=ready " in log.read_text(errors="replace")

        await self.until(ready, f"the new {name} is ready", within_s)
        old.terminate()
        code = await asyncio.wait_for(old.wait(), UP_S)
        self._idle.append((name, number, time.monotonic(), float("inf")))
        if code != 0:
            self.ended_wrong.append(f"the old {name} ended with {code}")

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

    async def talk(self, name: str) -> dict[str, Any] | None:
        """What a router says of failing stores, and of handing over."""
        line = await self.call(name, "TALK")
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

    # --- clocks

    def set_clock(self, name: str, step_s: float = 0.0, rate: float = 1.0) -> None:
        """Step the wall clock of a process that was named in ``clocks``, and bend all its clocks."""
        if name not in self._clocks:
            raise ValueError(f"found {name}, expected one of {sorted(self._clocks)}")
        skewed.write(self.folder / f"{name}.clock", int(step_s * 1e6), rate)

    # --- what the checks look at

    def running(self) -> dict[str, int]:
        return {p.name: p.process.pid for p in self.places.values() if p.alive and p.process is not None}

    def idle(self) -> list[tuple[str, int, float, float]]:
        return self._idle

    def counted(self) -> dict[str, int]:
        kinds = ("sent", "served", "refused", "failed", "lost", "cut")
        found = {kind: sum(getattr(load.total, kind) for load in self.loads.values()) for kind in kinds}
        return found | {"doubles": sum(load.doubles for load in self.loads.values())}

    def missed(self) -> list[str]:
        """Some of the requests that were lost, each with what its client saw."""
        return [example for load in self.loads.values() for example in load.missed]

    def most_shared(self) -> tuple[float, float]:
        """The most that all shares in use came to at any instant, and when."""
        return checks.Shares().most(self)

    def _knew(self, ident: str, told: float) -> float:
        """When the router that sent this could know what was told at that (Unix) time: one that is cut off
        from the change log, or stands still, only afterwards."""
        name = f"r{int(ident[:2], 16)}" if ident else ""
        shift = time.time() - time.monotonic()
        spans = self._deaf.get(name, []) + self._away.get(name, [])
        knew = told
        for since, until in sorted(spans):
            if since + shift - KNOWS_S <= knew <= until + shift + KNOWS_S:
                knew = until + shift + KNOWS_S
        return knew

    def _excused(self, name: str, began: float) -> bool:
        """Whether a request of that moment may have gone without an answer: the router was killed, stood
        still, or nothing went between it and its clients."""
        now = time.monotonic()
        stopped = any(since <= now and began <= until for since, until in self._away.get(name, []))
        return stopped or bool(self.ways.either(CLIENTS, name))

    # --- load

    def load(self, roam: bool = False) -> None:
        """Clients at each router, until ``settle``; where they ``roam``, who is refused comes back at another
        router."""
        for number, place in enumerate(self.places.values()):
            name, mark = place.name, f"{number:02x}"
            load = Load(
                place.clients, self._rate, OBJECTS, self.seed * 1000 + number, self.rules.served, mark,
                lambda began, name=name: self._excused(name, began),  # type: ignore[misc]
                CROSSED_S + self.rules.slack_s - SLACK_S,
                [other.clients for other in self.places.values() if roam and other is not place],
            )  # fmt: skip
            self.loads[name] = load
            self._tasks.append(asyncio.ensure_future(load.run(float("inf"))))

    def service(self, seconds: int = 3) -> float:
        """The share of what clients asked for that was served, over the last whole seconds whose answers are
        due; 1 where nothing was asked."""
        sent = served = 0
        for load in self.loads.values():
            for second in load.slices[-seconds - 3 : -3]:
                sent, served = sent + second.sent, served + second.served
        return served / sent if sent else 1.0

    async def settle(self) -> dict[str, int]:
        """Stop the load, wait for the last answers, count, and ask all checks; what they found is in
        ``broken``."""
        for load in self.loads.values():
            load.settle()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait_for(asyncio.gather(*self._tasks, return_exceptions=True), UP_S)
        for check in self.checks:
            self.broken += check.broken(self)
        self.broken += [f"{count} times: {rule}" for rule, count in self.rules.broken.items()]
        self.broken += self.rules.examples[:5] if self.rules.broken else []
        return self.counted()


def _where(ident: str) -> str:
    """The place of a store, by its id."""
    return ident.split("-")[1]
