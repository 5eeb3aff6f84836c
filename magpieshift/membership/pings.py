"""Pings that wait for their acks, under ids that nobody can guess."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from magpieshift.membership.member import Member
from magpieshift.membership.messages import Address

MAX_PENDING_PINGS = 1024  # far above one round's; bounds the memory that floods of ping requests take
PING_TIMEOUT_US = 2_000_000  # for an ack; a later one still carries its sender's heartbeat
RANDOM_ID_BITS = 20  # low bits of an id, so that only a process that received the ping can answer it


@dataclass(slots=True)
class PendingPing:
    """A ping without an ack yet."""

    target: str  # name of the member pinged
    sent_us: int
    requester: tuple[Address, int] | None = None  # of an indirect ping: whose request, and its ping id
    unknown_peer: Member | None = None  # the record to be admitted once it answers
    name_holder: Member | None = None  # another process of this router's name
    answered: bool = False


class PendingPings:
    """The pings of one router that wait for acks."""

    def __init__(self, rand: random.Random) -> None:
        self._random = rand
        self._pending: dict[int, PendingPing] = {}  # by ping id, the oldest first
        self._count = 0  # of all pings so far: the high bits of the next id

    def __iter__(self) -> Iterator[int]:
        """The ids, the oldest first."""
        return iter(self._pending)

    def add(self, ping: PendingPing) -> int:
        """The id under which to send a ping; with too many pending the oldest is dropped."""
        if len(self._pending) >= MAX_PENDING_PINGS:
            del self._pending[next(iter(self._pending))]
        self._count += 1
        ping_id = self._count << RANDOM_ID_BITS | self._random.getrandbits(RANDOM_ID_BITS)
        self._pending[ping_id] = ping
        return ping_id

    def get(self, ping_id: int) -> PendingPing | None:
        """The ping of this id, where it still waits or was answered within the timeout."""
        return self._pending.get(ping_id)

    def expire(self, sent_before_us: int) -> Iterator[PendingPing]:
        """Drop the pings sent before then; yields each."""
        for ping_id, ping in list(self._pending.items()):
            if ping.sent_us >= sent_before_us:
                break
            del self._pending[ping_id]
            yield ping
