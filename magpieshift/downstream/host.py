"""The interface of the downstream server that clients' connections use."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from magpieshift.clock import LoopClock
from magpieshift.engine.engine import Engine
from magpieshift.engine.model import ClientRequest
from magpieshift.lifecycle import Lifecycle


class ConnectionHost(Protocol):
    """The server that owns a connection."""

    engine: Engine
    clock: LoopClock
    lifecycle: Lifecycle
    class_numbers: Mapping[str, int]
    """The number of each class that a request may name."""

    @property
    def rejects_requests(self) -> bool:
        """Whether new requests are rejected because the router drains."""
        ...

    def may_accept(self, body_bytes: int, open_requests: int, has_unsent: bool) -> bool:
        """Whether there is memory for a request with a body of this size, from a client with this many open
        requests; ``has_unsent`` is whether it has yet to receive earlier responses."""
        ...

    def may_begin(self, size: int) -> bool:
        """Whether a response of this size may begin to be sent, after which it cannot be released."""
        ...

    def offloads(self, request: ClientRequest) -> bool:
        """Whether this request is to be rejected so that the client retries at a neighbour router."""
        ...

    def account_held_bytes(self, change: int) -> None:
        """Add to the number of bytes held for all clients; may replace responses to limit it."""
        ...

    def account_begun_bytes(self, change: int) -> None:
        """Add to the number of unsent bytes of all clients that have begun to be sent."""
        ...
