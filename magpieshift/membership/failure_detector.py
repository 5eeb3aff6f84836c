"""SWIM-like failure detection among routers. A state machine of datagrams and time; no I/O.

Each member monitors its next ``MONITORED_PEERS`` successors on a ring, pings each of them every round, and
retries directly and through another member. It reports a member from which no heartbeat arrived for
``HEARTBEAT_TIMEOUT_US``, and the reports are disseminated. A member is suspect while reports by
``SUSPICION_QUORUM`` different members hold, and dead once it was suspect for ``SUSPICION_TIMEOUT_US``; each
router decides this for itself. A later heartbeat of the member refutes the reports.

A router that receives no datagrams or has just resumed from a pause neither reports members nor declares them
dead, since it is then itself the cause of the silence.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from magpieshift.membership.admission import DatagramAdmission
from magpieshift.membership.counters import MembershipCounters
from magpieshift.membership.dissemination import Dissemination, Outbox
from magpieshift.membership.indirect_pings import IndirectPings
from magpieshift.membership.local_health import HEARTBEAT_TIMEOUT_US, LocalHealth
from magpieshift.membership.member import MAX_TEXT_CHARACTERS, Member, MemberState
from magpieshift.membership.member_table import MemberTable
from magpieshift.membership.messages import (
    Ack,
    Address,
    Body,
    Datagram,
    ExtensionMessage,
    LeaseMessage,
    Ping,
    PingRequest,
    SendDatagram,
    Sync,
)
from magpieshift.membership.name_conflict import NameConflict
from magpieshift.membership.pings import PING_TIMEOUT_US, PendingPings
from magpieshift.membership.probing import TICKS_PER_ROUND, Probing
from magpieshift.membership.reconnection import Reconnection
from magpieshift.membership.record_merger import RecordMerger
from magpieshift.membership.suspicion import (
    MONITORED_PEERS,
    SUSPICION_TIMEOUT_US,
    DetectorTuning,
    Suspicion,
)
from magpieshift.membership.synchronization import Synchronization
from magpieshift.membership.unknown_peers import UnknownPeers

GOSSIP_INTERVAL_TICKS = 2  # ticks between two transmissions of updates
GOSSIP_FANOUT = 2  # random members that receive each transmission, while there are updates
# Fan-out of a router that was recently reported itself: its heartbeat has to reach the others by more paths.
REPORTED_FANOUT = 6
LEAVE_FANOUT = 2 * MONITORED_PEERS  # random members notified of a leave, in addition to the ring successors
BOOT_ID_SUFFIX_CHARACTERS = 9  # appended to the name that lost a name conflict: "~" and eight hex digits


def _ignore_lease_message(message: LeaseMessage, sender: Member, source: Address) -> None:
    """Handles lease messages while no quota lease is attached: drops them."""


def _ignore_extension_message(message: ExtensionMessage, sender: Member) -> None:
    """Handles extension messages while no extension is attached: drops them."""


class FailureDetector:
    """The membership state machine of one router."""

    def __init__(
        self,
        own: Member,
        fleet: str,
        seeds: tuple[Address, ...],
        now_us: int,
        rand: random.Random,
        tuning: DetectorTuning = DetectorTuning(),  # noqa: B008, it is frozen
    ) -> None:
        """``own`` is this router's first record; ``seeds`` are the addresses that it contacts to join."""
        self.view = MemberTable(own, now_us)
        self.counters = MembershipCounters()
        self.superseded = False  # a successor process has taken over this name: this one stops probing
        self.expects_successor = False  # during a replacement, a second process of this name is no conflict
        self.on_lease_message: Callable[[LeaseMessage, Member, Address], None] = _ignore_lease_message
        self.on_extension_message: Callable[[ExtensionMessage, Member], None] = _ignore_extension_message
        self._tuning = tuning
        self._health = LocalHealth(now_us)
        self._dissemination = Dissemination(self.view)
        self._outbox = Outbox(fleet, self.view, self._dissemination, self.counters)
        self._admission = DatagramAdmission(fleet, self.view, self.counters)
        self._pings = PendingPings(rand)
        self._probing = Probing(self.view, self._outbox, self._pings, rand, tuning.monitored_peers)
        self._suspicion = Suspicion(self.view, self._dissemination, tuning)
        self._synchronization = Synchronization(self.view, self._dissemination, self._outbox, rand)
        self._reconnection = Reconnection(self.view, self._outbox, self._synchronization, seeds, rand)
        self._name_conflict = NameConflict(self.view, self._dissemination)
        self._merger = RecordMerger(self.view, self._dissemination, self._suspicion, self._name_conflict)
        self._unknown_peers = UnknownPeers(self._outbox, self._pings)
        self._indirect_pings = IndirectPings(self.view, self._outbox, self._pings)
        self._tick_count = 0
        self._last_reported_us = -SUSPICION_TIMEOUT_US  # when a report that suspects this router last arrived

    # --- reading

    @property
    def now_us(self) -> int:
        """The time of the last tick or received datagram."""
        return self._health.now_us

    @property
    def isolated(self) -> bool:
        """Whether no member's datagram arrived within the heartbeat timeout, although others are present."""
        return self._health.is_isolated(self.view.present_count)

    @property
    def locally_healthy(self) -> bool:
        """Whether this router may report others: it is not isolated and was not paused recently."""
        return self._health.is_healthy(self.view.present_count)

    @property
    def eligible_reporters(self) -> int:
        """The number of possible reporters: alive members, this router included, that it does not report."""
        return self._suspicion.eligible_reporters

    # --- time

    def tick(self, now_us: int) -> list[SendDatagram]:
        """Advance by one tick, to be called every ``TICK_INTERVAL_US``; returns the datagrams to send."""
        if self._health.tick(now_us):
            self._resume_from_pause()
        self._tick_count += 1
        tick_in_round = self._tick_count % TICKS_PER_ROUND
        if tick_in_round == 0:
            self.view.update_own()
            self.view.forget_departed(now_us)
            self._expire()
        if self.superseded:
            return self.flush()
        self._probing.tick(now_us, tick_in_round)
        if tick_in_round == 0:
            self._begin_round()
        if self._tick_count % GOSSIP_INTERVAL_TICKS == 0:
            self._send_updates()
        self._update_states()
        return self.flush()

    def _resume_from_pause(self) -> None:
        """Restart all suspicions: this process may have missed heartbeats while it was paused."""
        self.counters.slept += 1
        if not self._tuning.local_health:
            return
        self._health.resume()
        for known in self.view.members.values():
            if known.state == MemberState.SUSPECT:
                known.state_since_us = self.now_us
            self.view.remove_suspicion(known.member.name, self.view.own.name)

    def _begin_round(self) -> None:
        """Contact a random member, an absent seed, a dead member, and another process of this name."""
        for member in self._probing.random_members(1):
            self._probing.ping(self.now_us, member)
        self._reconnection.contact_absent_seed(self.now_us)
        self._reconnection.contact_dead_member(self.now_us)
        other_process = self._name_conflict.next_ping_target()
        if other_process is not None:
            self._probing.ping(self.now_us, other_process, other_process)

    def _expire(self) -> None:
        sent_before_us = self.now_us - PING_TIMEOUT_US
        for ping in self._pings.expire(sent_before_us):
            self._unknown_peers.forget(ping)
        self._admission.forget_idle(sent_before_us)

    def _update_states(self) -> None:
        may_report = self.locally_healthy or not self._tuning.local_health
        if may_report:
            self._suspicion.report_silent(
                self.now_us,
                self._probing.monitored_since,
                self._health.resumed_us,
                self._health.heartbeat_timeout_us,
            )
        self._suspicion.update_states(self.now_us, may_report)

    # --- sending

    def _send_updates(self) -> None:
        fanout = GOSSIP_FANOUT if self._dissemination.updates else 0
        if self.now_us - self._last_reported_us < HEARTBEAT_TIMEOUT_US:
            fanout = REPORTED_FANOUT
        for member in self._probing.random_members(fanout):
            self._outbox.send_to(member, None)

    def leave(self, now_us: int) -> list[SendDatagram]:
        """Leave the fleet; returns the datagrams to send, to several members because each may be lost."""
        self._health.now_us = now_us
        if not self.superseded:
            self.view.update_own(has_left=True)
            successors = zip(
                self.view.ring_successors(self.view.own.name), range(MONITORED_PEERS), strict=False
            )
            receivers = {known.member.name: known.member for known, _ in successors}
            receivers |= {member.name: member for member in self._probing.random_members(LEAVE_FANOUT)}
            for member in receivers.values():
                self._outbox.send_to(member, None)
        return self.flush()

    def update_own_record(self, **fields: object) -> None:
        """Update fields of this router's ``Member`` record; a change of load alone is not disseminated."""
        own = self.view.own
        changes = {name: value for name, value in fields.items() if getattr(own, name) != value}
        if changes:
            self.view.update_own(**changes)
            if set(changes) - {"open_requests"}:
                self._dissemination.spread_member(self.view.own)

    def send(self, destination: Address, body: Body) -> None:
        """Queue a message of another state machine, such as the quota lease, for the next flush."""
        self._outbox.send(destination, body)

    def send_extension_message(self, member: Member, topic: str, data: bytes) -> None:
        """Queue an extension's message for the next flush."""
        self._outbox.send_to(member, ExtensionMessage(topic, data))

    def flush(self) -> list[SendDatagram]:
        """Remove and return the queued datagrams."""
        return self._outbox.flush()

    # --- receiving

    def receive(self, now_us: int, source: Address, datagram: Datagram) -> list[SendDatagram]:
        """Process a datagram; returns the datagrams to send."""
        self._health.now_us = max(self.now_us, now_us)
        if not self._admission.admits(self.now_us, source, datagram):
            return []
        sender = datagram.sender
        is_member = self._admit_sender(sender, datagram)
        if is_member:
            self._health.record_datagram()
            if self._merger.merge_datagram(self.now_us, datagram):
                self._last_reported_us = self.now_us
            if datagram.view_digest != self.view.digest:
                self._synchronization.synchronize(self.now_us, sender)
        self._receive_body(datagram.body, sender, is_member)
        return self.flush()

    def _admit_sender(self, sender: Member, datagram: Datagram) -> bool:
        """Return whether the sender is a present member; merges its record if so and challenges it if not."""
        if sender.name == self.view.own.name:
            self._name_conflict.observe(sender)
            return False
        known = self.view.members.get(sender.name)
        if known is not None:
            member = known.member
            is_same_process = member.generation == sender.generation
            if is_same_process and (member.host, member.port) == (sender.host, sender.port):
                self._merger.merge_record(self.now_us, sender, "heard")
                return self.view.members[sender.name].is_present
            if sender.generation < member.generation:
                # a process that was started earlier: tell it which process has its name now
                self._outbox.send((sender.host, sender.port), None, (member,))
                return False
        if self._unknown_peers.is_answer(datagram.body, sender):
            self._merger.merge_record(self.now_us, sender, "joined")
            return sender.name in self.view.members
        if not sender.has_left:
            self._unknown_peers.challenge(self.now_us, sender)
        return False

    def _receive_body(self, body: Body, sender: Member, is_member: bool) -> None:
        source = sender.host, sender.port
        match body:
            case Ping():
                self._outbox.send(source, Ack(body.ping_id))
            case Ack():
                name_holder = self._indirect_pings.receive_ack(body.ping_id, sender)
                if name_holder is not None:
                    self._yield_name(name_holder)
            case PingRequest() if is_member:
                self._indirect_pings.ping_for(self.now_us, body, source)
            case Sync() if is_member or not self.view.members.get(sender.name):
                self._synchronization.answer(body, sender)
            case LeaseMessage() if is_member:
                self.on_lease_message(body, sender, source)
            case ExtensionMessage() if is_member:
                self.on_extension_message(body, sender)

    def _yield_name(self, holder: Member) -> None:
        """Give up this router's name to a process that was started later and answered a ping."""
        if not self._name_conflict.confirm_alive(holder):
            return
        if self.expects_successor:
            self.superseded = True
            return
        self.counters.conflicts += 1
        own = self.view.own
        prefix = own.name[: MAX_TEXT_CHARACTERS - BOOT_ID_SUFFIX_CHARACTERS]
        self.view.rename_own(f"{prefix}~{own.boot_id:08x}", self.now_us)
        self.view.merge(holder, self.now_us, "holds the name this router was given")
