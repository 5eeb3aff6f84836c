"""The load of a fleet: when purges, versions, list changes and restarts come, drawn by rate and seed.

Arrivals are a Poisson process for each kind. In a burst the rate is a multiple of the mean, and the draws are
stretched by the cumulated rate, so that one seed gives one schedule. All times are seconds from the start.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

DAY_S = 86_400.0
TARGET_ROUTERS = 4_800  # the product's target
BURST_RATE_MULTIPLE = 10.0  # of the mean rate of purges
BURST_DURATION_S = 5.0  # of one burst
MACHINE_EVENTS_PER_DAY = 7 + 420  # of routers and caches: failures, and restarts or replacements
LIST_CHANGES_PER_RESTART = 3  # of the list of caches: draining, gone, serving again


class Kind(Enum):
    """What arrives."""

    PURGE = "purge"
    VERSION = "version"
    LIST_CHANGE = "list change"
    RESTART = "restart"


@dataclass(frozen=True)
class Rates:
    """Mean rates of the whole fleet. Each router sees them whole, however few routers are run, except
    restarts, which are spread over the routers."""

    purges_per_s: float = 110.0
    versions_per_day: float = 20_000.0
    list_changes_per_day: float = float(MACHINE_EVENTS_PER_DAY * LIST_CHANGES_PER_RESTART)
    restarts_per_day: float = 420.0

    def per_second(self, kind: Kind) -> float:
        """The mean rate of one kind."""
        return {
            Kind.PURGE: self.purges_per_s,
            Kind.VERSION: self.versions_per_day / DAY_S,
            Kind.LIST_CHANGE: self.list_changes_per_day / DAY_S,
            Kind.RESTART: self.restarts_per_day / DAY_S,
        }[kind]


@dataclass(frozen=True)
class Burst:
    """A stretch of time in which purges come at a multiple of their mean rate."""

    begin_s: float
    seconds: float = BURST_DURATION_S
    times: float = BURST_RATE_MULTIPLE


@dataclass(frozen=True)
class Arrival:
    """One thing that is to happen."""

    at_s: float
    kind: Kind


def poisson(
    rate: float, seconds: float, rand: random.Random, bursts: Sequence[Burst] = ()
) -> Iterator[float]:
    """Arrival times in ``[0, seconds)`` at a mean rate, raised in bursts, which must not overlap."""
    if rate <= 0:
        return
    edges = _rate_steps(rate, seconds, bursts)
    spent = rand.expovariate(1.0)  # in units of the cumulated rate
    for begin, end, now in edges:
        while spent < (end - begin) * now:
            yield begin + spent / now
            spent += rand.expovariate(1.0)
        spent -= (end - begin) * now


def _rate_steps(rate: float, seconds: float, bursts: Sequence[Burst]) -> list[tuple[float, float, float]]:
    """The rate as steps: begin, end, rate."""
    steps = []
    at = 0.0
    for burst in sorted(bursts, key=lambda burst: burst.begin_s):
        begin = min(burst.begin_s, seconds)
        end = min(burst.begin_s + burst.seconds, seconds)
        steps += [(at, begin, rate), (begin, end, rate * burst.times)]
        at = end
    return [*steps, (at, seconds, rate)]


def arrivals(rates: Rates, seconds: float, seed: int, bursts: Sequence[Burst] = ()) -> list[Arrival]:
    """All that comes in so many seconds, in order; bursts are of purges."""
    found = []
    for kind in Kind:
        rand = random.Random(f"{seed}/{kind.value}")
        raised = bursts if kind is Kind.PURGE else ()
        found += [Arrival(at, kind) for at in poisson(rates.per_second(kind), seconds, rand, raised)]
    return sorted(found, key=lambda arrival: arrival.at_s)
