"""SWIM-like failure detection among routers. A state machine of datagrams and time; no I/O.

Each member monitors the next ``MONITORED_PEERS`` on a ring, pings each of them every round, and tries again
through another member. It reports a member of which no heartbeat arrived for ``HEARTBEAT_TIMEOUT_US``, and
reports spread. A member is suspect while ``SUSPICION_QUORUM`` different reporters hold, and dead once that
has lasted ``SUSPICION_TIMEOUT_US``; each router decides by itself. Any later heartbeat clears all reports.

A router that hears nobody, or was just paused, reports and declares nobody: the silence is its own.
"""

from __future__ import annotations

import random
from collections.abc import Callable

from magpieshift.membership.admission import DatagramAdmission
from magpieshift.membership.counters import MembershipCounters
from magpieshift.membership.dissemination import Dissemination, Outbox
from magpieshift.membership.member_table import (
    MAX_TEXT_CHARACTERS,
    KnownMember,
    Member,
    MemberState,
    MemberTable,
)
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
from magpieshift.membership.own_record import RecordMerger
from magpieshift.membership.pings import PING_TIMEOUT_US, PendingPing, PendingPings
from magpieshift.membership.probing import TICK_INTERVAL_US, TICKS_PER_ROUND, Probing
from magpieshift.membership.suspicion import MONITORED_PEERS, SUSPICION_TIMEOUT_US, DetectorTuning, Suspicion
from magpieshift.membership.synchronization import Synchronization
from magpieshift.membership.unknown_peers import MAX_UNKNOWN_PEERS, UnknownPeers

__all__ = ("MAX_UNKNOWN_PEERS", "TICK_INTERVAL_US", "DetectorTuning", "FailureDetector")

HEARTBEAT_TIMEOUT_US = 2_400_000
MIN_PAUSE_US = 1_000_000  # between two ticks: this process did not run, and cannot know who was silent
# how often they are tried
SEED_RETRY_INTERVAL_US = 3_000_000
DEAD_PROBE_INTERVAL_US = 1_000_000


def _nobody(claim: LeaseMessage, sender: Member, to: Address) -> None:
    """Who takes claims where there are no shares."""


def _deaf(note: ExtensionMessage, sender: Member) -> None:
    """Who takes notes where no other part listens."""


