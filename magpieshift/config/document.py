"""The settings of an installation as typed values, independent of the file format they were read from."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from magpieshift.policy.settings import Settings

Address = tuple[str, int]
"""Host and port."""

MIN_SOCKETS = 192
"""Smallest usable number of descriptors. Fewer would leave none for connections to endpoints after the third
reserved for clients and the descriptors reserved for other uses."""


@dataclass(frozen=True)
class Limits:
    """The machine's resources that the router may use."""

    memory_mb: float
    sockets: int
    """Number of file descriptors, for connections and all other uses."""


@dataclass(frozen=True)
class Names:
    """The names of classes, zones and kinds by their numbers, as used in messages on the wire."""

    classes: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    report: tuple[str, ...]
    """Names of the columns of the endpoints' load reports."""


NO_NAMES = Names((), (), (), ())
"""For the simulator, which never shows names."""


@dataclass(frozen=True)
class MembershipSettings:
    """The settings of a router's membership in a fleet of routers."""

    fleet: str
    """Name of the fleet; datagrams of other fleets are dropped."""
    listen: Address
    """Address on which it receives datagrams."""
    advertise: Address
    """Address to which the other routers send datagrams."""
    seeds: tuple[Address, ...] = ()
    """Addresses of routers through which it joins the fleet."""
    voters: tuple[str, ...] = ()
    """Names of the routers that elect the quota leader."""
    solo_quota: float = 1.0
    """Fraction of its configured share that a router may use without contact to the other routers."""
    gossips_overload: bool = False
    """Whether routers exchange reports of failing endpoints."""
    may_offload: bool = False
    """Whether an overloaded router redirects clients to its neighbours."""


@dataclass(frozen=True)
class Document:
    """The settings of an installation; each version of the configuration consists of one document.

    They are read from the platform's JSON (``platform_file``) or an S-expression (``control.schema``).
    """

    name: str
    """Name of the router."""
    listen: Address
    """Address on which it accepts clients."""
    limits: Limits
    change_log_address: Address
    """Address of the change log."""
    settings: Settings
    """The policy's settings."""
    names: Names
    """The names for the numbers in ``settings``."""
    idle_timeout_us: int
    """Idle timeout of a connection to an endpoint."""
    streams_per_connection: int
    """Most concurrent requests on one connection to an endpoint."""
    admin_address: Address | None = None
    """Address of the admin server; None to run none."""
    membership: MembershipSettings | None = None
    """Membership in a fleet; None to run without contact to other routers."""


@dataclass(frozen=True)
class Config:
    """All that the program reads at start: a document, and values that apply to this start only."""

    document: Document
    seed: int
    """Seed of the policy's random generator."""
    known_changes: Mapping[str, Any]
    """The endpoint list and purges from before the start, in the format of the change log."""
    version: int = 0
    """Version number of the document; 0 if it has none, like the platform's."""
