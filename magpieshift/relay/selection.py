"""Which relay a follower follows: ranking, failover and return."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Relay:
    """A relay (or source) by its settings."""

    name: str
    region: str
    address: str  # host:port


def rank(follower: str, region: str, relays: Iterable[Relay]) -> tuple[Relay, ...]:
    """The relays in the order in which the follower tries them: those of its region first, by rendezvous hash
    of both names."""
    raise NotImplementedError


class Selection:
    """The choice of one follower."""

    def __init__(self, ranked: Sequence[Relay], rand: random.Random) -> None:
        """``ranked`` as by ``rank``; ``ValueError`` where there is none."""
        raise NotImplementedError

    @property
    def current(self) -> Relay:
        """The relay to follow, or to try next."""
        raise NotImplementedError

    def connected(self, now_us: int) -> None:
        """A stream with the current relay began to work; from now on a return is due at some time."""
        raise NotImplementedError

    def failed(self, lasted_s: float) -> float:
        """The current relay failed, after a stream that lasted so long (0 where none began). Moves on to the
        next; returns the seconds to wait before trying it."""
        raise NotImplementedError

    def better(self, now_us: int) -> Relay | None:
        """The relay to try in place of the current one, where it is time; the current stream goes on until
        ``moved``."""
        raise NotImplementedError

    def moved(self, relay: Relay, now_us: int) -> None:
        """The better relay answers: it is the current one."""
        raise NotImplementedError

    def not_moved(self, now_us: int) -> None:
        """The better relay does not answer: it is tried again after another draw."""
        raise NotImplementedError
