"""One edge router: creates and connects its parts, starts them and shuts them down."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from magpieshift import shutdown
from magpieshift.background_task import BackgroundTask
from magpieshift.clock import LoopClock
from magpieshift.config import Config, Document
from magpieshift.config_transaction import Part, Prepared, prepare, rejection_on_error
from magpieshift.discovery.changes import ChangeLog, ChangeSource
from magpieshift.discovery.client import ChangeLogClient
from magpieshift.discovery.replaced_processes import ReplacedProcesses
from magpieshift.downstream.server import DownstreamServer
from magpieshift.engine.engine import Engine
from magpieshift.engine.model import ClientRequest, ListedEndpoint
from magpieshift.engine.name_numbers import align_numbers
from magpieshift.lifecycle import Lifecycle, State
from magpieshift.limits import PROGRAM_BYTES, ResourceBudget, ResourceLimits, data_bytes
from magpieshift.log import fields
from magpieshift.memory_use import MemoryUse
from magpieshift.policy.events import EndpointListKind
from magpieshift.sockets import listen_socket, steer_to_second
from magpieshift.start_settings import StartSettings
from magpieshift.upstream.pool import ConnectionPool

if TYPE_CHECKING:
    from magpieshift.admin.server import AdminServer
    from magpieshift.process_lock import ProcessLock
    from magpieshift.shared_request_ids import SharedRequestIds

log = logging.getLogger(__name__)

NAME_NUMBERS_PART = "names"
"""Name under which operators are shown a document whose zones and kinds cannot be numbered."""
CATCH_UP_TIMEOUT_S = 1.5
"""How long a process that replaces another one waits for its change log before it accepts clients. A longer
timeout delays the replacement if the change log does not answer; with a shorter one it starts with an older
endpoint list."""
MAINTENANCE_INTERVAL_S = 0.5
"""Interval between checks for expired connections and other processes. A shorter one costs processor time."""
DRAINING_MAINTENANCE_INTERVAL_S = 0.1
"""Maintenance interval while draining, shorter because connections should be closed soon after they are
idle."""


def _connection_pool(
    document: Document, clock: LoopClock, budget: ResourceBudget, memory: MemoryUse
) -> ConnectionPool:
    return ConnectionPool(
        clock,
        document.names.report,
        document.settings.connect_timeout_us,
        document.idle_timeout_us,
        document.streams_per_connection,
        max_connections=budget.upstream_connections,
        may_probe=document.settings.can_check_health,
        memory=memory,
    )


def _downstream_server(
    engine: Engine, clock: LoopClock, budget: ResourceBudget, lifecycle: Lifecycle, memory: MemoryUse
) -> DownstreamServer:
    return DownstreamServer(
        engine, clock, engine.classes, budget.client_connections, budget.bytes_per_purpose, lifecycle, memory
    )


class EdgeRouter:
    """Owner of all parts of one router."""

    def __init__(self, config: Config) -> None:
        document = config.document
        self.document = document
        """The settings in force."""
        self.version = config.version
        """Version number of the settings in force; 0 if they have none."""
        self._known_changes = config.known_changes  # endpoint list and purges from the configuration
        clock = LoopClock()
        budget = ResourceBudget.of(document.limits)
        self._memory = MemoryUse(data_bytes(document.limits, PROGRAM_BYTES))
        self._pool = _connection_pool(document, clock, budget, self._memory)
        self.engine = Engine(
            document.settings,
            config.seed,
            clock,
            self._pool,
            budget.bytes_per_purpose,
            document.names,
            self._memory,
        )
        self.lifecycle = Lifecycle(clock.now_us)
        self.lifecycle.listeners.append(self._lifecycle_changed)
        self._downstream = _downstream_server(self.engine, clock, budget, self.lifecycle, self._memory)
        self.changes = ChangeLog(document.names, self)
        self._replaced_processes = ReplacedProcesses()
        self._change_log_client = ChangeLogClient(document.change_log_address, self.changes, config.seed)
        self.change_source: ChangeSource = self._change_log_client
        """The source of endpoint list changes and purges; may be replaced before the start."""
        self.commit_listeners: list[Callable[[Document, int], None]] = []
        """Called after each commit with the document and its version."""
        self.admin_commands: dict[str, Callable[[], str]] = {}
        """Admin commands of optional parts, by name; each returns its answer."""
        self.admin_commands_with_argument: dict[str, Callable[[str], str]] = {}
        """Admin commands that are passed the rest of the command line, by name."""
        self._limits = ResourceLimits(
            document.limits, self.engine, self._downstream, self._pool, self._memory
        )
        self._admin_server: AdminServer | None = None
        self._process_lock: ProcessLock | None = None
        self._shared_ids: SharedRequestIds | None = None
        self._shutdown_started = asyncio.Event()
        # The engine is last: its commit calls the policy, which may start attempts at once.
        self.parts: list[Part] = [
            StartSettings(document),
            self._change_log_client,
            self._pool,
            self._limits,
            self._downstream,
            self.engine,
        ]
        """The parts that a new document is applied to, in this order."""

    # --- changes from the change log

    def list_changed(self, kind: EndpointListKind, version: int, endpoints: Sequence[ListedEndpoint]) -> None:
        """Apply an endpoint list event; ``DELTA`` carries changes only, any other kind replaces the list."""
        endpoints = self._replaced_processes.apply(kind, endpoints)
        self.engine.list_changed(kind, version, endpoints)
        self._pool.list_changed(endpoints, is_complete=kind != EndpointListKind.DELTA)

    def purged(self, key: str, group: int, purged_us: int) -> None:
        """Record a purge of an object (16 hex digits), or of a group if the key is empty.

        ``purged_us`` is Unix microseconds.
        """
        self.engine.purged(key, group, purged_us)

    # --- settings

    async def prepare(self, document: Document) -> Prepared:
        """Have all parts prepare a document; raises ``PreparationError`` if one rejects it.

        Pass the result to ``commit`` before preparing another document.
        """
        with rejection_on_error(NAME_NUMBERS_PART):
            aligned = align_numbers(self.document, document)
        return await prepare(self.parts, self.document, aligned)

    def commit(self, prepared: Prepared, version: int) -> None:
        """Put a prepared document in force in one event loop iteration; requests and connections stay
        open."""
        self.document = prepared.document
        self.version = version
        prepared.commit()
        for listener in self.commit_listeners:
            try:
                listener(self.document, version)
            except Exception:  # the document is in force: it must be acknowledged, whatever a listener does
                log.exception("commit listener failed", extra=fields(version=version))

    def running(self) -> dict[str, dict[str, object]]:
        """The settings in force in each part, read from the part itself."""
        return {part.part: dict(part.running()) for part in self.parts}

    # --- load

    def offload_by(self, should_offload: Callable[[ClientRequest], bool] | None) -> None:
        """Set the function that selects requests to reject at once so that a neighbour serves them; None: no
        request."""
        self._downstream.should_offload = should_offload

    @property
    def pressure(self) -> float:
        """Utilization of the memory limits or the connection limit, whichever is higher; 1.0 is full."""
        downstream = self._downstream
        engine = self.engine
        memory = max(downstream.held_bytes, engine.held_body_bytes) / max(1, engine.max_body_bytes)
        memory = max(memory, self._memory.total_bytes / max(1, self._memory.limit_bytes))
        return max(memory, downstream.connection_count / max(1, downstream.max_connections))

    # --- start and shutdown

    def start(self) -> None:
        """Apply the known changes, start following the change log, and then listen for clients."""
        self._open()
        self._listen()

    async def run(self, started: Callable[[], None] = lambda: None) -> None:
        """Serve until ``stop``, then drain; ``started`` is called once the router serves."""
        maintenance = BackgroundTask("maintenance", self._maintain)
        maintenance.start()
        try:
            self._open()
            if self._process_lock is not None and self._process_lock.other_is_alive:
                caught_up = await self.change_source.caught_up(CATCH_UP_TIMEOUT_S)
                log.info(
                    "replacing another process",
                    extra=fields(caught_up=caught_up, seq=self.changes.last_sequence),
                )
            if self.is_shutting_down:  # stopped before accepting clients: nothing to drain
                maintenance.cancel()
                return self.close()
            self._listen()
        except BaseException:
            maintenance.cancel()
            self.close()
            raise
        started()
        await self._shutdown_started.wait()
        log.info("shutdown started", extra=fields(open=self.engine.open_requests))
        await shutdown.drain(self.engine, self._downstream, self.lifecycle, self._longest_deadline_s)
        maintenance.cancel()
        self.close()
        log.info("shutdown complete")
        return None

    def set_program_bytes(self, program_bytes: int) -> None:
        """Set how much memory the process takes before the router has clients.

        The rest of the memory limit is for requests. A program that is nothing but a router sets what it
        takes; where the router is embedded, the memory of the surrounding program does not count.
        """
        self._limits.set_program_bytes(program_bytes)

    def stop(self) -> None:
        """Start the planned shutdown; ``run`` returns when it is complete."""
        self.lifecycle.begin_shutdown()

    @property
    def is_shutting_down(self) -> bool:
        """Whether the planned shutdown has started."""
        return self.lifecycle.state == State.ENDING

    async def wait_for_shutdown(self) -> None:
        """Wait until the planned shutdown starts."""
        await self._shutdown_started.wait()

    def close(self) -> None:
        """Close all sockets, even if requests are open."""
        if self._admin_server is not None:
            self._admin_server.close()
        self._downstream.close_all()
        if self._process_lock is not None:
            self._process_lock.close()
            # A closed lock reports no other process. Membership calls check_other_process once more after
            # this and would conclude that no other process exists: both would then use the full limits.
            self._process_lock = None
        if self._shared_ids is not None:
            self._shared_ids.close()
        self.change_source.stop()
        self._pool.close_all()

    def check_other_process(self) -> None:
        """Check whether another process of this router is alive, with which the limits are shared."""
        if self._process_lock is not None:
            is_shared = self._process_lock.other_is_alive
            self._limits.set_shared(is_shared)
            if self._shared_ids is not None:
                self._shared_ids.set_shared(is_shared, self.engine.requests.protected_ids())
            self.lifecycle.replacement_serves = self._process_lock.other_is_serving

    def _open(self) -> None:
        """Start everything that must run before clients are accepted."""
        self.changes.apply_known(self._known_changes)
        self._known_changes = {}
        self.engine.flush()
        if self.document.admin_address is not None:
            from magpieshift.admin.server import AdminServer
            from magpieshift.process_lock import ProcessLock  # imported only if needed
            from magpieshift.shared_request_ids import SharedRequestIds

            self._shared_ids = self.engine.shared_ids = SharedRequestIds(self.document.listen)
            self._process_lock = ProcessLock(self.document.listen)
            self.check_other_process()
            self._admin_server = AdminServer(
                self.lifecycle, self.admin_commands, self.admin_commands_with_argument
            )
            self._admin_server.open(self.document.admin_address)
        self.change_source.start()

    def _listen(self) -> None:
        """Start accepting clients.

        A router with an admin address may replace another process or be replaced: both listen on the same
        address, and new connections go to the one started later.
        """
        listener = listen_socket(*self.document.listen, shared=self._process_lock is not None)
        if self._process_lock is not None and self._process_lock.other_is_alive:
            steer_to_second(listener)
        self._downstream.listen_on(listener)
        self.lifecycle.start_completed()

    def _lifecycle_changed(self, state: State) -> None:
        if self._process_lock is not None:
            self._process_lock.set_serving(state == State.SERVING)
        self.check_other_process()
        if state == State.SERVING:
            pairs = {"version": self.version} if self.version else {}
            log.info("ready", extra=fields(name=self.document.name, seq=self.changes.last_sequence, **pairs))
        if self.lifecycle.is_draining:
            log.info("emptying", extra=fields(state=state.value, open=self.engine.open_requests))
            self._downstream.send_go_away()
        if state == State.ENDING:
            self._shutdown_started.set()

    async def _maintain(self) -> None:
        while True:
            is_draining = self.lifecycle.is_draining
            await asyncio.sleep(DRAINING_MAINTENANCE_INTERVAL_S if is_draining else MAINTENANCE_INTERVAL_S)
            self._pool.close_expired()
            self._downstream.close_expired()
            self.check_other_process()

    def _longest_deadline_s(self) -> float:
        return max(each.deadline_us for each in self.document.settings.classes) / 1e6
