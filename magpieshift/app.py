"""Wiring, readiness and shutdown: one edge router, to be embedded or run by ``python -m magpieshift``."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import logging
import signal
import sys
from collections.abc import Callable, Mapping, Sequence
from dataclasses import replace
from functools import partial
from typing import NamedTuple

from magpieshift.back.lines import MOST_BODY
from magpieshift.back.pool import Pool
from magpieshift.clock import LoopClock
from magpieshift.config import Config, ConfigError, Limits, load
from magpieshift.core.engine import Engine
from magpieshift.core.model import Member
from magpieshift.feed.changes import ChangeLog
from magpieshift.feed.client import FeedClient
from magpieshift.front.server import FrontServer, listen_socket
from magpieshift.log import fields, setup
from molecleat import interface as api

log = logging.getLogger(__name__)

RESERVED = 48  # descriptors for the listener, the change log, the log, the event loop and what is closing
SLACK = 24  # clients keep to a third, but we may see one come before we see another go
DRAIN_S = 0.8  # new connections come for 0.4 s after SIGTERM, and requests on open ones for 0.2 s more
LAST_CALL_S = 0.45  # by then nobody comes new: connections made since SIGTERM are told as well
LAST_S = 0.6  # what is open so long after the longest wait is answered as it is; SIGKILL comes 0.1 s later
LONGEST_WAIT_S = 3.0  # however long clients wait
TIDY_S = 0.5
MEMORY_PARTS = 4  # a quarter each for what is held for clients, for writes, for answers, and for the program


class Bounds(NamedTuple):
    """How the limits are shared out."""

    clients: int  # connections
    stores: int
    bytes_each: int  # held for clients, of writes, of answers

    @classmethod
    def of(cls, limits: Limits) -> Bounds:
        part = int(limits.memory_mb * (1 << 20) / MEMORY_PARTS)
        clients = limits.sockets // 3 + SLACK  # the rest is for stores, if there is memory for answers
        stores = min(limits.sockets - clients - RESERVED, max(16, part // MOST_BODY))
        return cls(clients, stores, part)


class EdgeRouter:
    """Owner of all the parts of one router."""

    def __init__(self, config: Config) -> None:
        self._config = config
        clock = LoopClock()
        bounds = Bounds.of(config.limits)
        self._pool = Pool(
            clock,
            config.names.report,
            config.settings.connect_timeout_us,
            config.idle_us,
            config.streams_per_connection,
            most_connections=bounds.stores,
        )
        self._engine = Engine(config.settings, config.seed, clock, self._pool, bounds.bytes_each)
        classes = {name: number for number, name in enumerate(config.names.classes)}
        self._front = FrontServer(self._engine, clock, classes, bounds.clients, bounds.bytes_each)
        self._changes = ChangeLog(config.names, self)
        self._feed = FeedClient(config.changelog, self._changes)
        self._stopping = asyncio.Event()

    def list_changed(self, kind: api.ListKind, version: int, members: Sequence[Member]) -> None:
        self._engine.list_changed(kind, version, members)
        self._pool.list_changed(members, whole=kind != api.ListKind.DELTA)

    def purged(self, key: str, group: int, made_us: int) -> None:
        self._engine.purged(key, group, made_us)

    def start(self) -> None:
        """Apply what is known, listen, follow the change log, and only then be ready."""
        self._changes.known(self._config.known)
        self._engine.flush()
        self._front.add_socket(listen_socket(*self._config.listen))
        self._feed.start()
        self._front.ready = True
        log.info("ready", extra=fields(name=self._config.name, seq=self._changes.last))

    def stop(self) -> None:
        """Begin a planned end; ``run`` returns when all that was taken is answered."""
        self._stopping.set()

    def reload(self, config: Config) -> None:
        """Go over to a new configuration without letting go of anything open: the change log may have moved,
        and the limits may differ. What cannot change while running is told in one line and stays as it is."""
        old = self._config
        bounds = Bounds.of(config.limits)
        self._feed.follow(config.changelog)
        self._pool.most_connections = bounds.stores
        self._front.most_connections = bounds.clients
        self._engine.most_held = self._front.most_held = bounds.bytes_each
        self._config = replace(old, changelog=config.changelog, limits=config.limits)
        same = replace(config, changelog=old.changelog, limits=old.limits, known=old.known, seed=old.seed)
        if same != old:
            log.warning("configuration has changes that need a restart")
        host, port = config.changelog
        log.info("configuration reloaded", extra=fields(changelog=f"{host}:{port}"))

    async def run(self) -> None:
        """Serve until ``stop``, then drain."""
        self.start()
        tidying = asyncio.ensure_future(self._tidy())
        await self._stopping.wait()
        log.info("draining", extra=fields(open=self._engine.open_requests))
        self._front.ready = False
        self._front.announce_end()
        await asyncio.sleep(LAST_CALL_S)
        self._front.announce_end()
        await asyncio.sleep(DRAIN_S - LAST_CALL_S)
        waits_s = max(cls.deadline_us for cls in self._config.settings.classes) / 1e6
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(min(waits_s, LONGEST_WAIT_S) + LAST_S - DRAIN_S):
                while self._engine.open_requests or self._front.owing:
                    await asyncio.sleep(0.01)
        self._engine.end_all()
        tidying.cancel()
        self._front.stop()
        self._front.close_all()
        self._feed.stop()
        self._pool.close_all()
        log.info("ended")

    async def _tidy(self) -> None:
        while True:
            await asyncio.sleep(TIDY_S)
            self._pool.tidy()
            self._front.tidy()


async def _serve(config: Config, read: Callable[[], Config]) -> None:
    router = EdgeRouter(config)
    loop = asyncio.get_running_loop()

    def reload() -> None:
        # SIGHUP is no end: unhandled, it killed the router with all that was open
        try:
            router.reload(read())
        except ConfigError as err:
            log.error("configuration not reloaded", extra=fields(reason=err))

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, router.stop)
    loop.add_signal_handler(signal.SIGHUP, reload)
    gc.freeze()
    await router.run()


def main(environ: Mapping[str, str] | None = None) -> int:
    """Run one edge router as the environment says; the process's exit code."""
    setup()
    read = partial(load, environ)
    try:
        config = read()
    except ConfigError as err:
        print(f"magpieshift: {err}", file=sys.stderr)
        return 2
    try:
        asyncio.run(_serve(config, read))
    except OSError as err:
        print(f"magpieshift: cannot listen on {config.listen[0]}:{config.listen[1]}: {err}", file=sys.stderr)
        return 1
    return 0
