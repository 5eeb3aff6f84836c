"""Processor time a request, of the new side by that of the old, block by block."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from magpieshift.rollout.memory_trend import MAX_SAMPLES
from magpieshift.rollout.process_counters import CounterDelta

BLOCK_US = 5_000_000
"""Length of a block: both sides then have enough requests for a ratio."""
MIN_BLOCKS = 8
"""Before anything is said."""
MIN_BLOCK_REQUESTS = 20
"""On each side, for a block to count."""
CPU_SIGMAS = 4.5
"""Standard errors by which the mean must exceed the bound: it is looked at over and over, so far beyond a
single look's bound."""


@dataclass
class _BlockSums:
    """What one side has done in the present block."""

    cpu_us: float = 0.0
    """Processor time."""
    requests: float = 0.0
    """Requests that ended."""


class CpuComparison:
    """The ratios of all blocks, new by old."""

    def __init__(self, new: str, old: str, now_us: int) -> None:
        """The labels of the sides."""
        self.ratios: list[float] = []
        """One a block, the newest last."""
        self._new = new
        self._old = old
        self._block = {new: _BlockSums(), old: _BlockSums()}
        self._block_began_us = now_us

    def add(self, side: str, deltas: Iterable[CounterDelta]) -> None:
        """What processes of a side did since the last round."""
        sums = self._block[side]
        for delta in deltas:
            sums.cpu_us += delta.cpu_us
            sums.requests += delta.requests

    def close_block(self, now_us: int) -> None:
        """End the block, if its time is over."""
        if now_us - self._block_began_us < BLOCK_US:
            return
        new = self._block[self._new]
        old = self._block[self._old]
        if min(new.requests, old.requests) >= MIN_BLOCK_REQUESTS and old.cpu_us > 0:
            self.ratios.append((new.cpu_us / new.requests) / (old.cpu_us / old.requests))
            del self.ratios[:-MAX_SAMPLES]
        self._block = {self._new: _BlockSums(), self._old: _BlockSums()}
        self._block_began_us = now_us

    @property
    def mean(self) -> float | None:
        """The mean ratio; None before the first block."""
        return sum(self.ratios) / len(self.ratios) if self.ratios else None

    def worse_than(self, tolerance: float) -> str:
        """Why the new side surely takes more than ``1 + tolerance`` times the old side's time; else empty."""
        ratios = self.ratios
        if len(ratios) < MIN_BLOCKS:
            return ""
        mean = sum(ratios) / len(ratios)
        variance = sum((ratio - mean) ** 2 for ratio in ratios) / (len(ratios) - 1)
        error = math.sqrt(variance / len(ratios))
        if mean - CPU_SIGMAS * error > 1 + tolerance:
            return f"processor time a request is {mean:.2f} times the old side's ({len(ratios)} blocks)"
        return ""
