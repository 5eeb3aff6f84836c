"""Offloading: an overloaded router diverts a fraction of its requests to neighbours with spare capacity.

A state machine of load figures and time; no I/O. An offloaded request is rejected at once with a short
Retry-After, and the client's retry goes to another router. Retries and writes are never offloaded, so a
request is offloaded at most once. The choice is by a hash of the requested object, so requests for the same
objects are offloaded while the fraction is constant. Nothing is offloaded unless a neighbour has recently
reported spare capacity.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

# Pressure is load divided by capacity: at 1.0 a router is fully loaded.
HIGH_PRESSURE = 0.9  # threshold at which offloading begins; the gap to LOW_PRESSURE is hysteresis
LOW_PRESSURE = 0.6  # threshold below which offloading ends; a neighbour's spare capacity is counted up to it
TARGET_PRESSURE = (HIGH_PRESSURE + LOW_PRESSURE) / 2  # set point of the offloaded fraction's control loop
MIN_HIGH_DURATION_US = 500_000  # high pressure for this time starts offloading; shorter bursts do not
MIN_BEGIN_INTERVAL_US = 30_000_000  # between two starts; limits steady load to two changes a minute
LOAD_LIFETIME_US = 2_000_000  # after which a neighbour's load report expires
MAX_OFFLOAD_FRACTION = 0.5  # largest offloaded fraction, whatever the neighbours report
# Of this router's request rate, the largest fraction offloaded to one neighbour, whose report may be wrong.
MAX_NEIGHBOUR_FRACTION = 0.25
MAX_FRACTION_STEP = 0.1  # change per tick; smaller steps follow load more slowly, larger ones oscillate
MAX_NEIGHBOURS = 64  # neighbours whose load is stored; bounds the memory that names from the network can take
MIN_NEIGHBOUR_PRESSURE = 0.05  # assumed of an idle neighbour, whose request rate says nothing of its capacity
MIN_FRACTION = 1e-6  # smaller fractions are set to zero
MIN_DIVISOR = 1e-9  # prevents division by zero
HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # Knuth's multiplicative hashing: 2**64 divided by the golden ratio
HASH_MASK = 0xFFFFFFFFFFFFFFFF


@dataclass(frozen=True, slots=True)
class NeighbourLoad:
    """A neighbour's last load report."""

    pressure: float  # load divided by capacity
    request_rate: float  # requests per second
    is_offloading: bool
    heard_us: int  # arrival time of the report


class Offloading:
    """Decides whether one router offloads, and which fraction of its requests."""

    def __init__(self, now_us: int = 0) -> None:
        self.is_active = False
        self.fraction = 0.0  # of the objects whose requests are offloaded, from 0 to 1
        self.changes = 0  # number of starts and ends of offloading
        self.reason = ""  # reason of the last change, for logs and admin answers
        self.offloaded_requests = 0
        self._high_since_us: int | None = None  # when the pressure reached HIGH_PRESSURE
        self._began_us = now_us - MIN_BEGIN_INTERVAL_US
        self._neighbours: dict[str, NeighbourLoad] = {}

    def update_neighbour(self, name: str, load: NeighbourLoad) -> None:
        """Store the load that a neighbour has reported."""
        if name in self._neighbours or len(self._neighbours) < MAX_NEIGHBOURS:
            self._neighbours[name] = load

    def tick(self, now_us: int, pressure: float, request_rate: float, present: Collection[str]) -> bool:
        """Adjust the fraction to this router's load; returns whether offloading has begun or ended.

        ``present`` are the names of the members present in this router's zone.
        """
        self._neighbours = {
            name: load
            for name, load in self._neighbours.items()
            if name in present and now_us - load.heard_us < LOAD_LIFETIME_US
        }
        was_active = self.is_active
        self._update_state(now_us, pressure)
        step = self._wanted_fraction(pressure, request_rate) - self.fraction
        self.fraction += max(-MAX_FRACTION_STEP, min(MAX_FRACTION_STEP, step))
        if self.fraction <= MIN_FRACTION:
            self.fraction = 0.0
        has_changed = self.is_active != was_active
        self.changes += has_changed
        return has_changed

    def _update_state(self, now_us: int, pressure: float) -> None:
        """Begin or end offloading by the two pressure thresholds."""
        if pressure < HIGH_PRESSURE:
            self._high_since_us = None
        elif self._high_since_us is None:
            self._high_since_us = now_us
        if self.is_active:
            if pressure < LOW_PRESSURE and self.fraction < MAX_FRACTION_STEP:
                self.is_active = False
                self.reason = f"pressure {pressure:.2f}"
            return
        if self._high_since_us is None or now_us - self._began_us < MIN_BEGIN_INTERVAL_US:
            return
        high_for_us = now_us - self._high_since_us
        if high_for_us >= MIN_HIGH_DURATION_US:
            self.is_active = True
            self._began_us = now_us
            self.reason = f"pressure {pressure:.2f} for {high_for_us / 1e6:.1f} s"

    def _wanted_fraction(self, pressure: float, request_rate: float) -> float:
        """The fraction that brings the pressure to its target, limited by the neighbours' spare capacity."""
        if not self.is_active:
            return 0.0
        wanted = self.fraction + (pressure - TARGET_PRESSURE) / max(pressure, MIN_DIVISOR)
        available = self.spare_capacity(request_rate) / request_rate if request_rate > 0 else 0.0
        return max(0.0, min(wanted, MAX_OFFLOAD_FRACTION, available))

    def spare_capacity(self, request_rate: float) -> float:
        """Requests per second that this router may offload.

        It is the neighbours' spare capacity up to ``LOW_PRESSURE``, divided among all routers that offload.
        """
        offloading_routers = 1 + sum(load.is_offloading for load in self._neighbours.values())
        spare_total = 0.0
        for load in self._neighbours.values():
            if not load.is_offloading and load.pressure < LOW_PRESSURE:
                spare = load.request_rate * (LOW_PRESSURE / max(load.pressure, MIN_NEIGHBOUR_PRESSURE) - 1)
                spare_total += min(max(spare, 0.0), MAX_NEIGHBOUR_FRACTION * request_rate)
        return spare_total / offloading_routers

    def should_offload(self, object_number: int, is_retry: bool, is_write: bool) -> bool:
        """Whether to offload this request; counts it if so."""
        if self.fraction <= 0 or is_retry or is_write:
            return False
        is_chosen = (object_number * HASH_MULTIPLIER & HASH_MASK) / 2**64 < self.fraction
        self.offloaded_requests += is_chosen
        return is_chosen
