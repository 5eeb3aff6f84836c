"""What a policy is told. Times are whole microseconds; an absent value is zero.

An endpoint (a cache, a parent cache or the origin) is a plain number that stays the same when its process
restarts. A request is the number that the router gave it; its attempts are numbered from 0.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from magpieshift.policy.outcomes import Outcome


class EndpointState(IntEnum):
    """An endpoint's state in the list."""

    READY = 0
    DRAINING = 1
    REMOVED = 2


class EndpointListKind(IntEnum):
    """What an endpoint list event holds."""

    DELTA = 0
    """The changed entries alone."""
    COMPLETE = 1
    """Every endpoint; those left out are gone."""
    CACHED = 2
    """Every endpoint as last known, possibly out of date."""
    FAILED = 3
    """The list could not be had; the former one stays."""


@dataclass(slots=True)
class Endpoint:
    """One entry of an endpoint list."""

    number: int
    """Its address and port as one number."""
    zone: int
    """By number."""
    kind: int
    """Cache, parent or origin: see ``Settings.parent_kind`` and ``origin_kind``."""
    cell: int
    """Endpoints of one cell may discard each other's repeats, see ``DeduplicationScope``."""
    state: EndpointState
    weight: float
    """Its capacity or a live weight, see ``Settings.weights_are_sizes``."""
    started_us: int
    """When its process started, on the policy's clock; 0 where that is not known."""


@dataclass(slots=True)
class EndpointListReceived:
    """The list of endpoints, complete or as changes."""

    kind: EndpointListKind
    version: int
    """Of the list."""
    endpoints: tuple[Endpoint, ...]


@dataclass(slots=True)
class RequestReceived:
    """A client's request; exactly one final answer is now owed for it."""

    request_id: int
    class_index: int
    """Its class's number."""
    tenant: int
    object_key: int
    """The object's number; 0 for none."""
    time_left_us: int
    """From now until the client gives up."""
    size_kb: float
    """Size of the answer; 0 where that is not known."""
    group: int
    """The group of objects by which it may be purged."""
    part: int
    """Of the object, from 0."""
    is_repeat: bool
    """Whether the client sent it before."""
    is_write: bool


@dataclass(slots=True)
class ResponseStarted:
    """A streamed answer has begun on this attempt."""

    request_id: int
    endpoint: int
    latency_us: int
    """From when the attempt was sent."""
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """How one attempt ended."""

    request_id: int
    outcome: Outcome
    latency_us: int
    """From when the attempt was sent."""
    fill_wait_us: int
    """Part of the latency that the cache spent waiting for its fill."""
    request_closed: bool
    """Whether the request itself is over."""
    cache_status: int
    """A ``CacheStatus``, or a number that this version does not know."""
    endpoint: int
    attempt: int
    """Its number, from 0."""
    load: tuple[float, ...]
    """The endpoint's load report, by ``Settings.load_report_columns``."""


@dataclass(slots=True)
class ClientDisconnected:
    """The client left; nothing more is owed."""

    request_id: int


@dataclass(slots=True)
class TimerFired:
    """A timer of this instance came due."""

    token: int


@dataclass(slots=True)
class HealthCheckEnded:
    """What a health check found."""

    endpoint: int
    outcome: Outcome
    latency_us: int
    load: tuple[float, ...]
    """The endpoint's load report, by ``Settings.load_report_columns``."""


@dataclass(slots=True)
class PeerMessageReceived:
    """Bytes from another instance."""

    sender: int
    body: bytes


@dataclass(slots=True)
class PurgeReceived:
    """An object, or with no key a whole group, was purged at the origin some time ago."""

    object_key: int
    """0: the whole group."""
    group: int
    age_us: int
    """How long ago it was made at the origin."""


Event = (
    EndpointListReceived
    | RequestReceived
    | ResponseStarted
    | AttemptEnded
    | ClientDisconnected
    | TimerFired
    | HealthCheckEnded
    | PeerMessageReceived
    | PurgeReceived
)
