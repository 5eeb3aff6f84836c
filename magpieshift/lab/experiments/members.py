"""Membership on a simulated network: the same state machines, thousands of seconds in one.

Everything is one heap of events under one fake clock, drawn from one seed: the same seed gives the same
history. A process that is paused takes its ticks and its datagrams when it wakes, as a real one does from its
socket's buffer.
"""

from __future__ import annotations

import heapq
import random
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from functools import partial
from itertools import count
from typing import Any

from magpieshift.membership.failure_detector import FailureDetector
from magpieshift.membership.member import Member, MembershipChange, MemberState
from magpieshift.membership.messages import Address, Datagram, SendDatagram
from magpieshift.membership.probing import TICK_INTERVAL_US
from magpieshift.membership.quota_lease import FLEET_SCOPE, QuotaLease
from magpieshift.membership.suspicion import DetectorTuning

SECOND = 1_000_000
BUFFER = 512  # datagrams that a socket keeps for a process that does not read
PORT = 7946


@dataclass
class Process:
    """One start of one simulated router."""

    name: str
    address: Address
    detector: FailureDetector
    shares: QuotaLease
    offset_us: int  # of its own clock
    rate: float  # of its own clock
    alive: bool = True
    paused_until: int = 0
    waiting: list[tuple[Address, Datagram]] = field(default_factory=list)

    def clock(self, now_us: int) -> int:
        return self.offset_us + int(now_us * self.rate)


@dataclass(frozen=True)
class Form:
    """What a fleet is set to."""

    routers: int
    seeds: int = 3
    alone: float = 0.5
    tuning: DetectorTuning = field(default_factory=DetectorTuning)
    drift: float = 0.01  # of clocks, at most


