"""The state of one client request and of its attempts in flight."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from magpieshift.clock import TimerHandle
from magpieshift.engine.interfaces import Reply
from magpieshift.engine.model import ClientRequest, ListedEndpoint, UpstreamExchange
from magpieshift.policy.settings import RequestClass


class FirstExecution(NamedTuple):
    """The first attempt of a request that may have been executed."""

    started_us: int
    """When it was sent, in Unix microseconds."""
    endpoint: ListedEndpoint
    """Where it was sent, as listed then."""


class CancelledAttempt(NamedTuple):
    """An attempt that was cancelled after it was written."""

    exchange: UpstreamExchange
    endpoint_number: int
    """Where it was sent."""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client request. It stays in the table until its deadline, so that attempt numbers go on."""

    number: int
    """Its number in the policy's events and actions."""
    request: ClientRequest
    """What the client asked for; its body is released once the request is closed."""
    request_class: RequestClass
    """The class settings it was admitted under, whatever comes into force while it is open."""
    reply: Reply | None
    """Takes the final answer; None once the request is closed."""
    received_us: int
    """Unix microseconds."""
    deadline_us: int
    """Unix microseconds; an answer still owed then is given then."""
    before_write: Callable[[], None]
    """Called right before an attempt is written, to read what the client has sent by then."""
    owns_request_id: bool = False
    """Whether its id is reserved for it; no other open request may use the id."""
    is_admitted: bool = False
    """Whether the policy may decide on it; if not, its answer is on the way."""
    attempts_started: int = 0
    in_flight: list[Attempt] = field(default_factory=list)
    """Attempts not settled: two at most, and that only where hedged requests are allowed."""
    first_execution: FirstExecution | None = None
    cancelled_attempt: CancelledAttempt | None = None
    """The last one that was cancelled after it was written."""

    @property
    def is_closed(self) -> bool:
        """Whether it has its final answer, or its client has disconnected."""
        return self.reply is None


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight."""

    request: OpenRequest
    number: int
    """Counted from 0 within the request."""
    endpoint_number: int
    source_number: int
    """The endpoint that a miss is filled from; ``endpoint_number`` itself for no fill."""
    started_us: int
    """Unix microseconds."""
    endpoint: ListedEndpoint | None
    """As listed when the attempt began; None if it was not listed."""
    exchange: UpstreamExchange | None = None
    timer: TimerHandle | None = None
    """Fires when the attempt times out."""
