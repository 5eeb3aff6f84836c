"""Real processes: a source, two relays and a router that follows them, with emulators for all other services.
They are paused, resumed and killed; only invariants are asserted, never speeds."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import sys
import tempfile
import time
import unittest
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

from magpieshift.control import sexp
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.downstream import frames
from magpieshift.downstream.frames import FrameType
from magpieshift.lab.emulators import peers
from magpieshift.lab.emulators.world import LoopbackInstallation
from magpieshift.lab.fault_injection.ports import free_port
from magpieshift.relay import status
from magpieshift.relay.limits import FRESHNESS_LEASE_US

ROOT = Path(__file__).parents[2]
PATIENCE_S = 40.0
LEASE_S = FRESHNESS_LEASE_US / 1e6


class NotingStore(peers.StubEndpoint):
    """A cache that records the time, key and copy age limit of each request."""

    def __init__(self, ident: str, watch: peers.OverlapDetector) -> None:
        super().__init__(ident, watch, is_origin=True)
        self.orders: list[tuple[float, str, int | None]] = []  # Unix time, key, copy age limit in ms

    async def _answer(
        self, ident: str, fields: Mapping[str, str], writer: asyncio.StreamWriter, open_: dict[str, Any]
    ) -> None:
        bound = int(fields["fresh"]) if "fresh" in fields else None
        self.orders.append((time.time(), fields["key"], bound))
        await super()._answer(ident, fields, writer, open_)


class Client:
    """A client's connection to the router."""

    def __init__(self, port: int) -> None:
        self._port, self._streams = port, 0
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self.answers: list[int] = []

    async def ask(self, key: str) -> None:
        """Send a request for an object."""
        if self._writer is None:
            reader, self._writer = await asyncio.open_connection("127.0.0.1", self._port)
            self._reading = asyncio.ensure_future(self._read(reader))
        self._streams += 1
        fields = {
            "c": "picture",
            "i": f"{random.getrandbits(64):016x}",
            "d": "1500",
            "o": key,
            "slice": "0",
            "set": "1",
            "m": "1",
        }
        self._writer.write(frames.frame_head(FrameType.REQUEST, self._streams, frames.write_fields(fields)))

    @property
    def idle(self) -> bool:
        """Whether all requests have been answered."""
        return len(self.answers) == self._streams

    async def _read(self, reader: asyncio.StreamReader) -> None:
        parser = frames.FrameParser()
        while data := await reader.read(65536):
            for frame in parser.feed(data):
                if frame.type == FrameType.RESPONSE:
                    self.answers.append(frame.payload[0])

    def close(self) -> None:
        if self._writer is not None and self._reading is not None:
            self._writer.close()
            self._reading.cancel()


