"""Who says a new name, a new start or a new address, and has to answer there once: anybody can write any
name."""

from __future__ import annotations

from magpieshift.membership.dissemination import Outbox
from magpieshift.membership.member_table import Member
from magpieshift.membership.messages import Ack, Body, Ping
from magpieshift.membership.pings import PendingPing, PendingPings

MAX_UNKNOWN_PEERS = 64  # who said a name and has not yet answered at its address


class UnknownPeers:
    """Those whom one router has asked, and who have not answered yet."""

    def __init__(self, outbox: Outbox, pings: PendingPings) -> None:
        self._outbox = outbox
        self._pings = pings
        self._ping_ids: dict[str, int] = {}  # by name, of the ping that greets it

    def challenge(self, now_us: int, sender: Member) -> None:
        """Ask at the address that it says, where it is not asked already."""
        if sender.name not in self._ping_ids and len(self._ping_ids) < MAX_UNKNOWN_PEERS:
            number = self._pings.add(PendingPing(sender.name, now_us, unknown_peer=sender))
            self._ping_ids[sender.name] = number
            self._outbox.send((sender.host, sender.port), Ping(number))

    def is_answer(self, body: Body, sender: Member) -> bool:
        """Whether this is the answer of one who was asked; it is no stranger any more."""
        if not isinstance(body, Ack):
            return False
        opened = self._pings.get(body.ping_id)
        if (
            opened is None
            or opened.unknown_peer is None
            or opened.unknown_peer.generation != sender.generation
        ):
            return False
        self._ping_ids.pop(sender.name, None)
        return True

    def forget(self, opened: PendingPing) -> None:
        """A ping was not answered in time."""
        if opened.unknown_peer is not None:
            self._ping_ids.pop(opened.unknown_peer.name, None)
