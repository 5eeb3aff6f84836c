"""The gossip message by which a router reports failing endpoints and its own load to others."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class FailureReport:
    """A router's last observation of an endpoint: that it failed or that it had recovered.

    It carries an age in place of a time stamp, so that clocks of different routers are never compared.
    """

    endpoint: str
    witness: str  # name of the router that made the observation
    failing: bool  # False: the endpoint had recovered
    age_us: int  # time since the observation


@dataclass(frozen=True, slots=True)
class Digest:
    """One gossip message."""

    reports: tuple[FailureReport, ...] = ()
    pressure: float = 0.0  # the sender's load divided by its capacity
    request_rate: float = 0.0  # requests per second that arrive at the sender
    is_offloading: bool = False  # the sender offloads requests to its neighbours
