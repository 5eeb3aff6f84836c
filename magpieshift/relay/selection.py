"""Selects the relay that a follower follows: ranking, failover and return."""

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
    """Name, region and address of a relay or source, from the settings."""

    name: str
    """Name by which followers rank the relay."""
    region: str
    """Region of the relay."""
    address: str
    """Address, ``host:port``."""


def rank_relays(follower: str, region: str, relays: Iterable[RelayAddress]) -> tuple[RelayAddress, ...]:
    """Rank relays in the order in which the follower tries them: those of its region first, each group by
    rendezvous hash of the names of follower and relay."""

    def sort_key(relay: RelayAddress) -> tuple[bool, bytes, str]:
        """Other regions last, then by hash, then by name."""
        # includes a length, so that different pairs of names never give the same hash input
        pair = f"{len(follower)} {follower} {relay.name}".encode()
        return relay.region != region, hashlib.blake2b(pair, digest_size=8).digest(), relay.name

    return tuple(sorted(relays, key=sort_key))


class RelaySelection:
    """The relay selection of one follower."""

    def __init__(
        self,
        ranked: Sequence[RelayAddress],
        rand: random.Random,
        max_backoff_s: float = MAX_FAILOVER_BACKOFF_S,
    ) -> None:
        """``ranked`` comes from ``rank_relays``; ``ValueError`` if it is empty. ``max_backoff_s`` limits the
        failover delays: a relay that selects a source passes ``MAX_RELAY_FAILOVER_BACKOFF_S``."""
        if not ranked:
            raise ValueError("found an empty list of relays, expected at least one relay to follow")
        self._ranked = tuple(ranked)
        self._random = rand
        # index of the current relay in the ranking
        self._index = 0
        self._backoff = Backoff(rand, FAILOVER_INITIAL_BACKOFF_S, max_backoff_s)
        # when to try a relay that ranks higher; None while the current one ranks first or is not connected
        self._return_at_us: int | None = None
        # index of the relay to try then
        self._candidate_index = 0

    @property
    def current(self) -> RelayAddress:
        """The relay to follow, or to try next."""
        return self._ranked[self._index]

    def record_connected(self, now_us: int) -> None:
        """Record that the current relay is connected, and schedule the return to one that ranks higher, if
        any."""
        self._return_at_us = None if self._index == 0 else self._draw_return_us(now_us)
        self._candidate_index = 0

    def record_failure(self, lasted_s: float) -> float:
        """Record that the current relay failed after a stream that lasted ``lasted_s`` (0 if there was none).
        Selects the next relay, or after a stable stream the highest-ranked of the others; returns the delay
        in seconds before trying it."""
        failed = self._index
        self._return_at_us = None
        self._index = (failed + 1) % len(self._ranked)
        if lasted_s >= STABLE_CONNECTION_S and failed > 0:
            self._index = 0
        return self._backoff.next_delay_s(lasted_s)

    def return_candidate(self, now_us: int) -> RelayAddress | None:
        """The relay that ranks higher and is to be tried now; None if the return delay has not passed. The
        current stream continues until ``switch_to``."""
        if self._return_at_us is None or now_us < self._return_at_us:
            return None
        return self._ranked[self._candidate_index]

    def switch_to(self, relay: RelayAddress, now_us: int) -> None:
        """Make a candidate whose trial succeeded the current relay."""
        self._index = self._ranked.index(relay)
        self.record_connected(now_us)

    def reject_candidate(self, now_us: int) -> None:
        """Record that the trial of the candidate failed; the next one is tried after another delay."""
        self._candidate_index = (self._candidate_index + 1) % max(1, self._index)
        self._return_at_us = self._draw_return_us(now_us)

    def _draw_return_us(self, now_us: int) -> int:
        return now_us + int(self._random.uniform(MIN_RETURN_DELAY_S, MAX_RETURN_DELAY_S) * 1e6)
