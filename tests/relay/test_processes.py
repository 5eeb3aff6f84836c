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
from magpieshift.lab.emulators.loopback_installation import LoopbackInstallation
from magpieshift.lab.fault_injection.ports import free_port
from magpieshift.relay import status
from magpieshift.relay.limits import FRESHNESS_LEASE_US

ROOT = Path(__file__).parents[2]
PATIENCE_S = 40.0
LEASE_S = FRESHNESS_LEASE_US / 1e6


class RecordingCache(peers.StubEndpoint):
    """A cache that records the time, key and copy age limit of each request."""

    def __init__(self, ident: str, overlaps: peers.OverlapDetector) -> None:
        super().__init__(ident, overlaps, is_origin=True)
        self.requests: list[tuple[float, str, int | None]] = []  # Unix time, key, copy age limit in ms

    async def _answer(
        self, ident: str, fields: Mapping[str, str], writer: asyncio.StreamWriter, open_: dict[str, Any]
    ) -> None:
        bound = int(fields["fresh"]) if "fresh" in fields else None
        self.requests.append((time.time(), fields["key"], bound))
        await super()._answer(ident, fields, writer, open_)


class RouterClient:
    """A client's connection to the router."""

    def __init__(self, port: int) -> None:
        self._port, self._streams = port, 0
        self._writer: asyncio.StreamWriter | None = None
        self._reading: asyncio.Task[None] | None = None
        self.answers: list[int] = []

    async def request(self, key: str) -> None:
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
        self.installation = LoopbackInstallation()
        self.cache = RecordingCache("s-cache", self.installation.overlaps)
        self.installation.cache = self.cache
        await self.installation.start()
        self.addCleanup(self.installation.stop)
        self.ports = {name: free_port() for name in ("source", "a", "b", "admin")}
        self.clients: list[RouterClient] = []
        self.published_versions = 0  # number of versions
        self.purged_at: dict[str, float] = {}  # Unix time of the purge by key

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
        await self.wait_until(lambda: " event=ready " in self.log_of(name), f"{name} is ready")

    async def start_all(self) -> None:
        addresses = {name: f"127.0.0.1:{port}" for name, port in self.ports.items()}
        changelog = f"127.0.0.1:{self.installation.change_log.port}"
        await self.start(
            "source",
            "relay",
            "source",
            "--changelog",
            changelog,
            "--versions",
            str(self.versions),
            "--listen",
            addresses["source"],
        )
        for name in ("a", "b"):
            await self.start(
                name,
                "relay",
                "serve",
                "--source",
                addresses["source"],
                "--listen",
                addresses[name],
                "--name",
                name,
                "--region",
                "north",
            )
        settings = self.installation.write_settings(self.folder)
        await self.start(
            "router",
            "run",
            "--config",
            str(settings),
            "--relays",
            f"{addresses['a']},{addresses['b']}",
            "--region",
            "north",
            "--console",
            addresses["admin"],
        )
        for name in ("source", "a", "b", "router"):
            await self.ready(name)

    async def wait_until(self, condition: Callable[[], bool | Awaitable[bool]], description: str) -> None:
        end = time.monotonic() + PATIENCE_S
        while True:
            found = condition()
            if found if isinstance(found, bool) else await found:
                return
            for name, process in self.processes.items():
                expected = process.returncode in (None, -signal.SIGKILL)
                self.assertTrue(expected, f"{name}: {self.log_of(name)[-2000:]}")
            logs = "\n".join(f"{name}: {self.log_of(name)[-600:]}" for name in self.processes)
            self.assertLess(time.monotonic(), end, f"not within {PATIENCE_S} s: {description}\n{logs}")
            await asyncio.sleep(0.02)

    async def relay_status(self) -> dict[str, Any]:
        """The router's relay status, from its admin server."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.ports["admin"])
        writer.write(b"RELAY\n")
        line = (await reader.readline()).decode()
        writer.close()
        return dict(json.loads(line.removeprefix("OK ")))

    async def status(self, name: str) -> wire.StatusReport:
        return await status.fetch_status(f"127.0.0.1:{self.ports[name]}")

    async def command_status(self, name: str) -> dict[str, Any]:
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
            key, now = f"{len(self.purged_at) + 1:016x}", time.time()
            self.installation.change_log.publish(invalidate={"object": key, "time": int(now * 1000)})
            self.purged_at[key] = now

    async def has_applied_all(self) -> bool:
        """Whether the router has applied everything: the endpoint list, all purges and all versions."""
        return (
            int((await self.relay_status())["applied"]) >= 1 + len(self.purged_at) + self.published_versions
        )

    async def leased(self) -> bool:
        relay_status = await self.relay_status()
        return bool(relay_status["leased"])

    def send_signal(self, name: str, number: int) -> None:
        self.processes[name].send_signal(number)

    def client(self) -> RouterClient:
        client = RouterClient(self.installation.router_port)
        self.clients.append(client)
        return client

    async def copy_age_limit_ms(self, key: str) -> int | None:
        """The copy age limit in ms with which the router requests this object now; None for no limit."""
        client, earlier_count = self.client(), len(self.cache.requests)

        async def requested() -> bool:
            if client.idle:  # no request in flight: the last one was rejected, or this is the first
                await client.request(key)
            return any(k == key for _, k, _ in self.cache.requests[earlier_count:])

        await self.wait_until(requested, "a request at the cache")
        return next(bound for _, k, bound in self.cache.requests[earlier_count:] if k == key)

    def check_requests(self, requests: list[tuple[float, str, int | None]]) -> None:
        """Check that no copy from before a purge of its object is accepted."""
        for requested_s, key, bound in requests:
            purged_s = self.purged_at[key]
            assert bound is not None, (
                f"{key}: requested without a copy age limit, {requested_s - purged_s} s after its purge"
            )
            self.assertGreaterEqual(requested_s - bound / 1000, purged_s - 0.002)

    async def test_versions_and_purges_while_relays_and_router_are_paused_and_killed(self) -> None:
        await self.start_all()
        await self.wait_until(self.leased, "a lease")
        self.purge(5)
        await self.wait_until(self.has_applied_all, "all purges")
        self.assertTrue(await self.no_follower_lags(), "no follower lags before the first version")
        await self.copy_age_limit_ms("0000000000000001")
        self.check_requests(self.cache.requests)

        with self.subTest("versions"):
            await self.change_versions()

        with self.subTest("the followed relay is paused for 5 s"):
            first = await self.followed_relay()
            self.send_signal(first, signal.SIGSTOP)
            end = time.monotonic() + 5.0
            while time.monotonic() < end:
                self.purge()
                await asyncio.sleep(0.1)
            await self.wait_until(self.has_applied_all, "all purges, from the other relay")
            second = await self.followed_relay()
            self.assertNotEqual(first, second)
            await self.copy_age_limit_ms(max(self.purged_at))
            self.send_signal(first, signal.SIGCONT)
            self.purge(5)
            await self.wait_until(self.has_applied_all, "all purges")
            await self.copy_age_limit_ms(max(self.purged_at))
            self.check_requests(self.cache.requests)

        with self.subTest("the followed relay is killed"):
            self.send_signal(second, signal.SIGKILL)
            self.purge(5)
            await self.wait_until(self.has_applied_all, "all purges, from the first relay again")
            self.assertEqual(await self.followed_relay(), first)
            await self.copy_age_limit_ms(max(self.purged_at))
            self.check_requests(self.cache.requests)
            await self.wait_until(lambda: self.watermark_at_head(), "the source's watermark reaches the head")

        with self.subTest("the router is paused beyond its lease, with requests in flight"):
            await self.wait_until(self.leased, "a lease")
            self.cache.requests.clear()
            client = self.client()
            for _ in range(20):
                await client.request("00000000000000aa")  # purged while the router is paused
            self.send_signal("router", signal.SIGSTOP)
            paused = time.time()
            self.purged_at["00000000000000aa"] = paused
            await client.request("00000000000000aa")
            # the followed relay is paused too, so that the router gets no proof when it resumes
            self.send_signal(first, signal.SIGSTOP)
            now_ms = int(paused * 1000)
            self.installation.change_log.publish(invalidate={"object": "00000000000000aa", "time": now_ms})
            await asyncio.sleep(LEASE_S + 0.5)
            await client.request("00000000000000aa")
            self.send_signal("router", signal.SIGCONT)
            resumed = time.time()

            async def requested_after_resume() -> bool:
                """Whether the cache got a request after the router resumed. At first an attempt that was in
                flight times out and the silent cache is ejected for a second or two: requests go to the
                origin."""
                await client.request("00000000000000aa")
                return any(requested_s >= resumed for requested_s, _, _ in self.cache.requests)

            await self.wait_until(requested_after_resume, "a request at the cache after the router resumed")
            later_requests = [request for request in self.cache.requests if request[0] >= resumed]
            self.check_requests(later_requests)
            self.assertLessEqual(
                {bound for _, _, bound in later_requests}, set(range(1, FRESHNESS_LEASE_US // 1000 + 1))
            )
            self.send_signal(first, signal.SIGCONT)
            await self.wait_until(self.leased, "a lease again")
            await self.wait_until(self.has_applied_all, "the purge")

        with self.subTest("planned shutdown"):
            for name in ("router", first, "source"):
                self.send_signal(name, signal.SIGCONT)  # an earlier failure may have left it paused
                self.send_signal(name, signal.SIGTERM)
                async with asyncio.timeout(PATIENCE_S):
                    code = await self.processes[name].wait()
                self.assertEqual(code, 0, self.log_of(name)[-2000:])

    async def followed_relay(self) -> str:
        """The relay that the router follows."""
        relay_status = await self.relay_status()
        return next(name for name in ("a", "b") if relay_status["relay"].endswith(f":{self.ports[name]}"))

    async def watermark_at_head(self) -> bool:
        report = await self.status("source")
        return bool(report.done == report.head)

    # --- versions

    async def change_versions(self) -> None:
        """Versions come into force by delta. A follower that rejects one is reported, and gets the next one
        complete."""
        data = self.installation.settings()
        for number in (1, 2):
            self.publish(number, sexp.format_document(data | {"retry-after-ms": 111 * number}))
            await self.in_force(number)
        self.assertNotIn("wrong_base", self.log_of("router"))

        self.publish(3, sexp.format_document(data | {"retry-after-ms": -1}))
        relay = await self.followed_relay()
        await self.wait_until(lambda: self.rejects(relay, 3), "the relay reports the rejection")

        async def only_router_lags() -> bool:
            """Whether only the router lags. The relays lag too until the source has their acknowledgements of
            3."""
            source = await self.command_status("source")
            self.assertLessEqual(set(source["behind"]), {"a", "b", "lab"})
            return bool(source["behind"] == ["lab"])

        await self.wait_until(only_router_lags, "the source reports only the router as lagging")
        source = await self.command_status("source")
        self.assertEqual((source["version"], source["behind"]), (3, ["lab"]))

        # its delta applies to the rejected version, so the router requests the complete version
        self.publish(4, sexp.format_document(data | {"retry-after-ms": 444}))
        await self.in_force(4)
        await self.wait_until(self.no_follower_lags, "no follower lags")

    async def in_force(self, number: int) -> None:
        line = f'event="version in force" version={number} '
        await self.wait_until(lambda: line in self.log_of("router"), f"version {number} is in force")

    def publish(self, number: int, text: str) -> None:
        part = self.versions / f"{number}.new"
        part.write_text(text)
        part.rename(self.versions / f"{number}.sexp")
        self.published_versions += 1

    async def rejects(self, relay: str, number: int) -> bool:
        report = await self.status(relay)
        return any(each.name == "lab" and each.refused == number for each in report.followers)

    async def no_follower_lags(self) -> bool:
        report = await self.status("source")
        return not report.behind_count


if __name__ == "__main__":
    unittest.main()
