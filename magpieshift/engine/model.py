"""What passes between a front, the core and a back. Nothing here belongs to one protocol."""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from magpieshift.policy.events import Endpoint
from magpieshift.policy.outcomes import Outcome


def endpoint_number(ident: str) -> int:
    """The module's number for a store: from the text of its id alone, so that all routers, in every run,
    agree on it. Its address will not do, since a new store may reuse it; nor the order of arrival."""
    return int.from_bytes(hashlib.blake2b(ident.encode(), digest_size=8).digest(), "big")


def object_number(hexadecimal: str) -> int:
    """The module's number for an object; it takes zero for 'none', so that one becomes another number."""
    return int(hexadecimal, 16) or 1 << 64


@dataclass(slots=True)
class ClientRequest:
    """A client's request."""

    request_id: str
    class_index: int
    class_name: str
    object_key: str
    part: int
    group: int
    size_kb: float
    time_left_us: int
    is_repeat: bool
    idempotency_key: str
    known_version: str
    body: bytes  # let go once the request is over


class Verdict(Enum):
    """The final answer to a request."""

    SERVED = "served"
    REJECTED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Response:
    """The final answer, with the bytes of the copy or the word that the client's own is current."""

    verdict: Verdict
    body: bytes | bytearray = b""
    not_modified: bool = False
    retry_after_us: int = 0


@dataclass(slots=True)
class ListedEndpoint:
    """A store as the list names it."""

    name: str
    address: tuple[str, int]
    endpoint: Endpoint


@dataclass(slots=True)
class UpstreamRequest:
    """What one attempt asks of a store."""

    request: ClientRequest
    endpoint: ListedEndpoint
    source: ListedEndpoint | None
    retention_rank: int
    max_age_us: int
    flags: int
    deadline_us: int
    must_not_repeat: bool  # running it twice does harm
    check_blocked: Callable[[], Outcome | None]
    """Asked right before it is written: how it ends unwritten, or None where it may go."""
    current_max_age: Callable[[], int] | None = None
    """Asked right before it is written, where copies may be bounded between the decision and the write: the
    largest age that will do by then, in place of ``age_us``."""

    def max_age_now_us(self) -> int:
        """The largest age of a copy that will do now, in microseconds; 0 for the class's own bound."""
        return self.max_age_us if self.current_max_age is None else self.current_max_age()


@dataclass(slots=True)
class AttemptResult:
    """How an attempt ended, as far as the back can tell."""

    outcome: Outcome
    cache_status: int = 0
    fill_wait_us: int = 0
    load: tuple[float, ...] = ()
    body: bytes | bytearray = b""
    not_modified: bool = False
