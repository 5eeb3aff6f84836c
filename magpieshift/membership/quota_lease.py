"""What part of the whole a router may use, by which members are present. A state machine; no I/O.

The settings name a number of routers, and the part ``solo_quota`` of the whole that they divide evenly and
use whatever happens. The rest is a pool that one leader deals out, by leases, to the members present. So a
router that hears nobody falls back to what the settings give it, and what others may use beyond theirs has
been granted to no one else.

Why the parts in use never add up to more than the whole (all clocks run within ``MAX_CLOCK_DRIFT`` of each
other, and no more processes run than the settings count or, where more are seen, members seen):

- The parts of their own add up to ``solo_quota`` at most.
- At most one leader grants: it needs the votes of a majority of the voters. A vote is good for a lease from
  when it was requested, and the voter promises its vote to nobody else for that time and the drift. A voter
  that has just started votes for nobody for as long, as it does not know what its predecessor promised.
- The leader's grants never exceed the pool; see ``quota_grants``.
- A new leader grants nothing until every grant of its predecessor must have expired.
- A holder counts its lease from when it requested it, by the fastest clock, and reads the clock whenever it
  uses its quota: after a pause it has nothing left but its own part.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from magpieshift.membership.member import Member, MemberState
from magpieshift.membership.member_table import MemberTable
from magpieshift.membership.messages import Address, LeaseMessage, LeaseMessageKind
from magpieshift.membership.quota_grants import Grant, GrantTable, HolderId

FLEET_SCOPE = "all"  # the scope of what all routers divide
ZONE_SCOPE_PREFIX = "zone "  # before the name of a zone: the scope of what its routers divide
QUOTA_LEASE_US = (
    6_000_000  # three renewals: two may be lost. Longer keeps a dead holder's quota unused for longer
)
RENEW_INTERVAL_US = 2_000_000
MAX_CLOCK_DRIFT = 0.02  # relative, between two clocks during a lease; far above that of working clocks
PEAK_COUNT_MEMORY_US = 600_000_000  # members beyond those of the settings are allowed for this long
TERM_BITS = 62  # of a random term, so that two leaders' differ
RANDOM_REQUEST_BITS = 16  # low bits of a request id, so that it is not guessed

OutgoingMessages = list[tuple[Address, LeaseMessage]]
"""Lease messages, each with its destination."""


class QuotaLease:
    """One router's part in the leases: as a voter, as leader, and as holder."""

    def __init__(
        self,
        own: Member,
        voters: tuple[str, ...],
        router_counts: Mapping[str, int],
        solo_quota: float,
        now_us: int,
        rand: random.Random,
    ) -> None:
        """``router_counts`` are the routers of each scope that the settings count."""
        self.own = own
        self.voters = voters
        self.router_counts = dict(router_counts)
        self.solo_quota = solo_quota
        self._random = rand
        self._peak_counts = dict.fromkeys(router_counts, (0, now_us))  # most members present, and when
        self._view_version = -1  # of the view that the peak counts are of
        self._request_count = 0
        self._requested_at_us: dict[int, int] = {}  # by id, when each unanswered request was sent
        self._last_renewal_us = now_us - RENEW_INTERVAL_US
        # as a voter
        self.no_vote_until_us = now_us + self._longest()  # promises of a predecessor may hold until then
        self._vote_promise: tuple[HolderId, int] | None = None  # the candidate voted for, and until when
        # as leader
        self._term = 0  # 0: no candidate
        self._votes: dict[str, int] = {}  # by voter, until when each is good
        self._elected_us: int | None = None  # when the majority was reached
        self._grants = GrantTable()
        # as holder
        self._lease = Grant({}, 0)
        self._lease_requested_us = now_us

    @staticmethod
    def _longest(duration_us: int = QUOTA_LEASE_US) -> int:
        """The time that a duration may take by the slowest clock."""
        return int(duration_us * (1 + MAX_CLOCK_DRIFT))

    @staticmethod
    def _shortest(duration_us: int = QUOTA_LEASE_US) -> int:
        """The time that a duration takes at least, by the fastest clock."""
        return int(duration_us * (1 - MAX_CLOCK_DRIFT))

    # --- as holder

    def quota(self, scope: str, now_us: int) -> float:
        """The part of the whole, from 0 to 1, that may be used at this instant of what the scope divides."""
        own = self.solo_quota / max(self.router_counts[scope], self._peak_counts[scope][0], 1)
        leased = self._lease.quotas.get(scope, 0.0) if now_us < self._lease.expires_us else 0.0
        return own + (1.0 - self.solo_quota) * leased

    @property
    def lease_expires_us(self) -> int:
        """When the lease held runs out."""
        return self._lease.expires_us

    # --- time

    def tick(self, now_us: int, view: MemberTable) -> OutgoingMessages:
        """Renew votes and lease where that is due; the messages to be sent."""
        if view.version != self._view_version:
            self._view_version = view.version
            self._update_peak_counts(now_us, view)
        if self.solo_quota >= 1.0 or now_us - self._last_renewal_us < RENEW_INTERVAL_US:
            return []
        self._last_renewal_us = now_us
        self._requested_at_us = {
            request_id: requested_us
            for request_id, requested_us in self._requested_at_us.items()
            if now_us - requested_us < QUOTA_LEASE_US
        }
        self._grants.expire(now_us)
        leader = self._choose_leader(view)
        outgoing: OutgoingMessages = []
        if leader is not None and leader.name == self.own.name:
            outgoing += self._request_votes(now_us, view)
        else:
            self._step_down()
        if leader is not None:
            request = LeaseMessage(0, LeaseMessageKind.QUOTA_REQUEST, self._new_request(now_us))
            outgoing += self._send(leader, (leader.host, leader.port), now_us, view, request)
        return outgoing

    def _update_peak_counts(self, now_us: int, view: MemberTable) -> None:
        for scope in self.router_counts:
            present = self._present_count(view, scope)
            peak, peak_at_us = self._peak_counts[scope]
            if present >= peak or now_us - peak_at_us > PEAK_COUNT_MEMORY_US:
                self._peak_counts[scope] = present, now_us

    def _present_count(self, view: MemberTable, scope: str) -> int:
        if scope == FLEET_SCOPE:
            return view.present_count
        zones = (view.members[name].member.zone for _, name in view.ring.positions)
        return sum(1 for zone in zones if ZONE_SCOPE_PREFIX + zone == scope)

    def _choose_leader(self, view: MemberTable) -> Member | None:
        """The leader as this router sees it: the first voter by name that is alive."""
        for name in sorted(self.voters):
            known = view.members.get(name)
            if known is not None and known.state == MemberState.ALIVE:
                return known.member
        return None

    def _new_request(self, now_us: int) -> int:
        self._request_count += 1
        low_bits = self._random.getrandbits(RANDOM_REQUEST_BITS)
        request_id = self._request_count << RANDOM_REQUEST_BITS | low_bits
        self._requested_at_us[request_id] = now_us
        return request_id

    def _send(
        self, receiver: Member, destination: Address, now_us: int, view: MemberTable, message: LeaseMessage
    ) -> OutgoingMessages:
        """A message to a member; one to this router itself is received at once."""
        if receiver.name == self.own.name:
            return self.receive(now_us, message, self.own, destination, view)
        return [(destination, message)]

    # --- receiving

    def receive(
        self, now_us: int, message: LeaseMessage, sender: Member, source: Address, view: MemberTable
    ) -> OutgoingMessages:
        """Take in a message of a member; the messages to be sent."""
        reply: LeaseMessage | None = None
        match message.kind:
            case LeaseMessageKind.VOTE_REQUEST:
                reply = self._receive_vote_request(now_us, message, sender)
            case LeaseMessageKind.VOTE:
                self._receive_vote(now_us, message, sender)
            case LeaseMessageKind.QUOTA_REQUEST:
                reply = self._receive_quota_request(now_us, message, sender, view)
            case LeaseMessageKind.GRANT:
                reply = self._receive_grant(message)
            case LeaseMessageKind.GRANT_ACCEPTED:
                self._grants.accept((sender.name, sender.boot_id), message.request_id)
        return [] if reply is None else self._send(sender, source, now_us, view, reply)

    def _receive_vote_request(
        self, now_us: int, message: LeaseMessage, sender: Member
    ) -> LeaseMessage | None:
        """As a voter: promise the vote, unless it is promised to another."""
        if self.own.name not in self.voters or sender.name not in self.voters:
            return None
        candidate = sender.name, sender.boot_id
        if now_us < self.no_vote_until_us:
            return None
        if self._vote_promise is not None:
            promised_to, promised_until_us = self._vote_promise
            if now_us < promised_until_us and promised_to != candidate:
                return None
        self._vote_promise = candidate, now_us + self._longest()
        return LeaseMessage(message.term, LeaseMessageKind.VOTE, message.request_id)

    def _receive_vote(self, now_us: int, message: LeaseMessage, sender: Member) -> None:
        """As a candidate: count a vote, and begin a term with the majority."""
        requested_us = self._requested_at_us.get(message.request_id)
        if message.term != self._term or sender.name not in self.voters or requested_us is None:
            return
        had_quorum = self._has_quorum(now_us)
        good_until_us = requested_us + self._shortest()
        self._votes[sender.name] = max(self._votes.get(sender.name, 0), good_until_us)
        if not had_quorum and self._has_quorum(now_us):
            # The majority may have lapsed unnoticed since a term of its own, and another leader have granted
            # meanwhile: the grants it knows are not all, so it waits for all of them to expire.
            self._elected_us = now_us
            self._grants.clear()

    def _receive_quota_request(
        self, now_us: int, message: LeaseMessage, sender: Member, view: MemberTable
    ) -> LeaseMessage | None:
        """As leader: grant the sender its fair part of the pool, as far as it is free."""
        if not self._may_grant(now_us):
            return None
        fair_quotas = {
            scope: 1.0 / max(1, self._present_count(view, scope))
            for scope in (FLEET_SCOPE, ZONE_SCOPE_PREFIX + sender.zone)
        }
        holder = sender.name, sender.boot_id
        expires_us = now_us + self._longest()
        offered = self._grants.offer(now_us, holder, fair_quotas, expires_us, message.request_id)
        quotas = tuple(sorted(offered.items()))
        return LeaseMessage(self._term, LeaseMessageKind.GRANT, message.request_id, quotas)

    def _receive_grant(self, message: LeaseMessage) -> LeaseMessage | None:
        """As holder: replace the lease, also by a smaller one, and confirm it."""
        if self._requested_at_us.get(message.request_id, -1) < self._lease_requested_us:
            # Overtaken on its way by the answer to a later request. The leader has reserved the later one's
            # quotas only, so holding this one could exceed the whole.
            return None
        requested_us = self._lease_requested_us = self._requested_at_us.pop(message.request_id)
        quotas = {scope: quota for scope, quota in message.quotas if 0.0 <= quota <= 1.0}
        self._lease = Grant(quotas, requested_us + self._shortest())
        return LeaseMessage(0, LeaseMessageKind.GRANT_ACCEPTED, message.request_id, message.quotas)

    # --- as candidate and leader

    def _request_votes(self, now_us: int, view: MemberTable) -> OutgoingMessages:
        if not self._term:
            self._term = self._random.getrandbits(TERM_BITS) | 1
        request = LeaseMessage(self._term, LeaseMessageKind.VOTE_REQUEST, self._new_request(now_us))
        outgoing = OutgoingMessages()
        for name in self.voters:
            if known := view.members.get(name):
                voter = known.member
                outgoing += self._send(voter, (voter.host, voter.port), now_us, view, request)
        return outgoing

    def _step_down(self) -> None:
        """Another voter is before it. Its grants expire by themselves, and its next term waits for that."""
        self._term = 0
        self._elected_us = None
        self._votes.clear()

    def _has_quorum(self, now_us: int) -> bool:
        """Whether the votes of a majority are good at this instant."""
        good_until_us = sorted(self._votes.values(), reverse=True)
        majority = len(self.voters) // 2 + 1
        return len(good_until_us) >= majority and now_us < good_until_us[majority - 1]

    def _may_grant(self, now_us: int) -> bool:
        """Whether it leads, and every grant of a predecessor must have expired by the slowest clocks."""
        if self._elected_us is None or not self._has_quorum(now_us):
            return False
        return now_us - self._elected_us > self._longest(self._longest())