class Network:
    """Simulated processes and the ways between them."""

    def __init__(self, form: Form, seed: int) -> None:
        self.form = form
        self.now_us = 0
        self.rand = random.Random(seed)
        self.processes: dict[str, Process] = {}  # by name, the latest start
        self.by_address: dict[Address, Process] = {}
        self.loss = 0.0
        self.loss_at: dict[str, float] = {}  # of all datagrams to and from a member
        self.cut: Callable[[str, str], bool] = lambda a, b: False
        self.delay_us = (300, 3_000)
        self.sent = 0
        self.bytes = 0
        self.changes: list[tuple[int, str, MembershipChange]] = []  # time, at whom
        self.over_whole = 0  # instants at which shares summed to more than the whole
        self.most_share = 0.0
        self._checked_us = -SECOND
        self.size: Callable[[Datagram], int] = lambda datagram: 0
        self._heap: list[tuple[int, int, Callable[[], object]]] = []
        self._order = count()

    def at(self, when_us: int, do: Callable[[], object]) -> None:
        heapq.heappush(self._heap, (max(when_us, self.now_us), next(self._order), do))

    def address_of(self, name: str) -> Address:
        return "10.0.0." + name, PORT

    def start(self, name: str) -> Process:
        """A process of this name; a second start comes from nothing, under its old address."""
        form = self.form
        rand = random.Random(self.rand.getrandbits(64))
        host, port = self.address_of(name)
        own = Member(name, host, port, 1 + self.now_us // 1000, rand.getrandbits(32), zone="z")
        seeds = tuple(self.address_of(f"r{i}") for i in range(form.seeds))
        council = tuple(f"r{i}" for i in range(min(form.seeds, form.routers)))
        rate = 1 + rand.uniform(-form.drift, form.drift)
        offset = rand.randrange(10 * SECOND)
        now = offset + int(self.now_us * rate)
        detector = FailureDetector(own, "f", seeds, now, rand, form.tuning)
        shares = QuotaLease(own, council, {FLEET_SCOPE: form.routers}, form.alone, now, rand)
        process = Process(name, (host, port), detector, shares, offset, rate)
        detector.view.listeners.append(lambda change: self.changes.append((self.now_us, name, change)))
        detector.on_lease_message = lambda claim, sender, to: self._claims(
            process, shares.receive(process.clock(self.now_us), claim, sender, to, detector.view)
        )
        self.processes[name] = process
        self.by_address[process.address] = process
        self.at(self.now_us + rand.randrange(TICK_INTERVAL_US), lambda: self._tick(process))
        return process

    def kill(self, name: str) -> None:
        self.processes[name].alive = False

    def pause(self, name: str, for_us: int) -> None:
        process = self.processes[name]
        process.paused_until = max(process.paused_until, self.now_us + for_us)

    def leave(self, name: str) -> None:
        process = self.processes[name]
        self._carry(process, process.detector.leave(process.clock(self.now_us)))
        process.alive = False

    def run(self, until_us: int, look: Callable[[], bool] | None = None) -> bool:
        """Go on until then, or until ``look``, asked ten times a second, says so."""
        next_look = self.now_us
        while self._heap and self._heap[0][0] <= until_us:
            self.now_us, _, do = heapq.heappop(self._heap)
            do()
            if look is not None and self.now_us >= next_look:
                next_look = self.now_us + SECOND // 10
                if look():
                    return True
        self.now_us = until_us
        return look is not None and look()

    def living(self) -> list[Process]:
        return [p for p in self.processes.values() if p.alive]

    def agreed(self, names: Iterable[str] | None = None) -> bool:
        """Whether all who live have the same view, of exactly those who live, each at its present start."""
        living = self.living()
        there = sorted(p.detector.view.own.name for p in living)
        wanted = [p for p in living if names is None or p.name in set(names)]
        return len({p.detector.view.digest for p in wanted}) == 1 and all(
            [known.member.name for known in p.detector.view.present_members()] == there for p in wanted
        )

    # --- what happens

    def _tick(self, process: Process) -> None:
        if not process.alive:
            return
        if self.now_us < process.paused_until:
            return self.at(process.paused_until, lambda: self._tick(process))
        self.check_shares()
        now = process.clock(self.now_us)
        self._carry(process, process.detector.tick(now))
        self._claims(process, process.shares.tick(now, process.detector.view))
        waiting = process.waiting
        process.waiting = []
        for source, datagram in waiting:
            self._carry(process, process.detector.receive(now, source, datagram))
        # its own clock says when the next is due
        self.at(self.now_us + int(TICK_INTERVAL_US / process.rate), lambda: self._tick(process))

    def _claims(self, process: Process, claims: Iterable[tuple[Address, Any]]) -> None:
        for to, claim in claims:
            process.detector.send(to, claim)
        self._carry(process, process.detector.flush())

    def _carry(self, process: Process, sends: Sequence[SendDatagram]) -> None:
        for send in sends:
            self.sent += 1
            self.bytes += self.size(send.datagram)
            target = self.by_address.get(send.destination)
            if target is None or self.cut(process.name, target.name):
                continue
            lost = 1 - (1 - self.loss) * (1 - self.loss_at.get(process.name, 0.0)) * (
                1 - self.loss_at.get(target.name, 0.0)
            )
            if lost and self.rand.random() < lost:
                continue
            when = self.now_us + self.rand.randrange(*self.delay_us)
            self.at(when, partial(self._arrive, target, process.address, send.datagram))

    def _arrive(self, process: Process, source: Address, datagram: Datagram) -> None:
        if not process.alive:
            return
        if self.now_us < process.paused_until:
            if len(process.waiting) < BUFFER:
                process.waiting.append((source, datagram))
            return
        self._carry(process, process.detector.receive(process.clock(self.now_us), source, datagram))

    def check_shares(self) -> None:
        """What all who live, paused ones included, might use at this instant; looked at every 5 ms."""
        if self.now_us - self._checked_us < 5_000:
            return
        self._checked_us = self.now_us
        total = sum(
            p.shares.quota(FLEET_SCOPE, p.clock(self.now_us)) for p in self.processes.values() if p.alive
        )
        self.most_share = max(self.most_share, total)
        self.over_whole += total > 1.0 + 1e-9


def grown(form: Form, seed: int, most_s: float = 60.0) -> Network:
    """A fleet that has come together."""
    network = Network(form, seed)
    for number in range(form.routers):
        name = f"r{number}"
        network.at(network.rand.randrange(SECOND), partial(network.start, name))
    network.run(SECOND)
    network.run(int(most_s * SECOND), network.agreed)
    return network


def _percentile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0


def false_removals(network: Network, since: int = 0) -> int:
    """How often somebody who lived was held to be gone."""
    return sum(
        1
        for at, _, change in network.changes[since:]
        if change.new_state == MemberState.DEAD and network.processes[change.name].alive
    )


@dataclass
class Outcome:
    """What came of one fleet's trial; times in seconds."""

    routers: int
    seed: int
    router_hours: float = 0.0
    false_removals: int = 0
    false_suspicions: int = 0
    detect_p50_s: float = 0.0
    detect_p99_s: float = 0.0
    gone_p99_s: float = 0.0
    agree_after_heal_s: float = 0.0
    messages_per_member_s: float = 0.0
    bytes_per_member_s: float = 0.0
    flaps: int = 0
    share_over_whole: int = 0
    most_share: float = 0.0
    real_s: float = 0.0


def play(
    routers: int,
    seed: int,
    minutes: float = 2.0,
    loss: float = 0.3,
    pauses: bool = True,
    tuning: DetectorTuning | None = None,
    size: Callable[[Datagram], int] | None = None,
    deaths: int = 5,
) -> Outcome:
    """One fleet: quiet for its cost, then loss and pauses of up to 5 s, then so many deaths, then
    a partition into halves and its healing."""
    began = time.perf_counter()
    form = Form(routers, tuning=tuning or DetectorTuning())
    network = grown(form, seed)
    if size is not None:
        network.size = size
    out = Outcome(routers, seed)
    names = sorted(network.processes)
    start = network.now_us
    network.sent = 0
    network.bytes = 0
    network.run(start + 10 * SECOND)
    out.messages_per_member_s = round(network.sent / 10 / routers, 1)
    out.bytes_per_member_s = round(network.bytes / 10 / routers)
    # loss and pauses
    network.size = lambda datagram: 0
    network.loss = loss
    mark = len(network.changes)
    start = network.now_us
    end = start + int(minutes * 60 * SECOND)
    if pauses:
        for name in names:
            when = start + network.rand.randrange(30 * SECOND)
            while when < end - 6 * SECOND:
                for_us = network.rand.randrange(50_000, 5 * SECOND)
                network.at(when, partial(network.pause, name, for_us))
                when += for_us + network.rand.randrange(10 * SECOND, 60 * SECOND)
    network.run(end)
    out.router_hours = round(routers * minutes / 60, 2)
    out.false_removals = false_removals(network, mark)
    noted = [change for _, _, change in network.changes[mark:]]
    out.false_suspicions = sum(change.new_state == MemberState.SUSPECT for change in noted)
    out.flaps = sum(change.new_state == MemberState.DEAD for change in noted)
    network.loss = 0.0
    network.run(network.now_us + 10 * SECOND)
    # deaths, one after another
    noticed: list[float] = []
    gone: list[float] = []
    for name in network.rand.sample(names, min(deaths, routers // 3)):
        network.kill(name)
        died = network.now_us
        mark = len(network.changes)
        network.run(died + 20 * SECOND)
        firsts: dict[tuple[str, MemberState], int] = {}
        for at, who, change in network.changes[mark:]:
            if change.name == name:
                firsts.setdefault((who, change.new_state), at)
        for other in network.living():
            seen = [
                at
                for (who, after), at in firsts.items()
                if who == other.name and after in (MemberState.SUSPECT, MemberState.DEAD)
            ]
            noticed.append((min(seen) - died) / 1e6 if seen else 20.0)
            gone.append((firsts.get((other.name, MemberState.DEAD), died + 20 * SECOND) - died) / 1e6)
        network.start(name)
        network.run(network.now_us + 10 * SECOND)
    out.detect_p50_s = _percentile(noticed, 0.5)
    out.detect_p99_s = _percentile(noticed, 0.99)
    out.gone_p99_s = _percentile(gone, 0.99)
    # two halves, and their healing
    half = set(names[: routers // 2])
    network.cut = lambda a, b: (a in half) != (b in half)
    network.run(network.now_us + 20 * SECOND)
    network.cut = lambda a, b: False
    healed = network.now_us
    network.run(healed + 60 * SECOND, network.agreed)
    out.agree_after_heal_s = (network.now_us - healed) / 1e6
    network.run(network.now_us + 10 * SECOND)
    out.share_over_whole = network.over_whole
    out.most_share = round(network.most_share, 4)
    out.real_s = round(time.perf_counter() - began, 1)
    return out
