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

    def offloads(self, request: ClientRequest) -> bool:
        """Whether this request is to be rejected so that the client retries at a neighbour router."""
        ...

    def account_held_bytes(self, change: int) -> None:
        """Add to the number of bytes held for all clients; may close connections to limit it."""
        ...
