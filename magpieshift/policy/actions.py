"""What a policy asks for. Times are whole microseconds; endpoints and requests are numbers (``events``)."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class CacheRequestFlag(IntEnum):
    """Bits of ``SendCacheRequest.flags``."""

    COALESCE_FILL = 1
    """Wait for a fill of the same part that is already running."""
    SOURCE_CACHED_ONLY = 2
    """The source gives only what it holds, and does not fetch."""
    PARENT_DOES_NOT_STORE = 4
    REVALIDATE = 8


@dataclass(slots=True)
class SendPlainRequest:
    """An attempt that asks an endpoint for what it holds; carries no bound on the copy's age."""

    request_id: int
    endpoint: int
    timeout_us: int


@dataclass(slots=True)
class SendCacheRequest:
    """An attempt that names the source of a fill, the retention rank and the oldest copy that will do."""

    request_id: int
    endpoint: int
    timeout_us: int
    source: int
    """Where a miss is filled from; the endpoint itself for no fill."""
    retention_rank: int
    """How highly the copy is kept; 0 for not at all."""
    max_age_us: int
    """The oldest copy that will do; 0 for the class's own bound."""
    flags: int
    """A sum of ``CacheRequestFlag``."""


@dataclass(slots=True)
class RejectRequest:
    """Final answer: rejected; trying again later is harmless."""

    request_id: int
    retry_after_us: int


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed, with no promise about its effect."""

    request_id: int


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for a ``TimerFired`` event."""

    delay_us: int
    token: int


@dataclass(slots=True)
class StartHealthCheck:
    """Check on an endpoint; a ``HealthCheckEnded`` event follows."""

    endpoint: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(slots=True)
class SendPeerMessage:
    """Send bytes to another instance, or with ``peer`` None to all."""

    peer: int | None
    body: bytes


@dataclass(slots=True)
class WriteLog:
    """A line for the report."""

    text: str


@dataclass(slots=True)
class SubscribeToEndpointList:
    """Turn endpoint list changes on or off, where they must be asked for."""

    enabled: bool


@dataclass(slots=True)
class FetchEndpointList:
    """Ask once for the complete endpoint list."""


Action = (
    SendPlainRequest
    | SendCacheRequest
    | RejectRequest
    | FailRequest
    | CancelAttempt
    | SetTimer
    | StartHealthCheck
    | CloseIdleConnections
    | SendPeerMessage
    | WriteLog
    | SubscribeToEndpointList
    | FetchEndpointList
)
