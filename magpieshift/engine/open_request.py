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
    """Records the first attempt of a request that may have been executed."""

    started_us: int
    """When the attempt was started, in Unix microseconds."""
    endpoint: ListedEndpoint
    """The endpoint, as listed when the attempt was started."""


class CancelledAttempt(NamedTuple):
    """An attempt that was cancelled after it was written."""

    exchange: UpstreamExchange
    endpoint_number: int
    """The policy's number of the endpoint that it was sent to."""


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A client request, open or just closed."""

    number: int
    """Its number in the policy's events and actions."""
    request: ClientRequest
    """The request as submitted; its body is released when the request is closed."""
    request_class: RequestClass
    """The class settings at admission; later documents do not change them."""
    reply: Reply | None
    """Receives the final answer; None once the request is closed."""
    received_us: int
    """Unix microseconds."""
    deadline_us: int
    """Unix microseconds; a request still open at this time gets the fallback answer."""
    before_write: Callable[[], None]
    """Called right before an attempt is written, to read a disconnect or cancellation already received."""
    deadline_timer: TimerHandle | None = None
    """Fires at the deadline; None once the request is closed."""
    owns_request_id: bool = False
    """Whether it has reserved its request id, which no other open request may then use."""
    is_admitted: bool = False
    """Whether it may be passed to the policy; if not, its rejection or failure is already scheduled."""
    attempts_started: int = 0
    in_flight: list[Attempt] = field(default_factory=list)
    """Attempts not settled yet: at most one, or two where hedged requests are allowed."""
    first_execution: FirstExecution | None = None
    cancelled_attempt: CancelledAttempt | None = None
    """The last attempt that was cancelled after it was written."""

    @property
    def is_closed(self) -> bool:
        """Whether it has been answered, or its client has disconnected."""
        return self.reply is None


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt in flight."""

    request: OpenRequest
    number: int
    """Counted from 0 within the request."""
    endpoint_number: int
    source_number: int
    """The endpoint that the cache fills a miss from; equal to ``endpoint_number`` if no fill is requested."""
    started_us: int
    """Unix microseconds."""
    endpoint: ListedEndpoint | None
    """As listed when the attempt was started; None if it was not listed."""
    exchange: UpstreamExchange | None = None
    timer: TimerHandle | None = None
    """Fires when the attempt times out."""
