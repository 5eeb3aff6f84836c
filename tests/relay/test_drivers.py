"""Source, relays and followers over real gRPC streams in one event loop, with failures between them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import tempfile
import time
import unittest
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any
from unittest import mock

import grpc
import grpc.aio

from magpieshift import clock
from magpieshift.control import sexp
from magpieshift.control.document_changes import document_digest
from magpieshift.control.grpc_channel import FOLLOW_METHOD
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.lab.fault_injection.ports import free_port
from magpieshift.relay import decoding, encoding
from magpieshift.relay.change_log_reader import DelayWindow
from magpieshift.relay.errors import SourceSupersededError
from magpieshift.relay.instructions import ApplyEntries
from magpieshift.relay.messages import NO_EPOCH, Batch, ConfigurationChange, Epoch, Join, Progress
from magpieshift.relay.node import RelayNode, RelayOptions, SourceNode
from magpieshift.relay.service import MAX_UPSTREAM_BYTES, RelayService, StreamDriver
from tests.relay.driver_fixtures import PATIENCE_S, RelayCase, Router, loopback_address

ABORT_DELAY_S = 0.05
"""Time until the end status of a stream is sent, where a test delays it."""


class FailingRelay(RelayNode):
    """A relay that ends all its streams after receiving a batch, before it sends that batch to its
    followers."""

    is_failing = False

    def apply_entries(self, batch: ApplyEntries) -> None:
        super().apply_entries(batch)
        if self.is_failing:
            self.service.end_streams("killed")
            self.stop()


class RawFollower:
    """A follower's stream on which the test sends and receives each message itself."""

    def __init__(self, port: int) -> None:
        # with HTTP/2's initial flow-control window, the peer's writes soon block if nothing is read
        options = [("grpc.max_receive_message_length", -1), ("grpc.http2.bdp_probe", 0)]
        self._channel = grpc.aio.insecure_channel(f"127.0.0.1:{port}", options=options)
        self.call: Any = self._channel.stream_stream(FOLLOW_METHOD)()
        self.probes = 0

    async def join(self, name: str, epoch: Epoch = NO_EPOCH, applied: int = 0) -> None:
        await self.call.write(encoding.encode_upstream(Join(name, "boot", epoch, applied, "")))

    async def probe(self, epoch: Epoch = NO_EPOCH, applied: int = 0) -> None:
        self.probes += 1
        await self.call.write(encoding.encode_upstream(Progress(epoch, applied, self.probes, applied, "")))

    async def code(self) -> Any:
        return await self.call.code()

    async def close(self) -> None:
        self.call.cancel()
        await self._channel.close()


class Distribution(RelayCase):
    async def test_purges_come_through_a_source_and_two_relays_in_order(self) -> None:
        self.purge(3)
        source, source_port = await self.source()
        first, first_port = await self.relay("a", source_port)
        _, second_port = await self.relay("b", source_port)
        routers = [self.router(f"r{n}", port) for n, port in enumerate([first_port, second_port, first_port])]
        await self.wait_for_leases(*routers)
        self.purge(200)
        await self.wait_for_purges(*routers)
        for router in routers:
            self.assertEqual(router.purged, self.keys)
        # a batch's entries are serialized once for all followers of a relay
        cache = first.service._messages
        counters = first.service.counters
        self.assertGreaterEqual(counters.batches, 2 * cache.serialized_count - 3)
        await self.wait_until(
            lambda: source.report().followers_count == 5, "the relays have reported their followers"
        )
        self.assertEqual([each.name for each in source.report().followers], ["a", "b"])


