"""A cluster of router processes and emulated peers, in which routers can be started, stopped, paused and
killed, and faults injected on every link.

The ends of links are the routers (r0, r1, ...), the endpoints by place (box1, hub1, origin), the change log
(``log``) and the clients (``clients``). Datagrams between routers go through a ``Switch``; all other traffic
uses streams, with one ``LinkProxy`` for each pair of processes.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Iterable
from pathlib import Path

from magpieshift.control import sexp
from magpieshift.control.schema import load_data, to_data
from magpieshift.lab.emulators import emulated_installation
from magpieshift.lab.emulators.client_connection import RESEND_WINDOW_S
from magpieshift.lab.emulators.load import LoadGenerator
from magpieshift.lab.emulators.protocol_checker import ProtocolChecker
from magpieshift.lab.fault_injection import checks, skewed_clock
from magpieshift.lab.fault_injection.admin_clients import STARTUP_TIMEOUT_S
from magpieshift.lab.fault_injection.environment import Environment
from magpieshift.lab.fault_injection.link_faults import CHANGE_LOG, CLIENTS, Network
from magpieshift.lab.fault_injection.outages import Halt
from magpieshift.lab.fault_injection.ports import free_ports
from magpieshift.lab.fault_injection.processes import PROGRAM, RouterProcesses
from magpieshift.lab.fault_injection.router_instance import RouterInstance
from magpieshift.lab.fault_injection.switch import Switch

OBJECT_COUNT = 400
"""Number of objects that clients request: few enough that caches fill within a run."""
SLACK_S = 0.05
"""Tolerance in seconds on the time limits of the rules, the same as the platform's."""
CHECK_INTERVAL_S = 0.2
"""Interval of the checks in seconds: short compared with the faults of any scenario."""
PORTS_PER_ROUTER = 5
"""Ports per router: for clients, two for admin servers, private and public for datagrams."""
VOTER_COUNT = 3
"""Number of voters in the setting ``council``: the fewest that tolerate the loss of one."""
MAX_EXAMPLES = 5
"""Maximum number of violations of the endpoints' rules that a report describes."""
COUNTED_FIELDS = {
    "sent": "sent",
    "served": "served",
    "refused": "rejected",
    "failed": "failed",
    "lost": "lost",
    "cut": "interrupted",
}
"""Fields of ``TrafficCounts`` that are reported, by their keys in reports."""


class Cluster(RouterProcesses):
    """Owns the endpoints, the network, the clients and all router processes.

    ``solo_quota``, ``digests`` and ``hand_over`` are the membership settings ``alone``, ``digests`` and
    ``hand-over``; ``seed_count`` routers are named in ``seeds``. ``requests_per_s`` is the total rate of the
    clients of one router. ``slack_s`` is the tolerance on the time limits of the rules: larger than the
    platform's where the verdict must not depend on the machine's load. ``clocks`` names the routers whose
    clocks can be changed.
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
        """The faults on links between processes."""
        self.switch = Switch(seed, self.network)
        self.rules = ProtocolChecker(slack_s, self._known_at)
        """Checker of the protocol's rules, shared by all endpoints and clients of the run."""
        self.checks: list[checks.Check] = checks.standard_checks()
        self.loads: dict[str, LoadGenerator] = {}
        """Load generators by the router to which they send requests first."""
        self.violations: list[str] = []
        """Violations found by the checks and rules; complete after ``finish``."""
        self._environment = Environment(self.network, self.rules, boxes, hubs, random.Random(seed))
        self._requests_per_s = requests_per_s
        self._seed_count = seed_count
        self._digests = digests
        self._hand_over = hand_over
        self._clients: list[asyncio.Task[None]] = []
        self._check_task: asyncio.Task[None] | None = None

    @property
    def endpoints(self) -> emulated_installation.EmulatedInstallation:
        """Return the emulated caches, parents and origin."""
        return self._environment.endpoints

    # --- start and stop

    async def __aenter__(self) -> Cluster:
        """Start everything except the routers."""
        self.folder.mkdir(parents=True, exist_ok=True)
        try:
            await self._start_environment()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(self, *error: object) -> None:
        """Stop everything that was started."""
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
            self.outages.router_unavailable(name)  # until ``wait_until_serving``
            await self._environment.start_log(name)
        await self.endpoints.start()
        for router in self.routers.values():
            await self._environment.start_proxies(router)
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
        data = emulated_installation.router_settings(router.name, router.port, log_port, self.count) | {
            "console": f"127.0.0.1:{router.admin_port}",
            "router-index": int(router.name[1:]),
            "members": members,
        }
        path = self.folder / f"{router.name}.sexp"
        document = load_data(data).document
        self.rules.hedged_classes = emulated_installation.hedged_classes(document)
        path.write_text(sexp.format_document(to_data(document)))
        if router.name in self._clocks:
            skewed_clock.write_clock(self._clock_path(router.name))

    async def _run_checks(self) -> None:
        """Periodically record the faults between routers and the change log, and call the checks."""
        while True:
            for name in self.routers:
                self.outages.record_log_faults(name, self.network.faults_either_way(name, CHANGE_LOG))
            for check in self.checks:
                check.observe(self, {})
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def close(self) -> None:
        """Stop everything that was started, also after an incomplete start."""
        if self._check_task is not None:
            self._check_task.cancel()
        for task in self._clients:
            task.cancel()
        await self.end_all()
        self.switch.close()
        await self._environment.close()

    # --- what the checks observe

    def halts(self) -> list[Halt]:
        """Return the periods in which processes were paused or dead."""
        return self.outages.halts

    def request_counts(self) -> dict[str, int]:
        """Return the number of requests by outcome, and of duplicate answers (``doubles``)."""
        counts = {
            name: sum(getattr(load.total, field) for load in self.loads.values())
            for name, field in COUNTED_FIELDS.items()
        }
        return counts | {"doubles": sum(load.duplicate_answers for load in self.loads.values())}

    def lost_examples(self) -> list[str]:
        """Return descriptions of the first lost requests of each load generator."""
        return [example for load in self.loads.values() for example in load.unanswered_examples]

    def max_total_quota(self) -> tuple[float, float]:
        """Return the greatest sum of all quotas in use, and its steady time in seconds."""
        return checks.QuotaCheck().max_total(self)

    def _known_at(self, request_id: str, published_s: float) -> float:
        """Return the Unix time at which the router that sent a request could know of an event.

        ``published_s`` is the Unix time at which the event was published. Request ids begin with the number
        of the request's router, see ``start_load``.
        """
        return self.outages.known_at(f"r{int(request_id[:2], 16)}" if request_id else "", published_s)

    def _is_excused(self, name: str, sent_s: float) -> bool:
        """Return whether a request sent at this time may have no answer, because of injected faults."""
        return self.outages.unavailable_since(name, sent_s) or bool(
            self.network.faults_either_way(CLIENTS, name)
        )

    # --- load

    def start_load(self, retry_elsewhere: bool = False) -> None:
        """Start a load generator for each router, until ``finish``.

        With ``retry_elsewhere``, clients retry rejected requests at another router.
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
        """Return the share of requests that were served, over this many seconds until three seconds ago.

        The last three seconds are left out, as their answers may still be outstanding. Returns 1 if there
        were no requests.
        """
        sent = 0
        served = 0
        for load in self.loads.values():
            for second in load.counts_by_second[-seconds - 3 : -3]:
                sent += second.sent
                served += second.served
        return served / sent if sent else 1.0

    async def finish(self) -> dict[str, int]:
        """Stop the load, wait for the last answers and evaluate all checks; return ``request_counts``.

        ``violations`` then contains what the checks found.
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
