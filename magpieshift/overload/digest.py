"""What one router says to another about endpoints and about itself."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FailureReport:
    """That a router saw an endpoint fail, or recover, so long ago.

    Ages are sent in place of times, so no clocks are compared.
    """

    endpoint: str
    witness: str  # the router that saw it
    failing: bool  # False: it had recovered
    age_us: int


@dataclass(frozen=True, slots=True)
class Digest:
    """One gossip message."""

    reports: tuple[FailureReport, ...] = ()
    pressure: float = 0.0  # of the sender: 1.0 is all that it can bear
    request_rate: float = 0.0  # requests a second that it takes
    is_offloading: bool = False  # it sends some of its clients to neighbours