class Failures(RelayCase):
    async def test_a_relay_killed_between_receiving_and_forwarding_a_batch(self) -> None:
        """No entry is lost or out of order, and the watermark covers no entry that a router with a lease has
        not applied."""
        source, source_port = await self.source()
        _, second = await self.relay("b", source_port)

        first = FailingRelay(RelayOptions([loopback_address(source_port)], "127.0.0.1:0", "a", "north"))
        first_port = await self.node(first)
        routers = [self.router(f"r{n}", first_port, second) for n in range(3)]
        await self.wait_for_leases(*routers)
        self.purge(20)
        await self.wait_for_purges(*routers)
        first.is_failing = True
        self.purge(20)
        while not all(self.keys[-1] in router.purged for router in routers):
            self.check_watermark(source, routers)
            await asyncio.sleep(0.01)
        for router in routers:
            self.assertEqual(router.purged, self.keys)
            self.assertEqual(router.client.relay.address, f"127.0.0.1:{second}")
        self.assertEqual([router.follower.applied for router in routers], [source.log.head] * 3)

    def check_watermark(self, source: SourceNode, routers: list[Router]) -> None:
        done = source.fanout.watermark(clock.source.steady_us())
        for router in routers:
            if router.holds_lease:
                self.assertLessEqual(done, router.follower.applied)

    async def test_a_follower_that_reads_nothing_does_not_delay_others(self) -> None:
        source, port = await self.source()
        router = self.router("r1", port)
        blocked = RawFollower(port)
        self.addAsyncCleanup(blocked.close)
        await self.wait_for_leases(router)
        await blocked.join("blocked")
        await blocked.probe()
        stream = await self.stream(source, "blocked")

        self.large_change()
        await self.wait_until(lambda: stream.writing, "a write is blocked")
        for _ in range(5):
            await blocked.probe()
            self.large_change()
            self.purge(3)
            await self.wait_for_purges(router)
        self.assertEqual(router.purged, self.keys)
        self.assertTrue(stream.writing)

        # the follower sends nothing more: its stream is ended although a write is in flight
        await self.wait_until(lambda: stream not in source.service._streams.values(), "the stream is gone")
        self.assertEqual(source.service.counters.silent_streams, 1)
        self.purge(3)
        await self.wait_for_purges(router)
        self.assertEqual(router.purged, self.keys)

    def large_change(self) -> None:
        self.changes.publish(fleet={"revision": 1, "members": [], "padding": "x" * 200_000})

    async def stream(self, source: SourceNode, name: str) -> StreamDriver:
        streams = source.service._streams
        await self.wait_until(lambda: any(s.name == name for s in streams.values()), f"{name} joins")
        return next(s for s in streams.values() if s.name == name)

    async def test_a_slow_follower_receives_everything_once_it_reads(self) -> None:
        source, port = await self.source()
        slow = RawFollower(port)
        self.addAsyncCleanup(slow.close)
        await slow.join("slow")
        stream = await self.stream(source, "slow")
        epoch = source.log.epoch
        await slow.probe()
        self.large_change()
        await self.wait_until(lambda: stream.writing, "a write is blocked")
        for _ in range(20):
            self.large_change()
            self.purge(3)
            await slow.probe()
            await asyncio.sleep(0.02)  # so that the changes are spread over several batches
        purged_keys: list[str] = []
        applied = 0
        async with asyncio.timeout(30.0):
            while not purged_keys or purged_keys[-1] != self.keys[-1]:
                message = decoding.decode_downstream(await slow.call.read())
                if isinstance(message, Batch):
                    self.assertLessEqual(message.first, applied + 1)
                    entries, applied = message.entries, message.last
                else:
                    assert not isinstance(message, ConfigurationChange)
                    entries, applied = message.purges, message.applied
                purged_keys += [entry.key for entry in entries if hasattr(entry, "key")]
                await slow.probe(epoch, applied)
        self.assertEqual(purged_keys, self.keys)

    async def test_a_cut_longer_than_the_log_ends_with_a_snapshot(self) -> None:
        source, source_port = await self.source()
        relay, relay_port = await self.relay("a", source_port, log_entries=20)
        proxy = await self.proxy(relay_port)
        router = self.router("r1", proxy.port)
        await self.wait_for_leases(router)
        self.purge(5)
        await self.wait_for_purges(router)
        proxy.to_follower = proxy.to_node = False
        missed = self.purge(60)
        await self.wait_until(
            lambda: relay.follower.applied == source.log.head == 65, "the relay has applied all entries"
        )
        proxy.to_follower = proxy.to_node = True
        await self.wait_for_purges(router)
        self.assertEqual(len(router.snapshots), 2)  # the initial one, and one after the cut
        self.assertLessEqual(set(missed), {purge.key for purge in router.snapshots[1].purges})
        self.assertEqual(router.follower.applied, 65)
        self.purge(5)
        await self.wait_for_purges(router)
        self.assertEqual(router.purged[-5:], self.keys[-5:])

    async def test_lost_acknowledgements_hold_back_the_watermark_until_the_lease_lapses(self) -> None:
        source, port = await self.source()
        proxy = await self.proxy(port)
        router, other = self.router("cut", proxy.port), self.router("connected", port)
        await self.wait_for_leases(router, other)
        proxy.to_node = False
        self.purge(5)
        head = 5
        await self.wait_until(lambda: source.log.head == head, "the purges are in the source's log")
        await self.wait_until(lambda: other.follower.applied == head, "the connected router has applied them")
        await self.wait_until(
            lambda: source.fanout.watermark(clock.source.steady_us()) == head,
            "the watermark reaches the head",
        )
        self.assertTrue(not router.holds_lease or router.follower.applied == head)

    async def test_a_restarted_source_is_followed_in_its_new_epoch(self) -> None:
        port = free_port()
        first = SourceNode(self.source_options(f"127.0.0.1:{port}"))
        await self.node(first)
        relay, relay_port = await self.relay("a", port)
        router = self.router("r1", relay_port)
        await self.wait_for_leases(router)
        self.purge(5)
        await self.wait_for_purges(router)
        before = router.follower.epoch
        first.stop()
        await self.wait_until(lambda: not first.service._streams, "the first source has ended all streams")
        self.purge(5)
        second = SourceNode(self.source_options(f"127.0.0.1:{port}"))
        await self.node(second)
        await self.wait_until(
            lambda: router.follower.epoch == second.log.epoch, "the router follows the new epoch"
        )
        self.assertGreater(router.follower.epoch, before)
        self.purge(5)
        await self.wait_for_purges(router)
        self.assertLessEqual(set(self.keys), set(router.purged))
        self.assertEqual(relay.log.epoch, second.log.epoch)

    async def test_a_source_ends_when_a_follower_knows_a_newer_one(self) -> None:
        source = SourceNode(self.source_options("127.0.0.1:0"))
        serving: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        running = asyncio.ensure_future(source.run(serving.set_result))
        late = RawFollower(await serving)
        self.addAsyncCleanup(late.close)
        newer = Epoch(source.log.epoch.term + 1, 1)
        with self.assertLogs("magpieshift.relay", logging.ERROR), self.assertRaises(SourceSupersededError):
            await late.join("late", newer, 7)
            await running
        self.assertIs(await late.code(), grpc.StatusCode.FAILED_PRECONDITION)

    async def test_the_end_status_of_a_stream_arrives_though_its_source_stops(self) -> None:
        """Guards against a follower that is told of a broken connection in place of a newer source."""
        follow = RelayService._follow

        async def follow_with_slow_end(service: RelayService, requests: Any, context: Any) -> None:
            await follow(service, requests, SlowlyAbortedContext(context))

        with mock.patch.object(RelayService, "_follow", follow_with_slow_end):
            await self.test_a_source_ends_when_a_follower_knows_a_newer_one()


