"""Performance profiles of emulated endpoints, and the roles that endpoints have in an installation."""

from __future__ import annotations

from dataclasses import dataclass

# kinds of endpoint, by their names in the settings
CACHE_KIND = "box"
PARENT_KIND = "upper"
ORIGIN_KIND = "source"


@dataclass(frozen=True)
class EndpointProfile:
    """Performance limits of an endpoint. Faster endpoints than the defaults load the machine more."""

    slots: int = 32
    """Maximum number of requests processed concurrently."""
    serve_ms: float = 4.0
    """Processing time of a request, before jitter."""
    fetch_ms: float = 18.0
    """Processing time of a fill for another endpoint."""
    kb_per_s: float = 40_000.0
    """Bandwidth of the link, in kilobytes per second."""
    max_parts: int = 4_000
    """Maximum number of parts that a cache stores."""
    slow_start_s: float = 4.0
    """Duration of the slow start after a restart."""
    slow_start_delay_factor: float = 3.0
    """Factor on processing times during slow start."""
    capacity: float = 0.5
    """Work that a warm endpoint can do, in seconds of sending time per second; listed as its ``size``."""
    slow_start_fraction: float = 0.3
    """Share of the capacity available at the beginning of a slow start."""
    overload_multiple: float = 2.5
    """Multiple of its capacity above which an endpoint is overloaded."""
    part_work_s: float = 0.003
    """Sending time of one part."""


@dataclass(frozen=True)
class Role:
    """Zone, kind and profile of the endpoints at a group of places."""

    zone: str
    kind: str
    profile: EndpointProfile


# slower than the caches, so that hits are worth it
ORIGIN_ROLE = Role("hub", ORIGIN_KIND, EndpointProfile(slots=16, serve_ms=14, fetch_ms=25))
ROLES = {
    "box": Role("shop", CACHE_KIND, EndpointProfile()),
    "hub": Role("hub", PARENT_KIND, EndpointProfile(slots=24, fetch_ms=10, overload_multiple=2.0)),
}
"""Roles by the first three letters of a place's name; other places have the origin's role."""


def role_of(place: str) -> Role:
    """Return the role of the endpoint at a place, by the place's name."""
    return ROLES.get(place[:3], ORIGIN_ROLE)
