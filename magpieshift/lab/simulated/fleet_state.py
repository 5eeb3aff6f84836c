"""The size of a simulated fleet, its routers, and what is recorded over a run."""

from __future__ import annotations

from dataclasses import dataclass, field

from magpieshift.engine.engine import Engine
from magpieshift.lab.simulated.second_counters import SecondCounters
from magpieshift.lab.simulated.time import RouterClock, SimulatedTime

SECOND_US = 1_000_000


@dataclass(frozen=True)
class FleetSize:
    """What is simulated; rates are requests per second over the whole fleet."""

    routers: int = 40
    zones: int = 4
    caches_per_zone: int = 4
    parents: int = 4
    rate_per_router: float = 10.0  # that endpoints and links are made for
    load_factor: float = 1.0  # the offered load over that rate
    objects: int = 4_000  # different objects
    key_skew: float = 1.1  # exponent of the Zipf distribution of objects
    size_kb: float = 30.0  # of each object
    write_share: float = 0.05  # of requests
    max_attempts: int = 4  # of a client, the first included
    retry_after_share: float = 0.5  # of retries that wait for the Retry-After; the others come at once
    capacity_factor: float = 1.2  # what endpoints and links can carry over the design rate
    seed: int = 1

    @property
    def design_rate(self) -> float:
        """The rate that the fleet is made for."""
        return self.rate_per_router * self.routers


@dataclass
class SimulatedRouter:
    """One router: its engine, and whether clients are sent to it."""

    name: str
    zone: int
    clock: RouterClock
    engine: Engine
    in_rotation: bool = True  # until the load balancer in front notices that it is dead


@dataclass
class FleetRecord:
    """What is counted over the whole of a run."""

    by_second: list[SecondCounters] = field(default_factory=list)
    rejected_then_served: int = 0  # served by another router after a rejection
    rejected_requests: int = 0  # answered "rejected" or "failed" at least once
    violations: list[str] = field(default_factory=list)  # requests with no response, or with two

    def counters(self, time: SimulatedTime) -> SecondCounters:
        """The counters of the current second."""
        while len(self.by_second) <= time.second:
            self.by_second.append(SecondCounters())
        return self.by_second[time.second]
