"""What part of the whole a router may use, by who is there. A state machine told claims and the time; no I/O.

The settings name so many routers; each has its slot, of which the part ``alone`` is its own whatever it
hears. The rest of all slots is a pool that one allocator deals out, by leases, to those who are there. So a
router that hears nobody falls back to what the settings give it, and what others may use beyond theirs has
been granted to no one else.

Why the parts in use never add up to more than the whole (all clocks run within ``DRIFT`` of each other, and
no more processes live than there are slots or, where more are seen, members seen):

- The parts of their own add up to ``alone`` at most.
- At most one allocator grants: it needs the votes of more than half of the council, each good for a lease
  from when it was asked for, and who votes promises its vote to nobody else for that time and the drift. Who
  has just started votes for nobody for as long, since it does not know what its predecessor promised.
- It enters each grant in its ledger before it says it, and strikes it out only when its holder says that it
  uses less, or when the lease has run out by the slowest clock. The ledger never exceeds the pool.
- A new allocator grants nothing until every grant of the one before must have run out.
- A holder counts its lease from when it asked, by the fastest clock, and reads the clock whenever it uses its
  share: one that slept has nothing left but its own.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

from magpieshift.membership.member_table import Member, MemberTable, Standing
from magpieshift.membership.messages import Address, Claim, Kind

ALL = "all"  # the scope of what all routers divide; a zone's is its name behind ZONE
ZONE = "zone "
LEASE_US = 6_000_000
RENEW_US = 2_000_000
DRIFT = 0.02  # by which two clocks may differ in a lease's time, at most
MOST_SEEN_US = 600_000_000  # how long it is remembered that more were there

Outgoing = list[tuple[Address, Claim]]
Who = tuple[str, int]


@dataclass(slots=True)
class _Lease:
    parts: dict[str, float]
    until_us: int
    number: int = 0
    offered: dict[str, float] | None = None  # until its holder says that it uses no more than this


class QuotaLeases:
    """One router's share: as a member of the council, as allocator, and as holder."""

    def __init__(
        self,
        own: Member,
        council: tuple[str, ...],
        slots: Mapping[str, int],
        alone: float,
        now_us: int,
        rand: random.Random,
    ) -> None:
        self.own = own
        self.council = council
        self.slots = dict(slots)
        self.alone = alone
        self._random = rand
        self._seen = dict.fromkeys(slots, (0, now_us))  # the most members there were, and when
        self._view_at = -1
        self.silent_until_us = now_us + self._longest()  # as a voter
        self._promised: tuple[Who, int] | None = None
        self._term = 0
        self._number = 0
        self._asked: dict[int, int] = {}  # canvasses and wants without an answer: when they were sent
        self._votes: dict[str, int] = {}  # until when each is good
        self._elected_us: int | None = None
        self._ledger: dict[Who, _Lease] = {}
        self._held = _Lease({}, 0)
        self._held_from_us = now_us  # when what is held was asked for
        self._renewed_us = now_us - RENEW_US

    @staticmethod
    def _longest(us: int = LEASE_US) -> int:
        return int(us * (1 + DRIFT))

    @staticmethod
    def _shortest(us: int = LEASE_US) -> int:
        return int(us * (1 - DRIFT))

    # --- as holder

    def share(self, scope: str, now_us: int) -> float:
        """The part of the whole that may be used at this instant, of what the scope divides."""
        own = self.alone / max(self.slots[scope], self._seen[scope][0], 1)
        pool = self._held.parts.get(scope, 0.0) if now_us < self._held.until_us else 0.0
        return own + (1.0 - self.alone) * pool

    @property
    def until_us(self) -> int:
        """When what is held runs out."""
        return self._held.until_us

    # --- time

    def tick(self, now_us: int, view: MemberTable) -> Outgoing:
        """To be called now and then; the claims to be sent."""
        if view.number != self._view_at:
            self._view_at = view.number
            for scope in self.slots:
                there = self._there(view, scope)
                most, at = self._seen[scope]
                if there >= most or now_us - at > MOST_SEEN_US:
                    self._seen[scope] = there, now_us
        if self.alone >= 1.0 or now_us - self._renewed_us < RENEW_US:
            return []
        self._renewed_us = now_us
        self._asked = {n: at for n, at in self._asked.items() if now_us - at < LEASE_US}
        self._ledger = {who: lease for who, lease in self._ledger.items() if now_us < lease.until_us}
        allocator = self._allocator(view)
        out: Outgoing = []
        if allocator is not None and allocator.name == self.own.name:
            out += self._canvass(now_us, view)
        else:
            self._step_down()
        if allocator is not None:
            out += self._to(allocator, now_us, view, Claim(0, Kind.WANT, self._note(now_us)))
        return out

    def _there(self, view: MemberTable, scope: str) -> int:
        if scope == ALL:
            return view.count
        return sum(1 for _, name in view.ring if ZONE + view.known[name].member.zone == scope)

    def _allocator(self, view: MemberTable) -> Member | None:
        """Whom this router takes for the allocator: the first of the council that is there."""
        for name in sorted(self.council):
            known = view.known.get(name)
            if known is not None and known.standing == Standing.ALIVE:
                return known.member
        return None

    def _note(self, now_us: int) -> int:
        self._number += 1
        number = self._number << 16 | self._random.getrandbits(16)
        self._asked[number] = now_us
        return number

    def _to(self, member: Member, now_us: int, view: MemberTable, claim: Claim) -> Outgoing:
        if member.name == self.own.name:  # what it says to itself needs no way
            return self.receive(now_us, claim, self.own, (member.host, member.port), view)
        return [((member.host, member.port), claim)]

    # --- the council

    def _canvass(self, now_us: int, view: MemberTable) -> Outgoing:
        if not self._term:
            self._term = self._random.getrandbits(62) | 1
        number = self._note(now_us)
        out = Outgoing()
        for name in self.council:
            if known := view.known.get(name):
                out += self._to(known.member, now_us, view, Claim(self._term, Kind.CANVASS, number))
        return out

    def _step_down(self) -> None:
        """Another is before it; what it granted runs out by itself, and a new term begins with an empty
        ledger only after that."""
        self._term = 0
        self._elected_us = None
        self._votes.clear()

    def _authority(self, now_us: int) -> bool:
        good = sorted((until for until in self._votes.values()), reverse=True)
        enough = len(self.council) // 2
        return len(good) > enough and now_us < good[enough]

    # --- what comes in

    def receive(self, now_us: int, claim: Claim, sender: Member, to: Address, view: MemberTable) -> Outgoing:
        """Take in a claim of a member; the claims to be sent."""
        who = sender.name, sender.boot
        match claim.kind:
            case Kind.CANVASS if self.own.name in self.council and sender.name in self.council:
                held = self._promised if self._promised and now_us < self._promised[1] else None
                if now_us < self.silent_until_us or (held is not None and held[0] != who):
                    return []
                self._promised = who, now_us + self._longest()
                return self._answer(sender, to, now_us, view, Claim(claim.term, Kind.VOTE, claim.number))
            case Kind.VOTE if claim.term == self._term and sender.name in self.council:
                self._voted(now_us, claim, sender)
            case Kind.WANT:
                if (grant := self._grant(now_us, claim, who, sender.zone, view)) is not None:
                    return self._answer(sender, to, now_us, view, grant)
            case Kind.GRANT if self._asked.get(claim.number, -1) >= self._held_from_us:
                # not one that was overtaken on its way: the ledger has been told of the later one
                asked = self._held_from_us = self._asked.pop(claim.number)
                parts = {scope: part for scope, part in claim.parts if 0.0 <= part <= 1.0}
                self._held = _Lease(parts, asked + self._shortest())  # a smaller one holds at once, too
                returned = Claim(0, Kind.RETURN, claim.number, claim.parts)
                return self._answer(sender, to, now_us, view, returned)
            case Kind.RETURN:
                lease = self._ledger.get(who)
                if lease is not None and lease.offered is not None and lease.number == claim.number:
                    lease.parts = lease.offered
                    lease.offered = None
        return []

    def _answer(self, sender: Member, to: Address, now_us: int, view: MemberTable, claim: Claim) -> Outgoing:
        if sender.name == self.own.name:
            return self.receive(now_us, claim, self.own, to, view)
        return [(to, claim)]

    def _voted(self, now_us: int, claim: Claim, sender: Member) -> None:
        asked = self._asked.get(claim.number)
        if asked is None:
            return
        had = self._authority(now_us)
        until = asked + self._shortest()
        self._votes[sender.name] = max(self._votes.get(sender.name, 0), until)
        if not had and self._authority(now_us):
            # it may have lapsed unnoticed between two terms of its own, and another have granted meanwhile
            self._elected_us = now_us
            self._ledger = {}

    # --- the allocator

    def _grant(self, now_us: int, claim: Claim, who: Who, zone: str, view: MemberTable) -> Claim | None:
        old_ones_gone = self._elected_us is not None and (
            now_us - self._elected_us > self._longest(self._longest())
        )
        if not (self._authority(now_us) and old_ones_gone):
            return None
        before = self._ledger.get(who)
        kept = before.parts if before is not None and now_us < before.until_us else {}
        offer: dict[str, float] = {}
        for scope in (ALL, ZONE + zone):
            taken = sum(
                lease.parts.get(scope, 0.0)
                for other, lease in self._ledger.items()
                if other != who and now_us < lease.until_us
            )
            offer[scope] = max(0.0, min(1.0 / max(1, self._there(view, scope)), 1.0 - taken))
        reserved = {scope: max(kept.get(scope, 0.0), part) for scope, part in offer.items()}
        self._ledger[who] = _Lease(reserved, now_us + self._longest(), claim.number, offer)
        return Claim(self._term, Kind.GRANT, claim.number, tuple(sorted(offer.items())))
