"""Another process under this router's name: whether it lives, and whether this one outlives it."""

from __future__ import annotations

from magpieshift.membership.dissemination import Dissemination
from magpieshift.membership.member_table import Member, MemberTable

MOST_TRIES = 4  # pings without an answer, after which the other process counts as dead


class NameConflict:
    """What one router knows of another process that has its name."""

    def __init__(self, view: MemberTable, dissemination: Dissemination) -> None:
        self._view = view
        self._dissemination = dissemination
        self._other_process: Member | None = None  # the one that is being tried
        self._pings_sent = 0

    def observe(self, other: Member) -> None:
        """A record of this router's name that is not this process's."""
        own = self._view.own
        if other.generation < own.generation:
            self._dissemination.spread_member(own)
        elif (other.host, other.port) == (own.host, own.port):  # an earlier start, whose clock was ahead
            self._supersede(other)
        elif self._other_process is None or self._other_process.generation < other.generation:
            self._other_process = other
            self._pings_sent = 0

    def _supersede(self, other: Member) -> None:
        self._other_process = None
        self._view.update_own(incarnation=other.incarnation + 1)
        self._dissemination.spread_member(self._view.own)

    def next_ping_target(self) -> Member | None:
        """Whom to ping this round. Where nobody has answered so often, it has died, and this process is its
        successor."""
        if self._other_process is None:
            return None
        if self._pings_sent >= MOST_TRIES:
            self._supersede(self._other_process)
            return None
        self._pings_sent += 1
        return self._other_process

    def confirm_alive(self, rival: Member) -> bool:
        """Whether this is the process that was being tried: it lives, and need not be tried again."""
        if self._other_process is None or self._other_process.generation != rival.generation:
            return False
        self._other_process = None
        return True