class Processes(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.versions = self.folder / "versions"
        self.versions.mkdir()
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.addAsyncCleanup(self.kill_all)
        self.world = LoopbackInstallation()
        self.cache = NotingStore("s-cache", self.world.overlaps)
        self.world.cache = self.cache
        await self.world.start()
        self.addCleanup(self.world.stop)
        self.ports = {name: free_port() for name in ("source", "a", "b", "door")}
        self.clients: list[Client] = []
        self.published = 0  # number of versions
        self.purged: dict[str, float] = {}  # Unix time of the purge by key

    async def kill_all(self) -> None:
        for client in self.clients:
            client.close()
        for process in self.processes.values():
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def start(self, name: str, *words: str) -> None:
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "magpieshift", *words, stderr=log, cwd=ROOT, env=os.environ
            )

    def log_of(self, name: str) -> str:
        return (self.folder / f"{name}.log").read_text()

    async def ready(self, name: str) -> None:
        await self.until(lambda: " event=ready " in self.log_of(name), f"{name} is ready")

    async def start_all(self) -> None:
        place = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        changelog = f"127.0.0.1:{self.world.change_log.port}"
        await self.start(
            "source",
            "relay",
            "source",
            "--changelog",
            changelog,
            "--versions",
            str(self.versions),
            "--listen",
            place["source"],
        )
        for name in ("a", "b"):
            await self.start(
                name,
                "relay",
                "serve",
                "--source",
                place["source"],
                "--listen",
                place[name],
                "--name",
                name,
                "--region",
                "north",
            )
        settings = self.world.write_settings(self.folder)
        await self.start(
            "router",
            "run",
            "--config",
            str(settings),
            "--relays",
            f"{place['a']},{place['b']}",
            "--region",
            "north",
            "--console",
            place["door"],
        )
        for name in ("source", "a", "b", "router"):
            await self.ready(name)

    async def until(self, true: Callable[[], bool | Awaitable[bool]], what: str) -> None:
        end = time.monotonic() + PATIENCE_S
        while True:
            found = true()
            if found if isinstance(found, bool) else await found:
                return
            for name, process in self.processes.items():
                expected = process.returncode in (None, -signal.SIGKILL)
                self.assertTrue(expected, f"{name}: {self.log_of(name)[-2000:]}")
            logs = "\n".join(f"{name}: {self.log_of(name)[-600:]}" for name in self.processes)
            self.assertLess(time.monotonic(), end, f"not within {PATIENCE_S} s: {what}\n{logs}")
            await asyncio.sleep(0.02)

    async def place(self) -> dict[str, Any]:
        """The router's relay status, from its admin server."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["door"])
        writer.write(b"RELAY\n")
        line = (await reader.readline()).decode()
        writer.close()
        return dict(json.loads(line.removeprefix("OK ")))

    async def status(self, name: str) -> wire.StatusReport:
        return await status.fetch_status(f"127.0.0.1:{self.ports[name]}")

    async def told_status(self, name: str) -> dict[str, Any]:
        """The status report of a node, from ``magpieshift relay status --json``."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "magpieshift",
            "relay",
            "status",
            f"127.0.0.1:{self.ports[name]}",
            "--json",
            stdout=asyncio.subprocess.PIPE,
            cwd=ROOT,
        )
        out, _ = await process.communicate()
        self.assertEqual(process.returncode, 0)
        return dict(json.loads(out))

    def purge(self, count: int = 1) -> None:
        for _ in range(count):
            key, now = f"{len(self.purged) + 1:016x}", time.time()
            self.world.change_log.publish(invalidate={"object": key, "time": int(now * 1000)})
            self.purged[key] = now

    async def has_all(self) -> bool:
        """Whether the router has applied everything: the endpoint list, all purges and all versions."""
        return int((await self.place())["applied"]) >= 1 + len(self.purged) + self.published

    async def leased(self) -> bool:
        place = await self.place()
        return bool(place["leased"])

    def signal(self, name: str, number: int) -> None:
        self.processes[name].send_signal(number)

    def client(self) -> Client:
        client = Client(self.world.router_port)
        self.clients.append(client)
        return client

    async def bound_of(self, key: str) -> int | None:
        """The copy age limit in ms with which the router requests this object now; None for no limit."""
        client, known = self.client(), len(self.cache.orders)

        async def ordered() -> bool:
            if client.idle:  # no request in flight: the last one was rejected, or this is the first
                await client.ask(key)
            return any(k == key for _, k, _ in self.cache.orders[known:])

        await self.until(ordered, "a request at the cache")
        return next(bound for _, k, bound in self.cache.orders[known:] if k == key)

    def check_orders(self, orders: list[tuple[float, str, int | None]]) -> None:
        """Check that no copy from before a purge of its object is accepted."""
        for at, key, bound in orders:
            made = self.purged[key]
            assert bound is not None, (
                f"{key}: requested without a copy age limit, {at - made} s after its purge"
            )
            self.assertGreaterEqual(at - bound / 1000, made - 0.002)

    async def test_versions_and_purges_while_relays_and_router_are_paused_and_killed(self) -> None:
        await self.start_all()
        await self.until(self.leased, "a lease")
        self.purge(5)
        await self.until(self.has_all, "all purges")
        self.assertTrue(await self.nobody_behind(), "no follower lags before the first version")
        await self.bound_of("0000000000000001")
        self.check_orders(self.cache.orders)

        with self.subTest("versions"):
            await self.change_versions()

        with self.subTest("the followed relay is paused for 5 s"):
            first = await self.followed()
            self.signal(first, signal.SIGSTOP)
            end = time.monotonic() + 5.0
            while time.monotonic() < end:
                self.purge()
                await asyncio.sleep(0.1)
            await self.until(self.has_all, "all purges, from the other relay")
            second = await self.followed()
            self.assertNotEqual(first, second)
            await self.bound_of(max(self.purged))
            self.signal(first, signal.SIGCONT)
            self.purge(5)
            await self.until(self.has_all, "all purges")
            await self.bound_of(max(self.purged))
            self.check_orders(self.cache.orders)

        with self.subTest("the followed relay is killed"):
            self.signal(second, signal.SIGKILL)
            self.purge(5)
            await self.until(self.has_all, "all purges, from the first relay again")
            self.assertEqual(await self.followed(), first)
            await self.bound_of(max(self.purged))
            self.check_orders(self.cache.orders)
            await self.until(lambda: self.all_done(), "the source's watermark reaches the head")

        with self.subTest("the router is paused beyond its lease, with requests in flight"):
            await self.until(self.leased, "a lease")
            self.cache.orders.clear()
            client = self.client()
            for _ in range(20):
                await client.ask("00000000000000aa")  # purged while the router is paused
            self.signal("router", signal.SIGSTOP)
            stopped = time.time()
            self.purged["00000000000000aa"] = stopped
            await client.ask("00000000000000aa")
            # the followed relay is paused too, so that the router gets no proof when it resumes
            self.signal(first, signal.SIGSTOP)
            now_ms = int(stopped * 1000)
            self.world.change_log.publish(invalidate={"object": "00000000000000aa", "time": now_ms})
            await asyncio.sleep(LEASE_S + 0.5)
            await client.ask("00000000000000aa")
            self.signal("router", signal.SIGCONT)
            woken = time.time()

            async def is_ordered_after_waking() -> bool:
                """Whether the cache got a request after the router resumed. At first an attempt that was in
                flight times out and the silent cache is ejected for a second or two: requests go to the
                origin."""
                await client.ask("00000000000000aa")
                return any(at >= woken for at, _, _ in self.cache.orders)

            await self.until(is_ordered_after_waking, "a request at the cache after the router resumed")
            late = [order for order in self.cache.orders if order[0] >= woken]
            self.check_orders(late)
            self.assertLessEqual(
                {bound for _, _, bound in late}, set(range(1, FRESHNESS_LEASE_US // 1000 + 1))
            )
            self.signal(first, signal.SIGCONT)
            await self.until(self.leased, "a lease again")
            await self.until(self.has_all, "the purge")

        with self.subTest("planned shutdown"):
            for name in ("router", first, "source"):
                self.signal(name, signal.SIGCONT)  # an earlier failure may have left it paused
                self.signal(name, signal.SIGTERM)
                async with asyncio.timeout(PATIENCE_S):
                    code = await self.processes[name].wait()
                self.assertEqual(code, 0, self.log_of(name)[-2000:])

    async def followed(self) -> str:
        """The relay that the router follows."""
        place = await self.place()
        return next(name for name in ("a", "b") if place["relay"].endswith(f":{self.ports[name]}"))

    async def all_done(self) -> bool:
        report = await self.status("source")
        return bool(report.done == report.head)

    # --- versions

    async def change_versions(self) -> None:
        """Versions come into force by delta. A follower that rejects one is reported, and gets the next one
        complete."""
        data = self.world.settings()
        for number in (1, 2):
            self.publish(number, sexp.format_document(data | {"retry-after-ms": 111 * number}))
            await self.in_force(number)
        self.assertNotIn("wrong_base", self.log_of("router"))

        self.publish(3, sexp.format_document(data | {"retry-after-ms": -1}))
        relay = await self.followed()
        await self.until(lambda: self.refuses(relay, 3), "the relay reports the rejection")

        async def names_the_router_alone() -> bool:
            """Whether only the router lags. The relays lag too until the source has their acknowledgements of
            3."""
            source = await self.told_status("source")
            self.assertLessEqual(set(source["behind"]), {"a", "b", "lab"})
            return bool(source["behind"] == ["lab"])

        await self.until(names_the_router_alone, "the source reports only the router as lagging")
        source = await self.told_status("source")
        self.assertEqual((source["version"], source["behind"]), (3, ["lab"]))

        # its delta applies to the rejected version, so the router requests the complete version
        self.publish(4, sexp.format_document(data | {"retry-after-ms": 444}))
        await self.in_force(4)
        await self.until(self.nobody_behind, "no follower lags")

    async def in_force(self, number: int) -> None:
        line = f'event="version in force" version={number} '
        await self.until(lambda: line in self.log_of("router"), f"version {number} is in force")

    def publish(self, number: int, text: str) -> None:
        part = self.versions / f"{number}.new"
        part.write_text(text)
        part.rename(self.versions / f"{number}.sexp")
        self.published += 1

    async def refuses(self, relay: str, number: int) -> bool:
        report = await self.status(relay)
        return any(each.name == "lab" and each.refused == number for each in report.followers)

    async def nobody_behind(self) -> bool:
        report = await self.status("source")
        return not report.behind_count


if __name__ == "__main__":
    unittest.main()
