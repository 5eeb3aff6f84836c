"""What passes between the downstream server, the engine and the upstream pool. Nothing here belongs to one
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
    """The policy's number for an endpoint: from the text of its id alone, so that all routers, in every run,
    agree on it.

    Its address will not do, since a new endpoint may reuse it; nor the order of arrival.
    """
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def object_number(hexadecimal: str) -> int:
    """The policy's number for an object. Zero, which means none to the policy, becomes another number."""
    return int(hexadecimal, 16) or 1 << 64


@dataclass(slots=True)
class ClientRequest:
    """A client's request."""

    request_id: str
    """As the client sent it; endpoints know the request by it."""
    class_index: int
    """Number of its class."""
    class_name: str
    object_key: str
    """16 hex digits."""
    part: int
    """Which part of the object."""
    group: int
    """The group of objects that it is purged with."""
    size_kb: float
    time_left_us: int
    """How long the client waits, as it says, in microseconds."""
    is_repeat: bool
    """Whether the client has tried before."""
    idempotency_key: str
    """Empty for none."""
    known_version: str
    """Of the copy that the client has; empty for none."""
    body: bytes
    """Of a write; released once the request is over."""


class UpstreamExchange(Protocol):
    """One attempt under way upstream."""

    def cancel(self) -> bool:
        """Stop it; returns whether the endpoint may have been reached."""
        ...


class Verdict(Enum):
    """The final answer to a request."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Response:
    """The final answer, with the bytes of the copy, or the statement that the client's own is current."""

    verdict: Verdict
    body: bytes | bytearray = b""
    not_modified: bool = False
    """Whether the client's own copy is current."""
    retry_after_us: int = 0
    """Of a rejection: when the client should come back, in microseconds from now."""


@dataclass(slots=True)
class ListedEndpoint:
    """An endpoint as the endpoint list names it."""

    name: str
    address: tuple[str, int]
    endpoint: Endpoint
    """The policy's view of it."""


@dataclass(slots=True)
class UpstreamRequest:
    """One attempt, as it is sent to an endpoint."""

    request: ClientRequest
    endpoint: ListedEndpoint
    source: ListedEndpoint | None
    """Where a cache fills a miss from; None for no fill."""
    retention_rank: int
    """How highly the cache keeps the copy; 0 for not at all."""
    max_age_us: int
    """The oldest copy that will do, in microseconds; 0 for the class's own bound."""
    flags: int
    """A sum of ``CacheRequestFlag``."""
    deadline_us: int
    """Of the attempt, in Unix microseconds."""
    must_not_repeat: bool
    """Whether running it twice does harm."""
    check_blocked: Callable[[], Outcome | None]
    """Called right before it is written: how it ends unwritten, or None where it may be sent."""
    current_max_age: Callable[[], int] | None = None
    """Called right before it is written, where the bound may have changed since the decision: the oldest copy
    that will do by then, in place of ``max_age_us``."""
    cancelled: UpstreamExchange | None = None
    """The attempt before it, where that was cancelled after it was written: this one is not written before
    the endpoint has surely read so, or the time for that is over. None where two may be in flight."""

    def max_age_now_us(self) -> int:
        """The oldest copy that will do now, in microseconds; 0 for the class's own bound."""
        return self.max_age_us if self.current_max_age is None else self.current_max_age()


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended, as far as the upstream side can tell."""

    outcome: Outcome
    cache_status: int = 0
    """A ``CacheStatus``, or a number that this version does not know."""
    fill_wait_us: int = 0
    """How long the cache waited for its fill, in microseconds."""
    load: tuple[float, ...] = ()
    """The endpoint's load report, by the settings' columns."""
    body: bytes | bytearray = b""
    not_modified: bool = False
    """Whether the client's own copy is current."""
