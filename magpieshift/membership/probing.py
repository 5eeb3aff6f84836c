"""Whom a router watches, and the pings by which it does."""

from __future__ import annotations

import random

from magpieshift.membership.dissemination import Outbox
from magpieshift.membership.member_table import Member, MemberTable, Standing
from magpieshift.membership.messages import Ask, Ping
from magpieshift.membership.pings import OpenPing, OpenPings

TURN_US = 100_000  # between two ticks
ROUND_TURNS = 8  # a round is 0.8 s: who is watched is pinged once in it, and again if need be
AGAIN_TURNS = 2


class Probing:
    """The members that one router watches: the next on the ring after it."""

    def __init__(
        self, view: MemberTable, outbox: Outbox, pings: OpenPings, rand: random.Random, watched: int
    ) -> None:
        """``watched``: how many at least."""
        self._view = view
        self._outbox = outbox
        self._pings = pings
        self._random = rand
        self._least = watched
        self._ring_at = (-1, -1)
        self.since: dict[str, int] = {}  # by name of whom it watches, since when

    def turn(self, now_us: int, turn: int) -> None:
        """Ping those whose turn in the round it is, and again those who have not answered."""
        self._choose(now_us)
        for place, name in enumerate(self.since):
            if place % ROUND_TURNS == turn and not self._just_heard(now_us, name):
                self.ping(now_us, self._view.known[name].member)
            elif place % ROUND_TURNS == (turn - AGAIN_TURNS) % ROUND_TURNS:
                self._again(now_us, name)

    def _choose(self, now_us: int) -> None:
        """Whom it watches: the next on the ring, past those it accuses itself, so that survivors watch more
        where many have died at once."""
        at = self._view.number, len(self._view.accused)
        if at == self._ring_at:
            return
        self._ring_at = at
        own = self._view.own.name
        found = dict[str, int]()
        well = 0
        for known in self._view.after(own):
            found[known.member.name] = self.since.get(known.member.name, now_us)
            well += own not in known.accusers and known.standing == Standing.ALIVE
            if well >= self._least:
                break
        self.since = found

    def _just_heard(self, now_us: int, name: str) -> bool:
        """Whether it has spoken this round by itself: then it need not be asked whether it lives."""
        return now_us - self._view.known[name].heard_us < ROUND_TURNS * TURN_US // 2

    def ping(self, now_us: int, member: Member, rival: Member | None = None) -> None:
        """Ask a member whether it lives; ``rival`` where it is another process of this router's name."""
        number = self._pings.add(OpenPing(member.name, now_us, rival=rival))
        self._outbox.send_to(member, Ping(number))

    def _again(self, now_us: int, name: str) -> None:
        """The ping of two turns ago has no answer: once more, and by another's way."""
        if self._just_heard(now_us, name):
            return
        self.ping(now_us, self._view.known[name].member)
        for helper in self.some(1, name):
            self._outbox.send_to(helper, Ask(self._pings.add(OpenPing(name, now_us)), name))

    def some(self, count: int, but: str = "") -> list[Member]:
        """So many others at random, who are here and not suspected as far as that can be had."""
        ring = self._view.ring
        own = self._view.own.name
        found = dict[str, Member]()
        for _ in range(4 * count if len(ring) > 1 else 0):
            name = ring[int(self._random.random() * len(ring))][1]
            if name not in (own, but) and name not in self._view.accused:
                found[name] = self._view.known[name].member
                if len(found) == count:
                    break
        return list(found.values())