class SlowlyAbortedContext:
    """The context of a stream whose end status takes some time until it is sent."""

    def __init__(self, context: Any) -> None:
        self._context = context

    def __getattr__(self, name: str) -> Any:
        return getattr(self._context, name)

    async def abort(self, code: Any, details: str) -> None:
        await asyncio.sleep(ABORT_DELAY_S)
        await self._context.abort(code, details)


class ZeroDelayRandom(random.Random):
    """Draws 0 for every random delay."""

    def uniform(self, a: float, b: float) -> float:
        return 0.0


class Return(RelayCase):
    async def test_a_follower_returns_to_a_preferred_relay_and_releases_its_lease_at_the_other(self) -> None:
        _, source_port = await self.source()
        other, other_port = await self.relay("b", source_port)
        better_port, releases = free_port(), RecordingFanout(other)
        router = Router(
            "r1", [loopback_address(better_port), loopback_address(other_port)], ZeroDelayRandom()
        )
        router.client.start()
        self.addAsyncCleanup(router.client.stop)
        await self.wait_for_leases(router)
        self.purge(5)
        await self.wait_for_purges(router)
        self.assertEqual(router.client.relay, loopback_address(other_port))

        options = RelayOptions([loopback_address(source_port)], f"127.0.0.1:{better_port}", "a", "north")
        better = RelayNode(options, random.Random(1))
        later_releases = RecordingFanout(better)
        await self.node(better)
        await self.wait_until(
            lambda: router.client.relay == loopback_address(better_port),
            "the router returns to the better relay",
        )
        await self.wait_until(lambda: bool(better.service.counters.joins), "the better relay counts a join")

        await self.wait_until(lambda: releases.released, "the router releases its lease at the other relay")
        self.assertTrue(router.holds_lease)
        self.purge(5)
        await self.wait_for_purges(router)
        self.assertEqual(router.purged, self.keys)
        await router.client.stop()
        await self.wait_until(lambda: later_releases.released, "the router releases its lease when it stops")


