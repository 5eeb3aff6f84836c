"""Whom a router watches, and the pings by which it does."""

from __future__ import annotations

import random

from magpieshift.membership.dissemination import Outbox
from magpieshift.membership.member_table import Member, MemberState, MemberTable
from magpieshift.membership.messages import Ping, PingRequest
from magpieshift.membership.pings import PendingPing, PendingPings

TICK_INTERVAL_US = 100_000  # between two ticks
TICKS_PER_ROUND = 8  # a round is 0.8 s: who is watched is pinged once in it, and again if need be
RETRY_AFTER_TICKS = 2


class Probing:
    """The members that one router watches: the next on the ring after it."""

    def __init__(
        self, view: MemberTable, outbox: Outbox, pings: PendingPings, rand: random.Random, watched: int
    ) -> None:
        """``watched``: how many at least."""
        self._view = view
        self._outbox = outbox
        self._pings = pings
        self._random = rand
        self._min_monitored = watched
        self._chosen_for = (-1, -1)
        self.monitored_since: dict[str, int] = {}  # by name of whom it watches, since when

    def tick(self, now_us: int, turn: int) -> None:
        """Ping those whose turn in the round it is, and again those who have not answered."""
        self._choose_monitored(now_us)
        for place, name in enumerate(self.monitored_since):
            if place % TICKS_PER_ROUND == turn and not self._heard_this_round(now_us, name):
                self.ping(now_us, self._view.members[name].member)
            elif place % TICKS_PER_ROUND == (turn - RETRY_AFTER_TICKS) % TICKS_PER_ROUND:
                self._retry(now_us, name)

    def _choose_monitored(self, now_us: int) -> None:
        """Whom it watches: the next on the ring, past those it accuses itself, so that survivors watch more
        where many have died at once."""
        at = self._view.version, len(self._view.under_suspicion)
        if at == self._chosen_for:
            return
        self._chosen_for = at
        own = self._view.own.name
        found = dict[str, int]()
        well = 0
        for known in self._view.ring_successors(own):
            found[known.member.name] = self.monitored_since.get(known.member.name, now_us)
            well += own not in known.reporters and known.state == MemberState.ALIVE
            if well >= self._min_monitored:
                break
        self.monitored_since = found

    def _heard_this_round(self, now_us: int, name: str) -> bool:
        """Whether it has spoken this round by itself: then it need not be asked whether it lives."""
        return now_us - self._view.members[name].last_heartbeat_us < TICKS_PER_ROUND * TICK_INTERVAL_US // 2

    def ping(self, now_us: int, member: Member, rival: Member | None = None) -> None:
        """Ask a member whether it lives; ``rival`` where it is another process of this router's name."""
        number = self._pings.add(PendingPing(member.name, now_us, name_holder=rival))
        self._outbox.send_to(member, Ping(number))

    def _retry(self, now_us: int, name: str) -> None:
        """The ping of two turns ago has no answer: once more, and by another's way."""
        if self._heard_this_round(now_us, name):
            return
        self.ping(now_us, self._view.members[name].member)
        for helper in self.random_members(1, name):
            self._outbox.send_to(helper, PingRequest(self._pings.add(PendingPing(name, now_us)), name))

    def random_members(self, count: int, but: str = "") -> list[Member]:
        """So many others at random, who are here and not suspected as far as that can be had."""
        ring = self._view.ring
        own = self._view.own.name
        found = dict[str, Member]()
        for _ in range(4 * count if len(ring) > 1 else 0):
            name = ring[int(self._random.random() * len(ring))][1]
            if name not in (own, but) and name not in self._view.under_suspicion:
                found[name] = self._view.members[name].member
                if len(found) == count:
                    break
        return list(found.values())
