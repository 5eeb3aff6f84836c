"""Divides the configured resource limits among a router's parts, and between two processes of one router."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import dataclass

from magpieshift.config import Document, Limits
from magpieshift.downstream.server import DownstreamServer
from magpieshift.engine.engine import Engine
from magpieshift.log import fields
from magpieshift.memory_use import MemoryUse
from magpieshift.upstream.codec import MAX_BODY_BYTES
from magpieshift.upstream.pool import ConnectionPool

log = logging.getLogger(__name__)

RESERVED_DESCRIPTORS = 48
"""File descriptors reserved for the listener, the change log, the log, the event loop and closing sockets."""
EXTRA_CLIENT_CONNECTIONS = 24
"""Client connections allowed beyond a third of the sockets. Clients open no more than that third, but a new
connection may be accepted before the close of an old one is noticed."""
MEMORY_PURPOSES = 4
"""Number of equal parts of the memory limit: data held for clients, writes, answers, and the program
itself."""
MIN_UPSTREAM_CONNECTIONS = 16
"""Lower bound on upstream connections, however little memory there is: fewer would leave endpoints
unreached."""

PROGRAM_BYTES = 28 << 20
"""Memory of the program itself where it is not measured."""
CLIENT_CONNECTION_BYTES = 9 << 10
"""Memory of one idle client connection."""
GROWTH_FRACTION = 1 / 16
"""Fraction of the memory limit for tables that grow while the router runs."""
ALLOCATION_FACTOR = 1.25
"""Memory that the process takes for each byte that is held, as freed memory is not all returned."""
MIN_DATA_FRACTION = 1 / 16
"""Fraction of the memory limit that may be held for requests however much the program takes: a router that
may hold nothing serves nobody."""


@dataclass(frozen=True)
class ResourceBudget:
    """The resources that one process may use."""

    client_connections: int
    upstream_connections: int
    bytes_per_purpose: int
    """Limit in bytes, each, for data held for clients, for writes and for answers."""

    @classmethod
    def of(cls, limits: Limits, shared: bool = False) -> ResourceBudget:
        """The budget of a single process, or with ``shared`` of each of two processes."""
        processes = 2 if shared else 1
        quarter = limits.memory_mb * (1 << 20) / MEMORY_PURPOSES
        # Each process needs a full quarter for the program itself; only the rest is divided between
        # processes.
        part = int(quarter * (MEMORY_PURPOSES - processes) / (MEMORY_PURPOSES - 1) / processes)
        # A third of the sockets is for clients. It is not halved, as both processes serve the same clients.
        # The rest is for endpoints, limited by the memory for their answers.
        clients = limits.sockets // 3 + EXTRA_CLIENT_CONNECTIONS
        upstream = (limits.sockets - clients - RESERVED_DESCRIPTORS) // processes
        return cls(clients, min(upstream, max(MIN_UPSTREAM_CONNECTIONS, part // MAX_BODY_BYTES)), part)

    def by_name(self) -> dict[str, int]:
        """The budget under the names that operators see and that ``running`` uses."""
        return {
            "clients": self.client_connections,
            "stores": self.upstream_connections,
            "bytes_each": self.bytes_per_purpose,
        }


def data_bytes(limits: Limits, program_bytes: int, shared: bool = False) -> int:
    """How much one process may hold for requests, beyond the program itself.

    ``program_bytes`` is what the program takes before it has clients. Room for the connections that clients
    may open, for tables that grow and for gaps between allocations is set aside.
    """
    processes = 2 if shared else 1
    total_bytes = int(limits.memory_mb * (1 << 20))
    clients = ResourceBudget.of(limits, shared).client_connections
    reserved_bytes = program_bytes * processes + clients * CLIENT_CONNECTION_BYTES
    free_bytes = total_bytes * (1 - GROWTH_FRACTION) - reserved_bytes
    return int(max(free_bytes / ALLOCATION_FACTOR, total_bytes * MIN_DATA_FRACTION) / processes)


class ResourceLimits:
    """The part that applies the resource limits to the other parts."""

    part = "limits"
    """Name of this part in a configuration transaction."""

    def __init__(
        self,
        limits: Limits,
        engine: Engine,
        downstream: DownstreamServer,
        upstream: ConnectionPool,
        memory: MemoryUse,
    ) -> None:
        self._limits = limits
        self._memory = memory
        self._program_bytes = PROGRAM_BYTES
        self._shared = False  # whether another process of this router is alive
        self._engine = engine
        self._downstream = downstream
        self._upstream = upstream

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Prepare a new document; returns the function that commits it."""

        def commit() -> None:
            self._limits = new.limits
            self._apply()

        return commit

    def set_program_bytes(self, program_bytes: int) -> None:
        """Set how much memory the program itself takes."""
        self._program_bytes = program_bytes
        self._apply()

    def set_shared(self, shared: bool) -> None:
        """Set whether the limits are shared with another process of this router."""
        if shared != self._shared:
            self._shared = shared
            self._engine.set_sibling_processes(int(shared))
            budget = self._apply().by_name()
            log.info(
                "limits shared with another process" if shared else "limits no longer shared",
                extra=fields(**budget),
            )

    def running(self) -> dict[str, object]:
        """The limits in force, read from the parts themselves; ``bytes_each`` is -1 if they differ."""
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
        self._memory.limit_bytes = data_bytes(self._limits, self._program_bytes, self._shared)
        return budget
