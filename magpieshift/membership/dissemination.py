"""What a router passes on: records of members and accusations, a few with each datagram that it sends."""

from __future__ import annotations

import math

from magpieshift.membership.counters import Counters
from magpieshift.membership.member_table import Accusation, Change, Known, Member, MemberTable, Standing
from magpieshift.membership.messages import Address, Body, Datagram, Send
from magpieshift.membership.update_queue import Key, UpdateQueue

# in one datagram, which stays under 1,400 bytes
MOST_MEMBERS_SENT = 8
MOST_ACCUSATIONS_SENT = 12
MOST_LOOKED_AT = 32  # rumours, for what goes along with one datagram
SPREAD = 3  # times the logarithm of the members: how often one rumour is passed on


class Dissemination:
    """The rumours of one router, and which of them go along with the next datagram."""

    def __init__(self, view: MemberTable) -> None:
        self._view = view
        self.rumours = UpdateQueue()
        view.listeners.append(self._changed)

    def _changed(self, change: Change) -> None:
        if change.after in (Standing.ALIVE, Standing.LEFT):
            self.spread_member(self._view.known[change.name].member)

    def spread_member(self, member: Member) -> None:
        self._spread(("m", member.name), member)

    def spread_accusation(self, said: Accusation) -> None:
        self._spread(("a", said.about, said.accuser), said)

    def _spread(self, key: Key, item: Member | Accusation) -> None:
        self.rumours.put(key, item, SPREAD * math.ceil(math.log2(self._view.count + 2)))

    def told(self, counts: bool) -> tuple[tuple[Member, ...], tuple[Accusation, ...]]:
        """What goes along with the next datagram: what has been passed on least. It counts as passed on only
        where somebody is likely to read it: of many deaths at once most datagrams go to the dead."""
        members: list[Member] = []
        accusations: list[Accusation] = []
        for key, item in self.rumours.first(MOST_LOOKED_AT):
            known = self._view.known.get(item.name if isinstance(item, Member) else item.about)
            if isinstance(item, Member):
                if known is None or len(members) >= MOST_MEMBERS_SENT:
                    continue
                members.append(known.member)  # the latest of it
            else:
                stale = known is None or not (item.accuser in known.accusers or self._judged(known, item))
                if stale:
                    self.rumours.drop(key)
                    continue
                if len(accusations) >= MOST_ACCUSATIONS_SENT:
                    continue
                accusations.append(item)
            if counts:
                self.rumours.told(key)
        return tuple(members), tuple(accusations)

    def _judged(self, known: Known, said: Accusation) -> bool:
        """Whether this router itself says so and holds the member for gone by it."""
        own = said.accuser == self._view.own.name and said.incarnation == known.member.incarnation
        return own and known.standing == Standing.GONE


class Outbox:
    """Datagrams of one router, numbered, until they are sent."""

    def __init__(
        self, fleet: str, view: MemberTable, dissemination: Dissemination, counters: Counters
    ) -> None:
        self._fleet = fleet
        self._view = view
        self._dissemination = dissemination
        self._counters = counters
        self._unsent: list[Send] = []
        self._serial = 0

    def send_to(self, member: Member, body: Body) -> None:
        """A datagram for a member, at the address of its record."""
        known = self._view.known.get(member.name)
        well = known is not None and known.here and member.name not in self._view.accused
        self.send((member.host, member.port), body, counts=well)

    def send(self, to: Address, body: Body, more: tuple[Member, ...] = (), counts: bool = True) -> None:
        """A datagram for an address, with records of members besides what is passed on. ``counts``: somebody
        is likely to read it."""
        members, accusations = self._dissemination.told(counts)
        self._serial += 1
        datagram = Datagram(
            self._fleet, self._view.own, self._serial, self._view.digest, body, more + members, accusations
        )
        self._unsent.append(Send(to, datagram))
        self._counters.sent += 1

    def flush(self) -> list[Send]:
        """What has come to be sent, which is taken out."""
        unsent = self._unsent
        self._unsent = []
        return unsent