class RecordingFanout:
    """Records the progress messages of a node's followers, and passes them on."""

    def __init__(self, node: RelayNode) -> None:
        self._progress = node.fanout.receive_progress
        self.received: list[Progress] = []
        node.fanout.receive_progress = self.progress  # type: ignore[method-assign]

    def progress(self, stream: int, progress: Progress, now_us: int) -> None:
        self.received.append(progress)
        self._progress(stream, progress, now_us)

    @property
    def released(self) -> bool:
        """Whether the last message released the follower's lease."""
        return bool(self.received) and self.received[-1].lease_released


class BlockedRelay(grpc.GenericRpcHandler):  # type: ignore[misc]  # the library is not typed
    """A relay that reads no messages of its follower until ``reads`` is set."""

    def __init__(self) -> None:
        self.reads = asyncio.Event()
        self.progress: list[Progress] = []
        self.port = 0

    async def start(self) -> None:
        # with HTTP/2's initial flow-control window, the peer's writes soon block if nothing is read
        self.server = grpc.aio.server(
            options=[("grpc.http2.bdp_probe", 0), ("grpc.max_receive_message_length", -1)]
        )
        self.server.add_generic_rpc_handlers((self,))
        self.port = self.server.add_insecure_port("127.0.0.1:0")
        await self.server.start()

    def service(self, details: Any) -> Any:
        return grpc.stream_stream_rpc_method_handler(self._follow)

    async def _follow(self, requests: AsyncIterator[bytes], context: Any) -> None:
        await self.reads.wait()
        async for data in requests:
            message = wire.FromRouter.FromString(data)
            if message.HasField("progress"):
                self.progress.append(
                    Progress(
                        NO_EPOCH, 0, message.progress.probe, 0, "", lease_released=message.progress.released
                    )
                )


class StopDuringWrite(RelayCase):
    """A process stops while its acknowledgement is still being written, because its relay reads slowly.
    Guards against a second concurrent write, which gRPC does not allow: the last message failed, and the
    planned shutdown ended with a traceback."""

    async def follower_during_write(self, relay: BlockedRelay) -> Router:
        """A follower whose first acknowledgement is not read by the relay."""
        await relay.start()
        self.addAsyncCleanup(relay.server.stop, 0)
        router = Router("r1", [loopback_address(relay.port)])
        router.follower.rejection_reason = "x" * (4 << 20)
        router.client.start()
        self.addAsyncCleanup(router.client.stop)
        await self.wait_until(
            lambda: router.follower.next_progress_us() > clock.source.steady_us(),
            "an acknowledgement is being written",
        )
        return router

    async def test_a_relay_that_reads_nothing_does_not_delay_the_shutdown_or_cause_an_error(self) -> None:
        router = await self.follower_during_write(BlockedRelay())
        with self.assertNoLogs("magpieshift.relay", logging.WARNING):
            async with asyncio.timeout(PATIENCE_S):
                await router.client.stop()

    async def test_the_last_message_follows_the_write_in_flight(self) -> None:
        relay = BlockedRelay()
        router = await self.follower_during_write(relay)
        with mock.patch("magpieshift.relay.connection.LAST_WRITE_TIMEOUT_S", PATIENCE_S):
            stopping = asyncio.ensure_future(router.client.stop())
            await asyncio.sleep(0)  # the last message waits for the write in flight
            self.assertFalse(stopping.done())
            relay.reads.set()
            await stopping
        self.assertEqual(
            [(each.probe, each.lease_released) for each in relay.progress], [(1, False), (2, True)]
        )


