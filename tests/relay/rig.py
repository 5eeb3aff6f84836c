"""What tests of the fan-out tier's drivers share: a change log, nodes and followers in one event loop, on
loopback."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
import unittest
from collections.abc import Callable, Sequence

from magpieshift import clock
from magpieshift.lab.standins import peers
from magpieshift.relay.client import RelayClient
from magpieshift.relay.follower import Apply, Follower
from magpieshift.relay.messages import ConfigurationChange, Entry, Purge, Snapshot
from magpieshift.relay.node import RelayNode, RelayOptions, SourceNode, SourceOptions
from magpieshift.relay.selection import Relay, Selection

PATIENCE_S = 30.0  # of waits for events; what is asserted are never speeds


def at(port: int, region: str = "north") -> Relay:
    """A node on loopback."""
    return Relay(f"127.0.0.1:{port}", region, f"127.0.0.1:{port}")


class Router:
    """A follower that notes what it is told."""

    def __init__(self, name: str, relays: Sequence[Relay]) -> None:
        self.follower = Follower(name, f"boot of {name}")
        self.entries: list[Entry] = []
        self.snapshots: list[Snapshot] = []
        self.whole: list[ConfigurationChange] = []
        self.client = RelayClient(self.follower, Selection(relays, random.Random(1)), self)

    def apply(self, batch: Apply) -> None:
        self.entries += batch.entries

    def take_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshots.append(snapshot)

    def take_configuration(self, change: ConfigurationChange) -> None:
        self.whole.append(change)

    @property
    def purged(self) -> list[str]:
        """The keys of all purges, in the order in which they came, by snapshot or one by one."""
        told = [purge for snapshot in self.snapshots for purge in snapshot.purges]
        told += [entry for entry in self.entries if isinstance(entry, Purge)]
        return [purge.key for purge in told]

    @property
    def current(self) -> bool:
        """Whether it holds its lease."""
        return self.follower.currency.lease_held(clock.source.steady_us())


class RelayCase(unittest.IsolatedAsyncioTestCase):
    """A change log, and what is started round it."""

    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        self.changes = peers.Log()
        await self.changes.start()
        self.addCleanup(self.changes.stop)
        self.keys: list[str] = []

    def purge(self, count: int = 1) -> list[str]:
        """Tell so many purges; their keys."""
        keys = [f"{len(self.keys) + n + 1:016x}" for n in range(count)]
        for key in keys:
            self.changes.tell(invalidate={"object": key, "time": int(time.time() * 1000)})
        self.keys += keys
        return keys

    async def node(self, node: SourceNode | RelayNode) -> int:
        """Run a node until the test ends; its port, once it serves."""
        serving: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        running = asyncio.ensure_future(node.run(serving.set_result))
        self.addAsyncCleanup(self.end, node, running)
        async with asyncio.timeout(PATIENCE_S):
            while not serving.done() and not running.done():
                await asyncio.sleep(0.01)
        if not serving.done():
            running.result()  # why it ended
        return serving.result()

    async def end(self, node: SourceNode | RelayNode, running: asyncio.Task[None]) -> None:
        node.stop()
        with contextlib.suppress(Exception):
            await running

    async def source(self, versions: str = "", listen: str = "127.0.0.1:0") -> tuple[SourceNode, int]:
        node = SourceNode(SourceOptions(("127.0.0.1", self.changes.port), listen, versions))
        return node, await self.node(node)

    async def relay(self, name: str, *sources: int, listen: str = "127.0.0.1:0") -> tuple[RelayNode, int]:
        options = RelayOptions([at(port) for port in sources], listen, name, "north")
        node = RelayNode(options, random.Random(name))
        return node, await self.node(node)

    def router(self, name: str, *relays: int) -> Router:
        router = Router(name, [at(port) for port in relays])
        router.client.start()
        self.addAsyncCleanup(router.client.stop)
        return router

    async def until(self, true: Callable[[], bool], what: str) -> None:
        """Wait for something to become true."""
        end = time.monotonic() + PATIENCE_S
        while not true():
            self.assertLess(time.monotonic(), end, f"not in time: {what}")
            await asyncio.sleep(0.01)
