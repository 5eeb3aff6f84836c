"""Which relay a follower follows: ranking, failover and return."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from magpieshift.control.backoff import STEADY_S, Backoff
from magpieshift.relay.limits import FAILOVER_FIRST_S, FAILOVER_MOST_S, RETURN_LEAST_S, RETURN_MOST_S


@dataclass(frozen=True, slots=True)
class Relay:
    """A relay (or source) by its settings."""

    name: str
    region: str
    address: str  # host:port


def rank(follower: str, region: str, relays: Iterable[Relay]) -> tuple[Relay, ...]:
    """The relays in the order in which the follower tries them: those of its region first, by rendezvous hash
    of both names."""

    def order(relay: Relay) -> tuple[bool, bytes, str]:
        # lengths apart, so that no two pairs of names are hashed alike
        both = f"{len(follower)} {follower} {relay.name}".encode()
        return relay.region != region, hashlib.blake2b(both, digest_size=8).digest(), relay.name

    return tuple(sorted(relays, key=order))


class Selection:
    """The choice of one follower."""

    def __init__(self, ranked: Sequence[Relay], rand: random.Random, most_s: float = FAILOVER_MOST_S) -> None:
        """``ranked`` as by ``rank``; ``ValueError`` where there is none. ``most_s`` bounds the pauses: a
        relay that looks for a source gives ``RELAY_FAILOVER_MOST_S``."""
        if not ranked:
            raise ValueError("no relay to follow")
        self._ranked = tuple(ranked)
        self._random = rand
        self._at = 0
        self._backoff = Backoff(rand, FAILOVER_FIRST_S, most_s)
        self._return_us: int | None = None
        self._better = 0  # the next better one to try

    @property
    def current(self) -> Relay:
        """The relay to follow, or to try next."""
        return self._ranked[self._at]

    def connected(self, now_us: int) -> None:
        """A stream with the current relay began to work; from now on a return is due at some time."""
        self._return_us = None if self._at == 0 else self._draw(now_us)
        self._better = 0

    def failed(self, lasted_s: float) -> float:
        """The current relay failed, after a stream that lasted so long (0 where none began). Moves on to the
        next, or after a stream that held to the best of the others; returns the seconds to wait before trying
        it."""
        failed = self._at
        self._return_us = None
        self._at = (failed + 1) % len(self._ranked)
        if lasted_s >= STEADY_S and failed > 0:
            self._at = 0
        return self._backoff.after(lasted_s)

    def better(self, now_us: int) -> Relay | None:
        """The relay to try in place of the current one, where it is time; the current stream goes on until
        ``moved``."""
        if self._return_us is None or now_us < self._return_us:
            return None
        return self._ranked[self._better]

    def moved(self, relay: Relay, now_us: int) -> None:
        """The better relay answers: it is the current one."""
        self._at = self._ranked.index(relay)
        self.connected(now_us)

    def not_moved(self, now_us: int) -> None:
        """The better relay does not answer: after another draw it is the turn of the next better one."""
        self._better = (self._better + 1) % max(1, self._at)
        self._return_us = self._draw(now_us)

    def _draw(self, now_us: int) -> int:
        return now_us + int(self._random.uniform(RETURN_LEAST_S, RETURN_MOST_S) * 1e6)
