"""Dissemination of updates, piggybacked on the datagrams that a router sends for other purposes (SWIM)."""

from __future__ import annotations

import math

from magpieshift.membership.counters import MembershipCounters
from magpieshift.membership.member import KnownMember, Member, MembershipChange, MemberState, SuspicionReport
from magpieshift.membership.member_table import MemberTable
from magpieshift.membership.messages import Address, Body, Datagram, SendDatagram
from magpieshift.membership.update_queue import Update, UpdateKey, UpdateQueue

# Limits for one datagram, which keep it under 1,400 bytes so that it is not fragmented.
MAX_MEMBERS_SENT = 8  # member records
MAX_SUSPICIONS_SENT = 12  # suspicion reports
MAX_UPDATES_EXAMINED = 32  # queued updates per datagram; bounds the time spent when many are stale
RETRANSMIT_MULTIPLIER = 3  # SWIM's lambda: an update is sent lambda * log2(members) times


class Dissemination:
    """The updates that one router disseminates, and the choice of those for the next datagram."""

    def __init__(self, view: MemberTable) -> None:
        self._view = view
        self.updates = UpdateQueue()
        view.listeners.append(self._on_change)

    def _on_change(self, change: MembershipChange) -> None:
        if change.new_state in (MemberState.ALIVE, MemberState.LEFT):
            self.spread_member(self._view.members[change.name].member)

    def spread_member(self, member: Member) -> None:
        """Queue a member's record for dissemination."""
        self._enqueue(("m", member.name), member)

    def spread_suspicion(self, report: SuspicionReport) -> None:
        """Queue a suspicion report for dissemination."""
        self._enqueue(("a", report.suspect, report.reporter), report)

    def _enqueue(self, key: UpdateKey, update: Update) -> None:
        times = RETRANSMIT_MULTIPLIER * math.ceil(math.log2(self._view.present_count + 2))
        self.updates.put(key, update, times)

    def take_updates(self, counts_as_sent: bool) -> tuple[tuple[Member, ...], tuple[SuspicionReport, ...]]:
        """The updates for the next datagram, the least often sent first.

        They count as sent only if ``counts_as_sent``, that is, if the receiver is likely to read them. When
        many members die at once, most datagrams go to dead members and would use up the transmissions of the
        updates.
        """
        members: list[Member] = []
        suspicions: list[SuspicionReport] = []
        for key, update in self.updates.first(MAX_UPDATES_EXAMINED):
            if isinstance(update, Member):
                known = self._view.members.get(update.name)
                if known is None or len(members) >= MAX_MEMBERS_SENT:
                    continue
                members.append(known.member)  # its latest record, which may be newer than the queued one
            else:
                if not self._is_current(update):
                    self.updates.drop(key)
                    continue
                if len(suspicions) >= MAX_SUSPICIONS_SENT:
                    continue
                suspicions.append(update)
            if counts_as_sent:
                self.updates.mark_sent(key)
        return tuple(members), tuple(suspicions)

    def _is_current(self, report: SuspicionReport) -> bool:
        """Whether a report is still valid in this router's view."""
        known = self._view.members.get(report.suspect)
        return known is not None and (
            report.reporter in known.reporters or self._declared_dead_by_own(known, report)
        )

    def _declared_dead_by_own(self, known: KnownMember, report: SuspicionReport) -> bool:
        """Whether the report is this router's own, about a member that it has declared dead."""
        is_own = report.reporter == self._view.own.name and report.incarnation == known.member.incarnation
        return is_own and known.state == MemberState.DEAD


class Outbox:
    """Numbers the datagrams of one router and holds them until they are flushed."""

    def __init__(
        self, fleet: str, view: MemberTable, dissemination: Dissemination, counters: MembershipCounters
    ) -> None:
        self._fleet = fleet
        self._view = view
        self._dissemination = dissemination
        self._counters = counters
        self._unsent: list[SendDatagram] = []
        self._sequence_number = 0  # number of the last datagram

    def send_to(self, member: Member, body: Body) -> None:
        """Queue a datagram for a member, addressed as its record says."""
        known = self._view.members.get(member.name)
        is_healthy = known is not None and known.is_present and member.name not in self._view.under_suspicion
        self.send((member.host, member.port), body, counts_as_sent=is_healthy)

    def send(
        self, destination: Address, body: Body, records: tuple[Member, ...] = (), counts_as_sent: bool = True
    ) -> None:
        """Queue a datagram for an address.

        ``records`` are included ahead of the piggybacked updates. ``counts_as_sent`` says whether the
        receiver is likely to read the datagram; see ``Dissemination.take_updates``.
        """
        members, suspicions = self._dissemination.take_updates(counts_as_sent)
        self._sequence_number += 1
        datagram = Datagram(
            self._fleet,
            self._view.own,
            self._sequence_number,
            self._view.digest,
            body,
            records + members,
            suspicions,
        )
        self._unsent.append(SendDatagram(destination, datagram))
        self._counters.sent += 1

    def flush(self) -> list[SendDatagram]:
        """Remove and return the queued datagrams."""
        unsent = self._unsent
        self._unsent = []
        return unsent
