"""How long to wait before the next try: capped exponential, full jitter. No I/O, no clock."""

from __future__ import annotations

import random

FIRST_S = 0.1
MOST_S = 10.0
STEADY_S = 5.0


class Backoff:
    """The waits of one caller. A connection counts as good once it has lasted ``STEADY_S``, not once it was
    made: one that always breaks off at once must not be tried without end."""

    def __init__(self, rand: random.Random, first_s: float = FIRST_S, most_s: float = MOST_S) -> None:
        self._random = rand
        self._first_s = first_s
        self._most_s = most_s
        self._failures = 0

    def after(self, lasted_s: float) -> float:
        """Seconds to wait, after a try whose connection lasted so long."""
        if lasted_s >= STEADY_S:
            self._failures = 0
        # beyond some doublings the power only grows; all are at the cap by then
        bound = min(self._most_s, self._first_s * 2.0 ** min(self._failures, 32))
        self._failures += 1
        return self._random.uniform(0.0, bound)
