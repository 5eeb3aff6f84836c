"""Handling of acks, and pings on behalf of other members (SWIM's indirect probe)."""

from __future__ import annotations

from magpieshift.membership.dissemination import Outbox
from magpieshift.membership.member import Member
from magpieshift.membership.member_table import MemberTable
from magpieshift.membership.messages import Ack, Address, Ping, PingRequest
from magpieshift.membership.pings import PendingPing, PendingPings


class IndirectPings:
    """Pings members on behalf of others and forwards the acks."""

    def __init__(self, view: MemberTable, outbox: Outbox, pings: PendingPings) -> None:
        self._view = view
        self._outbox = outbox
        self._pings = pings

    def ping_for(self, now_us: int, request: PingRequest, requester: Address) -> None:
        """Ping the target of a request, if it is present."""
        known = self._view.members.get(request.target)
        if known is not None and known.is_present:
            ping = PendingPing(request.target, now_us, requester=(requester, request.ping_id))
            self._outbox.send_to(known.member, Ping(self._pings.add(ping)))

    def receive_ack(self, ping_id: int, sender: Member) -> Member | None:
        """Complete a ping, and forward the ack if the ping was sent on behalf of another member.

        Returns the other process with this router's name if it is the one that answered.
        """
        ping = self._pings.get(ping_id)
        if ping is None or ping.answered:
            return None
        ping.answered = True
        if ping.requester is not None and sender.name == ping.target:
            requester, requested_id = ping.requester
            known = self._view.members.get(ping.target)
            if known is not None:
                self._outbox.send(requester, Ack(requested_id, ping.target), (known.member,))
        holder = ping.name_holder
        return holder if holder is not None and sender.generation == holder.generation else None
