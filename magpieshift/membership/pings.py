"""Pings that wait for their answers, by numbers that nobody can guess."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass

from magpieshift.membership.member_table import Member
from magpieshift.membership.messages import Address

MAX_PENDING_PINGS = 1024  # pings without an answer
PING_TIMEOUT_US = 2_000_000  # for the answer to a ping; later ones still bring a beat


@dataclass(slots=True)
class PendingPing:
    """A ping without an answer yet."""

    target: str
    sent_us: int
    requester: tuple[Address, int] | None = None  # who asked for it, and by which number
    unknown_peer: Member | None = None  # a stranger, taken in once it answers
    name_holder: Member | None = None  # another process of this router's name
    answered: bool = False


class PendingPings:
    """The pings of one router that are out."""

    def __init__(self, rand: random.Random) -> None:
        self._random = rand
        self._open: dict[int, PendingPing] = {}
        self._count = 0

    def __iter__(self) -> Iterator[int]:
        """Their numbers, the oldest first."""
        return iter(self._open)

    def add(self, opened: PendingPing) -> int:
        """The number under which to send a ping; where there are too many, the oldest is forgotten."""
        if len(self._open) >= MAX_PENDING_PINGS:
            del self._open[next(iter(self._open))]
        self._count += 1
        number = self._count << 20 | self._random.getrandbits(20)  # not to be guessed by who did not see it
        self._open[number] = opened
        return number

    def get(self, number: int) -> PendingPing | None:
        return self._open.get(number)

    def expire(self, past_us: int) -> Iterator[PendingPing]:
        """Forget those sent before then; each that was forgotten."""
        for number, opened in list(self._open.items()):
            if opened.sent_us >= past_us:
                break
            del self._open[number]
            yield opened
