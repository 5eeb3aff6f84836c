"""Anti-entropy: a view is compared part by part with another's, and what differs is told."""

from __future__ import annotations

import random

from magpieshift.membership.dissemination import Dissemination, Outbox
from magpieshift.membership.member_table import (
    DIGEST_BUCKETS,
    Member,
    MemberState,
    MemberTable,
    SuspicionReport,
    ring_position,
)
from magpieshift.membership.messages import Sync

SYNC_INTERVAL_US = 500_000  # between two that go to the same member
MAX_SYNCED_MEMBERS = 12  # members in one answer to a differing view
MAX_EXTRA_NAMES = 1024  # names kept beyond those of members
SUSPICION_RETRANSMITS = 2  # an accusation that another seems to lack is passed on


class Synchronization:
    """One router's comparisons of its view with those of others."""

    def __init__(
        self, view: MemberTable, dissemination: Dissemination, outbox: Outbox, rand: random.Random
    ) -> None:
        self._view = view
        self._updates = dissemination.updates
        self._outbox = outbox
        self._random = rand
        self._last_sync_us: dict[str, int] = {}  # by name, when

    def request(self) -> Sync:
        """What to send to somebody whose view may differ."""
        return Sync(tuple(self._view.bucket_digests))

    def synchronize(self, now_us: int, member: Member) -> None:
        """Compare with a member whose view differs, unless that was done a moment ago."""
        if now_us - self._last_sync_us.get(member.name, -SYNC_INTERVAL_US) < SYNC_INTERVAL_US:
            return
        if len(self._last_sync_us) > 2 * self._view.present_count + MAX_EXTRA_NAMES:
            self._last_sync_us.clear()
        self._last_sync_us[member.name] = now_us
        self._outbox.send_to(member, self.request())

    def answer(self, sync: Sync, sender: Member) -> None:
        """Tell the sender members out of the parts in which its view differs."""
        if len(sync.bucket_digests) != DIGEST_BUCKETS:
            return
        differ = {at for at, part in enumerate(self._view.bucket_digests) if part != sync.bucket_digests[at]}
        if not differ:
            return
        rows = [k for name, k in self._view.members.items() if ring_position(name) % DIGEST_BUCKETS in differ]
        rows = self._random.sample(rows, min(len(rows), MAX_SYNCED_MEMBERS))
        for known in rows:
            m = known.member
            if known.state == MemberState.DEAD:
                # one who lacks an accusation of it would hold it for alive for ever: nobody else has any left
                said = SuspicionReport(m.name, m.incarnation, m.heartbeat, self._view.own.name)
                self._updates.put(("a", said.suspect, said.reporter), said, SUSPICION_RETRANSMITS)
            for who, beat in known.reporters.items():
                said = SuspicionReport(m.name, m.incarnation, beat, who)
                if (key := ("a", said.suspect, who)) not in self._updates:
                    self._updates.put(key, said, SUSPICION_RETRANSMITS)
        # who is gone is not told as a member: the other's accusers will find it out, or it lives
        told = tuple(k.member for k in rows if k.state != MemberState.DEAD)
        body = None if sync.is_reply else Sync(tuple(self._view.bucket_digests), is_reply=True)
        self._outbox.send((sender.host, sender.port), body, told)