class InvalidMessages(RelayCase):
    """Malformed and oversized messages."""

    async def test_a_malformed_message_of_a_follower_ends_only_its_stream(self) -> None:
        source, port = await self.source()
        router = self.router("r1", port)
        await self.wait_for_leases(router)
        hello = wire.FromRouter(hello=wire.Hello(router="r")).SerializeToString()
        progress = encoding.encode_upstream(Progress(NO_EPOCH, 0, 1, 0, ""))
        for data in (b"\xff\xff", b"", hello, progress):
            bad = RawFollower(port)
            with self.assertLogs("magpieshift.relay.service", logging.WARNING) as logged:
                await bad.call.write(data)
                self.assertIs(await bad.code(), grpc.StatusCode.INVALID_ARGUMENT)
            self.assertEqual(len(logged.records), 1)
            self.assertIn("found", await bad.call.details())
            await bad.close()
        self.assertEqual(source.service.counters.rejected_streams, 4)
        large = RawFollower(port)
        await large.call.write(b"x" * (MAX_UPSTREAM_BYTES + 1))
        self.assertIs(await large.code(), grpc.StatusCode.RESOURCE_EXHAUSTED)
        await large.close()
        self.purge(5)
        await self.wait_for_purges(router)

    async def test_a_malformed_message_of_a_relay_is_logged_once_and_not_applied(self) -> None:
        _, port = await self.source()
        for garbage in (
            b"\xff\xff\xff",
            encoding.encode_downstream(Batch(Epoch(1 << 60, 1), 1, (), None))[:-1],
            b"x" * (decoding.MAX_SNAPSHOT_BYTES + 1),
        ):
            with self.subTest(len(garbage)):
                garbage_relay = await self.garbage_relay(garbage)
                with self.assertLogs("magpieshift.relay.client", logging.WARNING) as logged:
                    router = self.router(f"r{len(garbage)}", garbage_relay, port)
                    await self.wait_for_leases(router)
                events = [record.getMessage() for record in logged.records]
                self.assertEqual(events, ["malformed message"])
                self.assertEqual(router.follower.highest_epoch.term < 1 << 60, True)
                self.purge(5)
                await self.wait_for_purges(router)
                self.assertEqual(router.purged, self.keys)

    async def garbage_relay(self, garbage: bytes) -> int:
        """Start a relay that sends ``garbage`` to every follower; returns its port."""

        class Handler(grpc.GenericRpcHandler):  # type: ignore[misc]
            def service(self, details: Any) -> Any:
                return grpc.stream_stream_rpc_method_handler(follow)

        async def follow(requests: AsyncIterator[bytes], context: Any) -> None:
            await context.write(garbage)
            with contextlib.suppress(grpc.aio.BaseError):
                async for _ in requests:
                    pass

        server = grpc.aio.server(options=[("grpc.max_send_message_length", -1)])
        server.add_generic_rpc_handlers((Handler(),))
        port = server.add_insecure_port("127.0.0.1:0")
        await server.start()
        self.addAsyncCleanup(server.stop, 0)
        return int(port)


