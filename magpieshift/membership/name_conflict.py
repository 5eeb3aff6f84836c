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
        self._rival: Member | None = None  # the one that is being tried
        self._tries = 0

    def heard_of(self, other: Member) -> None:
        """A record of this router's name that is not this process's."""
        own = self._view.own
        if other.life < own.life:
            self._dissemination.spread_member(own)
        elif (other.host, other.port) == (own.host, own.port):  # an earlier start, whose clock was ahead
            self._outlive(other)
        elif self._rival is None or self._rival.life < other.life:
            self._rival = other
            self._tries = 0

    def _outlive(self, other: Member) -> None:
        self._rival = None
        self._view.speak(incarnation=other.incarnation + 1)
        self._dissemination.spread_member(self._view.own)

    def next_try(self) -> Member | None:
        """Whom to ping this round. Where nobody has answered so often, it has died, and this process is its
        successor."""
        if self._rival is None:
            return None
        if self._tries >= MOST_TRIES:
            self._outlive(self._rival)
            return None
        self._tries += 1
        return self._rival

    def answered(self, rival: Member) -> bool:
        """Whether this is the process that was being tried: it lives, and need not be tried again."""
        if self._rival is None or self._rival.life != rival.life:
            return False
        self._rival = None
        return True
