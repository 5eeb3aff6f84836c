"""Many router processes amid emulated endpoints, owned by id: started, stopped, paused, killed and started
again, with faults on every link between any two processes.

The ends of links are the routers (r0, r1, ...), the endpoints by place (box1, hub1, origin), the change log
(``log``) and the clients (``clients``). Routers send each other datagrams through a ``Switch``; all else goes
in streams, each pair through a ``Relay`` of its own.
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
from magpieshift.lab.fault_injection import checks, skewed_clock
from magpieshift.lab.fault_injection.admin_clients import STARTUP_TIMEOUT_S
from magpieshift.lab.fault_injection.environment import Environment
from magpieshift.lab.fault_injection.network import CHANGE_LOG, CLIENTS, Network
from magpieshift.lab.fault_injection.outages import Halt
from magpieshift.lab.fault_injection.ports import free_ports
from magpieshift.lab.fault_injection.processes import PROGRAM, RouterProcesses
from magpieshift.lab.fault_injection.router_instance import RouterInstance
from magpieshift.lab.fault_injection.switch import Switch

OBJECT_COUNT = 400
"""Objects that clients ask for: few enough that caches fill within a run."""
SLACK_S = 0.05
"""Seconds granted beyond the time limits of the rules, as the platform grants them."""
CHECK_INTERVAL_S = 0.2
"""Seconds between two looks of the checks: short beside any fault that a scenario injects."""
PORTS_PER_ROUTER = 5
"""Clients', two admin ports, private and public port for datagrams."""
VOTER_COUNT = 3
"""Routers named in ``council`` of the settings: the smallest number that survives the loss of one."""
MAX_EXAMPLES = 5
"""Breaches of the endpoints' rules that a report shows in full: enough to begin with."""
COUNTED_FIELDS = {
    "sent": "sent",
    "served": "served",
    "refused": "rejected",
    "failed": "failed",
    "lost": "lost",
    "cut": "interrupted",
}
"""What is counted of the clients' requests, by its name in reports: the field of ``TrafficCounts``."""


