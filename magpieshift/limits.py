"""How the machine's limits are shared among the parts of a router, and with another process of it."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from magpieshift.config import Document, Limits
from magpieshift.downstream.server import DownstreamServer
from magpieshift.engine.engine import Engine
from magpieshift.log import fields
from magpieshift.upstream.codec import MAX_BODY_BYTES
from magpieshift.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)

RESERVED_DESCRIPTORS = 48
"""For the listener, the change log, the log, the event loop and what is closing."""
EXTRA_CLIENT_CONNECTIONS = 24
"""Clients keep to a third of the sockets, but a new one may be seen before an old one is seen to go."""
MEMORY_PURPOSES = 4
"""A quarter of the memory each for what is held for clients, for writes, for answers, and for the program."""
MIN_UPSTREAM_CONNECTIONS = 16
"""However little memory there is. Fewer connections leave endpoints unreached."""


@dataclass(frozen=True)
class ResourceBudget:
    """What one process may use."""

    client_connections: int
    upstream_connections: int
    bytes_per_purpose: int
    """Each for what is held for clients, of writes, and of answers."""

    @classmethod
    def of(cls, limits: Limits, shared: bool = False) -> ResourceBudget:
        """The budget of one process alone, or of each of two that share the limits."""
        processes = 2 if shared else 1
        quarter = limits.memory_mb * (1 << 20) / MEMORY_PURPOSES
        # Each process needs its program's quarter in full; the processes divide up what is left.
        part = int(quarter * (MEMORY_PURPOSES - processes) / (MEMORY_PURPOSES - 1) / processes)
        # Clients come to both from the same third; the rest is for endpoints, if there is memory for answers.
        clients = limits.sockets // 3 + EXTRA_CLIENT_CONNECTIONS
        upstream = (limits.sockets - clients - RESERVED_DESCRIPTORS) // processes
        return cls(clients, min(upstream, max(MIN_UPSTREAM_CONNECTIONS, part // MAX_BODY_BYTES)), part)

    def by_name(self) -> dict[str, int]:
        """The budget under the names that operators are shown and that processes compare."""
        return {
            "clients": self.client_connections,
            "stores": self.upstream_connections,
            "bytes_each": self.bytes_per_purpose,
        }


class ResourceLimits:
    """The part that applies the limits to the other parts."""

    part = "limits"
    """Its name among the parts that take a new document."""

    def __init__(
        self, limits: Limits, engine: Engine, downstream: DownstreamServer, upstream: ConnectionPool
    ) -> None:
        self._limits = limits
        self._shared = False  # whether another process of this router is alive
        self._engine = engine
        self._downstream = downstream
        self._upstream = upstream

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Make ready for a new document; returns its commit."""

        def commit() -> None:
            self._limits = new.limits
            self._apply()

        return commit

    def set_shared(self, shared: bool) -> None:
        """Another process of this router has come, or gone."""
        if shared != self._shared:
            self._shared = shared
            self._engine.set_sibling_processes(int(shared))
            shown = self._apply().by_name()
            log.info("limits shared" if shared else "limits not shared", extra=fields(**shown))

    def running(self) -> dict[str, object]:
        """The limits in force, read from the parts themselves; ``bytes_each`` is -1 where they disagree."""
        is_consistent = self._engine.max_body_bytes == self._downstream.max_held_bytes
        held_bytes = self._engine.max_body_bytes if is_consistent else -1
        return {
            "clients": self._downstream.max_connections,
            "stores": self._upstream.max_connections,
            "bytes_each": held_bytes,
        }

    def _apply(self) -> ResourceBudget:
        budget = ResourceBudget.of(self._limits, self._shared)
        self._upstream.max_connections = budget.upstream_connections
        self._downstream.max_connections = budget.client_connections
        self._downstream.max_held_bytes = budget.bytes_per_purpose
        self._engine.max_body_bytes = budget.bytes_per_purpose
        return budget
