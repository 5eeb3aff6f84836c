"""The fault-injection testbed itself: its network injects the faults, and each of its checks can fail."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import struct
import tempfile
import time
import unittest
from collections.abc import Mapping
from pathlib import Path
from unittest import mock

from magpieshift.control.schema import load_data
from magpieshift.downstream import frames
from magpieshift.downstream.frames import FrameType, ResponseCode
from magpieshift.lab.emulators import emulated_installation
from magpieshift.lab.emulators.client_connection import ClientConnection, NoAnswer
from magpieshift.lab.emulators.protocol_checker import ProtocolChecker
from magpieshift.lab.fault_injection import checks, skewed_clock
from magpieshift.lab.fault_injection.link_faults import ANY_ROUTER, LinkFault, Network
from magpieshift.lab.fault_injection.link_proxy import LinkProxy
from magpieshift.lab.fault_injection.outages import Halt

WAIT_LIMIT_S = 20.0


class FakeFleet:
    """A fake fleet for the checks, with the processes, halts and counts that a test sets."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: dict[str, int] = {}
        self.spans: list[Halt] = []
        self.counts = {"sent": 100, "served": 90, "lost": 0, "doubles": 0}

    def running(self) -> Mapping[str, int]:
        return self.processes

    def halts(self) -> list[Halt]:
        return self.spans

    def request_counts(self) -> Mapping[str, int]:
        return self.counts

    def lost_examples(self) -> list[str]:
        return ["one"]

    def log(self, name: str, *shares: tuple[float, float]) -> None:
        lines = [
            f'x event="quota changed" at_us={int(at * 1e6)} share={share:.6f} here=2' for at, share in shares
        ]
        (self.folder / f"{name}.log").write_text("\n".join(lines))


class ChecksTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.fleet = FakeFleet(Path(folder.name))

    def test_answer_check(self) -> None:
        self.assertEqual(checks.AnswerCheck().violations(self.fleet), [])
        for invalid_counts in ({"lost": 1}, {"doubles": 1}, {"served": 5}):
            with self.subTest(invalid_counts):
                self.fleet.counts = {"sent": 100, "served": 90, "lost": 0, "doubles": 0} | invalid_counts
                self.assertEqual(len(checks.AnswerCheck().violations(self.fleet)), 1)

    def test_log_check(self) -> None:
        log = self.fleet.folder / "r0.1.log"
        log.write_text("x event=ready\n")
        self.assertEqual(checks.LogCheck().violations(self.fleet), [])
        log.write_text("x event=ready\nTraceback (most recent call last)\n")
        self.assertEqual(len(checks.LogCheck().violations(self.fleet)), 1)

    def test_resource_limit_check(self) -> None:
        self.fleet.processes = {"r0": os.getpid()}
        limits = checks.ResourceLimitCheck()
        limits.observe(self.fleet, {})
        self.assertGreater(limits.max_memory_mb, 1.0)
        with mock.patch.object(checks, "MAX_MEMORY_MB", 1), mock.patch.object(checks, "MAX_DESCRIPTORS", 1):
            self.assertEqual(len(limits.violations(self.fleet)), 2)

    def test_quota_check(self) -> None:
        self.fleet.log("r0.1", (1.0, 0.5), (3.0, 0.75))
        self.fleet.log("r1.1", (1.0, 0.5), (2.0, 0.25))
        self.assertEqual(checks.QuotaCheck().violations(self.fleet), [])
        self.fleet.log("r1.1", (1.0, 0.5), (3.1, 0.25))
        self.assertEqual(checks.QuotaCheck().max_total(self.fleet), (1.25, 3.0))
        self.assertEqual(len(checks.QuotaCheck().violations(self.fleet)), 1)
        self.fleet.spans = [Halt("r1", 1, 2.5, float("inf"))]  # dead before the other's quota grew
        self.assertEqual(checks.QuotaCheck().violations(self.fleet), [])

    def test_quotas_during_a_replacement(self) -> None:
        self.fleet.log("r0.1", (1.0, 0.6))
        self.fleet.log("r1.1", (1.0, 0.4), (3.0, 0.2))
        self.fleet.log("r1.2", (2.0, 0.2))
        self.assertEqual(checks.QuotaCheck().violations(self.fleet), [])
        self.fleet.log("r1.2", (2.0, 0.4))
        self.assertEqual(len(checks.QuotaCheck().violations(self.fleet)), 1)

    def test_a_drain_binds_a_router_from_when_it_could_know_of_it(self) -> None:
        published_s = time.time() - 1.0
        for known_s, expected_violations in ((published_s, 2), (time.time(), 0)):
            rules = ProtocolChecker(0.05, lambda ident, published_s, known_s=known_s: known_s)  # type: ignore[misc]
            rules.drains_published_s["s-box1-1"] = published_s
            rules.attempt_started("00ab", "s-box1-1")
            rules.endpoint_used("00ac", "s-box1-1", "used as a fill source")
            self.assertEqual(rules.violations.get("drain", 0), expected_violations)

    def test_a_second_attempt_is_a_violation_unless_the_settings_allow_hedging(self) -> None:
        for copies, stores, expected_violations in (
            ((), ("a", "b"), 1),
            (("picture",), ("a", "b"), 0),
            (("picture",), ("a", "a"), 1),
            (("picture",), ("a", "b", "c"), 1),
            (("order",), ("a", "b"), 1),
        ):
            with self.subTest(copies=copies, stores=stores):
                rules = ProtocolChecker(hedged_classes=copies)
                for store in stores:
                    rules.attempt_started("00ab", store, "picture")
                for store in stores:
                    rules.attempt_ended("00ab", store)
                # No hedged request: all earlier attempts have ended.
                rules.attempt_started("00ab", "d", "picture")
                self.assertEqual(rules.violations.get("second attempt", 0), expected_violations)

    def test_hedged_classes_are_read_from_the_settings(self) -> None:
        data = emulated_installation.router_settings("r0", 1, 2)
        for allowed, wanted in ((False, set()), (True, {"picture"})):
            attempts = {**data.get("attempts", {}), "second-copies": allowed}
            document = load_data(data | {"attempts": attempts}).document
            self.assertEqual(emulated_installation.hedged_classes(document), wanted)

    def test_a_copy_from_before_a_purge(self) -> None:
        rules = ProtocolChecker(0.05)
        now = time.time()
        rules.purges_s["k"] = now - 2.0, now - 1.0
        # Requested before the purge notice period has passed.
        rules.copy_served("k", int((now - 3.0) * 1000), now - 0.9)
        self.assertEqual(rules.violations, {})
        rules.copy_served("k", int((now - 3.0) * 1000), now - 0.1)
        self.assertEqual(rules.violations, {"purge": 1})


class RelayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.network = Network()
        self.received = b""
        self.server = await asyncio.start_server(self.echo, "127.0.0.1", 0)
        self.proxy = LinkProxy(self.network, "r1", "box1", self.server.sockets[0].getsockname()[1])
        await self.proxy.start()
        self.addCleanup(self.server.close)
        self.addCleanup(self.proxy.close)

    async def echo(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while data := await reader.read(1024):
            self.received += data
            writer.write(data)
        writer.close()

    async def wait_until(self, is_reached: object) -> None:
        async with asyncio.timeout(WAIT_LIMIT_S):
            while not is_reached():  # type: ignore[operator]
                await asyncio.sleep(0.01)

    async def test_each_direction_is_cut_independently_and_no_data_is_lost(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.proxy.port)
        self.addCleanup(writer.close)
        self.network.add_fault("cut from box1", "box1", ANY_ROUTER, LinkFault(cut=True))
        writer.write(b"one")
        await self.wait_until(lambda: self.received == b"one")
        self.network.add_fault("cut to box1", "r1", "box1", LinkFault(cut=True))
        writer.write(b"two")
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.readexactly(1)
        self.assertEqual(self.received, b"one")
        self.network.remove_fault("cut from box1")
        self.network.remove_fault("cut to box1")
        async with asyncio.timeout(WAIT_LIMIT_S):
            self.assertEqual(await reader.readexactly(6), b"onetwo")

    async def test_open_connections_are_reset_and_new_ones_at_once(self) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.proxy.port)
        writer.write(b"one")
        await reader.readexactly(3)
        self.network.add_fault("broken", "*", "box1", LinkFault(reset=True))
        for _ in range(2):
            with self.assertRaises(ConnectionError):
                async with asyncio.timeout(WAIT_LIMIT_S):
                    if await reader.read(1) == b"":
                        raise AssertionError("found the end of the stream, expected a connection reset")
            reader, writer = await asyncio.open_connection("127.0.0.1", self.proxy.port)
        self.network.remove_fault("broken")
        writer.close()
        await self.wait_until(lambda: self.proxy.open_connections == 0)

    async def test_a_silent_peer_accepts_and_forwards_nothing(self) -> None:
        self.network.add_fault("silent", "r1", "*", LinkFault(silent=True))
        reader, writer = await asyncio.open_connection("127.0.0.1", self.proxy.port)
        self.addCleanup(writer.close)
        writer.write(b"one")
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.2):
                await reader.read(1)
        self.assertEqual(self.received, b"")
        self.network.remove_fault("silent")
        async with asyncio.timeout(WAIT_LIMIT_S):
            self.assertEqual(await reader.readexactly(3), b"one")

    async def test_a_reset_by_one_end_is_forwarded_to_the_other(self) -> None:
        """Guards against a client that waits until its time limit for the answer to a request that was sent
        while the router closed the connection: the proxy did not forward the reset."""

        async def resets(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await reader.read(1024)
            linger_option = struct.pack("ii", 1, 0)
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger_option)
            writer.transport.abort()

        server = await asyncio.start_server(resets, "127.0.0.1", 0)
        self.addCleanup(server.close)
        proxy = LinkProxy(self.network, "clients", "r1", server.sockets[0].getsockname()[1])
        await proxy.start()
        self.addCleanup(proxy.close)
        reader, writer = await asyncio.open_connection("127.0.0.1", proxy.port)
        self.addCleanup(writer.close)
        writer.write(b"one")
        async with asyncio.timeout(WAIT_LIMIT_S):
            # The client has to see either a reset or the end of the stream.
            with contextlib.suppress(ConnectionError):
                self.assertEqual(await reader.read(1), b"")

    async def test_faults_of_other_links_have_no_effect(self) -> None:
        for source, target in (("r2", "box1"), ("r1", "box2"), ("log", "r1"), (ANY_ROUTER, ANY_ROUTER)):
            self.network.add_fault("other link", source, target, LinkFault(cut=True, reset=True, silent=True))
        reader, writer = await asyncio.open_connection("127.0.0.1", self.proxy.port)
        self.addCleanup(writer.close)
        writer.write(b"one")
        async with asyncio.timeout(WAIT_LIMIT_S):
            self.assertEqual(await reader.readexactly(3), b"one")


