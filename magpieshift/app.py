"""Wiring, readiness and shutdown: one edge router, to be embedded or run by ``python -m magpieshift``."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import os
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from magpieshift.clock import LoopClock
from magpieshift.config import Config, ConfigError, Document, Limits, load, settings_by_name, shown_membership
from magpieshift.config_transaction import Part, PreparationFailed, Prepared, SettingsRejected, prepare
from magpieshift.discovery.changes import ChangeLog, ChangeSource
from magpieshift.discovery.client import ChangeLogClient
from magpieshift.downstream.server import DownstreamServer
from magpieshift.engine.engine import Engine
from magpieshift.engine.model import ClientRequest, ListedEndpoint
from magpieshift.engine.numbers import aligned
from magpieshift.lifecycle import LAST_CALL_US, Lifecycle, State
from magpieshift.log import fields, setup
from magpieshift.policy.events import EndpointListKind
from magpieshift.sockets import LINGER_S, listen_socket, steer_to_second
from magpieshift.upstream.codec import MAX_BODY_BYTES
from magpieshift.upstream.pool import ConnectionPool

if TYPE_CHECKING:
    from magpieshift.admin.server import AdminServer
    from magpieshift.process_lock import ProcessLock

log = logging.getLogger(__name__)

RESERVED = 48  # descriptors for the listener, the change log, the log, the event loop and what is closing
SLACK = 24  # clients keep to a third, but we may see one come before we see another go
DRAIN_S = 0.8  # new connections come for 0.4 s after SIGTERM, and requests on open ones for 0.2 s more
LAST_S = 0.55  # what is open so long after the longest wait is answered as it is; SIGKILL comes 0.15 s later
CLOSE_S = 0.1  # in which all connections are closed then, without destroying what was written on them
CATCH_UP_S = 1.5  # for the change log, where another process serves as long as it takes
LONGEST_WAIT_S = 3.0  # however long clients wait
TIDY_S = 0.5
EMPTYING_TIDY_S = 0.1
MEMORY_PARTS = 4  # a quarter each for what is held for clients, for writes, for answers, and for the program


class Bounds(NamedTuple):
    """How the limits are shared out."""

    clients: int  # connections
    stores: int
    bytes_each: int  # held for clients, of writes, of answers

    @classmethod
    def of(cls, limits: Limits, sharing: bool = False) -> Bounds:
        """What one process may use; where two share the limits, what each of them may."""
        processes = 2 if sharing else 1
        quarter = limits.memory_mb * (1 << 20) / MEMORY_PARTS
        part = int(quarter * (MEMORY_PARTS - processes) / (MEMORY_PARTS - 1) / processes)
        # clients come to both from the same third; the rest is for stores, if there is memory for answers
        clients = limits.sockets // 3 + SLACK
        stores = (limits.sockets - clients - RESERVED) // processes
        return cls(clients, min(stores, max(16, part // MAX_BODY_BYTES)), part)


class _AtStart:
    """What cannot change while the router runs: a document that changes it is turned down."""

    part = "start"

    def __init__(self, document: Document) -> None:
        self._fixed = self._of(document)

    @staticmethod
    def _of(document: Document) -> dict[str, object]:
        door = document.console
        return {
            "name": document.name,
            "listen": list(document.listen),
            "console": list(door) if door else None,
            "members": shown_membership(document.members) if document.members else None,
        }

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        for what, wanted in self._of(new).items():
            if (now := self._fixed[what]) != wanted:
                raise SettingsRejected(
                    f"{what} is {now} and cannot become {wanted} without a restart", at_start=True
                )
        return lambda: None

    def running(self) -> dict[str, object]:
        return self._fixed


class _Limits:
    """The part that shares the machine's limits out among the others."""

    part = "limits"

    def __init__(self, limits: Limits, engine: Engine, front: DownstreamServer, pool: ConnectionPool) -> None:
        self._limits = limits
        self._sharing = False
        self._engine = engine
        self._front = front
        self._pool = pool

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        def commit() -> None:
            self._limits = new.limits
            self._apply()

        return commit

    def share(self, sharing: bool) -> None:
        """Another process of this router has come, or gone."""
        if sharing != self._sharing:
            self._sharing = sharing
            self._engine.set_sibling_processes(int(sharing))
            log.info("limits shared" if sharing else "limits not shared", extra=fields(**self._apply()))

    def _apply(self) -> dict[str, int]:
        bounds = Bounds.of(self._limits, self._sharing)
        self._pool.max_connections = bounds.stores
        self._front.max_connections = bounds.clients
        self._engine.max_body_bytes = self._front.max_held_bytes = bounds.bytes_each
        return bounds._asdict()

    def running(self) -> dict[str, object]:
        held = (
            self._engine.max_body_bytes if self._engine.max_body_bytes == self._front.max_held_bytes else -1
        )
        return {
            "clients": self._front.max_connections,
            "stores": self._pool.max_connections,
            "bytes_each": held,
        }