class Versions(RelayCase):
    async def test_versions_pass_as_deltas_encoded_once_and_in_full_on_request(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            self.publish(folder, 1, {"a": {"b": 1}, "c": [1, 2]})
            source, source_port = await self.source(folder)
            relay, relay_port = await self.relay("a", source_port)
            routers = [self.router(f"r{n}", relay_port) for n in range(3)]
            await self.wait_for_leases(*routers)
            self.publish(folder, 2, {"a": {"b": 2}, "c": [1, 2]})
            for router in routers:
                await self.wait_until(lambda router=router: bool(router.entries), "a version arrives")  # type: ignore[misc]
        for router in routers:
            full = router.snapshots[0].configuration
            assert full is not None
            self.assertEqual((full.number, full.base_digest), (1, ""))
            (change,) = router.entries
            assert isinstance(change, ConfigurationChange)
            self.assertEqual((change.number, change.base_digest), (2, full.digest))
        self.assertEqual(relay.service.counters.entries, 3)

        # a router that could not apply the delta requests the complete version
        routers[0].follower.wants_full = True
        await self.wait_until(lambda: bool(routers[0].full_versions), "the complete version")
        found = routers[0].full_versions[0]
        data = sexp.parse(found.content.decode()).data
        self.assertEqual((found.number, found.digest, data["a"]), (2, document_digest(data), {"b": 2}))

    def publish(self, folder: str, number: int, data: dict[str, Any]) -> None:
        part = Path(folder) / f"{number}.new"
        part.write_text(sexp.format_document(data))
        part.rename(Path(folder) / f"{number}.sexp")


class SourceAge(RelayCase):
    """The age of a source's knowledge, as derived from its reads of the change log."""

    async def test_a_source_ages_while_its_change_log_is_unreachable(self) -> None:
        proxy = await self.proxy(self.changes.port)
        source = SourceNode(self.source_options("127.0.0.1:0", log_port=proxy.port))
        await self.node(source)

        def age_us() -> int | None:
            return source.age_us(clock.source.steady_us())

        await self.wait_until(lambda: age_us() is not None, "the change log's history is read")
        cut_us = clock.source.steady_us()
        proxy.to_follower = False
        await self.wait_until(lambda: (age_us() or 0) > 3_000_000, "the source's age grows")
        # the age covers the whole time since the cut, although the source tries to reconnect
        self.assertGreaterEqual(age_us() or 0, clock.source.steady_us() - cut_us)
        proxy.to_follower = True
        await self.wait_until(lambda: (age_us() or 1 << 60) < 2_000_000, "the source is current again")

    async def test_a_delayed_event_raises_the_age_of_the_source(self) -> None:
        source, _ = await self.source()
        late_ms = int(time.time() * 1000) - 60_000
        self.changes.publish(invalidate={"object": "0" * 15 + "1", "time": late_ms})
        await self.wait_until(lambda: source.log.head == 1, "the purge")
        self.assertGreaterEqual(source.age_us(clock.source.steady_us()) or 0, 60_000_000)

    def test_delays_expire_with_their_window(self) -> None:
        delays = DelayWindow()
        delays.record(-5, 0)
        self.assertEqual(delays.largest_us(0), 0)
        delays.record(70, 1)
        delays.record(20, 6_000_000)
        self.assertEqual(delays.largest_us(6_000_001), 70)
        self.assertEqual(delays.largest_us(10_000_000), 20)
        self.assertEqual(delays.largest_us(21_000_000), 0)

    async def test_an_unusable_event_is_logged_once_and_skipped(self) -> None:
        source, _ = await self.source()
        now_ms = int(time.time() * 1000)
        bad: list[dict[str, Any]] = [
            {"fleet": {"members": [], "padding": "x" * (1 << 20)}},
            {"invalidate": {"bucket": 1 << 70, "time": now_ms}},
            {"invalidate": {"object": "zz", "time": now_ms}},
            {"invalidate": {"object": "a", "time": -5}},
        ]
        with self.assertLogs("magpieshift.discovery", logging.WARNING) as logged:
            for event in bad:
                self.changes.publish(**event)
            self.purge(1)
            await self.wait_until(lambda: source.log.head >= 1, "the purge")
        self.assertEqual(len(logged.records), len(bad))
        self.assertEqual(source.log.head, 1)


if __name__ == "__main__":
    unittest.main()
