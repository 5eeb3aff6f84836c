"""The settings of an installation as typed values, whichever reader they came through."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from magpieshift.policy.settings import Settings

Address = tuple[str, int]
"""Host and port."""

MIN_SOCKETS = 192
"""Fewer leave no room for connections to endpoints beside the clients' third and the reserved descriptors."""


@dataclass(frozen=True)
class Limits:
    """What the machine gives the router."""

    memory_mb: float
    sockets: int
    """Descriptors, for connections and everything else."""


@dataclass(frozen=True)
class Names:
    """The words of the settings that messages on the sockets use, by number."""

    classes: tuple[str, ...]
    zones: tuple[str, ...]
    kinds: tuple[str, ...]
    report: tuple[str, ...]
    """Columns of the endpoints' load reports."""


NO_NAMES = Names((), (), (), ())
"""Where nothing is ever shown: the simulator."""


@dataclass(frozen=True)
class MembershipSettings:
    """How a router talks with the other routers of its fleet, where it does."""

    fleet: str
    """Datagrams of another fleet are dropped."""
    listen: Address
    """Where it receives datagrams."""
    advertise: Address
    """Where the others send them."""
    seeds: tuple[Address, ...] = ()
    """Routers to join the fleet by."""
    voters: tuple[str, ...] = ()
    """Names of the routers that elect the quota leader."""
    solo_quota: float = 1.0
    """Part of its share by the settings that a router uses whatever it hears from others."""
    gossips_overload: bool = False
    """Whether routers tell each other of failing endpoints."""
    may_offload: bool = False
    """Whether an overloaded router sends clients to its neighbours."""


@dataclass(frozen=True)
class Document:
    """The settings of an installation: what a version of the configuration holds.

    They are read from the platform's JSON (``platform_file``) or an S-expression (``control.schema``).
    """

    name: str
    """Of the router."""
    listen: Address
    """Where clients connect."""
    limits: Limits
    change_log_address: Address
    """Where the change log is read."""
    settings: Settings
    """The policy's."""
    names: Names
    """Of the numbers in ``settings``."""
    idle_timeout_us: int
    """How long a connection to an endpoint stays open without a request, in microseconds."""
    streams_per_connection: int
    """Concurrent requests on one connection to an endpoint, at most."""
    admin_address: Address | None = None
    """Where operators' admin commands come in; nowhere if there is none."""
    membership: MembershipSettings | None = None
    """None: it talks to no other router."""


@dataclass(frozen=True)
class Config:
    """All that the program reads at its start: a document, and what is no setting but true of this start."""

    document: Document
    seed: int
    """Of the policy's random generator."""
    known_changes: Mapping[str, Any]
    """The endpoint list and purges known so far, as the change log writes them."""
    version: int = 0
    """Of the document; 0 for one without a number, as the platform's."""