def expected(document: Document) -> dict[str, dict[str, object]]:
    """What the parts of a router that runs on this document say of themselves (``EdgeRouter.running``)."""
    bounds = Bounds.of(document.limits)
    settings = document.settings
    names = document.names
    classes = dict(zip(names.classes, settings.classes, strict=True))
    return {
        "start": _AtStart(document).running(),
        "engine": settings_by_name(settings, names, classes),
        "front": {"classes": sorted(names.classes)},
        "back": {
            "report": list(settings.load_report_columns),
            "connect_timeout_us": settings.connect_timeout_us,
            "streams": document.streams_per_connection,
            "idle_us": document.idle_us,
        },
        "feed": {
            "address": list(document.changelog),
            "zones": sorted(names.zones),
            "kinds": sorted(names.kinds),
        },
        "limits": {"clients": bounds.clients, "stores": bounds.stores, "bytes_each": bounds.bytes_each},
    }


class EdgeRouter:
    """Owner of all the parts of one router."""

    def __init__(self, config: Config) -> None:
        self._known = config.known
        document = config.document
        self.document = document
        self.version = config.version
        clock = LoopClock()
        bounds = Bounds.of(document.limits)
        self._pool = ConnectionPool(
            clock,
            document.names.report,
            document.settings.connect_timeout_us,
            document.idle_us,
            document.streams_per_connection,
            max_connections=bounds.stores,
        )
        self.engine = Engine(
            document.settings, config.seed, clock, self._pool, bounds.bytes_each, document.names
        )
        self.lifecycle = Lifecycle(clock.now_us)
        self.lifecycle.watchers.append(self._changed)
        self._front = DownstreamServer(
            self.engine, clock, self.engine.classes, bounds.clients, bounds.bytes_each, self.lifecycle
        )
        self._door: AdminServer | None = None
        self.changes = ChangeLog(document.names, self)
        self._feed = ChangeLogClient(document.changelog, self.changes, config.seed)
        self.change_source: ChangeSource = self._feed  # another may take its place before the start
        self._stopping = asyncio.Event()
        self._limits = _Limits(document.limits, self.engine, self._front, self._pool)
        self._claim: ProcessLock | None = None
        self.committed: list[Callable[[Document, int], None]] = []  # told of each document put in force
        self.calls: dict[str, Callable[[], str]] = {}  # what optional parts answer at the door
        self.worded: dict[str, Callable[[str], str]] = {}  # the same, of calls with something behind the word
        # the engine last but one: it enters the module, which may send at once
        self.parts: list[Part] = [
            _AtStart(document),
            self._feed,
            self._pool,
            self._limits,
            self._front,
            self.engine,
        ]

    def list_changed(self, kind: EndpointListKind, version: int, members: Sequence[ListedEndpoint]) -> None:
        """Stores have come, changed or gone; all but a ``DELTA`` is the whole list."""
        self.engine.list_changed(kind, version, members)
        self._pool.list_changed(members, is_complete=kind != EndpointListKind.DELTA)

    def purged(self, key: str, group: int, made_us: int) -> None:
        """An object (16 hex digits), or with no key a group, was purged at this Unix microsecond."""
        self.engine.purged(key, group, made_us)

    def start(self) -> None:
        """Apply what is known, follow the change log, listen, and only then be ready."""
        self._open()
        self._listen()

    def _open(self) -> None:
        """All that comes before clients do."""
        self.changes.apply_known(self._known)
        self._known = {}
        self.engine.flush()
        if self.document.console is not None:
            from magpieshift.admin.server import AdminServer
            from magpieshift.process_lock import ProcessLock  # only where they are used

            self._claim = ProcessLock(self.document.listen)
            self.look_round()
            self._door = AdminServer(self.lifecycle, self.calls, self.worded)
            self._door.open(self.document.console)
        self.change_source.start()

    def _listen(self) -> None:
        """Take clients. Where operators can ask for us, we may replace another process, and be replaced: both
        listen, and what comes new is the later one's."""
        listener = listen_socket(*self.document.listen, shared=self._claim is not None)
        if self._claim is not None and self._claim.another_lives:
            steer_to_second(listener)
        self._front.listen_on(listener)
        self.lifecycle.served()

    def stop(self) -> None:
        """Begin a planned end; ``run`` returns when all that was taken is answered."""
        self.lifecycle.end()

    def _changed(self, state: State) -> None:
        """The lifecycle went on."""
        if self._claim is not None:
            self._claim.serve(state == State.SERVING)
        self.look_round()
        if state == State.SERVING:
            pairs = {"version": self.version} if self.version else {}
            log.info("ready", extra=fields(name=self.document.name, seq=self.changes.last_sequence, **pairs))
        if self.lifecycle.emptying:
            log.info("emptying", extra=fields(state=state.value, open=self.engine.open_requests))
            self._front.send_go_away()
        if state == State.ENDING:
            self._stopping.set()

    def relieve(self, handed_over: Callable[[ClientRequest], bool] | None) -> None:
        """Have clients whose requests are a neighbour's to take turned away at once, by what this says."""
        self._front.should_offload = handed_over

    @property
    def pressed(self) -> float:
        """How much of what may be held for clients and of their connections is in use: the larger part."""
        front = self._front
        engine = self.engine
        held = max(front.held_bytes, engine.held_body_bytes) / max(1, engine.max_body_bytes)
        return max(held, front.connection_count / max(1, front.max_connections))

    def running(self) -> dict[str, dict[str, object]]:
        """The figures that each part runs on, read from the part itself."""
        return {part.part: dict(part.running()) for part in self.parts}

    async def prepare(self, document: Document) -> Prepared:
        """Let all parts make ready for a document; ``PreparationFailed`` where one rejects it. What comes
        back is for ``commit``, before any other document is prepared."""
        return await prepare(self.parts, self.document, aligned(self.document, document))

    def commit(self, prepared: Prepared, version: int) -> None:
        """Put a document in force, in one turn of the event loop, letting go of nothing that is open."""
        self.document = prepared.document
        self.version = version
        prepared.commit()
        for told in self.committed:
            told(self.document, version)

    @property
    def ending(self) -> bool:
        """Whether the planned end has begun."""
        return self.lifecycle.state == State.ENDING

    async def stopping(self) -> None:
        """Wait for the planned end to begin."""
        await self._stopping.wait()

    async def run(self, started: Callable[[], None] = lambda: None) -> None:
        """Serve until ``stop``, then drain; ``started`` is called once it serves."""
        tidying = asyncio.ensure_future(self._tidy())
        try:
            self._open()
            if self._claim is not None and self._claim.another_lives:
                told = await self.change_source.caught_up(CATCH_UP_S)
                log.info(
                    "replacing another process", extra=fields(caught_up=told, seq=self.changes.last_sequence)
                )
            if self.ending:  # it was told to before it took anything: nothing is owed
                tidying.cancel()
                return self.close()
            self._listen()
        except BaseException:
            tidying.cancel()
            self.close()
            raise
        started()
        await self._stopping.wait()
        log.info("draining", extra=fields(open=self.engine.open_requests))
        await asyncio.sleep(LAST_CALL_US / 1e6)
        self._front.send_go_away()
        if self.lifecycle.replaced:
            self._front.stop_listening()
        await asyncio.sleep(DRAIN_S - LAST_CALL_US / 1e6)
        waits_s = max(cls.deadline_us for cls in self.document.settings.classes) / 1e6
        end = asyncio.get_running_loop().time() + min(waits_s, LONGEST_WAIT_S) + LAST_S - DRAIN_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(end):
                while self.engine.open_requests or self._front.has_unsent:
                    await asyncio.sleep(0.01)
        self.engine.answer_all()
        # what comes from here on is answered at once, and all that rests is closed
        left_s = end - asyncio.get_running_loop().time()
        await self._front.shut_down(min(max(left_s, 0.0) + CLOSE_S, LINGER_S))
        tidying.cancel()
        self.close()
        log.info("ended")

    def close(self) -> None:
        """Give back every socket, whatever is open."""
        if self._door is not None:
            self._door.close()
        self._front.close_all()
        if self._claim is not None:
            self._claim.close()
            self._claim = None  # it knows of nobody now: what is asked later must not pass for "alone again"
        self.change_source.stop()
        self._pool.close_all()

    async def _tidy(self) -> None:
        while True:
            await asyncio.sleep(EMPTYING_TIDY_S if self.lifecycle.emptying else TIDY_S)
            self._pool.close_expired()
            self._front.close_expired()
            self.look_round()

    def look_round(self) -> None:
        """Whether another process of this router is there: it has its part of the limits."""
        if self._claim is not None:
            self._limits.share(self._claim.another_lives)
            self.lifecycle.replaced = self._claim.another_serves


