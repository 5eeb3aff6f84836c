"""Capped exponential backoff with full jitter between connection attempts. No I/O, no clock."""

from __future__ import annotations

import random

INITIAL_BACKOFF_S = 0.1
"""Upper bound of the first delay; short, so that routers reconnect quickly to a restarted service."""
MAX_BACKOFF_S = 10.0
"""Upper bound of every delay. Routers reconnect within it, spread out enough not to flood a recovered
service."""
STABLE_CONNECTION_S = 5.0
"""A connection that lasted at least this long counts as stable and resets the backoff."""
MAX_DOUBLINGS = 32
"""Largest exponent of the backoff. The delay is capped long before it; the limit keeps the power finite."""


class Backoff:
    """The backoff of one caller.

    Establishing a connection does not reset it; a connection that lasted ``STABLE_CONNECTION_S`` does.
    Otherwise a service that accepts and closes connections would be retried at the shortest delay forever.
    """

    def __init__(
        self, rand: random.Random, initial_s: float = INITIAL_BACKOFF_S, max_s: float = MAX_BACKOFF_S
    ) -> None:
        """``initial_s`` bounds the first delay, ``max_s`` every delay."""
        self._random = rand
        self._initial_s = initial_s
        self._max_s = max_s
        # attempts since the last stable connection
        self._failures = 0

    def next_delay_s(self, lasted_s: float) -> float:
        """Seconds to wait before the next attempt; the last connection lasted ``lasted_s`` seconds."""
        if lasted_s >= STABLE_CONNECTION_S:
            self._failures = 0
        bound_s = min(self._max_s, self._initial_s * 2.0 ** min(self._failures, MAX_DOUBLINGS))
        self._failures += 1
        return self._random.uniform(0.0, bound_s)
