"""Ratio of the new side's processor time per request to the old side's, computed per block of time."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from magpieshift.rollout.memory_trend import MAX_SAMPLES
from magpieshift.rollout.process_counters import CounterDelta

BLOCK_US = 5_000_000
"""Length of a block, long enough for both sides to have the requests that a ratio needs."""
MIN_BLOCKS = 8
"""Minimum number of blocks before the new side can be found worse."""
MIN_BLOCK_REQUESTS = 20
"""Minimum requests on each side for a block to count."""
CPU_SIGMAS = 4.5
"""Standard errors by which the mean must exceed the bound. Well above the value for a single test, because
the test is repeated each round."""


@dataclass
class _BlockSums:
    """Processor time and requests of one side in the current block."""

    cpu_us: float = 0.0
    """Processor time, in microseconds."""
    requests: float = 0.0
    """Number of requests that ended."""


class CpuComparison:
    """Collects the ratio of processor time per request (new side to old side) of each block."""

    def __init__(self, new: str, old: str, now_us: int) -> None:
        """``new`` and ``old`` are the labels of the sides."""
        self.ratios: list[float] = []
        """Ratio of each block, newest last; only the last ``MAX_SAMPLES`` are kept."""
        self._new = new
        self._old = old
        self._block = {new: _BlockSums(), old: _BlockSums()}
        self._block_start_us = now_us

    def add(self, side: str, deltas: Iterable[CounterDelta]) -> None:
        """Add the counters of a side's processes since the previous round."""
        sums = self._block[side]
        for delta in deltas:
            sums.cpu_us += delta.cpu_us
            sums.requests += delta.requests

    def close_block(self, now_us: int) -> None:
        """Close the current block if it has lasted ``BLOCK_US``, and start the next one."""
        if now_us - self._block_start_us < BLOCK_US:
            return
        new = self._block[self._new]
        old = self._block[self._old]
        if min(new.requests, old.requests) >= MIN_BLOCK_REQUESTS and old.cpu_us > 0:
            self.ratios.append((new.cpu_us / new.requests) / (old.cpu_us / old.requests))
            del self.ratios[:-MAX_SAMPLES]
        self._block = {self._new: _BlockSums(), self._old: _BlockSums()}
        self._block_start_us = now_us

    @property
    def mean(self) -> float | None:
        """Mean ratio over the blocks; None before the first one."""
        return sum(self.ratios) / len(self.ratios) if self.ratios else None

    def worse_reason(self, tolerance: float) -> str:
        """Reason if the new side significantly exceeds ``1 + tolerance`` times the old side's processor time
        per request; else empty."""
        ratios = self.ratios
        if len(ratios) < MIN_BLOCKS:
            return ""
        mean = sum(ratios) / len(ratios)
        variance = sum((ratio - mean) ** 2 for ratio in ratios) / (len(ratios) - 1)
        error = math.sqrt(variance / len(ratios))
        if mean - CPU_SIGMAS * error > 1 + tolerance:
            return f"processor time a request is {mean:.2f} times the old side's ({len(ratios)} blocks)"
        return ""
