"""The parameters of a simulated fleet, its routers, and the record of a run."""

from __future__ import annotations

from dataclasses import dataclass, field

from magpieshift.engine.engine import Engine
from magpieshift.lab.simulated.second_counters import SecondCounters
from magpieshift.lab.simulated.time import RouterClock, SimulatedTime

SECOND_US = 1_000_000


@dataclass(frozen=True)
class FleetSize:
    """Size, load and clients of a simulated fleet. Rates are requests per second."""

    routers: int = 40
    zones: int = 4
    caches_per_zone: int = 4
    parents: int = 4
    rate_per_router: float = 10.0  # design load of each router, for which endpoints and links are sized
    load_factor: float = 1.0  # offered load divided by the design load
    objects: int = 4_000  # number of different objects
    key_skew: float = 1.1  # exponent of the Zipf distribution by which objects are requested
    size_kb: float = 30.0  # of each object
    write_share: float = 0.05  # fraction of requests that are writes
    max_attempts: int = 4  # attempts of a client for one request, including the first
    retry_after_share: float = (
        0.5  # fraction of retries that wait for Retry-After; others come almost at once
    )
    capacity_factor: float = 1.2  # capacity of endpoints and links divided by the design load
    seed: int = 1

    @property
    def design_rate(self) -> float:
        """Requests per second of the whole fleet for which endpoints and links are sized."""
        return self.rate_per_router * self.routers


@dataclass
class SimulatedRouter:
    """One router: its engine, and whether the load balancer sends it clients."""

    name: str
    zone: int
    clock: RouterClock
    engine: Engine
    in_rotation: bool = True  # False once the load balancer has noticed that it was killed


@dataclass
class FleetRecord:
    """Counters over a whole run."""

    by_second: list[SecondCounters] = field(default_factory=list)
    rejected_then_served: int = 0  # requests rejected by one router and then served by another
    rejected_requests: int = 0  # requests answered "rejected" or "failed" at least once
    violations: list[str] = field(default_factory=list)  # requests without a response, or with two

    def counters(self, time: SimulatedTime) -> SecondCounters:
        """The counters of the current second."""
        while len(self.by_second) <= time.second:
            self.by_second.append(SecondCounters())
        return self.by_second[time.second]
