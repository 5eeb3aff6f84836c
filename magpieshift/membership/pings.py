"""Pings that wait for their acks, identified by ids that a third party cannot guess."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from magpieshift.membership.member import Member
from magpieshift.membership.messages import Address

MAX_PENDING_PINGS = 1024  # far more than one round sends; bounds the memory that floods of ping requests take
PING_TIMEOUT_US = 2_000_000  # time-out of an ack; a later ack still delivers its sender's heartbeat
RANDOM_ID_BITS = 20  # random low bits of an id, so that only a process that received the ping can answer it


@dataclass(slots=True)
class PendingPing:
    """A ping that waits for its ack, or was answered within the time-out."""

    target: str  # name of the pinged member
    sent_us: int
    requester: tuple[Address, int] | None = None  # for an indirect ping: the requester and its ping id
    unknown_peer: Member | None = None  # for a challenge: the record to admit once the peer answers
    name_holder: Member | None = None  # for a name conflict: the other process with this router's name
    answered: bool = False


class PendingPings:
    """The pings of one router that wait for acks."""

    def __init__(self, rand: random.Random) -> None:
        self._random = rand
        self._pending: dict[int, PendingPing] = {}  # by ping id, the oldest first
        self._count = 0  # number of pings so far, which forms the high bits of their ids

    def __iter__(self) -> Iterator[int]:
        """The ids of the pending pings, the oldest first."""
        return iter(self._pending)

    def add(self, ping: PendingPing) -> int:
        """Register a ping and return its id; drops the oldest ping if too many are pending."""
        if len(self._pending) >= MAX_PENDING_PINGS:
            del self._pending[next(iter(self._pending))]
        self._count += 1
        ping_id = self._count << RANDOM_ID_BITS | self._random.getrandbits(RANDOM_ID_BITS)
        self._pending[ping_id] = ping
        return ping_id

    def get(self, ping_id: int) -> PendingPing | None:
        """The ping with this id, or None if it is unknown or has expired."""
        return self._pending.get(ping_id)

    def expire(self, sent_before_us: int) -> Iterator[PendingPing]:
        """Drop the pings sent before ``sent_before_us``, and yield each of them."""
        for ping_id, ping in list(self._pending.items()):
            if ping.sent_us >= sent_before_us:
                break
            del self._pending[ping_id]
            yield ping