async def serve(
    router: EdgeRouter,
    reload: Callable[[], None],
    started: Callable[[], None] = lambda: None,
    hangups: Sequence[int] = (),
) -> None:
    """Run a router as the process's own: SIGTERM and SIGINT begin its end, SIGHUP calls ``reload``, as do
    ``hangups`` that came before; ``started`` is called once it serves."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, router.stop)
    loop.add_signal_handler(signal.SIGHUP, reload)  # unhandled, it killed the router with all that was open
    if hangups:
        reload()
    gc.freeze()
    try:
        await router.run(started)
    finally:  # the loop would leave them to the system, and a second one kill what is about to exit with 0
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)


async def _run(
    config: Config, read: Callable[[], Config], traced: bool = False, hangups: Sequence[int] = ()
) -> None:
    """The platform's router: its configuration is a file, and has no versions."""
    router = EdgeRouter(config)
    if traced:
        from magpieshift.engine.trace import Trace

        router.engine.policy_observer = Trace()
    reloads: asyncio.Queue[Document] = asyncio.Queue()

    def reload() -> None:
        try:
            reloads.put_nowait(read().document)
        except ConfigError as err:
            log.error("configuration not reloaded", extra=fields(reason=err))

    async def apply() -> None:
        while True:
            document = await reloads.get()
            try:
                router.commit(await router.prepare(document), router.version)
            except PreparationFailed as err:
                log.error("configuration not reloaded", extra=fields(reason=err))
            else:
                host, port = document.changelog
                log.info("configuration reloaded", extra=fields(changelog=f"{host}:{port}"))

    applying = asyncio.ensure_future(apply())
    try:
        await serve(router, reload, hangups=hangups)
    finally:
        applying.cancel()


def main(environ: Mapping[str, str] | None = None, hangups: Sequence[int] = ()) -> int:
    """Run one edge router as the environment says; the process's exit code. ``hangups`` grows by each SIGHUP
    that comes before the router handles them itself."""
    environ = os.environ if environ is None else environ
    traced = environ.get("EDGE_TRACE", "") == "1"
    setup("DEBUG" if traced else "INFO")
    read = partial(load, environ)
    try:
        config = read()
    except ConfigError as err:
        print(f"magpieshift: {err}", file=sys.stderr)
        return 2
    try:
        asyncio.run(_run(config, read, traced, hangups))
    except OSError as err:
        print(f"magpieshift: {err}", file=sys.stderr)
        return 1
    return 0
