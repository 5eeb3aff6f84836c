"""Events that a policy receives. Times are whole microseconds; an absent value is zero.

An endpoint (a cache, a parent cache or the origin) is identified by a number that stays the same when its
process restarts. A request is identified by the number that the router gave it; its attempts are numbered
from 0.
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
    """Only the changed entries."""
    COMPLETE = 1
    """Every endpoint; those left out are removed."""
    CACHED = 2
    """Every endpoint as last known, possibly out of date."""
    FAILED = 3
    """The list could not be fetched; the previous one stays in force."""


@dataclass(slots=True)
class Endpoint:
    """One entry of an endpoint list."""

    number: int
    """A number that identifies it. The router uses a 64-bit hash of the endpoint's id."""
    zone: int
    """Number of its zone."""
    kind: int
    """Cache, parent or origin: see ``Settings.parent_kind`` and ``origin_kind``."""
    cell: int
    """Number of its cell. Endpoints of one cell may discard each other's repeats, see
    ``DeduplicationScope``."""
    state: EndpointState
    weight: float
    """Its capacity in concurrent requests or a live weight, see ``Settings.weights_are_sizes``."""
    started_us: int
    """When its process started, on the policy's clock; 0: not known."""


@dataclass(slots=True)
class EndpointListReceived:
    """An update of the endpoint list, complete or as changes."""

    kind: EndpointListKind
    version: int
    """Version of the list."""
    endpoints: tuple[Endpoint, ...]


@dataclass(slots=True)
class RequestReceived:
    """A client's request. It gets exactly one final answer, unless the client disconnects first."""

    request_id: int
    class_index: int
    """Number of its class."""
    tenant: int
    object_key: int
    """Number of the requested object; 0: none."""
    time_left_us: int
    """Time from now until the client gives up."""
    size_kb: float
    """Size of the answer; 0: not known."""
    group: int
    """Number of the group with which the object may be purged."""
    part: int
    """Number of the requested part of the object, from 0."""
    is_repeat: bool
    """Whether it is the client's retry of an earlier request."""
    is_write: bool


@dataclass(slots=True)
class ResponseStarted:
    """A streamed answer has begun on this attempt."""

    request_id: int
    endpoint: int
    latency_us: int
    """Time since the attempt was sent."""
    attempt: int


@dataclass(slots=True)
class AttemptEnded:
    """How one attempt ended."""

    request_id: int
    outcome: Outcome
    latency_us: int
    """Time since the attempt was sent."""
    fill_wait_us: int
    """Part of the latency that the cache spent waiting for its fill."""
    request_closed: bool
    """Whether the request itself is over too, and needs no further attempt or answer."""
    cache_status: int
    """A ``CacheStatus``, or a number that this version does not define."""
    endpoint: int
    attempt: int
    """Number of the attempt, from 0."""
    load: tuple[float, ...]
    """The endpoint's load report, by ``Settings.load_report_columns``."""


@dataclass(slots=True)
class ClientDisconnected:
    """The client disconnected; its request needs no answer any more."""

    request_id: int


@dataclass(slots=True)
class TimerFired:
    """A timer that this instance set has fired."""

    token: int


@dataclass(slots=True)
class HealthCheckEnded:
    """The result of a health check."""

    endpoint: int
    outcome: Outcome
    latency_us: int
    load: tuple[float, ...]
    """The endpoint's load report, by ``Settings.load_report_columns``."""


@dataclass(slots=True)
class PeerMessageReceived:
    """A message from another router instance."""

    sender: int
    body: bytes


@dataclass(slots=True)
class PurgeReceived:
    """An object, or with no key a whole group, was purged at the origin some time ago."""

    object_key: int
    """Number of the purged object; 0: the whole group."""
    group: int
    age_us: int
    """Time since the purge was made at the origin."""


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
