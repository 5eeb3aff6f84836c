"""The delay before the next attempt at a connection: capped exponential backoff with full jitter. No I/O, no
clock."""

from __future__ import annotations

import random

INITIAL_BACKOFF_S = 0.1
"""The bound of the first delay: a restarted service is found at once."""
MAX_BACKOFF_S = 10.0
"""The bound of all later ones: routers come back within it, and a service that returns is not flooded."""
STABLE_CONNECTION_S = 5.0
"""A connection that lasted so long counts as good, and the next delay is the first again."""
MAX_DOUBLINGS = 32
"""Beyond them the power only grows; every bound is reached by then."""


class Backoff:
    """The delays of one caller. A connection counts as good once it has lasted ``STABLE_CONNECTION_S``, not
    once it was made: one that always breaks off at once must not be attempted without end."""

    def __init__(
        self, rand: random.Random, initial_s: float = INITIAL_BACKOFF_S, max_s: float = MAX_BACKOFF_S
    ) -> None:
        """``initial_s`` bounds the first delay, ``max_s`` all later ones."""
        self._random = rand
        self._initial_s = initial_s
        self._max_s = max_s
        # attempts since the last good connection
        self._failures = 0

    def next_delay_s(self, lasted_s: float) -> float:
        """Seconds to wait, after an attempt whose connection lasted so long."""
        if lasted_s >= STABLE_CONNECTION_S:
            self._failures = 0
        bound_s = min(self._max_s, self._initial_s * 2.0 ** min(self._failures, MAX_DOUBLINGS))
        self._failures += 1
        return self._random.uniform(0.0, bound_s)
