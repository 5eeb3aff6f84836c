"""Who says a new name, a new start or a new address, and has to answer there once: anybody can write any
name."""

from __future__ import annotations

from magpieshift.membership.dissemination import Outbox
from magpieshift.membership.member_table import Member
from magpieshift.membership.messages import Ack, Body, Ping
from magpieshift.membership.pings import OpenPing, OpenPings

MOST_STRANGERS = 64  # who said a name and has not yet answered at its address


class UnknownPeers:
    """Those whom one router has asked, and who have not answered yet."""

    def __init__(self, outbox: Outbox, pings: OpenPings) -> None:
        self._outbox = outbox
        self._pings = pings
        self._numbers: dict[str, int] = {}  # by name, of the ping that greets it

    def greet(self, now_us: int, sender: Member) -> None:
        """Ask at the address that it says, where it is not asked already."""
        if sender.name not in self._numbers and len(self._numbers) < MOST_STRANGERS:
            number = self._pings.add(OpenPing(sender.name, now_us, greet=sender))
            self._numbers[sender.name] = number
            self._outbox.send((sender.host, sender.port), Ping(number))

    def answers(self, body: Body, sender: Member) -> bool:
        """Whether this is the answer of one who was asked; it is no stranger any more."""
        if not isinstance(body, Ack):
            return False
        opened = self._pings.get(body.number)
        if opened is None or opened.greet is None or opened.greet.life != sender.life:
            return False
        self._numbers.pop(sender.name, None)
        return True

    def forget(self, opened: OpenPing) -> None:
        """A ping was not answered in time."""
        if opened.greet is not None:
            self._numbers.pop(opened.greet.name, None)
