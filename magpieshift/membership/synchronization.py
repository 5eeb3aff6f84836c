"""Anti-entropy: a view is compared part by part with another's, and what differs is told."""

from __future__ import annotations

import random

from magpieshift.membership.dissemination import Dissemination, Outbox
from magpieshift.membership.member_table import PARTS, Accusation, Member, MemberTable, Standing, spot
from magpieshift.membership.messages import Sync

SYNC_US = 500_000  # between two that go to the same member
MOST_SYNCED = 12  # members in one answer to a differing view
MOST_SPARE = 1024  # names kept beyond those of members
TIMES = 2  # an accusation that another seems to lack is passed on


class Synchronization:
    """One router's comparisons of its view with those of others."""

    def __init__(
        self, view: MemberTable, dissemination: Dissemination, outbox: Outbox, rand: random.Random
    ) -> None:
        self._view = view
        self._rumours = dissemination.rumours
        self._outbox = outbox
        self._random = rand
        self._asked: dict[str, int] = {}  # by name, when

    def question(self) -> Sync:
        """What to send to somebody whose view may differ."""
        return Sync(tuple(self._view.parts))

    def ask(self, now_us: int, member: Member) -> None:
        """Compare with a member whose view differs, unless that was done a moment ago."""
        if now_us - self._asked.get(member.name, -SYNC_US) < SYNC_US:
            return
        if len(self._asked) > 2 * self._view.count + MOST_SPARE:
            self._asked.clear()
        self._asked[member.name] = now_us
        self._outbox.send_to(member, self.question())

    def answer(self, sync: Sync, sender: Member) -> None:
        """Tell the sender members out of the parts in which its view differs."""
        if len(sync.parts) != PARTS:
            return
        differ = {at for at, part in enumerate(self._view.parts) if part != sync.parts[at]}
        if not differ:
            return
        rows = [k for name, k in self._view.known.items() if spot(name) % PARTS in differ]
        rows = self._random.sample(rows, min(len(rows), MOST_SYNCED))
        for known in rows:
            m = known.member
            if known.standing == Standing.GONE:
                # one who lacks an accusation of it would hold it for alive for ever: nobody else has any left
                said = Accusation(m.name, m.incarnation, m.beat, self._view.own.name)
                self._rumours.put(("a", said.about, said.accuser), said, TIMES)
            for who, beat in known.accusers.items():
                said = Accusation(m.name, m.incarnation, beat, who)
                if (key := ("a", said.about, who)) not in self._rumours:
                    self._rumours.put(key, said, TIMES)
        # who is gone is not told as a member: the other's accusers will find it out, or it lives
        told = tuple(k.member for k in rows if k.standing != Standing.GONE)
        body = None if sync.answer else Sync(tuple(self._view.parts), answer=True)
        self._outbox.send((sender.host, sender.port), body, told)
