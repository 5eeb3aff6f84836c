"""What an emulated endpoint can do, and the profiles of the kinds of endpoint in an installation."""

from __future__ import annotations

from dataclasses import dataclass

CACHE_KIND = "box"  # kinds of endpoint, as the emulated installation's settings name them
PARENT_KIND = "upper"
ORIGIN_KIND = "source"


@dataclass(frozen=True)
class EndpointProfile:
    """What an endpoint can do. Faster ones than the defaults load the machine more."""

    slots: int = 32
    """Requests answered at once."""
    serve_ms: float = 4.0
    """Time in a slot for a request, before jitter."""
    fetch_ms: float = 18.0
    """Time in a slot for a fill that another endpoint asks for."""
    kb_per_s: float = 40_000.0
    """Rate of the link, in kilobytes per second."""
    max_parts: int = 4_000
    """Parts a cache stores before it evicts."""
    slow_start_s: float = 4.0
    """Duration of the slow start after a restart."""
    slow_start_delay_factor: float = 3.0
    """Times in a slot are this much longer in slow start."""
    capacity: float = 0.5
    """Work it bears when warm, in seconds of sending time per second; listed as its ``size``."""
    slow_start_fraction: float = 0.3
    """The share of its capacity with which a slow start begins."""
    overload_multiple: float = 2.5
    """It is overloaded at this multiple of its capacity."""
    part_work_s: float = 0.003
    """Sending time of one part."""


@dataclass(frozen=True)
class Role:
    """Where a kind of endpoint stands, and what it can do."""

    zone: str
    kind: str
    profile: EndpointProfile


# the same defaults, slower, so that a hit pays
ORIGIN_ROLE = Role("hub", ORIGIN_KIND, EndpointProfile(slots=16, serve_ms=14, fetch_ms=25))
ROLES = {
    "box": Role("shop", CACHE_KIND, EndpointProfile()),
    "hub": Role("hub", PARENT_KIND, EndpointProfile(slots=24, fetch_ms=10, overload_multiple=2.0)),
}
"""Roles by the first three letters of a place's name; any other is the origin's."""


def role_of(place: str) -> Role:
    """The role of the endpoint at this place, by the place's name."""
    return ROLES.get(place[:3], ORIGIN_ROLE)
