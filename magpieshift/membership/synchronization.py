"""Anti-entropy: compares two views by their bucket digests and sends members of the buckets that differ."""

from __future__ import annotations

import random

from magpieshift.membership.dissemination import Dissemination, Outbox
from magpieshift.membership.member import KnownMember, Member, MemberState, SuspicionReport, ring_position
from magpieshift.membership.member_table import MemberTable
from magpieshift.membership.messages import Sync
from magpieshift.membership.ring import DIGEST_BUCKETS

SYNC_INTERVAL_US = 500_000  # between two requests to one member: by then the answer has arrived or is lost
MAX_SYNCED_MEMBERS = 12  # member records in one answer, which is a single datagram
MAX_EXTRA_NAMES = 1024  # names kept in addition to those of members, before all are dropped
# Transmissions of a report that the other view seems to lack; few, as the other members know it already.
SUSPICION_RETRANSMITS = 2


class Synchronization:
    """Compares one router's view with the views of others."""

    def __init__(
        self, view: MemberTable, dissemination: Dissemination, outbox: Outbox, rand: random.Random
    ) -> None:
        self._view = view
        self._updates = dissemination.updates
        self._outbox = outbox
        self._random = rand
        self._last_sync_us: dict[str, int] = {}  # by member's name: when a request was last sent to it

    def request(self) -> Sync:
        """The request to a member whose view may differ."""
        return Sync(tuple(self._view.ring.bucket_digests))

    def synchronize(self, now_us: int, member: Member) -> None:
        """Send a request to a member whose view differs, at most once per ``SYNC_INTERVAL_US``."""
        if now_us - self._last_sync_us.get(member.name, -SYNC_INTERVAL_US) < SYNC_INTERVAL_US:
            return
        if len(self._last_sync_us) > 2 * self._view.present_count + MAX_EXTRA_NAMES:
            self._last_sync_us.clear()
        self._last_sync_us[member.name] = now_us
        self._outbox.send_to(member, self.request())

    def answer(self, sync: Sync, sender: Member) -> None:
        """Answer with members of the buckets in which the sender's view differs."""
        own_digests = self._view.ring.bucket_digests
        if len(sync.bucket_digests) != DIGEST_BUCKETS:
            return
        differing = {
            bucket for bucket, digest in enumerate(own_digests) if digest != sync.bucket_digests[bucket]
        }
        if not differing:
            return
        candidates = [
            known
            for name, known in self._view.members.items()
            if ring_position(name) % DIGEST_BUCKETS in differing
        ]
        chosen = self._random.sample(candidates, min(len(candidates), MAX_SYNCED_MEMBERS))
        for known in chosen:
            self._pass_on_suspicions(known)
        # Dead members are not sent: either the other side's reporters detect the failure, or the member
        # lives.
        records = tuple(known.member for known in chosen if known.state != MemberState.DEAD)
        body = None if sync.is_reply else Sync(tuple(own_digests), is_reply=True)
        self._outbox.send((sender.host, sender.port), body, records)

    def _pass_on_suspicions(self, known: KnownMember) -> None:
        """Queue the suspicion reports of a member for dissemination again."""
        member = known.member
        if known.state == MemberState.DEAD:
            # Routers that have declared a member dead keep no reports of it, so a router that lost one report
            # would consider the member alive permanently. Therefore each of them reports it in its own name.
            own_name = self._view.own.name
            report = SuspicionReport(member.name, member.incarnation, member.heartbeat, own_name)
            self._updates.put(("a", report.suspect, report.reporter), report, SUSPICION_RETRANSMITS)
        for reporter, heartbeat in known.reporters.items():
            key = ("a", member.name, reporter)
            if key not in self._updates:
                report = SuspicionReport(member.name, member.incarnation, heartbeat, reporter)
                self._updates.put(key, report, SUSPICION_RETRANSMITS)