class FailureDetector:
    """One router's part in the membership of a fleet."""

    def __init__(
        self,
        own: Member,
        fleet: str,
        seeds: tuple[Address, ...],
        now_us: int,
        rand: random.Random,
        tuning: DetectorTuning = DetectorTuning(),  # noqa: B008, it is frozen
    ) -> None:
        self.view = MemberTable(own, now_us)
        self.seeds = seeds
        self.tuning = tuning
        self.counters = MembershipCounters()
        self.superseded = False  # another process goes on under this name, as it should
        self.expects_successor = False  # a replacement is under way: it is no conflict
        self.on_lease_message: Callable[[LeaseMessage, Member, Address], None] = _nobody
        self.on_extension_message: Callable[[ExtensionMessage, Member], None] = _deaf
        self.changes = 0  # of what this router says of itself, for its listeners
        self._now_us = now_us
        self._random = rand
        self._dissemination = Dissemination(self.view)
        self._outbox = Outbox(fleet, self.view, self._dissemination, self.counters)
        self._admission = DatagramAdmission(fleet, self.view, self.counters)
        self._pings = PendingPings(rand)
        self._watching = Probing(self.view, self._outbox, self._pings, rand, tuning.monitored_peers)
        self._judge = Suspicion(self.view, self._dissemination, tuning)
        self._synchronization = Synchronization(self.view, self._dissemination, self._outbox, rand)
        self._name_conflict = NameConflict(self.view, self._dissemination)
        self._records = RecordMerger(self.view, self._dissemination, self._judge, self._name_conflict)
        self._strangers = UnknownPeers(self._outbox, self._pings)
        self._turn = 0
        self._last_tick_us = self._woke_us = self._heard_us = now_us
        self._late_us = 0  # how late ticks lately came: that much silence is this router's own
        self._seeds_us = 0
        self._gone_us = 0
        self._accused_us = -SUSPICION_TIMEOUT_US

    # --- what can be asked

    @property
    def isolated(self) -> bool:
        """Whether it has lately heard nobody at all."""
        return self.view.present_count > 1 and self._now_us - self._heard_us >= HEARTBEAT_TIMEOUT_US

    @property
    def locally_healthy(self) -> bool:
        """Whether it may judge others: it runs, and hears."""
        return not self.isolated and self._now_us - self._woke_us >= HEARTBEAT_TIMEOUT_US

    @property
    def eligible_reporters(self) -> int:
        """How many could accuse: those nobody suspects and this router does not accuse, itself included."""
        return self._judge.eligible_reporters

    # --- time

    def tick(self, now_us: int) -> list[SendDatagram]:
        """To be called every ``TICK_INTERVAL_US``; what is to be sent."""
        late = now_us - self._last_tick_us - TICK_INTERVAL_US
        self._now_us = now_us
        self._last_tick_us = now_us
        if late >= MIN_PAUSE_US:
            self._woke()
        self._late_us = max(late, int(self._late_us * 0.98), 0)
        self._turn += 1
        turn = self._turn % TICKS_PER_ROUND
        if turn == 0:
            self.view.update_own()
            self.view.forget_departed(now_us)
            self._clear_old()
        if self.superseded:
            return self.flush()
        self._watching.tick(now_us, turn)
        if turn == 0:
            self._round()
        if self._turn % 2 == 0:
            self._push()
        self._judge_all()
        return self.flush()

    def _woke(self) -> None:
        """It slept: what it missed is no silence of others. Every suspicion begins anew."""
        self.counters.slept += 1
        if not self.tuning.local_health:
            return
        self._woke_us = self._now_us
        for known in self.view.members.values():
            if known.state == MemberState.SUSPECT:
                known.state_since_us = self._now_us
            self.view.remove_suspicion(known.member.name, self.view.own.name)

    def _round(self) -> None:
        """Once a round: someone at random, now and then a seed, and one that is gone."""
        for member in self._watching.random_members(1):
            self._watching.ping(self._now_us, member)
        if self.seeds and (
            self.view.present_count == 1 or self._now_us - self._seeds_us >= SEED_RETRY_INTERVAL_US
        ):
            self._seeds_us = self._now_us
            here = {(k.member.host, k.member.port) for k in self.view.members.values() if k.is_present}
            missing = [seed for seed in self.seeds if seed not in here]
            if missing:
                self._outbox.send(self._random.choice(missing), self._synchronization.request())
        if self.view.has_absent_members and self._now_us - self._gone_us >= DEAD_PROBE_INTERVAL_US:
            self._gone_us = self._now_us
            gone = [k.member for k in self.view.members.values() if k.state == MemberState.DEAD]
            if gone:
                self._outbox.send_to(self._random.choice(gone), self._synchronization.request())
        rival = self._name_conflict.next_ping_target()
        if rival is not None:
            self._watching.ping(self._now_us, rival, rival)

    def _clear_old(self) -> None:
        past = self._now_us - PING_TIMEOUT_US
        for opened in self._pings.expire(past):
            self._strangers.forget(opened)
        self._admission.forget_idle(past)

    # --- judging

    def _judge_all(self) -> None:
        settled = self.locally_healthy or not self.tuning.local_health
        if settled:
            silent_us = HEARTBEAT_TIMEOUT_US + 2 * min(self._late_us, MIN_PAUSE_US)
            self._judge.report_silent(self._now_us, self._watching.monitored_since, self._woke_us, silent_us)
        self._judge.update_states(self._now_us, settled)

    # --- spreading

    def _push(self) -> None:
        """News goes to a few at once; who is accused, or hears little, is heard of by more."""
        fresh = 2 if self._dissemination.updates else 0
        if self._now_us - self._accused_us < HEARTBEAT_TIMEOUT_US:
            fresh = 6
        for member in self._watching.random_members(fresh):
            self._outbox.send_to(member, None)

    def leave(self, now_us: int) -> list[SendDatagram]:
        """It goes on purpose: the others are told at once, a few times over."""
        self._now_us = now_us
        if not self.superseded:
            self.view.update_own(has_left=True)
            told = {
                k.member.name: k.member
                for k, _ in zip(
                    self.view.ring_successors(self.view.own.name), range(MONITORED_PEERS), strict=False
                )
            }
            for member in (
                told | {m.name: m for m in self._watching.random_members(2 * MONITORED_PEERS)}
            ).values():
                self._outbox.send_to(member, None)
        return self.flush()

    def update_own_record(self, **changes: object) -> None:
        """What this router says of itself has changed: its state, its version, its load."""
        own = self.view.own
        told = {name: value for name, value in changes.items() if getattr(own, name) != value}
        if told:
            self.view.update_own(**told)
            if set(told) - {"open_requests"}:
                self._dissemination.spread_member(self.view.own)

    def send(self, to: Address, body: Body) -> None:
        """Something of another state machine's, on the next flush."""
        self._outbox.send(to, body)

    def send_extension_message(self, member: Member, topic: str, data: bytes) -> None:
        """Something of another part's to a member, on the next flush."""
        self._outbox.send_to(member, ExtensionMessage(topic, data))

    def flush(self) -> list[SendDatagram]:
        """What has come to be sent meanwhile."""
        return self._outbox.flush()

    # --- what comes in

    def receive(self, now_us: int, source: Address, datagram: Datagram) -> list[SendDatagram]:
        """Take in a datagram; what is to be sent."""
        self._now_us = max(self._now_us, now_us)
        if not self._admission.admits(self._now_us, source, datagram):
            return []
        sender = datagram.sender
        member = self._meet(sender, datagram)
        if member:
            self._heard_us = self._now_us
            if self._records.merge_datagram(self._now_us, datagram):
                self._accused_us = self._now_us
            if datagram.view_digest != self.view.digest:
                self._synchronization.synchronize(self._now_us, sender)
        self._take_body(datagram, sender, member)
        return self.flush()

    def _meet(self, sender: Member, datagram: Datagram) -> bool:
        """Whether the sender is a member, as far as this router can tell. Who says a new name, a new start or
        a new address has to answer there once: anybody can write any name."""
        if sender.name == self.view.own.name:
            self._name_conflict.observe(sender)
            return False
        known = self.view.members.get(sender.name)
        same = (
            known is not None
            and known.member.generation == sender.generation
            and ((known.member.host, known.member.port) == (sender.host, sender.port))
        )
        if same:
            self._records.merge_record(self._now_us, sender, "heard")
            return self.view.members[sender.name].is_present
        if known is not None and sender.generation < known.member.generation:
            # an earlier start of it: either it is dead, or it has to hear that its name is another's
            self._outbox.send((sender.host, sender.port), None, (known.member,))
            return False
        if self._strangers.is_answer(datagram.body, sender):
            self._records.merge_record(self._now_us, sender, "joined")
            return sender.name in self.view.members
        if not sender.has_left:
            self._strangers.challenge(self._now_us, sender)
        return False

    def _take_body(self, datagram: Datagram, sender: Member, member: bool) -> None:
        body = datagram.body
        match body:
            case Ping(ping_id=number):
                self._outbox.send((sender.host, sender.port), Ack(number))
            case Ack(ping_id=number):
                self._answered(number, sender)
            case PingRequest(ping_id=number, target=about) if member:
                known = self.view.members.get(about)
                if known is not None and known.is_present:
                    relay = (sender.host, sender.port), number
                    opened = PendingPing(about, self._now_us, requester=relay)
                    self._outbox.send_to(known.member, Ping(self._pings.add(opened)))
            case Sync() if member or not self.view.members.get(sender.name):
                self._synchronization.answer(body, sender)
            case LeaseMessage() if member:
                self.on_lease_message(body, sender, (sender.host, sender.port))
            case ExtensionMessage() if member:
                self.on_extension_message(body, sender)

    def _answered(self, number: int, sender: Member) -> None:
        opened = self._pings.get(number)
        if opened is None or opened.answered:
            return
        if opened.name_holder is not None and sender.generation == opened.name_holder.generation:
            self._rival_lives(opened.name_holder)
        if opened.requester is not None and sender.name == opened.target:
            to, theirs = opened.requester
            known = self.view.members.get(opened.target)
            if known is not None:
                self._outbox.send(to, Ack(theirs, opened.target), (known.member,))
        opened.answered = True

    def _rival_lives(self, rival: Member) -> None:
        if not self._name_conflict.confirm_alive(rival):
            return
        if self.expects_successor:
            self.superseded = True  # the successor goes on under the name
            return
        self.counters.conflicts += 1
        own = self.view.own
        self.view.rename_own(f"{own.name[: MAX_TEXT_CHARACTERS - 9]}~{own.boot_id:08x}", self._now_us)
        self.view.merge(rival, self._now_us, "holds the name this router was given")
        self.changes += 1

    def row(self, known: KnownMember) -> dict[str, object]:
        """A member for people: its standing, why, and since when."""
        m = known.member
        return {
            "name": m.name,
            "standing": known.state.value,
            "address": f"{m.host}:{m.port}",
            "incarnation": m.incarnation,
            "beat": m.heartbeat,
            "zone": m.zone,
            "program": m.program_version,
            "settings": m.settings_version,
            "state": m.lifecycle_state,
            "load": m.open_requests,
            "for_s": round((self._now_us - known.state_since_us) / 1e6, 1),
            "why": known.reason,
            "accusers": sorted(known.reporters),
        }
