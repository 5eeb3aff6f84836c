"""Membership on a simulated network: runs the routers' own failure detectors and quota leases, thousands of
simulated seconds per second.

All events are in one heap, ordered by one simulated clock, and all random values come from one seed, so that
the same seed gives the same history. A paused process ticks once when it resumes and then receives the
datagrams that arrived meanwhile, at most ``SOCKET_BUFFER_DATAGRAMS``, as a real one reads them from its
socket's buffer.
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

SECOND_US = 1_000_000
"""A second in microseconds."""
SOCKET_BUFFER_DATAGRAMS = 512
"""Capacity of a socket's receive buffer in datagrams; with a larger one, a process receives more at once when
it resumes."""
PORT = 7946
"""Port of all simulated routers. Its value has no influence; 7946 is the default of memberlist."""
STARTUP_SPAN_US = SECOND_US
"""Time within which the routers of a fleet start."""
MAX_CLOCK_OFFSET_US = 10 * SECOND_US
"""Upper limit of the initial offset of a process's clock from the network's clock."""
QUOTA_CHECK_INTERVAL_US = 5_000
"""Minimum interval between two checks of the total quota: well below a tick, the interval at which quotas
change."""
QUOTA_TOLERANCE = 1e-9
"""Excess of the total quota over 1 that is attributed to rounding of floating-point sums."""
CONDITION_CHECKS_PER_S = 10
"""Rate at which ``Network.run`` evaluates its condition, in simulated time."""


@dataclass
class Process:
    """One process of a simulated router; a restart creates another."""

    name: str
    address: Address
    detector: FailureDetector
    quota_lease: QuotaLease
    clock_offset_us: int
    """Reading of its own clock, in microseconds, when the network's clock is at 0."""
    clock_rate: float
    """Rate of its own clock relative to the network's clock."""
    alive: bool = True
    """False once it was killed or shut down."""
    paused_until_us: int = 0
    """End of its latest pause on the network's clock; not in the future for a running process."""
    unread: list[tuple[Address, Datagram]] = field(default_factory=list)
    """Datagrams that arrived while it was paused, with their senders."""

    def clock(self, now_us: int) -> int:
        """Return the reading of its own clock at a time of the network's clock, both in microseconds."""
        return self.clock_offset_us + int(now_us * self.clock_rate)


@dataclass(frozen=True)
class FleetSettings:
    """Settings of a simulated fleet."""

    routers: int
    """Number of routers."""
    seed_count: int = 3
    """Number of routers that are seeds in all routers' settings, and voters of the quota lease."""
    solo_quota: float = 0.5
    """Share of the total quota that the routers divide evenly and may use without a lease."""
    tuning: DetectorTuning = field(default_factory=DetectorTuning)
    """Settings of the failure detector."""
    max_clock_drift: float = 0.01
    """Upper limit of the deviation of a clock's rate from 1."""


@dataclass(frozen=True)
class ObservedChange:
    """A change of a member's state in one router's view."""

    at_us: int
    """Time of the change on the network's clock."""
    observer: str
    """Name of the router whose view changed."""
    change: MembershipChange


class Network:
    """Simulated processes and the links between them."""

    def __init__(self, settings: FleetSettings, seed: int) -> None:
        self.settings = settings
        self.now_us = 0
        self.rand = random.Random(seed)
        self.processes: dict[str, Process] = {}
        """Latest process of each router, by name."""
        self.by_address: dict[Address, Process] = {}
        """Processes to which datagrams are delivered, by address."""
        self.loss = 0.0
        """Loss rate of all datagrams, from 0 to 1."""
        self.loss_at: dict[str, float] = {}
        """Additional loss rate of the datagrams to and from a member, by name."""
        self.cut: Callable[[str, str], bool] = lambda source, target: False
        """Whether the link from one process to another is cut, given the names of source and target."""
        self.delay_us = (300, 3_000)
        """Range of a datagram's random delay; the end is exclusive."""
        self.sent = 0
        """Number of datagrams sent."""
        self.bytes = 0
        """Number of bytes sent, according to ``size``."""
        self.changes: list[ObservedChange] = []
        """All changes in the routers' views, in the order of time."""
        self.quota_excesses = 0
        """Number of checks in which the sum of all quotas in use exceeded 1."""
        self.max_total_quota = 0.0
        """Largest sum of all quotas in use."""
        self._quotas_checked_us = -SECOND_US
        self.size: Callable[[Datagram], int] = lambda datagram: 0
        """Returns the size of a datagram on the wire in bytes; by default datagrams count as empty."""
        self._heap: list[tuple[int, int, Callable[[], object]]] = []
        self._order = count()

    def schedule(self, at_us: int, action: Callable[[], object]) -> None:
        """Schedule an action for a time on the network's clock, or for now if that time is past."""
        heapq.heappush(self._heap, (max(at_us, self.now_us), next(self._order), action))

    def address_of(self, name: str) -> Address:
        """Return the address that a router's processes have."""
        return "10.0.0." + name, PORT

    def start(self, name: str) -> Process:
        """Start a process of a router. It replaces the router's earlier one, at the same address and without
        stored state."""
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
        """End a process at once, without notice to the others."""
        self.processes[name].alive = False

    def pause(self, name: str, duration_us: int) -> None:
        """Pause a process for a duration from now on; a longer pause in progress stays."""
        process = self.processes[name]
        process.paused_until_us = max(process.paused_until_us, self.now_us + duration_us)

    def leave(self, name: str) -> None:
        """Shut a process down gracefully: it announces its departure to others before it ends."""
        process = self.processes[name]
        self._transmit(process, process.detector.leave(process.clock(self.now_us)))
        process.alive = False

    def run(self, until_us: int, condition: Callable[[], bool] | None = None) -> bool:
        """Run until a time, or until the condition holds. Returns whether it holds.

        The condition is evaluated ``CONDITION_CHECKS_PER_S`` times per simulated second.
        """
        next_check_us = self.now_us
        while self._heap and self._heap[0][0] <= until_us:
            self.now_us, _, action = heapq.heappop(self._heap)
            action()
            if condition is not None and self.now_us >= next_check_us:
                next_check_us = self.now_us + SECOND_US // CONDITION_CHECKS_PER_S
                if condition():
                    return True
        self.now_us = until_us
        return condition is not None and condition()

    def living(self) -> list[Process]:
        """Return the processes that have not ended, including paused ones."""
        return [process for process in self.processes.values() if process.alive]

    def views_agree(self, names: Iterable[str] | None = None) -> bool:
        """Whether the named processes (by default all living ones) have the same view.

        The view must contain exactly the living processes, each with its latest incarnation.
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
        # The tick interval is measured by the process's own clock.
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
        """Record the sum of the quotas that all living processes, including paused ones, may use now."""
        if self.now_us - self._quotas_checked_us < QUOTA_CHECK_INTERVAL_US:
            return
        self._quotas_checked_us = self.now_us
        total = sum(
            process.quota_lease.quota(FLEET_SCOPE, process.clock(self.now_us)) for process in self.living()
        )
        self.max_total_quota = max(self.max_total_quota, total)
        self.quota_excesses += total > 1.0 + QUOTA_TOLERANCE


def started_network(settings: FleetSettings, seed: int, timeout_s: float = 60.0) -> Network:
    """Start a fleet, and return it once its views agree or the timeout has passed."""
    network = Network(settings, seed)
    for number in range(settings.routers):
        name = f"r{number}"
        network.schedule(network.rand.randrange(STARTUP_SPAN_US), partial(network.start, name))
    network.run(STARTUP_SPAN_US)
    network.run(int(timeout_s * SECOND_US), network.views_agree)
    return network
