"""Many router processes amid an emulated installation, owned by id: started, stopped, paused, killed and
started again, with faults on every link between any two of them.

The ends of links are the routers (r0, r1, ...), the stores by place (box1, hub1, origin), the change log
(``log``) and the clients (``clients``). Routers speak to each other in datagrams
through a ``Switch``, all else goes in streams, each pair through a ``Relay`` of its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Iterable
from pathlib import Path

from magpieshift.control import sexp
from magpieshift.control.schema import load_data, to_data
from magpieshift.lab.emulators import emulated
from magpieshift.lab.emulators.client_connection import RESEND_WINDOW_S
from magpieshift.lab.emulators.load import LoadGenerator
from magpieshift.lab.emulators.protocol_checker import ProtocolChecker
from magpieshift.lab.fault_injection import checks, skewed
from magpieshift.lab.fault_injection.admin_clients import UP_S
from magpieshift.lab.fault_injection.network import CLIENTS, LOG, Network
from magpieshift.lab.fault_injection.outages import Idle
from magpieshift.lab.fault_injection.places import Place
from magpieshift.lab.fault_injection.ports import free_ports
from magpieshift.lab.fault_injection.processes import PROGRAM, Processes
from magpieshift.lab.fault_injection.surroundings import Surroundings
from magpieshift.lab.fault_injection.switch import Switch

OBJECTS = 400
SLACK_S = 0.05
WATCH_S = 0.2  # between two looks of the checks
# What is counted of requests, by its name in reports: the field of ``TrafficCounts``.
COUNTED_FIELDS = {
    "sent": "sent",
    "served": "served",
    "refused": "rejected",
    "failed": "failed",
    "lost": "lost",
    "cut": "interrupted",
}


class Cluster(Processes):
    """Owner of the installation, the network, the clients and all router processes.

    ``digests`` and ``hand_over`` are set as in the settings' members. ``slack_s`` is granted beyond the
    time limits of the rules on top of the platform's 0.05 s: more where a verdict must not hang on how busy
    the machine is. ``clocks`` names the routers whose clocks can be set."""

    def __init__(
        self,
        folder: Path,
        routers: int,
        seed: int = 1,
        alone: float = 0.5,
        rate: float = 20.0,
        program: Iterable[str] = PROGRAM,
        boxes: int = 2,
        hubs: int = 1,
        slack_s: float = SLACK_S,
        clocks: Iterable[str] = (),
        seeds: int = 3,
        digests: bool = False,
        hand_over: bool = False,
    ) -> None:
        super().__init__(folder, program, clocks)
        self.count = routers
        self.seed = seed
        self.alone = alone
        self.network = Network()
        self.switch = Switch(seed, self.network)
        self.rules = ProtocolChecker(slack_s, self._knew)
        self.checks: list[checks.Check] = checks.standard()
        self.loads: dict[str, LoadGenerator] = {}
        self.broken: list[str] = []
        self._surroundings = Surroundings(self.network, self.rules, boxes, hubs, random.Random(seed))
        self._rate = rate
        self._seeds = seeds
        self._digests = digests
        self._hand_over = hand_over
        self._clients: list[asyncio.Task[None]] = []
        self._watching: asyncio.Task[None] | None = None

    @property
    def stores(self) -> emulated.EmulatedInstallation:
        return self._surroundings.stores

    # --- beginning and end

    async def __aenter__(self) -> Cluster:
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
            self.outages.leave(name)  # until it serves
            await self._surroundings.start_log(name)
        await self.stores.start()
        for place in self.places.values():
            await self._surroundings.relay_to(place)
            self._write(place)
        self.stores.start_publishing()
        self._watching = asyncio.ensure_future(self._watch())

    def _write(self, place: Place) -> None:
        names = list(self.places)
        seeds = [f"127.0.0.1:{self.places[name].public}" for name in names[: self._seeds]]
        members = {
            "fleet": "proving",
            "listen": f"127.0.0.1:{place.members}",
            "seeds": seeds,
            "advertise": f"127.0.0.1:{place.public}",
            "alone": self.alone,
            "council": names[: 3 if len(names) >= 3 else 1],
            "digests": self._digests,
            "hand-over": self._hand_over,
        }
        log_port = self._surroundings.log_port(place.name)
        data = emulated.router_settings(place.name, place.port, log_port, self.count) | {
            "console": f"127.0.0.1:{place.console}",
            "router-index": int(place.name[1:]),
            "members": members,
        }
        path = self.folder / f"{place.name}.sexp"
        document = load_data(data).document
        self.rules.hedged_classes = emulated.hedged_classes(document)
        path.write_text(sexp.format_document(to_data(document)))
        if place.name in self._clocks:
            skewed.write(self.folder / f"{place.name}.clock")

    async def _watch(self) -> None:
        """Note when the change log does not reach a router, and let the checks look."""
        while True:
            for name in self.places:
                self.outages.note_log(name, self.network.either(name, LOG))
            for check in self.checks:
                check.look(self, {})
            await asyncio.sleep(WATCH_S)

    async def close(self) -> None:
        """End all that was started, however things stand."""
        if self._watching is not None:
            self._watching.cancel()
        for task in self._clients:
            task.cancel()
        await self.end_all()
        self.switch.close()
        await self._surroundings.close()

    # --- what the checks look at

    def idle(self) -> list[Idle]:
        return self.outages.idle

    def counted(self) -> dict[str, int]:
        found = {
            name: sum(getattr(load.total, field) for load in self.loads.values())
            for name, field in COUNTED_FIELDS.items()
        }
        return found | {"doubles": sum(load.duplicate_answers for load in self.loads.values())}

    def missed(self) -> list[str]:
        """Some of the requests that were lost, each with what its client saw."""
        return [example for load in self.loads.values() for example in load.unanswered_examples]

    def most_shared(self) -> tuple[float, float]:
        """The most that all shares in use came to at any instant, and when."""
        return checks.Shares().most(self)

    def _knew(self, ident: str, told: float) -> float:
        """When the router that sent this could know what was told at that (Unix) time: one that is cut off
        from the change log, or stands still, only afterwards."""
        return self.outages.knew(f"r{int(ident[:2], 16)}" if ident else "", told)

    def _excused(self, name: str, began: float) -> bool:
        """Whether a request of that moment may have gone without an answer: the router was killed, stood
        still, or nothing went between it and its clients."""
        return self.outages.away_since(name, began) or bool(self.network.either(CLIENTS, name))

    # --- load

    def load(self, roam: bool = False) -> None:
        """Clients at each router, until ``settle``; where they ``roam``, who is refused comes back at another
        router."""
        for number, place in enumerate(self.places.values()):
            name = place.name
            mark = f"{number:02x}"
            load = LoadGenerator(
                place.clients,
                self._rate,
                OBJECTS,
                self.seed * 1000 + number,
                self.rules.copy_served,
                mark,
                lambda began, name=name: self._excused(name, began),  # type: ignore[misc]
                RESEND_WINDOW_S + self.rules.slack_s - SLACK_S,
                [other.clients for other in self.places.values() if roam and other is not place],
            )
            self.loads[name] = load
            self._clients.append(asyncio.ensure_future(load.run(float("inf"))))

    def service(self, seconds: int = 3) -> float:
        """The share of what clients asked for that was served, over the last whole seconds whose answers are
        due; 1 where nothing was asked."""
        sent = 0
        served = 0
        for load in self.loads.values():
            for second in load.counts_by_second[-seconds - 3 : -3]:
                sent = sent + second.sent
                served = served + second.served
        return served / sent if sent else 1.0

    async def settle(self) -> dict[str, int]:
        """Stop the load, wait for the last answers, count, and ask all checks; what they found is in
        ``broken``."""
        for load in self.loads.values():
            load.stop_sending()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait_for(asyncio.gather(*self._clients, return_exceptions=True), UP_S)
        for check in self.checks:
            self.broken += check.broken(self)
        self.broken += [f"{count} times: {rule}" for rule, count in self.rules.violations.items()]
        self.broken += self.rules.examples[:5] if self.rules.violations else []
        return self.counted()
