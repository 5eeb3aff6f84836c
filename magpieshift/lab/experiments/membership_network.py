"""Membership on a simulated network: the same state machines, thousands of seconds in one.

Everything is one heap of events under one fake clock, drawn from one seed: the same seed gives the same
history. A process that is paused takes one tick when it resumes, and the datagrams that came meanwhile, at
most ``SOCKET_BUFFER_DATAGRAMS``, as a real one does from its socket's buffer.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import count

from magpieshift.membership.failure_detector import FailureDetector
from magpieshift.membership.member import Member, MembershipChange
from magpieshift.membership.messages import Address, Datagram, LeaseMessage, SendDatagram
from magpieshift.membership.probing import TICK_INTERVAL_US
from magpieshift.membership.quota_lease import FLEET_SCOPE, QuotaLease
from magpieshift.membership.suspicion import DetectorTuning

SECOND = 1_000_000
"""A second in microseconds."""
SOCKET_BUFFER_DATAGRAMS = 512
"""Datagrams that a socket keeps for a process that does not read; with more it takes
more at once when it resumes."""
PORT = 7946
"""Port of all simulated routers: the default of memberlist, no other matters."""
STARTUP_SPAN_US = SECOND
"""Time over which a fleet's routers start."""
MAX_CLOCK_OFFSET_US = 10 * SECOND
"""Most by which a process's clock differs from the network's."""
QUOTA_CHECK_INTERVAL_US = 5_000
"""Time between two sums of all quotas: well below a tick, in which quotas change."""
QUOTA_TOLERANCE = 1e-9
"""Excess of the total over the whole that is the error of float sums."""
CONDITION_CHECKS_PER_S = 10
"""How often ``Network.run`` asks its condition."""


@dataclass
class Process:
    """One start of one simulated router."""

    name: str
    address: Address
    detector: FailureDetector
    quota_lease: QuotaLease
    clock_offset_us: int
    """Its own clock when the network's is 0."""
    clock_rate: float
    """Its own clock's, 1 is true."""
    alive: bool = True
    """Whether it was neither killed nor shut down."""
    paused_until_us: int = 0
    """On the network's clock; in the past for a process that runs."""
    unread: list[tuple[Address, Datagram]] = field(default_factory=list)
    """Datagrams that arrived while it was paused, with their senders."""

    def clock(self, now_us: int) -> int:
        """Return its own clock at a time of the network's, in microseconds."""
        return self.clock_offset_us + int(now_us * self.clock_rate)


@dataclass(frozen=True)
class FleetSettings:
    """What a fleet is set to."""

    routers: int
    """Number of routers."""
    seed_count: int = 3
    """Routers that all others know from their settings; they are the voters as well."""
    solo_quota: float = 0.5
    """Quota of a router that knows of no other, a share of the whole."""
    tuning: DetectorTuning = field(default_factory=DetectorTuning)
    """Settings of the failure detector."""
    max_clock_drift: float = 0.01
    """Most by which the rate of a clock differs from 1."""


@dataclass(frozen=True)
class ObservedChange:
    """A change of a member's state that one router saw."""

    at_us: int
    """On the network's clock."""
    observer: str
    """The router that saw it."""
    change: MembershipChange


