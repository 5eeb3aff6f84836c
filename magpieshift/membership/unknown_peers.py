"""Challenges for peers that are not members yet: each has to answer a ping at the address that it claims.

The sender's name in a datagram can be forged. A new name, process or address is therefore admitted only after
a ping to the claimed address was answered by an ack with the ping's id.
"""

from __future__ import annotations

from magpieshift.membership.dissemination import Outbox
from magpieshift.membership.member import Member
from magpieshift.membership.messages import Ack, Body, Ping
from magpieshift.membership.pings import PendingPing, PendingPings

MAX_UNKNOWN_PEERS = 64  # concurrent challenges; bounds the pings that forged names can make this router send


class UnknownPeers:
    """The peers that one router has challenged and that have not answered yet."""

    def __init__(self, outbox: Outbox, pings: PendingPings) -> None:
        self._outbox = outbox
        self._pings = pings
        self._ping_ids: dict[str, int] = {}  # by name of the peer

    def challenge(self, now_us: int, sender: Member) -> None:
        """Ping a peer at the address it claims, unless its name is challenged already."""
        if sender.name not in self._ping_ids and len(self._ping_ids) < MAX_UNKNOWN_PEERS:
            ping_id = self._pings.add(PendingPing(sender.name, now_us, unknown_peer=sender))
            self._ping_ids[sender.name] = ping_id
            self._outbox.send((sender.host, sender.port), Ping(ping_id))

    def is_answer(self, body: Body, sender: Member) -> bool:
        """Return whether this is the ack of a challenged process; if so, ends the challenge."""
        if not isinstance(body, Ack):
            return False
        ping = self._pings.get(body.ping_id)
        if ping is None or ping.unknown_peer is None or ping.unknown_peer.generation != sender.generation:
            return False
        self._ping_ids.pop(sender.name, None)
        return True

    def forget(self, ping: PendingPing) -> None:
        """End the challenge of a ping that has timed out."""
        if ping.unknown_peer is not None:
            self._ping_ids.pop(ping.unknown_peer.name, None)
