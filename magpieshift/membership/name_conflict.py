"""Another process under this router's name: whether it runs, and which of the two keeps the name."""

from __future__ import annotations

from magpieshift.membership.dissemination import Dissemination
from magpieshift.membership.member import Member
from magpieshift.membership.member_table import MemberTable

MAX_UNANSWERED_PINGS = 4  # one a round; after them the other process counts as dead


class NameConflict:
    """What one router knows of another process that has its name."""

    def __init__(self, view: MemberTable, dissemination: Dissemination) -> None:
        self._view = view
        self._dissemination = dissemination
        self._other_process: Member | None = None  # a later start elsewhere, while it is being pinged
        self._pings_sent = 0  # to it, without an answer

    def observe(self, other: Member) -> None:
        """A record of this router's name that is not of this process has arrived."""
        own = self._view.own
        if other.generation < own.generation:
            self._dissemination.spread_member(own)
        elif (other.host, other.port) == (own.host, own.port):  # an earlier start, whose clock was ahead
            self._supersede(other)
        elif self._other_process is None or self._other_process.generation < other.generation:
            self._other_process = other
            self._pings_sent = 0

    def _supersede(self, other: Member) -> None:
        """Take a later incarnation than the other process."""
        self._other_process = None
        self._view.update_own(incarnation=other.incarnation + 1)
        self._dissemination.spread_member(self._view.own)

    def next_ping_target(self) -> Member | None:
        """The process to ping this round. One that left too many pings unanswered is superseded instead."""
        if self._other_process is None:
            return None
        if self._pings_sent >= MAX_UNANSWERED_PINGS:
            self._supersede(self._other_process)
            return None
        self._pings_sent += 1
        return self._other_process

    def confirm_alive(self, other: Member) -> bool:
        """A process has answered; whether it is the one being pinged, which need not be pinged again."""
        if self._other_process is None or self._other_process.generation != other.generation:
            return False
        self._other_process = None
        return True