class Network:
    """Simulated processes and the links between them."""

    def __init__(self, settings: FleetSettings, seed: int) -> None:
        self.settings = settings
        self.now_us = 0
        self.rand = random.Random(seed)
        self.processes: dict[str, Process] = {}
        """By name, the latest start of each."""
        self.by_address: dict[Address, Process] = {}
        """The processes that datagrams reach."""
        self.loss = 0.0
        """Share of all datagrams lost."""
        self.loss_at: dict[str, float] = {}
        """Share of the datagrams to and from a member that are lost besides."""
        self.cut: Callable[[str, str], bool] = lambda source, target: False
        """Whether no datagram passes from one process to another."""
        self.delay_us = (300, 3_000)
        """Least delay of a datagram, and the end of its range."""
        self.sent = 0
        """Datagrams sent."""
        self.bytes = 0
        """Bytes sent, as ``size`` counts them."""
        self.changes: list[ObservedChange] = []
        """All changes that routers saw, in order."""
        self.quota_excesses = 0
        """Instants at which the quotas in use came to more than the whole."""
        self.max_total_quota = 0.0
        """The most that the quotas in use came to."""
        self._quotas_checked_us = -SECOND
        self.size: Callable[[Datagram], int] = lambda datagram: 0
        """Bytes of a datagram on the wire."""
        self._heap: list[tuple[int, int, Callable[[], object]]] = []
        self._order = count()

    def schedule(self, at_us: int, action: Callable[[], object]) -> None:
        """Run an action at a time, or now if that is over."""
        heapq.heappush(self._heap, (max(at_us, self.now_us), next(self._order), action))

    def address_of(self, name: str) -> Address:
        """Return the address at which a process of this name starts."""
        return "10.0.0." + name, PORT

    def start(self, name: str) -> Process:
        """Start a process of this name; a second start has no memory of the first, and its address."""
        settings = self.settings
        rand = random.Random(self.rand.getrandbits(64))
        host, port = self.address_of(name)
        own = Member(name, host, port, 1 + self.now_us // 1000, rand.getrandbits(32), zone="z")
        seeds = tuple(self.address_of(f"r{i}") for i in range(settings.seed_count))
        voters = tuple(f"r{i}" for i in range(min(settings.seed_count, settings.routers)))
        rate = 1 + rand.uniform(-settings.max_clock_drift, settings.max_clock_drift)
        offset = rand.randrange(MAX_CLOCK_OFFSET_US)
        now = offset + int(self.now_us * rate)
        detector = FailureDetector(own, "f", seeds, now, rand, settings.tuning)
        quota_lease = QuotaLease(own, voters, {FLEET_SCOPE: settings.routers}, settings.solo_quota, now, rand)
        process = Process(name, (host, port), detector, quota_lease, offset, rate)
        detector.view.listeners.append(
            lambda change: self.changes.append(ObservedChange(self.now_us, name, change))
        )
        detector.on_lease_message = lambda message, sender, receiver: self._send_lease_messages(
            process,
            quota_lease.receive(process.clock(self.now_us), message, sender, receiver, detector.view),
        )
        self.processes[name] = process
        self.by_address[process.address] = process
        self.schedule(self.now_us + rand.randrange(TICK_INTERVAL_US), lambda: self._tick(process))
        return process

    def kill(self, name: str) -> None:
        """End a process at once, unknown to the others."""
        self.processes[name].alive = False

    def pause(self, name: str, duration_us: int) -> None:
        """Halt a process for so long from now on."""
        process = self.processes[name]
        process.paused_until_us = max(process.paused_until_us, self.now_us + duration_us)

    def leave(self, name: str) -> None:
        """Shut a process down gracefully: it tells others before it ends."""
        process = self.processes[name]
        self._transmit(process, process.detector.leave(process.clock(self.now_us)))
        process.alive = False

    def run(self, until_us: int, condition: Callable[[], bool] | None = None) -> bool:
        """Run until that time, or until the condition holds; return whether it does.

        The condition is asked ten times a second.
        """
        next_check_us = self.now_us
        while self._heap and self._heap[0][0] <= until_us:
            self.now_us, _, action = heapq.heappop(self._heap)
            action()
            if condition is not None and self.now_us >= next_check_us:
                next_check_us = self.now_us + SECOND // CONDITION_CHECKS_PER_S
                if condition():
                    return True
        self.now_us = until_us
        return condition is not None and condition()

    def living(self) -> list[Process]:
        """Return the processes that have not ended, paused ones included."""
        return [process for process in self.processes.values() if process.alive]

    def views_agree(self, names: Iterable[str] | None = None) -> bool:
        """Whether these processes, or all living ones, have one view, of exactly the living ones.

        Each must be seen at its last start.
        """
        living = self.living()
        living_names = sorted(process.detector.view.own.name for process in living)
        views = [process.detector.view for process in living if names is None or process.name in set(names)]
        return len({view.digest for view in views}) == 1 and all(
            [known.member.name for known in view.present_members()] == living_names for view in views
        )

    # --- events

    def _tick(self, process: Process) -> None:
        if not process.alive:
            return
        if self.now_us < process.paused_until_us:
            self.schedule(process.paused_until_us, lambda: self._tick(process))
            return
        self.check_quotas()
        now = process.clock(self.now_us)
        self._transmit(process, process.detector.tick(now))
        self._send_lease_messages(process, process.quota_lease.tick(now, process.detector.view))
        unread = process.unread
        process.unread = []
        for source, datagram in unread:
            self._transmit(process, process.detector.receive(now, source, datagram))
        # its own clock says when the next is due
        self.schedule(self.now_us + int(TICK_INTERVAL_US / process.clock_rate), lambda: self._tick(process))

    def _send_lease_messages(
        self, process: Process, messages: Iterable[tuple[Address, LeaseMessage]]
    ) -> None:
        for destination, message in messages:
            process.detector.send(destination, message)
        self._transmit(process, process.detector.flush())

    def _transmit(self, process: Process, sends: Sequence[SendDatagram]) -> None:
        for send in sends:
            self.sent += 1
            self.bytes += self.size(send.datagram)
            target = self.by_address.get(send.destination)
            if target is None or self.cut(process.name, target.name):
                continue
            loss = 1 - (1 - self.loss) * (1 - self.loss_at.get(process.name, 0.0)) * (
                1 - self.loss_at.get(target.name, 0.0)
            )
            if loss and self.rand.random() < loss:
                continue
            arrival_us = self.now_us + self.rand.randrange(*self.delay_us)
            self.schedule(arrival_us, partial(self._arrive, target, process.address, send.datagram))

    def _arrive(self, process: Process, source: Address, datagram: Datagram) -> None:
        if not process.alive:
            return
        if self.now_us < process.paused_until_us:
            if len(process.unread) < SOCKET_BUFFER_DATAGRAMS:
                process.unread.append((source, datagram))
            return
        self._transmit(process, process.detector.receive(process.clock(self.now_us), source, datagram))

    def check_quotas(self) -> None:
        """Record what all living processes, paused ones included, may use at this instant in all."""
        if self.now_us - self._quotas_checked_us < QUOTA_CHECK_INTERVAL_US:
            return
        self._quotas_checked_us = self.now_us
        total = sum(
            process.quota_lease.quota(FLEET_SCOPE, process.clock(self.now_us)) for process in self.living()
        )
        self.max_total_quota = max(self.max_total_quota, total)
        self.quota_excesses += total > 1.0 + QUOTA_TOLERANCE


def started_network(settings: FleetSettings, seed: int, timeout_s: float = 60.0) -> Network:
    """Return a fleet whose views agree, or that has not agreed until the timeout."""
    network = Network(settings, seed)
    for number in range(settings.routers):
        name = f"r{number}"
        network.schedule(network.rand.randrange(STARTUP_SPAN_US), partial(network.start, name))
    network.run(STARTUP_SPAN_US)
    network.run(int(timeout_s * SECOND), network.views_agree)
    return network
