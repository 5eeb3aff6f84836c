"""Data types shared by the downstream server, the engine and the upstream pool, independent of any wire
protocol."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from magpieshift.policy.events import Endpoint
from magpieshift.policy.outcomes import Outcome


def endpoint_number(name: str) -> int:
    """The policy's number for an endpoint: a hash of its name, so that all routers agree on it across
    restarts.

    The address is unsuitable because a new endpoint may reuse it; the order of arrival differs between
    routers.
    """
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def object_number(hexadecimal: str) -> int:
    """The policy's number for an object. Zero means "no object" to the policy, so key zero maps to 2**64."""
    return int(hexadecimal, 16) or 1 << 64


@dataclass(slots=True)
class ClientRequest:
    """A client's request."""

    request_id: str
    """As the client sent it; endpoints identify the request by it."""
    class_index: int
    """Number of its class."""
    class_name: str
    object_key: str
    """16 hex digits."""
    part: int
    """Index of the requested part of the object."""
    group: int
    """The group of objects that it is purged with."""
    size_kb: float
    time_left_us: int
    """How long the client will wait, as stated by the client, in microseconds."""
    is_repeat: bool
    """Whether this is a retry by the client."""
    idempotency_key: str
    """Empty if the client sent none."""
    known_version: str
    """Version of the copy that the client already has; empty if it has none."""
    body: bytes
    """Body of a write; released once the request is closed."""


class UpstreamExchange(Protocol):
    """One attempt in flight at the upstream side."""

    def cancel(self) -> bool:
        """Cancel the attempt; returns whether the endpoint may have received it."""
        ...


class Verdict(Enum):
    """The kind of final answer that a request gets."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Response:
    """The final answer, with the object's bytes unless the client's own copy is current."""

    verdict: Verdict
    body: bytes | bytearray = b""
    not_modified: bool = False
    """Whether the client's own copy is current."""
    retry_after_us: int = 0
    """For a rejection: how long the client should wait before a retry, in microseconds."""


@dataclass(slots=True)
class ListedEndpoint:
    """An endpoint as the endpoint list describes it."""

    name: str
    address: tuple[str, int]
    endpoint: Endpoint
    """The description that is passed to the policy."""


@dataclass(slots=True)
class UpstreamRequest:
    """One attempt, as it is sent to an endpoint."""

    request: ClientRequest
    endpoint: ListedEndpoint
    source: ListedEndpoint | None
    """The endpoint that the cache fills a miss from; None if no fill is requested."""
    retention_rank: int
    """Rank that the cache gives the copy for retention; 0 if it should not keep the copy."""
    max_age_us: int
    """Maximum age of a cached copy, in microseconds; 0 leaves it to the class's own bound."""
    flags: int
    """Bitwise OR of ``CacheRequestFlag`` values."""
    deadline_us: int
    """Deadline of the attempt, in Unix microseconds."""
    must_not_repeat: bool
    """Whether executing the request twice could repeat its effect."""
    check_blocked: Callable[[], Outcome | None]
    """Called right before the attempt is written: the outcome if it may no longer be sent, or None if it
    may."""
    current_max_age: Callable[[], int] | None = None
    """Called right before the attempt is written, as purges may have been received since the decision: the
    maximum age at that time, in microseconds, in place of ``max_age_us``."""
    cancelled: UpstreamExchange | None = None
    """The request's previous attempt, if it was cancelled after it was written. This attempt is not written
    until the endpoint of that attempt has certainly read the cancellation, or the time for that has passed.
    None if two attempts may be in flight."""

    def max_age_now_us(self) -> int:
        """Current maximum age of a cached copy, in microseconds; 0 leaves it to the class's own bound."""
        return self.max_age_us if self.current_max_age is None else self.current_max_age()


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended, as observed by the upstream side."""

    outcome: Outcome
    cache_status: int = 0
    """A ``CacheStatus`` value, or a number that this version does not define."""
    fill_wait_us: int = 0
    """How long the cache waited for the fill, in microseconds."""
    load: tuple[float, ...] = ()
    """Values of the endpoint's load report, in the order of the settings' ``load_report_columns``."""
    body: bytes | bytearray = b""
    not_modified: bool = False
    """Whether the client's own copy is current."""
