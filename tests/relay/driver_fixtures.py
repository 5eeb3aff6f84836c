"""Shared fixtures for tests of the fan-out tier's drivers: a change log, nodes and followers in one event
loop, on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import unittest
from collections.abc import Callable, Sequence

from magpieshift import clock
from magpieshift.lab.emulators import peers
from magpieshift.relay.client import RelayClient
from magpieshift.relay.follower import Follower
from magpieshift.relay.instructions import ApplyEntries
from magpieshift.relay.limits import MAX_LOG_ENTRIES
from magpieshift.relay.messages import ConfigurationChange, Entry, Purge, Snapshot
from magpieshift.relay.node import RelayNode, RelayOptions, SourceNode, SourceOptions
from magpieshift.relay.selection import RelayAddress, RelaySelection

PATIENCE_S = 30.0  # time-out of waits for events; no test asserts a speed


def loopback_address(port: int, region: str = "north") -> RelayAddress:
    """The address of a node on loopback."""
    return RelayAddress(f"127.0.0.1:{port}", region, f"127.0.0.1:{port}")


class Router:
    """A follower that records what it receives."""

    def __init__(self, name: str, relays: Sequence[RelayAddress], rand: random.Random | None = None) -> None:
        self.name = name
        self.follower = Follower(name, f"boot of {name}")
        self.entries: list[Entry] = []
        self.snapshots: list[Snapshot] = []
        self.full_versions: list[ConfigurationChange] = []
        self.client = RelayClient(self.follower, RelaySelection(relays, rand or random.Random(1)), self)

    def apply_entries(self, batch: ApplyEntries) -> None:
        self.entries += batch.entries

    def restore_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshots.append(snapshot)

    def apply_configuration(self, change: ConfigurationChange) -> None:
        self.full_versions.append(change)

    @property
    def purged(self) -> list[str]:
        """The keys of all purges received, those of snapshots first, then those of batches in order."""
        purges = [purge for snapshot in self.snapshots for purge in snapshot.purges]
        purges += [entry for entry in self.entries if isinstance(entry, Purge)]
        return [purge.key for purge in purges]

    @property
    def holds_lease(self) -> bool:
        """Whether the follower holds a lease."""
        return self.follower.staleness.lease_held(clock.source.steady_us())


class CuttableProxy:
    """A TCP proxy between a follower and a node. Each direction can be cut: data in that direction is then
    dropped without an error."""

    def __init__(self, target: int) -> None:
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.to_node = self.to_follower = True
        self.port = 0

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening and close all open connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        node_reader, node_writer = await asyncio.open_connection("127.0.0.1", self._target)
        self._writers |= {writer, node_writer}
        try:
            await asyncio.gather(
                self._pass_on(reader, node_writer, lambda: self.to_node),
                self._pass_on(node_reader, writer, lambda: self.to_follower),
            )
        finally:
            self._writers -= {writer, node_writer}

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, carries: Callable[[], bool]
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.CancelledError):
            while data := await reader.read(65536):
                if carries():
                    writer.write(data)
                    await writer.drain()
            writer.close()


class RelayCase(unittest.IsolatedAsyncioTestCase):
    """A test case with a change log, and helpers that start nodes and followers around it."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.changes = peers.ChangeLog()
        await self.changes.start()
        self.addCleanup(self.changes.stop)
        self.keys: list[str] = []

    def purge(self, count: int = 1) -> list[str]:
        """Publish ``count`` purges; returns their keys."""
        keys = [f"{len(self.keys) + n + 1:016x}" for n in range(count)]
        for key in keys:
            self.changes.publish(invalidate={"object": key, "time": int(time.time() * 1000)})
        self.keys += keys
        return keys

    async def node(self, node: SourceNode | RelayNode) -> int:
        """Run a node until the test ends; returns its port once it serves."""
        serving: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        running = asyncio.ensure_future(node.run(serving.set_result))
        self.addAsyncCleanup(self.end, node, running)
        async with asyncio.timeout(PATIENCE_S):
            while not serving.done() and not running.done():
                await asyncio.sleep(0.01)
        if not serving.done():
            running.result()  # raises the error that ended it
        return serving.result()

    async def end(self, node: SourceNode | RelayNode, running: asyncio.Task[None]) -> None:
        node.stop()
        with contextlib.suppress(Exception):
            await running

    async def source(self, versions: str = "") -> tuple[SourceNode, int]:
        """Start a source; returns once it serves and has read the change log's history."""
        node = SourceNode(self.source_options("127.0.0.1:0", versions))
        port = await self.node(node)
        await self.wait_until(
            lambda: node.age_us(clock.source.steady_us()) is not None, "the source has read the change log"
        )
        return node, port

    def source_options(self, listen: str, versions: str = "", log_port: int = 0) -> SourceOptions:
        return SourceOptions(("127.0.0.1", log_port or self.changes.port), listen, versions)

    async def relay(
        self, name: str, *sources: int, log_entries: int = MAX_LOG_ENTRIES
    ) -> tuple[RelayNode, int]:
        relays = [loopback_address(port) for port in sources]
        options = RelayOptions(relays, "127.0.0.1:0", name, "north", log_entries)
        node = RelayNode(options, random.Random(name))
        return node, await self.node(node)

    def router(self, name: str, *relays: int) -> Router:
        router = Router(name, [loopback_address(port) for port in relays])
        router.client.start()
        self.addAsyncCleanup(router.client.stop)
        return router

    async def proxy(self, target: int) -> CuttableProxy:
        proxy = CuttableProxy(target)
        await proxy.start()
        self.addCleanup(proxy.stop)
        return proxy

    async def wait_for_leases(self, *routers: Router) -> None:
        """Wait until each router holds a lease."""
        for router in routers:
            await self.wait_until(lambda router=router: router.holds_lease, "a lease")  # type: ignore[misc]

    async def wait_for_purges(self, *routers: Router) -> None:
        """Wait until each router has applied all purges."""
        for router in routers:
            await self.wait_until(
                lambda router=router: self.keys[-1] in router.purged,  # type: ignore[misc]
                f"{router.name} applies all purges",
            )

    async def wait_until(self, condition: Callable[[], bool], description: str) -> None:
        """Wait until a condition is true; fails after ``PATIENCE_S``."""
        end = time.monotonic() + PATIENCE_S
        while not condition():
            self.assertLess(time.monotonic(), end, f"not within {PATIENCE_S} s: {description}")
            await asyncio.sleep(0.01)
