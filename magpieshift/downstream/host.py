"""What a client's connection needs of the server that owns it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from magpieshift.clock import LoopClock
from magpieshift.engine.engine import Engine
from magpieshift.engine.model import ClientRequest
from magpieshift.lifecycle import Lifecycle


class ConnectionHost(Protocol):
    """The server, as its connections see it."""

    engine: Engine
    clock: LoopClock
    lifecycle: Lifecycle
    class_numbers: Mapping[str, int]
    """The number of each class that a request may name."""

    @property
    def rejects_requests(self) -> bool:
        """Whether new requests are rejected at once."""
        ...

    def offloads(self, request: ClientRequest) -> bool:
        """Whether a request is a neighbour's to take, and is rejected here."""
        ...

    def account_held_bytes(self, change: int) -> None:
        """Count bytes that are held for clients; may close connections."""
        ...