class ClientConnectionTest(unittest.IsolatedAsyncioTestCase):
    """Laboratory clients follow the protocol page, so that requests they count as lost are really lost."""

    async def asyncSetUp(self) -> None:
        self.streams_by_connection: list[list[int]] = []  # stream ids of the requests on each connection
        self.endings = ["go away", "close"]  # what the router does on its first connections, in order
        self.server = await asyncio.start_server(self.router, "127.0.0.1", 0)
        self.addCleanup(self.server.close)
        self.client = ClientConnection(self.server.sockets[0].getsockname()[1], resend_window_s=WAIT_LIMIT_S)
        self.addCleanup(self.client.close)

    async def router(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        streams: list[int] = []
        self.streams_by_connection.append(streams)
        parser, ending = frames.FrameParser(), self.endings.pop(0) if self.endings else ""
        while data := await reader.read(1024):
            for frame in parser.feed(data):
                streams.append(frame.stream_id)
                if ending == "close":
                    writer.close()
                    return
                go_away = frames.frame_head(FrameType.GO_AWAY, 0) if ending == "go away" else b""
                writer.write(go_away + frames.response_head(frame.stream_id, ResponseCode.OK, {}, 0))
        writer.close()

    async def request_code(self) -> object:
        answer = await self.client.request({"i": "0" * 16, "o": "1" * 16}, b"", WAIT_LIMIT_S)
        return answer if isinstance(answer, NoAnswer) else answer.code

    async def test_a_client_reconnects_after_go_away_and_resends_a_request_that_crossed_a_close(self) -> None:
        self.assertEqual(await self.request_code(), ResponseCode.OK)  # and receives GO_AWAY
        # The router closes the second connection, and the client sends the request again on a third.
        self.assertEqual(await self.request_code(), ResponseCode.OK)
        self.assertEqual(await self.request_code(), ResponseCode.OK)
        self.assertEqual(self.streams_by_connection, [[1], [1], [1, 2]])

    async def test_a_request_dropped_twice_or_after_the_resend_window_is_lost(self) -> None:
        self.endings = ["close", "close", "close"]
        self.assertEqual(await self.request_code(), NoAnswer.RACED_WITH_CLOSE)
        self.client = ClientConnection(self.server.sockets[0].getsockname()[1], resend_window_s=0.0)
        self.assertEqual(await self.request_code(), NoAnswer.DISCONNECTED)
        self.assertEqual(self.streams_by_connection, [[1]] * 3)

    async def test_without_a_listener_no_request_is_sent(self) -> None:
        self.server.close()
        self.assertEqual(await self.request_code(), NoAnswer.NOT_CONNECTED)


class SkewedClockTest(unittest.TestCase):
    def test_a_skewed_clock_is_monotonic_and_only_the_wall_clock_is_stepped(self) -> None:
        with tempfile.TemporaryDirectory() as folder, mock.patch("time.monotonic_ns") as monotonic_ns:
            path = Path(folder) / "clock"
            monotonic_ns.return_value = 1_000_000_000
            skewed_clock.write_clock(path)
            clock = skewed_clock.SkewedTimeSource(path)
            steady, wall = clock.steady_us(), clock.unix_us()
            skewed_clock.write_clock(path, step_us=-5_000_000, rate=2.0)
            self.assertEqual(clock.steady_us(), steady)  # a new rate applies from now on
            self.assertAlmostEqual(clock.unix_us(), wall - 5_000_000, delta=2)
            monotonic_ns.return_value += 1_000_000_000
            self.assertEqual(clock.steady_us(), steady + 2_000_000)
            skewed_clock.write_clock(path, rate=0.5)
            self.assertEqual(clock.steady_us(), steady + 2_000_000)
            monotonic_ns.return_value += 1_000_000_000
            self.assertEqual(clock.steady_us(), steady + 2_500_000)
            self.assertAlmostEqual(clock.unix_us(), wall + 2_500_000, delta=2)


if __name__ == "__main__":
    unittest.main()
