"""How fast a process's memory grows, by the slope of its own line."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

MEMORY_SETTLE_US = 30_000_000
"""After a start memory grows by itself: what is younger is not counted."""
MIN_SLOPE_SPAN_US = 60_000_000
"""A shorter line has no slope."""
MAX_SAMPLES = 600
"""Of one process; then each second one is dropped."""
SLOPE_PARTS = 8
"""Neighbouring samples tell the same: the error is counted from so many parts of the line."""


class Slope(NamedTuple):
    """How fast memory grows."""

    mb_per_min: float
    """The slope of the line of least squares."""
    error: float
    """Its standard error, in the same unit."""


@dataclass
class MemoryTrend:
    """One process's memory over its time."""

    samples: list[tuple[float, float]] = field(default_factory=list)
    """Minutes since the start, and MB."""

    def add(self, up_us: int, rss_kb: int) -> None:
        """A look at the process, which has run for ``up_us``; ``rss_kb`` is 0 if its system does not tell."""
        if rss_kb and up_us >= MEMORY_SETTLE_US:
            self.samples.append((up_us / 60e6, rss_kb / 1024))
            if len(self.samples) > MAX_SAMPLES:
                self.samples = self.samples[::2]

    def slope(self) -> Slope | None:
        """The slope and its error; None while the line is too short."""
        samples = self.samples
        if len(samples) < 2 * SLOPE_PARTS or samples[-1][0] - samples[0][0] < MIN_SLOPE_SPAN_US / 60e6:
            return None
        size = len(samples) // SLOPE_PARTS
        parts = [samples[i * size : (i + 1) * size] for i in range(SLOPE_PARTS)]
        minutes = [sum(x for x, _ in part) / len(part) for part in parts]
        megabytes = [sum(y for _, y in part) / len(part) for part in parts]
        mean_x = sum(minutes) / SLOPE_PARTS
        mean_y = sum(megabytes) / SLOPE_PARTS
        spread = sum((x - mean_x) ** 2 for x in minutes)
        pairs = list(zip(minutes, megabytes, strict=True))
        slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
        residual = sum((y - mean_y - slope * (x - mean_x)) ** 2 for x, y in pairs)
        return Slope(slope, math.sqrt(residual / (SLOPE_PARTS - 2) / spread))
