"""One router's view of the membership. No I/O and no clock; callers pass times in microseconds.

Of two records of one name the one with the higher version is valid. A suspicion report is valid until a later
heartbeat of the suspect than the reported one is known. So a delayed or duplicated datagram changes nothing,
and a live member need not see a report to refute it: its next heartbeat does, by whatever path it arrives.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import replace

from magpieshift.membership.member import (
    MAX_MEMBERS,
    KnownMember,
    Member,
    MembershipChange,
    MemberState,
    SuspicionReport,
)
from magpieshift.membership.rejoin_damping import is_rejoin_delayed
from magpieshift.membership.ring import MemberRing

MAX_REPORTERS = 8  # kept for one suspect: the quorum is smaller, so more reporters would change nothing
FORGET_AFTER_US = 600_000_000  # retention of an absent member; one that returns later counts as new


class MemberTable:
    """All members known to one router, itself included."""

    def __init__(self, own: Member, now_us: int) -> None:
        self.own = own  # this router's latest record
        self.version = 0  # number of changes of the view so far
        self.listeners: list[Callable[[MembershipChange], None]] = []
        self.members: dict[str, KnownMember] = {}  # by name, absent ones included
        self.ring = MemberRing()  # the present members
        self.under_suspicion: set[str] = set()  # names of present members that are reported or suspect
        self.rejected_records = 0  # records of new members in excess of MAX_MEMBERS
        self._add(own, MemberState.ALIVE, now_us, "started")

    # --- reading

    @property
    def digest(self) -> int:
        """Equal in two routers that agree on which processes are present."""
        return self.ring.digest

    @property
    def present_count(self) -> int:
        """The number of alive and suspect members, this router included."""
        return len(self.ring)

    @property
    def has_absent_members(self) -> bool:
        """Whether any member is known that is dead or has left."""
        return len(self.members) > self.present_count

    def present_members(self) -> list[KnownMember]:
        """The alive and suspect members, this router included, sorted by name."""
        return [self.members[name] for name in sorted(name for _, name in self.ring.positions)]

    def ring_successors(self, name: str) -> Iterator[KnownMember]:
        """All other present members in ring order, beginning with the successor of this name."""
        return (self.members[other] for other in self.ring.successors(name))

    # --- records

    def merge(self, member: Member, now_us: int, reason: str) -> bool:
        """Merge a record of another member.

        Returns whether it changed the view's set of members or a member's process, address, heartbeat or
        leave.
        """
        known = self.members.get(member.name)
        if known is None:
            return self._merge_unknown(member, now_us, reason)
        if member.record_version <= known.member.record_version:
            return False
        before = known.member
        is_new_process = member.generation != before.generation
        has_new_heartbeat = is_new_process or member.heartbeat > before.heartbeat
        has_moved = is_new_process or (member.host, member.port) != (before.host, before.port)
        if known.is_present and is_new_process:
            self.ring.replace(before, member)
        known.member = member
        if member.has_left:
            self._transition(known, MemberState.LEFT, now_us, reason)
        elif has_new_heartbeat:
            gap_us = now_us - known.last_heartbeat_us
            known.last_heartbeat_us = now_us
            self._drop_refuted_reports(known, is_new_process)
            if known.state == MemberState.DEAD and is_rejoin_delayed(known, gap_us, now_us):
                return has_moved
            if known.state != MemberState.SUSPECT or not known.reporters:
                self._transition(known, MemberState.ALIVE, now_us, reason)
            self._update_suspects(known)
        return has_moved or member.has_left or has_new_heartbeat

    def _merge_unknown(self, member: Member, now_us: int, reason: str) -> bool:
        if member.has_left:
            return False  # the member was never present in this view
        if not self._make_room():
            self.rejected_records += 1
            return False
        self._add(member, MemberState.ALIVE, now_us, reason)
        return True

    @staticmethod
    def _drop_refuted_reports(known: KnownMember, is_new_process: bool) -> None:
        heartbeat = known.member.heartbeat
        known.reporters = (
            {}
            if is_new_process
            else {name: seen for name, seen in known.reporters.items() if seen >= heartbeat}
        )

    def update_own(self, **changes: object) -> Member:
        """Change this router's own record and increment its heartbeat; returns the new record."""
        known = self.members[self.own.name]
        own = replace(self.own, heartbeat=self.own.heartbeat + 1, **changes)  # type: ignore[arg-type]
        if own.generation != self.own.generation:
            self.ring.replace(self.own, own)
        self.own = known.member = own
        return own

    def rename_own(self, name: str, now_us: int) -> None:
        """Give this router another name, because a different process holds its present one."""
        known = self.members.pop(self.own.name)
        if known.is_present:
            self.ring.remove(known.member)
        self.own = replace(self.own, name=name)
        self._add(self.own, MemberState.ALIVE, now_us, "renamed: its name is held by a later start elsewhere")

    def forget_departed(self, now_us: int) -> None:
        """Drop members that have been absent for ``FORGET_AFTER_US``."""
        if not self.has_absent_members:
            return
        for name, known in list(self.members.items()):
            if not known.is_present and now_us - known.state_since_us >= FORGET_AFTER_US:
                del self.members[name]

    # --- suspicions

    def add_suspicion(self, report: SuspicionReport) -> bool:
        """Store a report unless it is refuted or superfluous; returns whether it was stored as new."""
        known = self.members.get(report.suspect)
        if known is None or report.suspect == self.own.name or not known.is_present:
            return False
        member = known.member
        is_refuted = report.incarnation != member.incarnation or report.heartbeat < member.heartbeat
        if is_refuted or known.reporters.get(report.reporter, -1) >= report.heartbeat:
            return False
        if report.reporter not in known.reporters and len(known.reporters) >= MAX_REPORTERS:
            return False
        known.reporters[report.reporter] = report.heartbeat
        self._update_suspects(known)
        return True

    def remove_suspicion(self, name: str, reporter: str) -> None:
        """Remove this reporter's suspicion report of a member."""
        if known := self.members.get(name):
            known.reporters.pop(reporter, None)
            self._update_suspects(known)

    def set_state(self, name: str, state: MemberState, now_us: int, reason: str) -> None:
        """Set the state of a member; no effect if it already has that state."""
        self._transition(self.members[name], state, now_us, reason)

    # --- bookkeeping

    def _make_room(self) -> bool:
        """Return whether a member may be added; drops the member that is absent longest if necessary."""
        if self.present_count >= MAX_MEMBERS:
            return False
        if len(self.members) >= 2 * MAX_MEMBERS:
            absent = (known for known in self.members.values() if not known.is_present)
            oldest = min(absent, key=lambda known: known.state_since_us)
            del self.members[oldest.member.name]
        return True

    def _add(self, member: Member, state: MemberState, now_us: int, reason: str) -> None:
        self.members[member.name] = KnownMember(member, state, now_us, now_us, reason=reason)
        self.ring.add(member)
        self._notify(member.name, None, state, now_us, reason)

    def _transition(self, known: KnownMember, state: MemberState, now_us: int, reason: str) -> None:
        """Change the state of a member; every change of state goes through this method."""
        old_state = known.state
        was_present = known.is_present
        if old_state == state:
            return
        known.state = state
        known.state_since_us = now_us
        known.reason = reason
        if known.is_present and not was_present:
            self.ring.add(known.member)
        elif was_present and not known.is_present:
            self.ring.remove(known.member)
            known.reporters = {}
        self._update_suspects(known)
        self._notify(known.member.name, old_state, state, now_us, reason)

    def _update_suspects(self, known: KnownMember) -> None:
        """Update ``under_suspicion`` for one member."""
        if known.is_present and (known.reporters or known.state == MemberState.SUSPECT):
            self.under_suspicion.add(known.member.name)
        else:
            self.under_suspicion.discard(known.member.name)

    def _notify(
        self, name: str, old_state: MemberState | None, new_state: MemberState, now_us: int, reason: str
    ) -> None:
        self.version += 1
        change = MembershipChange(self.version, now_us, name, old_state, new_state, reason)
        for listener in self.listeners:
            listener(change)
