"""What a router passes on: records of members and accusations, a few with each datagram that it sends."""

from __future__ import annotations

import math

from magpieshift.membership.counters import MembershipCounters
from magpieshift.membership.member_table import (
    KnownMember,
    Member,
    MembershipChange,
    MemberState,
    MemberTable,
    SuspicionReport,
)
from magpieshift.membership.messages import Address, Body, Datagram, SendDatagram
from magpieshift.membership.update_queue import UpdateKey, UpdateQueue

# in one datagram, which stays under 1,400 bytes
MAX_MEMBERS_SENT = 8
MAX_SUSPICIONS_SENT = 12
MAX_UPDATES_EXAMINED = 32  # rumours, for what goes along with one datagram
RETRANSMIT_MULTIPLIER = 3  # times the logarithm of the members: how often one rumour is passed on


class Dissemination:
    """The rumours of one router, and which of them go along with the next datagram."""

    def __init__(self, view: MemberTable) -> None:
        self._view = view
        self.updates = UpdateQueue()
        view.listeners.append(self._on_change)

    def _on_change(self, change: MembershipChange) -> None:
        if change.new_state in (MemberState.ALIVE, MemberState.LEFT):
            self.spread_member(self._view.members[change.name].member)

    def spread_member(self, member: Member) -> None:
        self._enqueue(("m", member.name), member)

    def spread_suspicion(self, said: SuspicionReport) -> None:
        self._enqueue(("a", said.suspect, said.reporter), said)

    def _enqueue(self, key: UpdateKey, item: Member | SuspicionReport) -> None:
        self.updates.put(
            key, item, RETRANSMIT_MULTIPLIER * math.ceil(math.log2(self._view.present_count + 2))
        )

    def take_updates(self, counts: bool) -> tuple[tuple[Member, ...], tuple[SuspicionReport, ...]]:
        """What goes along with the next datagram: what has been passed on least. It counts as passed on only
        where somebody is likely to read it: of many deaths at once most datagrams go to the dead."""
        members: list[Member] = []
        accusations: list[SuspicionReport] = []
        for key, item in self.updates.first(MAX_UPDATES_EXAMINED):
            known = self._view.members.get(item.name if isinstance(item, Member) else item.suspect)
            if isinstance(item, Member):
                if known is None or len(members) >= MAX_MEMBERS_SENT:
                    continue
                members.append(known.member)  # the latest of it
            else:
                stale = known is None or not (
                    item.reporter in known.reporters or self._declared_dead_by_own(known, item)
                )
                if stale:
                    self.updates.drop(key)
                    continue
                if len(accusations) >= MAX_SUSPICIONS_SENT:
                    continue
                accusations.append(item)
            if counts:
                self.updates.mark_sent(key)
        return tuple(members), tuple(accusations)

    def _declared_dead_by_own(self, known: KnownMember, said: SuspicionReport) -> bool:
        """Whether this router itself says so and holds the member for gone by it."""
        own = said.reporter == self._view.own.name and said.incarnation == known.member.incarnation
        return own and known.state == MemberState.DEAD


class Outbox:
    """Datagrams of one router, numbered, until they are sent."""

    def __init__(
        self, fleet: str, view: MemberTable, dissemination: Dissemination, counters: MembershipCounters
    ) -> None:
        self._fleet = fleet
        self._view = view
        self._dissemination = dissemination
        self._counters = counters
        self._unsent: list[SendDatagram] = []
        self._sequence_number = 0

    def send_to(self, member: Member, body: Body) -> None:
        """A datagram for a member, at the address of its record."""
        known = self._view.members.get(member.name)
        well = known is not None and known.is_present and member.name not in self._view.under_suspicion
        self.send((member.host, member.port), body, counts=well)

    def send(self, to: Address, body: Body, more: tuple[Member, ...] = (), counts: bool = True) -> None:
        """A datagram for an address, with records of members besides what is passed on. ``counts``: somebody
        is likely to read it."""
        members, accusations = self._dissemination.take_updates(counts)
        self._sequence_number += 1
        datagram = Datagram(
            self._fleet,
            self._view.own,
            self._sequence_number,
            self._view.digest,
            body,
            more + members,
            accusations,
        )
        self._unsent.append(SendDatagram(to, datagram))
        self._counters.sent += 1

    def flush(self) -> list[SendDatagram]:
        """What has come to be sent, which is taken out."""
        unsent = self._unsent
        self._unsent = []
        return unsent
