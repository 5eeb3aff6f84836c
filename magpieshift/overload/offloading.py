"""Offloading: an overloaded router sends some clients to its neighbours, as many as those can bear.

A state machine of load figures and time; no I/O. An offloaded request is rejected at once with a short
Retry-After, and the client's retry goes to another router. A request is offloaded once at most: neither a
retry nor a write is. Which requests go is decided by a hash of their object, so the same ones go while the
fraction stays. Where no neighbour has lately reported spare capacity, none go.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

# Pressure is load by capacity: 1.0 is all that a router can bear.
HIGH_PRESSURE = 0.9  # above it offloading begins; the gap to the lower mark is hysteresis
LOW_PRESSURE = 0.6  # below it offloading ends, and neighbours have spare capacity up to it
TARGET_PRESSURE = (HIGH_PRESSURE + LOW_PRESSURE) / 2  # what the fraction is steered to
MIN_HIGH_US = 500_000  # above the high mark for this long before offloading begins: a burst does not count
MIN_BEGIN_INTERVAL_US = 30_000_000  # between two beginnings: two changes a minute at most under steady load
LOAD_LIFETIME_US = 2_000_000  # a neighbour's load report counts for this long
MAX_OFFLOAD_FRACTION = 0.5  # of the requests, whatever the neighbours report
MAX_NEIGHBOUR_FRACTION = 0.25  # of this router's rate to any one neighbour, which may report anything
MAX_FRACTION_STEP = 0.1  # a tick; smaller follows load more slowly, larger swings
MAX_NEIGHBOURS = 64  # names from the network must not fill the memory
MIN_NEIGHBOUR_PRESSURE = 0.05  # assumed of an idle neighbour, whose capacity its rate does not show
MIN_FRACTION = 1e-6  # less counts as none
MIN_DIVISOR = 1e-9  # against division by zero
HASH_MULTIPLIER = 0x9E3779B97F4A7C15  # Knuth's multiplicative hashing: 2**64 by the golden ratio
HASH_MASK = 0xFFFFFFFFFFFFFFFF


@dataclass(frozen=True, slots=True)
class NeighbourLoad:
    """What a neighbour reported of itself."""

    pressure: float  # 1.0 is all that it can bear
    request_rate: float  # requests a second
    is_offloading: bool
    heard_us: int  # when the report arrived


class Offloading:
    """Whether a router offloads, and what fraction of its requests."""

    def __init__(self, now_us: int = 0) -> None:
        self.is_active = False
        self.fraction = 0.0  # of requests that may be offloaded, from 0 to 1
        self.changes = 0  # beginnings and ends
        self.reason = ""  # of the last change, for people
        self.offloaded_requests = 0
        self._high_since_us: int | None = None  # when the pressure passed the high mark
        self._began_us = now_us - MIN_BEGIN_INTERVAL_US
        self._neighbours: dict[str, NeighbourLoad] = {}

    def update_neighbour(self, name: str, load: NeighbourLoad) -> None:
        """A neighbour has reported its load."""
        if name in self._neighbours or len(self._neighbours) < MAX_NEIGHBOURS:
            self._neighbours[name] = load

    def tick(self, now_us: int, pressure: float, request_rate: float, present: Collection[str]) -> bool:
        """Adapt to this router's own load; whether offloading has begun or ended.

        ``present`` are the names of the members of this router's zone.
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
        """Begin or end, by the two marks."""
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
        if high_for_us >= MIN_HIGH_US:
            self.is_active = True
            self._began_us = now_us
            self.reason = f"pressure {pressure:.2f} for {high_for_us / 1e6:.1f} s"

    def _wanted_fraction(self, pressure: float, request_rate: float) -> float:
        """The fraction that brings the pressure to its target, within what neighbours can take."""
        if not self.is_active:
            return 0.0
        wanted = self.fraction + (pressure - TARGET_PRESSURE) / max(pressure, MIN_DIVISOR)
        available = self.spare_capacity(request_rate) / request_rate if request_rate > 0 else 0.0
        return max(0.0, min(wanted, MAX_OFFLOAD_FRACTION, available))

    def spare_capacity(self, request_rate: float) -> float:
        """Requests a second that this router may offload.

        That is what neighbours can take up to the low mark, divided among all routers that offload.
        """
        offloading_routers = 1 + sum(load.is_offloading for load in self._neighbours.values())
        spare_total = 0.0
        for load in self._neighbours.values():
            if not load.is_offloading and load.pressure < LOW_PRESSURE:
                spare = load.request_rate * (LOW_PRESSURE / max(load.pressure, MIN_NEIGHBOUR_PRESSURE) - 1)
                spare_total += min(max(spare, 0.0), MAX_NEIGHBOUR_FRACTION * request_rate)
        return spare_total / offloading_routers

    def should_offload(self, object_number: int, is_retry: bool, is_write: bool) -> bool:
        """Whether this request is offloaded; counts it if so."""
        if self.fraction <= 0 or is_retry or is_write:
            return False
        is_chosen = (object_number * HASH_MULTIPLIER & HASH_MASK) / 2**64 < self.fraction
        self.offloaded_requests += is_chosen
        return is_chosen
