"""One edge router: the wiring, start and end of its parts."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence
from typing import TYPE_CHECKING

from magpieshift import shutdown
from magpieshift.clock import LoopClock
from magpieshift.config import Config, Document
from magpieshift.config_transaction import Part, Prepared, prepare
from magpieshift.discovery.changes import ChangeLog, ChangeSource
from magpieshift.discovery.client import ChangeLogClient
from magpieshift.downstream.server import DownstreamServer
from magpieshift.engine.engine import Engine
from magpieshift.engine.model import ClientRequest, ListedEndpoint
from magpieshift.engine.name_numbers import align_numbers
from magpieshift.lifecycle import Lifecycle, State
from magpieshift.limits import ResourceBudget, ResourceLimits
from magpieshift.log import fields
from magpieshift.policy.events import EndpointListKind
from magpieshift.sockets import listen_socket, steer_to_second
from magpieshift.start_settings import StartSettings
from magpieshift.upstream.pool import ConnectionPool

if TYPE_CHECKING:
    from magpieshift.admin.server import AdminServer
    from magpieshift.process_lock import ProcessLock

log = logging.getLogger(__name__)

CATCH_UP_TIMEOUT_S = 1.5
"""For the change log before clients are taken, where another process serves meanwhile.
Longer delays a replacement whose change log does not answer, shorter starts it on an older endpoint list."""
MAINTENANCE_INTERVAL_S = 0.5
"""Between two rounds that close idle connections. More often costs processor time."""
DRAINING_MAINTENANCE_INTERVAL_S = 0.1
"""The same while draining, where connections that have become idle are to be closed soon."""


def _connection_pool(document: Document, clock: LoopClock, budget: ResourceBudget) -> ConnectionPool:
    return ConnectionPool(
        clock,
        document.names.report,
        document.settings.connect_timeout_us,
        document.idle_timeout_us,
        document.streams_per_connection,
        max_connections=budget.upstream_connections,
        may_probe=document.settings.can_check_health,
    )


def _downstream_server(
    engine: Engine, clock: LoopClock, budget: ResourceBudget, lifecycle: Lifecycle
) -> DownstreamServer:
    return DownstreamServer(
        engine, clock, engine.classes, budget.client_connections, budget.bytes_per_purpose, lifecycle
    )


class EdgeRouter:
    """Owner of all the parts of one router."""

    def __init__(self, config: Config) -> None:
        document = config.document
        self.document = document
        """The settings in force."""
        self.version = config.version
        """Version number of the settings in force; 0 where they have none."""
        self._known_changes = (
            config.known_changes
        )  # the endpoint list and purges that the configuration brings
        clock = LoopClock()
        budget = ResourceBudget.of(document.limits)
        self._pool = _connection_pool(document, clock, budget)
        self.engine = Engine(
            document.settings, config.seed, clock, self._pool, budget.bytes_per_purpose, document.names
        )
        self.lifecycle = Lifecycle(clock.now_us)
        self.lifecycle.listeners.append(self._lifecycle_changed)
        self._downstream = _downstream_server(self.engine, clock, budget, self.lifecycle)
        self.changes = ChangeLog(document.names, self)
        self._change_log_client = ChangeLogClient(document.change_log_address, self.changes, config.seed)
        self.change_source: ChangeSource = self._change_log_client
        """Where changes come from; another may take its place before the start."""
        self.commit_listeners: list[Callable[[Document, int], None]] = []
        """Called with each document put in force and its version."""
        self.admin_commands: dict[str, Callable[[], str]] = {}
        """Admin commands of optional parts; each returns its answer."""
        self.admin_commands_with_argument: dict[str, Callable[[str], str]] = {}
        """The same of commands that take the rest of the line."""
        self._limits = ResourceLimits(document.limits, self.engine, self._downstream, self._pool)
        self._admin_server: AdminServer | None = None
        self._process_lock: ProcessLock | None = None
        self._shutdown_started = asyncio.Event()
        # The engine comes last: its commit enters the policy, which may send at once.
        self.parts: list[Part] = [
            StartSettings(document),
            self._change_log_client,
            self._pool,
            self._limits,
            self._downstream,
            self.engine,
        ]
        """All that take a new document, in the order in which they do."""

    # --- what the change log says

    def list_changed(self, kind: EndpointListKind, version: int, endpoints: Sequence[ListedEndpoint]) -> None:
        """Endpoints have come, changed or gone; all but a ``DELTA`` is the complete list."""
        self.engine.list_changed(kind, version, endpoints)
        self._pool.list_changed(endpoints, is_complete=kind != EndpointListKind.DELTA)

    def purged(self, key: str, group: int, purged_us: int) -> None:
        """An object (16 hex digits), or with no key a group, was purged at this Unix microsecond."""
        self.engine.purged(key, group, purged_us)

    # --- settings

    async def prepare(self, document: Document) -> Prepared:
        """Have all parts make ready for a document; ``PreparationError`` where one rejects it.

        What it returns is for ``commit``, before any other document is prepared.
        """
        return await prepare(self.parts, self.document, align_numbers(self.document, document))

    def commit(self, prepared: Prepared, version: int) -> None:
        """Put a document in force, in one turn of the event loop, dropping nothing that is open."""
        self.document = prepared.document
        self.version = version
        prepared.commit()
        for listener in self.commit_listeners:
            listener(self.document, version)

    def running(self) -> dict[str, dict[str, object]]:
        """The settings that each part runs on, read from the part itself."""
        return {part.part: dict(part.running()) for part in self.parts}

    # --- load

    def offload_by(self, should_offload: Callable[[ClientRequest], bool] | None) -> None:
        """Reject at once the requests that a neighbour is to take, as this function says; None for none."""
        self._downstream.should_offload = should_offload

    @property
    def pressure(self) -> float:
        """How full the memory held for clients or their connections are, whichever is fuller; 1.0 is full."""
        downstream = self._downstream
        engine = self.engine
        memory = max(downstream.held_bytes, engine.held_body_bytes) / max(1, engine.max_body_bytes)
        return max(memory, downstream.connection_count / max(1, downstream.max_connections))

    # --- start and end

    def start(self) -> None:
        """Apply what is known, follow the change log, listen, and only then be ready."""
        self._open()
        self._listen()

    async def run(self, started: Callable[[], None] = lambda: None) -> None:
        """Serve until ``stop``, then drain; ``started`` is called once it serves."""
        maintenance = asyncio.ensure_future(self._maintain())
        try:
            self._open()
            if self._process_lock is not None and self._process_lock.other_is_alive:
                caught_up = await self.change_source.caught_up(CATCH_UP_TIMEOUT_S)
                log.info(
                    "replacing another process",
                    extra=fields(caught_up=caught_up, seq=self.changes.last_sequence),
                )
            if self.is_shutting_down:  # stopped before it took anything, so nothing is owed
                maintenance.cancel()
                return self.close()
            self._listen()
        except BaseException:
            maintenance.cancel()
            self.close()
            raise
        started()
        await self._shutdown_started.wait()
        log.info("draining", extra=fields(open=self.engine.open_requests))
        await shutdown.drain(self.engine, self._downstream, self.lifecycle, self._longest_deadline_s)
        maintenance.cancel()
        self.close()
        log.info("ended")
        return None

    def stop(self) -> None:
        """Begin the planned shutdown; ``run`` returns when all that was taken is answered."""
        self.lifecycle.begin_shutdown()

    @property
    def is_shutting_down(self) -> bool:
        """Whether the planned shutdown has begun."""
        return self.lifecycle.state == State.ENDING

    async def wait_for_shutdown(self) -> None:
        """Wait for the planned shutdown to begin."""
        await self._shutdown_started.wait()

    def close(self) -> None:
        """Release every socket, whatever is open."""
        if self._admin_server is not None:
            self._admin_server.close()
        self._downstream.close_all()
        if self._process_lock is not None:
            self._process_lock.close()
            # A closed lock knows of no other process; membership, which checks once more after this, would
            # take that for being alone again, and both processes would use the whole limits.
            self._process_lock = None
        self.change_source.stop()
        self._pool.close_all()

    def check_other_process(self) -> None:
        """See whether another process of this router is alive: it has its part of the limits."""
        if self._process_lock is not None:
            self._limits.set_shared(self._process_lock.other_is_alive)
            self.lifecycle.replacement_serves = self._process_lock.other_is_serving

    def _open(self) -> None:
        """Bring up all that comes before clients do."""
        self.changes.apply_known(self._known_changes)
        self._known_changes = {}
        self.engine.flush()
        if self.document.admin_address is not None:
            from magpieshift.admin.server import AdminServer
            from magpieshift.process_lock import ProcessLock  # only where they are used

            self._process_lock = ProcessLock(self.document.listen)
            self.check_other_process()
            self._admin_server = AdminServer(
                self.lifecycle, self.admin_commands, self.admin_commands_with_argument
            )
            self._admin_server.open(self.document.admin_address)
        self.change_source.start()

    def _listen(self) -> None:
        """Take clients.

        A router with an admin address may replace another process, and be replaced: both listen, and new
        connections go to the later one.
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
