"""Quota leases: the quota of shared capacity that each router may use. A state machine; no I/O.

A quota is a fraction of the capacity that all routers of a scope share. The settings give the number of
routers and the fraction ``solo_quota``, which the routers divide evenly and may always use. The rest is a
pool that one elected leader grants to the present members by leases. A router that is cut off therefore falls
back to its share of ``solo_quota``, and what another router uses beyond its own share was granted to that
router alone.

Why the quotas in use never add up to more than 1 (provided that all clocks run within ``MAX_CLOCK_DRIFT`` of
each other, and that no more processes run than the settings count or, if larger, than members were seen):

- The shares of ``solo_quota`` add up to at most ``solo_quota``.
- At most one leader grants, because it needs the votes of a majority of the voters. A vote is valid for one
  lease duration from its request, and the voter votes for no other candidate during that time plus the drift.
  A voter that has just started does not vote for the same time, as it does not know its predecessor's
  promises.
- The leader's grants never exceed the pool; see ``quota_grants``.
- A new leader grants nothing until every grant of its predecessor must have expired.
- A holder counts its lease from the time of its request, by the fastest clock, and reads the clock whenever
  it uses its quota: after a long pause its lease has expired, and only its share of ``solo_quota`` is left.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from magpieshift.membership.member import Member, MemberState
from magpieshift.membership.member_table import MemberTable
from magpieshift.membership.messages import Address, LeaseMessage, LeaseMessageKind
from magpieshift.membership.quota_grants import Grant, GrantTable, HolderId

FLEET_SCOPE = "all"  # the scope of capacity that all routers share
ZONE_SCOPE_PREFIX = "zone "  # precedes a zone's name in the scope of capacity that the zone's routers share
# Lease duration: three renewal intervals, so that two renewals may be lost. A longer lease keeps a dead
# holder's quota unused for longer.
QUOTA_LEASE_US = 6_000_000
RENEW_INTERVAL_US = 2_000_000  # between two requests for votes and for a lease
MAX_CLOCK_DRIFT = 0.02  # relative, between two clocks during a lease; far above that of working clocks
PEAK_COUNT_MEMORY_US = 600_000_000  # how long the largest number of members seen reduces the solo quota
TERM_BITS = 62  # bits of a random term, enough that the terms of two leaders differ
RANDOM_REQUEST_BITS = 16  # random low bits of a request id, so that it cannot be guessed

OutgoingMessages = list[tuple[Address, LeaseMessage]]
"""Lease messages with their destinations."""


class QuotaLease:
    """The quota lease state machine of one router, in its roles of voter, candidate, leader and holder."""

    def __init__(
        self,
        own: Member,
        voters: tuple[str, ...],
        router_counts: Mapping[str, int],
        solo_quota: float,
        now_us: int,
        rand: random.Random,
    ) -> None:
        """``router_counts`` is the number of routers of each scope according to the settings."""
        self.own = own
        self.voters = voters
        self.router_counts = dict(router_counts)
        self.solo_quota = solo_quota
        self._random = rand
        # by scope: the largest number of members present in PEAK_COUNT_MEMORY_US, and when it was reached
        self._peak_counts = dict.fromkeys(router_counts, (0, now_us))
        self._view_version = -1  # version of the view that the peak counts were last updated from
        self._request_count = 0
        self._requested_at_us: dict[int, int] = {}  # by request id: when each unanswered request was sent
        self._last_renewal_us = now_us - RENEW_INTERVAL_US
        # as a voter
        self.no_vote_until_us = now_us + self._max_duration()  # until a predecessor's promises have expired
        self._vote_promise: tuple[HolderId, int] | None = None  # the candidate voted for, and the expiry
        # as leader
        self._term = 0  # 0: this router is not a candidate
        self._votes: dict[str, int] = {}  # by voter: when its vote expires
        self._elected_us: int | None = None  # when this router last reached a majority
        self._grants = GrantTable()
        # as holder
        self._lease = Grant({}, 0)
        self._lease_requested_us = now_us

    @staticmethod
    def _max_duration(duration_us: int = QUOTA_LEASE_US) -> int:
        """An upper bound of a duration, as this router's clock may measure it."""
        return int(duration_us * (1 + MAX_CLOCK_DRIFT))

    @staticmethod
    def _min_duration(duration_us: int = QUOTA_LEASE_US) -> int:
        """A lower bound of a duration, as this router's clock may measure it."""
        return int(duration_us * (1 - MAX_CLOCK_DRIFT))

    # --- as holder

    def quota(self, scope: str, now_us: int) -> float:
        """The quota of a scope, from 0 to 1, that this router may use at this instant."""
        solo_share = self.solo_quota / max(self.router_counts[scope], self._peak_counts[scope][0], 1)
        leased = self._lease.quotas.get(scope, 0.0) if now_us < self._lease.expires_us else 0.0
        return solo_share + (1.0 - self.solo_quota) * leased

    @property
    def lease_expires_us(self) -> int:
        """When the lease that this router holds expires."""
        return self._lease.expires_us

    # --- time

    def tick(self, now_us: int, view: MemberTable) -> OutgoingMessages:
        """Renew votes and lease every ``RENEW_INTERVAL_US``; returns the messages to send."""
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
        """The leader in this router's view: the first alive voter in alphabetical order."""
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
        """Address a message to a member; one to this router itself is processed at once instead."""
        if receiver.name == self.own.name:
            return self.receive(now_us, message, self.own, destination, view)
        return [(destination, message)]

    # --- receiving

    def receive(
        self, now_us: int, message: LeaseMessage, sender: Member, source: Address, view: MemberTable
    ) -> OutgoingMessages:
        """Process a member's message; returns the messages to send."""
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
        """As a voter: vote for the candidate, unless the vote is promised to another one."""
        if self.own.name not in self.voters or sender.name not in self.voters:
            return None
        candidate = sender.name, sender.boot_id
        if now_us < self.no_vote_until_us:
            return None
        if self._vote_promise is not None:
            promised_to, promised_until_us = self._vote_promise
            if now_us < promised_until_us and promised_to != candidate:
                return None
        self._vote_promise = candidate, now_us + self._max_duration()
        return LeaseMessage(message.term, LeaseMessageKind.VOTE, message.request_id)

    def _receive_vote(self, now_us: int, message: LeaseMessage, sender: Member) -> None:
        """As a candidate: count a vote, and become leader once a majority is reached."""
        requested_us = self._requested_at_us.get(message.request_id)
        if message.term != self._term or sender.name not in self.voters or requested_us is None:
            return
        had_quorum = self._has_quorum(now_us)
        valid_until_us = requested_us + self._min_duration()
        self._votes[sender.name] = max(self._votes.get(sender.name, 0), valid_until_us)
        if not had_quorum and self._has_quorum(now_us):
            # This router's earlier majority may have expired unnoticed, and another leader may have made
            # grants since. Its table would lack those grants, so it starts empty and waits for all grants to
            # expire.
            self._elected_us = now_us
            self._grants.clear()

    def _receive_quota_request(
        self, now_us: int, message: LeaseMessage, sender: Member, view: MemberTable
    ) -> LeaseMessage | None:
        """As leader: grant the sender an equal share of the pool, or what of it is not granted to others."""
        if not self._may_grant(now_us):
            return None
        fair_quotas = {
            scope: 1.0 / max(1, self._present_count(view, scope))
            for scope in (FLEET_SCOPE, ZONE_SCOPE_PREFIX + sender.zone)
        }
        holder = sender.name, sender.boot_id
        expires_us = now_us + self._max_duration()
        offered = self._grants.offer(now_us, holder, fair_quotas, expires_us, message.request_id)
        quotas = tuple(sorted(offered.items()))
        return LeaseMessage(self._term, LeaseMessageKind.GRANT, message.request_id, quotas)

    def _receive_grant(self, message: LeaseMessage) -> LeaseMessage | None:
        """As holder: replace the lease, even if the new one is smaller, and confirm it."""
        if self._requested_at_us.get(message.request_id, -1) < self._lease_requested_us:
            # The grant for a later request arrived first. The leader has reserved only the later grant's
            # quotas, so the sum of the quotas in use could exceed 1 if this one were used.
            return None
        requested_us = self._lease_requested_us = self._requested_at_us.pop(message.request_id)
        quotas = {scope: quota for scope, quota in message.quotas if 0.0 <= quota <= 1.0}
        self._lease = Grant(quotas, requested_us + self._min_duration())
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
        """End the candidacy: another voter is alive that precedes this one, or this router is not a voter.

        Its grants are left to expire, for which its next term as leader waits.
        """
        self._term = 0
        self._elected_us = None
        self._votes.clear()

    def _has_quorum(self, now_us: int) -> bool:
        """Whether the votes of a majority of the voters are valid at this instant."""
        valid_until_us = sorted(self._votes.values(), reverse=True)
        majority = len(self.voters) // 2 + 1
        return len(valid_until_us) >= majority and now_us < valid_until_us[majority - 1]

    def _may_grant(self, now_us: int) -> bool:
        """Whether this router leads, and all earlier grants must have expired even by the slowest clocks."""
        if self._elected_us is None or not self._has_quorum(now_us):
            return False
        return now_us - self._elected_us > self._max_duration(self._max_duration())
