"""Detects a side that loses more processes than the other, or that takes hardly any requests."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from magpieshift.rollout.process_counters import CounterDelta, ProcessCounters

UNREACHABLE_AFTER_US = 10_000_000
"""Time without an answer after which a router counts as unreachable: five times the time-out of an admin
command."""
ALL_LOST_AFTER_US = 60_000_000
"""Time after which a side whose processes are all lost is found worse: twice the default step time-out."""
LOSS_ERROR_FRACTION = 0.1
"""Factor that turns the plan's false-positive rate into the significance level of the loss test. Small,
because the test is repeated with each further lost process."""
MIN_COMPARED_US = 10_000_000
"""Minimum running time, summed over all processes of a side, before its request rate is compared."""
MIN_REQUESTS = 200
"""Minimum requests of a side before its rates are compared: with fewer, chance alone moves a rate by several
percent."""
IDLE_FRACTION = 0.1
"""A side is idle if its request rate per process is below this fraction of the other side's."""
MIN_EXPECTED_REQUESTS = 50
"""Minimum requests that the new side would have had at the old side's rate, so that an idle finding is not
due to chance."""


@dataclass
class RouterObservation:
    """Latest observation of one router."""

    last_heard_us: int
    """Time of its last answer, or of the first round that included it, in microseconds."""
    counters: ProcessCounters | None = None
    """Counters in its last answer; None before the first one."""
    side: str = ""
    """Label of the build in its last answer; empty before the first one."""
    is_lost: bool = False
    """Whether its current silence has been counted as a loss."""

    def is_same_side(self, side: str) -> bool:
        """Whether its last answer came from a process of this side."""
        return self.counters is not None and self.counters.label == side


@dataclass
class SideTotals:
    """Totals over all processes of one side during a stage."""

    losses: int = 0
    """Processes that became unreachable or restarted without being replaced by the rollout."""
    time_us: int = 0
    """Running time summed over its processes, in microseconds."""
    requests: float = 0.0
    """Requests that ended at its processes."""
    compared_s: float = 0.0
    """Running time summed over its processes in which these requests ended, in seconds."""

    def add(self, deltas: Sequence[CounterDelta]) -> None:
        """Add the counters of the side's processes since the previous round."""
        self.requests += sum(delta.requests for delta in deltas)
        self.compared_s += sum(delta.duration_us for delta in deltas) / 1e6


def losses_reason(
    new: SideTotals,
    old: SideTotals,
    new_routers: Collection[RouterObservation],
    false_positive_rate: float,
    now_us: int,
) -> str:
    """Reason if the new side loses significantly more processes per running time than the old side, or if all
    its processes are lost; else empty."""
    if not new.losses:
        return ""
    if new_routers and all(
        router.is_lost and now_us - router.last_heard_us >= ALL_LOST_AFTER_US for router in new_routers
    ):
        return f"all {len(new_routers)} new processes have gone, and none came back"
    new_fraction = new.time_us / max(1, new.time_us + old.time_us)
    total = new.losses + old.losses
    # binomial tail: the probability that at least this many of all losses fall on the new side by chance
    tail = sum(
        math.comb(total, k) * new_fraction**k * (1 - new_fraction) ** (total - k)
        for k in range(new.losses, total + 1)
    )
    if tail < false_positive_rate * LOSS_ERROR_FRACTION and new.losses > 1:
        return f"{new.losses} new processes have gone by themselves, {old.losses} old ones"
    return ""


def idle_reason(new: SideTotals, old: SideTotals) -> str:
    """Reason if the new side takes hardly any requests compared with the old side; else empty."""
    if min(new.compared_s, old.compared_s) < MIN_COMPARED_US / 1e6 or old.requests < MIN_REQUESTS:
        return ""
    new_rate = new.requests / new.compared_s
    old_rate = old.requests / old.compared_s
    if new_rate < IDLE_FRACTION * old_rate and old_rate * new.compared_s >= MIN_EXPECTED_REQUESTS:
        return f"new processes end {new_rate:.1f} requests a second each, old ones {old_rate:.1f}"
    return ""
