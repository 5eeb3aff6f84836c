"""Actions that a policy returns. Times are whole microseconds; endpoints and requests are identified by
number, as in ``events``."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class CacheRequestFlag(IntEnum):
    """Bits of ``SendCacheRequest.flags``."""

    COALESCE_FILL = 1
    """If a fill of the same part is already running, wait for it."""
    SOURCE_CACHED_ONLY = 2
    """The source answers only from what it holds, and does not fetch."""
    PARENT_DOES_NOT_STORE = 4
    REVALIDATE = 8


@dataclass(slots=True)
class SendPlainRequest:
    """An attempt that names no fill source and no maximum age of a copy."""

    request_id: int
    endpoint: int
    timeout_us: int


@dataclass(slots=True)
class SendCacheRequest:
    """An attempt that names the source of a fill, the retention rank and the maximum age of a copy."""

    request_id: int
    endpoint: int
    timeout_us: int
    source: int
    """Where a miss is filled from; the endpoint itself: no fill."""
    retention_rank: int
    """Priority with which the cache retains the copy; 0: the copy is not stored."""
    max_age_us: int
    """Maximum age of an acceptable copy; 0: the class's own ``max_age_us`` applies."""
    flags: int
    """A sum of ``CacheRequestFlag``."""


@dataclass(slots=True)
class RejectRequest:
    """Final answer: rejected. A retry by the client does no harm."""

    request_id: int
    retry_after_us: int


@dataclass(slots=True)
class FailRequest:
    """Final answer: failed. The request may or may not have taken effect."""

    request_id: int


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    request_id: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Request a ``TimerFired`` event after ``delay_us``."""

    delay_us: int
    token: int


@dataclass(slots=True)
class StartHealthCheck:
    """Start a health check of an endpoint; a ``HealthCheckEnded`` event follows."""

    endpoint: int


@dataclass(slots=True)
class CloseIdleConnections:
    """Close the idle connections to an endpoint."""

    endpoint: int


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message to another router instance, or to all if ``peer`` is None."""

    peer: int | None
    body: bytes


@dataclass(slots=True)
class WriteLog:
    """Write one line to the log."""

    text: str


@dataclass(slots=True)
class SubscribeToEndpointList:
    """Subscribe to endpoint list changes or unsubscribe, see ``Settings.must_subscribe``."""

    enabled: bool


@dataclass(slots=True)
class FetchEndpointList:
    """Fetch the complete endpoint list once."""


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
