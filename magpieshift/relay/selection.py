"""Which relay a follower follows: ranking, failover and return."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from magpieshift.control.backoff import STABLE_CONNECTION_S, Backoff
from magpieshift.relay.limits import (
    FAILOVER_INITIAL_BACKOFF_S,
    MAX_FAILOVER_BACKOFF_S,
    MAX_RETURN_DELAY_S,
    MIN_RETURN_DELAY_S,
)


@dataclass(frozen=True, slots=True)
class RelayAddress:
    """A relay (or source) by its settings."""

    name: str
    """By which followers rank it."""
    region: str
    """In which it stands."""
    address: str
    """host:port."""


def rank_relays(follower: str, region: str, relays: Iterable[RelayAddress]) -> tuple[RelayAddress, ...]:
    """The relays in the order in which the follower tries them: those of its region first, by rendezvous hash
    of both names."""

    def sort_key(relay: RelayAddress) -> tuple[bool, bytes, str]:
        """Other regions last, then by hash, then by name."""
        # with the length, so that no two pairs of names are hashed alike
        pair = f"{len(follower)} {follower} {relay.name}".encode()
        return relay.region != region, hashlib.blake2b(pair, digest_size=8).digest(), relay.name

    return tuple(sorted(relays, key=sort_key))


class RelaySelection:
    """The choice of one follower."""

    def __init__(
        self,
        ranked: Sequence[RelayAddress],
        rand: random.Random,
        max_backoff_s: float = MAX_FAILOVER_BACKOFF_S,
    ) -> None:
        """``ranked`` as by ``rank_relays``; ``ValueError`` if it is empty. ``max_backoff_s`` bounds the
        delays: a relay that looks for a source gives ``MAX_RELAY_FAILOVER_BACKOFF_S``."""
        if not ranked:
            raise ValueError("no relay to follow")
        self._ranked = tuple(ranked)
        self._random = rand
        # of the current relay, in the ranking
        self._index = 0
        self._backoff = Backoff(rand, FAILOVER_INITIAL_BACKOFF_S, max_backoff_s)
        # when a relay that ranks higher is tried; None while the current one is the first, or has failed
        self._return_at_us: int | None = None
        # the next one to try then
        self._candidate_index = 0

    @property
    def current(self) -> RelayAddress:
        """The relay to follow, or to try next."""
        return self._ranked[self._index]

    def record_connected(self, now_us: int) -> None:
        """A stream with the current relay began to work; from now on a return is due at some time."""
        self._return_at_us = None if self._index == 0 else self._draw_return_us(now_us)
        self._candidate_index = 0

    def record_failure(self, lasted_s: float) -> float:
        """The current relay failed, after a stream that lasted so long (0 if none began). Moves on to the
        next, or after a stable stream to the best of the others; returns the seconds to wait before trying
        it."""
        failed = self._index
        self._return_at_us = None
        self._index = (failed + 1) % len(self._ranked)
        if lasted_s >= STABLE_CONNECTION_S and failed > 0:
            self._index = 0
        return self._backoff.next_delay_s(lasted_s)

    def return_candidate(self, now_us: int) -> RelayAddress | None:
        """The relay to try in place of the current one, if it is time; the current stream goes on until
        ``switch_to``."""
        if self._return_at_us is None or now_us < self._return_at_us:
            return None
        return self._ranked[self._candidate_index]

    def switch_to(self, relay: RelayAddress, now_us: int) -> None:
        """The candidate answers: it is the current relay."""
        self._index = self._ranked.index(relay)
        self.record_connected(now_us)

    def reject_candidate(self, now_us: int) -> None:
        """The candidate does not answer: after another delay the next one is tried."""
        self._candidate_index = (self._candidate_index + 1) % max(1, self._index)
        self._return_at_us = self._draw_return_us(now_us)

    def _draw_return_us(self, now_us: int) -> int:
        return now_us + int(self._random.uniform(MIN_RETURN_DELAY_S, MAX_RETURN_DELAY_S) * 1e6)
