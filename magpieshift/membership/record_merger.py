"""Merges member records and suspicion reports from other routers into this router's view."""

from __future__ import annotations

from magpieshift.membership.dissemination import Dissemination
from magpieshift.membership.member import Member, SuspicionReport
from magpieshift.membership.member_table import MemberTable
from magpieshift.membership.messages import Datagram
from magpieshift.membership.name_conflict import NameConflict
from magpieshift.membership.suspicion import Suspicion


def _disseminated_fields(member: Member) -> tuple[object, ...]:
    """The fields whose changes are disseminated; heartbeat and load change too often for it."""
    return (
        member.generation,
        member.host,
        member.port,
        member.program_version,
        member.settings_version,
        member.lifecycle_state,
    )


class RecordMerger:
    """Merges the records and reports in datagrams that are new to this router."""

    def __init__(
        self,
        view: MemberTable,
        dissemination: Dissemination,
        suspicion: Suspicion,
        name_conflict: NameConflict,
    ) -> None:
        self._view = view
        self._dissemination = dissemination
        self._suspicion = suspicion
        self._name_conflict = name_conflict

    def merge_record(self, now_us: int, member: Member, reason: str) -> None:
        """Merge a record, and disseminate it if one of its ``_disseminated_fields`` has changed."""
        known = self._view.members.get(member.name)
        before = known.member if known is not None else None
        self._view.merge(member, now_us, reason)
        after = self._view.members.get(member.name)
        if before is None or after is None or after.member is before:
            return
        if _disseminated_fields(before) != _disseminated_fields(after.member):
            self._dissemination.spread_member(after.member)

    def merge_datagram(self, now_us: int, datagram: Datagram) -> bool:
        """Merge a datagram's records and reports; returns whether one of them reports this router itself."""
        own = self._view.own
        is_reported = False
        for member in datagram.members:
            if member.name != own.name:
                self.merge_record(now_us, member, f"told by {datagram.sender.name}")
            elif member.generation != own.generation:
                self._name_conflict.observe(member)
        for report in datagram.suspicions:
            if report.suspect == own.name:
                is_reported = is_reported or report.incarnation == own.incarnation
            else:
                self._merge_report(report)
        return is_reported

    def _merge_report(self, report: SuspicionReport) -> None:
        known = self._view.members.get(report.suspect)
        if known is None:
            return
        member = known.member
        if report.incarnation != member.incarnation or report.heartbeat < member.heartbeat:
            self._dissemination.spread_member(member)  # the newer record refutes the report
        else:
            self._suspicion.add_report(report)