class Cluster(RouterProcesses):
    """Owner of the endpoints, the network, the clients and all router processes.

    ``solo_quota``, ``digests`` and ``hand_over`` are the members' settings ``alone``, ``digests`` and
    ``hand-over``; ``seed_count`` routers are named in ``seeds``. ``requests_per_s`` is the rate of all
    clients of one router together.
    ``slack_s`` is granted beyond the time limits of the rules: more than the platform's where a verdict must
    not hang on how busy the machine is. ``clocks`` names the routers whose clocks can be set.
    """

    def __init__(
        self,
        folder: Path,
        routers: int,
        seed: int = 1,
        solo_quota: float = 0.5,
        requests_per_s: float = 20.0,
        program: Iterable[str] = PROGRAM,
        boxes: int = 2,
        hubs: int = 1,
        slack_s: float = SLACK_S,
        clocks: Iterable[str] = (),
        seed_count: int = 3,
        digests: bool = False,
        hand_over: bool = False,
    ) -> None:
        super().__init__(folder, program, clocks)
        self.count = routers
        """Number of routers."""
        self.seed = seed
        self.solo_quota = solo_quota
        self.network = Network()
        """The faults between processes."""
        self.switch = Switch(seed, self.network)
        self.rules = ProtocolChecker(slack_s, self._known_at)
        """The protocol's rules, checked at all endpoints and clients of the run together."""
        self.checks: list[checks.Check] = checks.standard_checks()
        self.loads: dict[str, LoadGenerator] = {}
        """Clients by the router that they ask first."""
        self.violations: list[str] = []
        """What the checks and rules found, after ``finish``."""
        self._environment = Environment(self.network, self.rules, boxes, hubs, random.Random(seed))
        self._requests_per_s = requests_per_s
        self._seed_count = seed_count
        self._digests = digests
        self._hand_over = hand_over
        self._clients: list[asyncio.Task[None]] = []
        self._check_task: asyncio.Task[None] | None = None

    @property
    def endpoints(self) -> emulated.EmulatedInstallation:
        """The emulated caches, parents and origin."""
        return self._environment.endpoints

    # --- beginning and end

    async def __aenter__(self) -> Cluster:
        """Start everything but the routers."""
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            await self._start_environment()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        """End all that was started."""
        await self.close()

    async def _start_environment(self) -> None:
        ports = iter(free_ports(PORTS_PER_ROUTER * self.count))
        for number in range(self.count):
            name = f"r{number}"
            port, admin_port, second_admin_port, private, public = (
                next(ports) for _ in range(PORTS_PER_ROUTER)
            )
            await self.switch.add(name, private, public)
            self.routers[name] = RouterInstance(
                name, port, admin_port, (admin_port, second_admin_port), private, public
            )
            self.outages.router_unavailable(name)  # until it serves
            await self._environment.start_log(name)
        await self.endpoints.start()
        for router in self.routers.values():
            await self._environment.relay_to(router)
            self._write_settings(router)
        self.endpoints.start_publishing()
        self._check_task = asyncio.ensure_future(self._run_checks())

    def _write_settings(self, router: RouterInstance) -> None:
        names = list(self.routers)
        seeds = [f"127.0.0.1:{self.routers[name].public_port}" for name in names[: self._seed_count]]
        members = {
            "fleet": "proving",
            "listen": f"127.0.0.1:{router.private_port}",
            "seeds": seeds,
            "advertise": f"127.0.0.1:{router.public_port}",
            "alone": self.solo_quota,
            "council": names[: VOTER_COUNT if len(names) >= VOTER_COUNT else 1],
            "digests": self._digests,
            "hand-over": self._hand_over,
        }
        log_port = self._environment.log_port(router.name)
        data = emulated.router_settings(router.name, router.port, log_port, self.count) | {
            "console": f"127.0.0.1:{router.admin_port}",
            "router-index": int(router.name[1:]),
            "members": members,
        }
        path = self.folder / f"{router.name}.sexp"
        document = load_data(data).document
        self.rules.hedged_classes = emulated.hedged_classes(document)
        path.write_text(sexp.format_document(to_data(document)))
        if router.name in self._clocks:
            skewed_clock.write_clock(self._clock_path(router.name))

    async def _run_checks(self) -> None:
        """Record when the change log does not reach a router, and let the checks observe the fleet."""
        while True:
            for name in self.routers:
                self.outages.record_log_faults(name, self.network.faults_either_way(name, CHANGE_LOG))
            for check in self.checks:
                check.observe(self, {})
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def close(self) -> None:
        """End all that was started, in whatever state it is."""
        if self._check_task is not None:
            self._check_task.cancel()
        for task in self._clients:
            task.cancel()
        await self.end_all()
        self.switch.close()
        await self._environment.close()

    # --- what the checks observe

    def halts(self) -> list[Halt]:
        """Return when processes were paused or dead."""
        return self.outages.halts

    def request_counts(self) -> dict[str, int]:
        """Return how many requests had each outcome, and how many had two answers (``doubles``)."""
        counts = {
            name: sum(getattr(load.total, field) for load in self.loads.values())
            for name, field in COUNTED_FIELDS.items()
        }
        return counts | {"doubles": sum(load.duplicate_answers for load in self.loads.values())}

    def lost_examples(self) -> list[str]:
        """Return some of the requests that were lost, each with what its client saw."""
        return [example for load in self.loads.values() for example in load.unanswered_examples]

    def max_total_quota(self) -> tuple[float, float]:
        """Return the most that all quotas in use came to at an instant, and when (steady clock, seconds)."""
        return checks.QuotaCheck().max_total(self)

    def _known_at(self, request_id: str, published_s: float) -> float:
        """When the router that sent a request could know what was announced at that Unix time.

        A request's id begins with its router's number, as ``start_load`` marks it.
        """
        return self.outages.known_at(f"r{int(request_id[:2], 16)}" if request_id else "", published_s)

    def _is_excused(self, name: str, sent_s: float) -> bool:
        """Whether a request begun then may go unanswered: its router was halted, or cut from its clients."""
        return self.outages.unavailable_since(name, sent_s) or bool(
            self.network.faults_either_way(CLIENTS, name)
        )

    # --- load

    def start_load(self, retry_elsewhere: bool = False) -> None:
        """Start clients at each router, until ``finish``.

        Where they ``roam``, a client that is rejected comes back at another router.
        """
        for number, router in enumerate(self.routers.values()):
            name = router.name
            load = LoadGenerator(
                router.client_port,
                self._requests_per_s,
                OBJECT_COUNT,
                self.seed * 1000 + number,
                self.rules.copy_served,
                f"{number:02x}",
                lambda sent_s, name=name: self._is_excused(name, sent_s),  # type: ignore[misc]
                RESEND_WINDOW_S + self.rules.slack_s - SLACK_S,
                [
                    other.client_port
                    for other in self.routers.values()
                    if retry_elsewhere and other is not router
                ],
            )
            self.loads[name] = load
            self._clients.append(asyncio.ensure_future(load.run(float("inf"))))

    def served_fraction(self, seconds: int = 3) -> float:
        """Return the share of requests that were served, over the last whole seconds whose answers are due.

        It is 1 where nothing was requested. The last three seconds' answers may still be under way.
        """
        sent = 0
        served = 0
        for load in self.loads.values():
            for second in load.counts_by_second[-seconds - 3 : -3]:
                sent += second.sent
                served += second.served
        return served / sent if sent else 1.0

    async def finish(self) -> dict[str, int]:
        """Stop the load, wait for the last answers and ask all checks; return the requests' counts.

        What the checks found is in ``violations``.
        """
        for load in self.loads.values():
            load.stop_sending()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.wait_for(asyncio.gather(*self._clients, return_exceptions=True), STARTUP_TIMEOUT_S)
        for check in self.checks:
            self.violations += check.violations(self)
        self.violations += [f"{count} times: {rule}" for rule, count in self.rules.violations.items()]
        self.violations += self.rules.examples[:MAX_EXAMPLES] if self.rules.violations else []
        return self.request_counts()
