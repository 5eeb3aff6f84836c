"""The load generator: arrival times of purges, versions, list changes and restarts, drawn by rate and seed.

The arrivals of each kind are a Poisson process. In a burst the rate is a multiple of the mean. Random
intervals are drawn in units of the rate's integral over time, so that the same seed always gives the same
schedule. All times are seconds since the start.
"""

from __future__ import annotations

import random
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from enum import Enum

DAY_S = 86_400.0
TARGET_ROUTERS = 4_800  # fleet size that the product must support
BURST_RATE_MULTIPLE = 10.0  # rate of purges in a burst, as a multiple of the mean rate
BURST_DURATION_S = 5.0  # duration of one burst
MACHINE_EVENTS_PER_DAY = 7 + 420  # failures, and restarts or replacements, of routers and caches
LIST_CHANGES_PER_RESTART = 3  # changes of the endpoint list: draining, deleted, serving again


class Kind(Enum):
    """The kind of an arrival."""

    PURGE = "purge"
    VERSION = "version"
    LIST_CHANGE = "list change"
    RESTART = "restart"


@dataclass(frozen=True)
class Rates:
    """Mean rates of the whole fleet. Each router receives all purges, versions and list changes, so the load
    per router does not depend on the number of routers; restarts are spread over the routers."""

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
    """A period in which purges arrive at a multiple of their mean rate."""

    begin_s: float
    seconds: float = BURST_DURATION_S
    rate_multiple: float = BURST_RATE_MULTIPLE


@dataclass(frozen=True)
class Arrival:
    """One scheduled arrival."""

    at_s: float
    kind: Kind


def poisson(
    rate: float, seconds: float, rand: random.Random, bursts: Sequence[Burst] = ()
) -> Iterator[float]:
    """Arrival times in ``[0, seconds)`` at a mean rate, raised in bursts. Bursts must not overlap."""
    if rate <= 0:
        return
    steps = _rate_steps(rate, seconds, bursts)
    until_next = rand.expovariate(1.0)  # integral of the rate from ``begin`` to the next arrival
    for begin, end, step_rate in steps:
        while until_next < (end - begin) * step_rate:
            yield begin + until_next / step_rate
            until_next += rand.expovariate(1.0)
        until_next -= (end - begin) * step_rate


def _rate_steps(rate: float, seconds: float, bursts: Sequence[Burst]) -> list[tuple[float, float, float]]:
    """The rate as a step function: begin, end and rate of each step."""
    steps = []
    at = 0.0
    for burst in sorted(bursts, key=lambda burst: burst.begin_s):
        begin = min(burst.begin_s, seconds)
        end = min(burst.begin_s + burst.seconds, seconds)
        steps += [(at, begin, rate), (begin, end, rate * burst.rate_multiple)]
        at = end
    return [*steps, (at, seconds, rate)]


def arrivals(rates: Rates, seconds: float, seed: int, bursts: Sequence[Burst] = ()) -> list[Arrival]:
    """All arrivals within ``seconds``, in time order. Bursts affect only purges."""
    found = []
    for kind in Kind:
        rand = random.Random(f"{seed}/{kind.value}")
        kind_bursts = bursts if kind is Kind.PURGE else ()
        found += [Arrival(at, kind) for at in poisson(rates.per_second(kind), seconds, rand, kind_bursts)]
    return sorted(found, key=lambda arrival: arrival.at_s)
