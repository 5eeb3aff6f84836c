"""What part of the whole a router may use, by who is there. A state machine told claims and the time; no I/O.

The settings name so many routers; each has its slot, of which the part ``alone`` is its own whatever it
hears. The rest of all slots is a pool that one allocator deals out, by leases, to those who are there. So a
router that hears nobody falls back to what the settings give it, and what others may use beyond theirs has
been granted to no one else.

Why the parts in use never add up to more than the whole (all clocks run within ``MAX_CLOCK_DRIFT`` of each
other, and no more processes live than there are slots or, where more are seen, members seen):

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

from magpieshift.membership.member_table import Member, MemberState, MemberTable
from magpieshift.membership.messages import Address, LeaseMessage, LeaseMessageKind

FLEET_SCOPE = "all"  # the scope of what all routers divide; a zone's is its name behind ZONE
ZONE_SCOPE_PREFIX = "zone "
LEASE_US = 6_000_000
RENEW_INTERVAL_US = 2_000_000
MAX_CLOCK_DRIFT = 0.02  # by which two clocks may differ in a lease's time, at most
PEAK_COUNT_MEMORY_US = 600_000_000  # how long it is remembered that more were there

OutgoingMessages = list[tuple[Address, LeaseMessage]]
HolderId = tuple[str, int]


@dataclass(slots=True)
class _Grant:
    quotas: dict[str, float]
    expires_us: int
    request_id: int = 0
    offered_quotas: dict[str, float] | None = None  # until its holder says that it uses no more than this


class QuotaLease:
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
        self.voters = council
        self.router_counts = dict(slots)
        self.solo_quota = alone
        self._random = rand
        self._peak_counts = dict.fromkeys(slots, (0, now_us))  # the most members there were, and when
        self._view_version = -1
        self.no_vote_until_us = now_us + self._longest()  # as a voter
        self._vote_promise: tuple[HolderId, int] | None = None
        self._term = 0
        self._request_count = 0
        self._requested_at_us: dict[
            int, int
        ] = {}  # canvasses and wants without an answer: when they were sent
        self._votes: dict[str, int] = {}  # until when each is good
        self._elected_us: int | None = None
        self._grants: dict[HolderId, _Grant] = {}
        self._lease = _Grant({}, 0)
        self._lease_requested_us = now_us  # when what is held was asked for
        self._last_renewal_us = now_us - RENEW_INTERVAL_US

    @staticmethod
    def _longest(us: int = LEASE_US) -> int:
        return int(us * (1 + MAX_CLOCK_DRIFT))

    @staticmethod
    def _shortest(us: int = LEASE_US) -> int:
        return int(us * (1 - MAX_CLOCK_DRIFT))

    # --- as holder

    def quota(self, scope: str, now_us: int) -> float:
        """The part of the whole that may be used at this instant, of what the scope divides."""
        own = self.solo_quota / max(self.router_counts[scope], self._peak_counts[scope][0], 1)
        pool = self._lease.quotas.get(scope, 0.0) if now_us < self._lease.expires_us else 0.0
        return own + (1.0 - self.solo_quota) * pool

    @property
    def lease_expires_us(self) -> int:
        """When what is held runs out."""
        return self._lease.expires_us

    # --- time

    def tick(self, now_us: int, view: MemberTable) -> OutgoingMessages:
        """To be called now and then; the claims to be sent."""
        if view.version != self._view_version:
            self._view_version = view.version
            for scope in self.router_counts:
                there = self._present_count(view, scope)
                most, at = self._peak_counts[scope]
                if there >= most or now_us - at > PEAK_COUNT_MEMORY_US:
                    self._peak_counts[scope] = there, now_us
        if self.solo_quota >= 1.0 or now_us - self._last_renewal_us < RENEW_INTERVAL_US:
            return []
        self._last_renewal_us = now_us
        self._requested_at_us = {n: at for n, at in self._requested_at_us.items() if now_us - at < LEASE_US}
        self._grants = {who: lease for who, lease in self._grants.items() if now_us < lease.expires_us}
        allocator = self._choose_leader(view)
        out: OutgoingMessages = []
        if allocator is not None and allocator.name == self.own.name:
            out += self._request_votes(now_us, view)
        else:
            self._step_down()
        if allocator is not None:
            out += self._send_to(
                allocator,
                now_us,
                view,
                LeaseMessage(0, LeaseMessageKind.QUOTA_REQUEST, self._new_request(now_us)),
            )
        return out

    def _present_count(self, view: MemberTable, scope: str) -> int:
        if scope == FLEET_SCOPE:
            return view.present_count
        return sum(1 for _, name in view.ring if ZONE_SCOPE_PREFIX + view.members[name].member.zone == scope)

    def _choose_leader(self, view: MemberTable) -> Member | None:
        """Whom this router takes for the allocator: the first of the council that is there."""
        for name in sorted(self.voters):
            known = view.members.get(name)
            if known is not None and known.state == MemberState.ALIVE:
                return known.member
        return None

    def _new_request(self, now_us: int) -> int:
        self._request_count += 1
        number = self._request_count << 16 | self._random.getrandbits(16)
        self._requested_at_us[number] = now_us
        return number

    def _send_to(
        self, member: Member, now_us: int, view: MemberTable, claim: LeaseMessage
    ) -> OutgoingMessages:
        if member.name == self.own.name:  # what it says to itself needs no way
            return self.receive(now_us, claim, self.own, (member.host, member.port), view)
        return [((member.host, member.port), claim)]

    # --- the council

    def _request_votes(self, now_us: int, view: MemberTable) -> OutgoingMessages:
        if not self._term:
            self._term = self._random.getrandbits(62) | 1
        number = self._new_request(now_us)
        out = OutgoingMessages()
        for name in self.voters:
            if known := view.members.get(name):
                out += self._send_to(
                    known.member,
                    now_us,
                    view,
                    LeaseMessage(self._term, LeaseMessageKind.VOTE_REQUEST, number),
                )
        return out

    def _step_down(self) -> None:
        """Another is before it; what it granted runs out by itself, and a new term begins with an empty
        ledger only after that."""
        self._term = 0
        self._elected_us = None
        self._votes.clear()

    def _has_quorum(self, now_us: int) -> bool:
        good = sorted((until for until in self._votes.values()), reverse=True)
        enough = len(self.voters) // 2
        return len(good) > enough and now_us < good[enough]

    # --- what comes in

    def receive(
        self, now_us: int, claim: LeaseMessage, sender: Member, to: Address, view: MemberTable
    ) -> OutgoingMessages:
        """Take in a claim of a member; the claims to be sent."""
        who = sender.name, sender.boot_id
        match claim.kind:
            case LeaseMessageKind.VOTE_REQUEST if self.own.name in self.voters and sender.name in self.voters:
                held = self._vote_promise if self._vote_promise and now_us < self._vote_promise[1] else None
                if now_us < self.no_vote_until_us or (held is not None and held[0] != who):
                    return []
                self._vote_promise = who, now_us + self._longest()
                return self._reply(
                    sender,
                    to,
                    now_us,
                    view,
                    LeaseMessage(claim.term, LeaseMessageKind.VOTE, claim.request_id),
                )
            case LeaseMessageKind.VOTE if claim.term == self._term and sender.name in self.voters:
                self._record_vote(now_us, claim, sender)
            case LeaseMessageKind.QUOTA_REQUEST:
                if (grant := self._grant(now_us, claim, who, sender.zone, view)) is not None:
                    return self._reply(sender, to, now_us, view, grant)
            case LeaseMessageKind.GRANT if (
                self._requested_at_us.get(claim.request_id, -1) >= self._lease_requested_us
            ):
                # not one that was overtaken on its way: the ledger has been told of the later one
                asked = self._lease_requested_us = self._requested_at_us.pop(claim.request_id)
                parts = {scope: part for scope, part in claim.quotas if 0.0 <= part <= 1.0}
                self._lease = _Grant(parts, asked + self._shortest())  # a smaller one holds at once, too
                returned = LeaseMessage(0, LeaseMessageKind.GRANT_ACCEPTED, claim.request_id, claim.quotas)
                return self._reply(sender, to, now_us, view, returned)
            case LeaseMessageKind.GRANT_ACCEPTED:
                lease = self._grants.get(who)
                if (
                    lease is not None
                    and lease.offered_quotas is not None
                    and lease.request_id == claim.request_id
                ):
                    lease.quotas = lease.offered_quotas
                    lease.offered_quotas = None
        return []

    def _reply(
        self, sender: Member, to: Address, now_us: int, view: MemberTable, claim: LeaseMessage
    ) -> OutgoingMessages:
        if sender.name == self.own.name:
            return self.receive(now_us, claim, self.own, to, view)
        return [(to, claim)]

    def _record_vote(self, now_us: int, claim: LeaseMessage, sender: Member) -> None:
        asked = self._requested_at_us.get(claim.request_id)
        if asked is None:
            return
        had = self._has_quorum(now_us)
        until = asked + self._shortest()
        self._votes[sender.name] = max(self._votes.get(sender.name, 0), until)
        if not had and self._has_quorum(now_us):
            # it may have lapsed unnoticed between two terms of its own, and another have granted meanwhile
            self._elected_us = now_us
            self._grants = {}

    # --- the allocator

    def _grant(
        self, now_us: int, claim: LeaseMessage, who: HolderId, zone: str, view: MemberTable
    ) -> LeaseMessage | None:
        old_ones_gone = self._elected_us is not None and (
            now_us - self._elected_us > self._longest(self._longest())
        )
        if not (self._has_quorum(now_us) and old_ones_gone):
            return None
        before = self._grants.get(who)
        kept = before.quotas if before is not None and now_us < before.expires_us else {}
        offer: dict[str, float] = {}
        for scope in (FLEET_SCOPE, ZONE_SCOPE_PREFIX + zone):
            taken = sum(
                lease.quotas.get(scope, 0.0)
                for other, lease in self._grants.items()
                if other != who and now_us < lease.expires_us
            )
            offer[scope] = max(0.0, min(1.0 / max(1, self._present_count(view, scope)), 1.0 - taken))
        reserved = {scope: max(kept.get(scope, 0.0), part) for scope, part in offer.items()}
        self._grants[who] = _Grant(reserved, now_us + self._longest(), claim.request_id, offer)
        return LeaseMessage(
            self._term, LeaseMessageKind.GRANT, claim.request_id, tuple(sorted(offer.items()))
        )
