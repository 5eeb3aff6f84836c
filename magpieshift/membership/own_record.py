"""Taking in what others say: records of members, and accusations."""

from __future__ import annotations

from magpieshift.membership.dissemination import Dissemination
from magpieshift.membership.member_table import Member, MemberTable
from magpieshift.membership.messages import Datagram
from magpieshift.membership.name_conflict import NameConflict
from magpieshift.membership.suspicion import SuspicionRules


class OwnRecord:
    """What one router takes over from others into its view."""

    def __init__(
        self,
        view: MemberTable,
        dissemination: Dissemination,
        judge: SuspicionRules,
        name_conflict: NameConflict,
    ) -> None:
        self._view = view
        self._dissemination = dissemination
        self._judge = judge
        self._name_conflict = name_conflict

    def learn(self, now_us: int, member: Member, why: str) -> None:
        """Take in a record, and pass on what is new in it beside the beat."""
        known = self._view.known.get(member.name)
        before = known.member if known is not None else None
        self._view.learn(member, now_us, why)
        after = self._view.known.get(member.name)
        if before is None or after is None or after.member is before:
            return
        said = [(m.life, m.host, m.port, m.program, m.settings, m.state) for m in (before, after.member)]
        if said[0] != said[1]:
            self._dissemination.spread_member(after.member)

    def take(self, now_us: int, datagram: Datagram) -> bool:
        """Take in all that a datagram passes on; whether this router itself is accused in it."""
        own = self._view.own
        accused = False
        for member in datagram.members:
            if member.name == own.name:
                if member.life != own.life:
                    self._name_conflict.heard_of(member)
            else:
                self.learn(now_us, member, f"told by {datagram.sender.name}")
        for said in datagram.accusations:
            if said.about == own.name:
                accused = accused or said.incarnation == own.incarnation
                continue
            known = self._view.known.get(said.about)
            if known is None:
                continue
            if said.incarnation != known.member.incarnation or said.beat < known.member.beat:
                self._dissemination.spread_member(known.member)  # a later beat of it is known here
            else:
                self._judge.accuse(said)
        return accused
