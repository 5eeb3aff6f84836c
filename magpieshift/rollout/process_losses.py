"""Processes that go away by themselves, and sides that take hardly any requests."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from magpieshift.rollout.process_counters import CounterDelta, ProcessCounters

UNREACHABLE_AFTER_US = 10_000_000
"""A router without an answer for so long has gone: five times an admin command's timeout."""
ALL_LOST_AFTER_US = 60_000_000
"""A side without any process for so long does not come back: twice a step's usual timeout."""
LOSS_ERROR_FRACTION = 0.1
"""Of the rate of false stops that losses may take: they are judged anew with each process that goes."""
MIN_COMPARED_US = 10_000_000
"""Of all processes of a side together, before its rate of requests is compared."""
MIN_REQUESTS = 200
"""Of one side, before anything is known of it: with fewer, chance alone moves a rate by percents."""
IDLE_FRACTION = 0.1
"""A side that takes less of the other's requests a process is idle."""
MIN_EXPECTED_REQUESTS = 50
"""That an idle side should have had, for its idleness to be no chance."""


@dataclass
class RouterObservation:
    """The last round's look at one router."""

    last_heard_us: int
    """When it last answered, or was first looked at."""
    counters: ProcessCounters | None = None
    """Its counters then; None before the first answer."""
    side: str = ""
    """The label of its process then."""
    is_lost: bool = False
    """Whether it is counted as lost."""

    def is_same_side(self, side: str) -> bool:
        """Whether it had a process of this side in an earlier round."""
        return self.counters is not None and self.counters.label == side


@dataclass
class SideTotals:
    """What all processes of one side did through a stage."""

    losses: int = 0
    """Processes that went away or were restarted by themselves."""
    time_us: int = 0
    """The time that all of them ran."""
    requests: float = 0.0
    """Requests that ended at them."""
    compared_s: float = 0.0
    """The time in which these did."""

    def add(self, deltas: Sequence[CounterDelta]) -> None:
        """What processes of the side did since the last round."""
        self.requests += sum(delta.requests for delta in deltas)
        self.compared_s += sum(delta.duration_us for delta in deltas) / 1e6


def losses_reason(
    new: SideTotals,
    old: SideTotals,
    new_routers: Collection[RouterObservation],
    false_positive_rate: float,
    now_us: int,
) -> str:
    """Why the new side surely loses more processes than the old, by how long each side ran; else empty."""
    if not new.losses:
        return ""
    if new_routers and all(
        router.is_lost and now_us - router.last_heard_us >= ALL_LOST_AFTER_US for router in new_routers
    ):
        return f"all {len(new_routers)} new processes have gone, and none came back"
    new_fraction = new.time_us / max(1, new.time_us + old.time_us)
    total = new.losses + old.losses
    # the chance that so many or more of all losses fall on the new side
    tail = sum(
        math.comb(total, k) * new_fraction**k * (1 - new_fraction) ** (total - k)
        for k in range(new.losses, total + 1)
    )
    if tail < false_positive_rate * LOSS_ERROR_FRACTION and new.losses > 1:
        return f"{new.losses} new processes have gone by themselves, {old.losses} old ones"
    return ""


def idle_reason(new: SideTotals, old: SideTotals) -> str:
    """Why the new side surely takes hardly any requests; else empty."""
    if min(new.compared_s, old.compared_s) < MIN_COMPARED_US / 1e6 or old.requests < MIN_REQUESTS:
        return ""
    new_rate = new.requests / new.compared_s
    old_rate = old.requests / old.compared_s
    if new_rate < IDLE_FRACTION * old_rate and old_rate * new.compared_s >= MIN_EXPECTED_REQUESTS:
        return f"new processes end {new_rate:.1f} requests a second each, old ones {old_rate:.1f}"
    return ""
