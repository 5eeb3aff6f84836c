"""Name conflicts: whether another process with this router's name runs, and which of them keeps the name."""

from __future__ import annotations

from magpieshift.membership.dissemination import Dissemination
from magpieshift.membership.member import Member
from magpieshift.membership.member_table import MemberTable

MAX_UNANSWERED_PINGS = 4  # after which the other process counts as dead; one ping is sent per round


class NameConflict:
    """One router's knowledge of another process that has its name."""

    def __init__(self, view: MemberTable, dissemination: Dissemination) -> None:
        self._view = view
        self._dissemination = dissemination
        self._other_process: Member | None = None  # a later generation elsewhere, while it is being pinged
        self._pings_sent = 0  # unanswered pings to the other process

    def observe(self, other: Member) -> None:
        """Process a received record that has this router's name but belongs to another process."""
        own = self._view.own
        if other.generation < own.generation:
            self._dissemination.spread_member(own)
        elif (other.host, other.port) == (own.host, own.port):  # the predecessor, whose clock was ahead
            self._supersede(other)
        elif self._other_process is None or self._other_process.generation < other.generation:
            self._other_process = other
            self._pings_sent = 0

    def _supersede(self, other: Member) -> None:
        """Take a higher incarnation than the other process, so that this router's record is valid."""
        self._other_process = None
        self._view.update_own(incarnation=other.incarnation + 1)
        self._dissemination.spread_member(self._view.own)

    def next_ping_target(self) -> Member | None:
        """The process to ping in this round. One that left too many pings unanswered is superseded."""
        if self._other_process is None:
            return None
        if self._pings_sent >= MAX_UNANSWERED_PINGS:
            self._supersede(self._other_process)
            return None
        self._pings_sent += 1
        return self._other_process

    def confirm_alive(self, other: Member) -> bool:
        """Return whether the process that answered is the one being pinged; if so, stops pinging it."""
        if self._other_process is None or self._other_process.generation != other.generation:
            return False
        self._other_process = None
        return True
