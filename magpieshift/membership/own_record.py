"""Taking in what others say: records of members, and accusations."""

from __future__ import annotations

from magpieshift.membership.dissemination import Dissemination
from magpieshift.membership.member_table import Member, MemberTable
from magpieshift.membership.messages import Datagram
from magpieshift.membership.name_conflict import NameConflict
from magpieshift.membership.suspicion import Suspicion


class RecordMerger:
    """What one router takes over from others into its view."""

    def __init__(
        self,
        view: MemberTable,
        dissemination: Dissemination,
        judge: Suspicion,
        name_conflict: NameConflict,
    ) -> None:
        self._view = view
        self._dissemination = dissemination
        self._judge = judge
        self._name_conflict = name_conflict

    def merge_record(self, now_us: int, member: Member, why: str) -> None:
        """Take in a record, and pass on what is new in it beside the beat."""
        known = self._view.members.get(member.name)
        before = known.member if known is not None else None
        self._view.merge(member, now_us, why)
        after = self._view.members.get(member.name)
        if before is None or after is None or after.member is before:
            return
        said = [
            (m.generation, m.host, m.port, m.program_version, m.settings_version, m.lifecycle_state)
            for m in (before, after.member)
        ]
        if said[0] != said[1]:
            self._dissemination.spread_member(after.member)

    def merge_datagram(self, now_us: int, datagram: Datagram) -> bool:
        """Take in all that a datagram passes on; whether this router itself is accused in it."""
        own = self._view.own
        accused = False
        for member in datagram.members:
            if member.name == own.name:
                if member.generation != own.generation:
                    self._name_conflict.observe(member)
            else:
                self.merge_record(now_us, member, f"told by {datagram.sender.name}")
        for said in datagram.suspicions:
            if said.suspect == own.name:
                accused = accused or said.incarnation == own.incarnation
                continue
            known = self._view.members.get(said.suspect)
            if known is None:
                continue
            if said.incarnation != known.member.incarnation or said.heartbeat < known.member.heartbeat:
                self._dissemination.spread_member(known.member)  # a later beat of it is known here
            else:
                self._judge.add_report(said)
        return accused
