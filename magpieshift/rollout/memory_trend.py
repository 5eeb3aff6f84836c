"""Memory growth of a process, as the slope of a least-squares fit."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import NamedTuple

MEMORY_SETTLE_US = 30_000_000
"""Process age below which samples are ignored, as memory always grows after a start."""
MIN_SLOPE_SPAN_US = 60_000_000
"""Minimum time between the first and the last sample for a slope."""
MAX_SAMPLES = 600
"""Maximum number of samples of one process; beyond it, every second sample is dropped."""
SLOPE_PARTS = 8
"""Number of parts whose averages are fitted. Neighbouring samples are correlated, so a standard error
computed from single samples would be too small."""


class Slope(NamedTuple):
    """Slope of a process's memory over time."""

    mb_per_min: float
    """Slope of the least-squares fit, in MB per minute."""
    error: float
    """Standard error of the slope, in MB per minute."""


@dataclass
class MemoryTrend:
    """Memory samples of one process."""

    samples: list[tuple[float, float]] = field(default_factory=list)
    """Pairs of process age in minutes and resident memory in MB."""

    def add(self, up_us: int, rss_kb: int) -> None:
        """Add a sample of a process that has run for ``up_us``; ``rss_kb`` is 0 if the operating system does
        not report it."""
        if rss_kb and up_us >= MEMORY_SETTLE_US:
            self.samples.append((up_us / 60e6, rss_kb / 1024))
            if len(self.samples) > MAX_SAMPLES:
                self.samples = self.samples[::2]

    def slope(self) -> Slope | None:
        """The slope and its standard error; None while the samples are too few or span too short a time."""
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
