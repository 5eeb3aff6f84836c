"""The control channel over real gRPC on loopback, between a version manager with a fake router and a control
service that is killed, loses its versions, goes back to older ones, and sends malformed messages."""

import asyncio
import logging
import random
import tempfile
import unittest
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from magpieshift.config import Document
from magpieshift.config_transaction import Prepared, RunningSettings, prepare
from magpieshift.control import sexp
from magpieshift.control.backoff import INITIAL_BACKOFF_S, MAX_BACKOFF_S, STABLE_CONNECTION_S, Backoff
from magpieshift.control.client import ControlClient
from magpieshift.control.publisher import PublishedVersion, Publisher
from magpieshift.control.router_session import RouterSession
from magpieshift.control.schema import load_text
from magpieshift.control.service import ControlService, RouterStream
from magpieshift.control.stored_versions import StoredVersion, read_store
from magpieshift.control.version_manager import VersionManager
from magpieshift.control.version_records import (
    OfferOutcome,
    RejectionReason,
    VersionOffer,
    VersionRecord,
    VersionState,
)
from magpieshift.control.version_startup import first_version
from magpieshift.control.version_store import VersionStore
from magpieshift.control.wire import control_pb2 as wire
from tests.recorded.exchange import ROOT, WAIT_TIMEOUT_S

TEXT = (ROOT / "deploy" / "magpieshift.sexp").read_text()
START = load_text(TEXT)


def version(number: int, **entries: Any) -> PublishedVersion:
    return PublishedVersion.parse(
        number, sexp.format_document(dict(START.data) | {"retry-after-ms": 100 + number} | entries)
    )


class FakeRouter:
    """A router whose preparation blocks or fails as the test sets it."""

    part = "fake"

    def __init__(self) -> None:
        self.document, self.version = START.document, 0
        self.preparation_gate: asyncio.Event | None = None
        self.preparation_error: Exception | None = None

    def running(self) -> Mapping[str, RunningSettings]:
        return {"fake": {"retry_us": self.document.settings.max_retry_after_us}}

    async def prepare(self, document: Document) -> Prepared:
        if self.preparation_gate is not None:
            await self.preparation_gate.wait()
        if self.preparation_error is not None:
            raise self.preparation_error
        return await prepare([], self.document, document)

    def commit(self, prepared: Prepared, version: int) -> None:
        self.document, self.version = prepared.document, version


class ChannelCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.router, self.service = Path(folder.name), FakeRouter(), ControlService()
        self.answers: list[OfferOutcome] = []
        self.received: list[wire.FromRouter] = []
        self.manager = self.new_manager()
        await self.service.start("127.0.0.1:0")
        self.port = self.service.port
        self.service.on_message = lambda stream, data: self.received.append(wire.FromRouter.FromString(data))
        self.client = ControlClient(f"127.0.0.1:{self.port}", self.manager, "r1", "b1", random.Random(1))
        self.log_patches = (
            mock.patch("magpieshift.control.version_manager.log"),
            mock.patch("magpieshift.control.client.log"),
        )
        for patch in self.log_patches:
            patch.start()
            self.addCleanup(patch.stop)
        self.manager.start()
        self.client.start()
        await self.wait_until(lambda: bool(self.service.streams) and self.received != [])

    async def asyncTearDown(self) -> None:
        await self.client.stop()
        await self.manager.stop()
        await self.service.stop()

    def new_manager(self) -> VersionManager:
        store = VersionStore(self.folder)
        versions, loaded = first_version(START, store, "test")
        manager = VersionManager(self.router, versions, loaded.data, store)
        manager.listeners.append(lambda answer, apply_us, pause_us: self.answers.append(answer))
        return manager

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.002)

    async def wait_for_answer(self, number: int) -> wire.Answer:
        def matching() -> list[wire.Answer]:
            return [
                m.answer
                for m in self.received
                if m.WhichOneof("said") == "answer" and m.answer.number == number
            ]

        await self.wait_until(lambda: bool(matching()))
        return matching()[-1]

    async def restart_service(self, publisher: Publisher) -> None:
        """Stop the service and start another one with this publisher on the same port."""
        await self.service.stop()
        self.service = ControlService(publisher)
        self.service.on_message = lambda stream, data: self.received.append(wire.FromRouter.FromString(data))
        self.received.clear()
        await self.service.start(f"127.0.0.1:{self.port}")
        await self.wait_until(lambda: bool(self.received))

    @property
    def stream(self) -> RouterStream:
        return next(iter(self.service.streams))


class WriterOfAStream(ChannelCase):
    async def test_answers_are_sent_after_the_writer_of_a_stream_has_failed(self) -> None:
        """Guards against a stream whose answers are never sent, as its writer has ended unseen."""
        await self.client.stop()
        self.client = ControlClient(f"127.0.0.1:{self.port}", self.manager, "r1", "b2", random.Random(1))
        failing: Callable[..., Any] = mock.AsyncMock(side_effect=ZeroDivisionError)
        writers = [failing, self.client._write]
        with mock.patch.object(self.client, "_write", lambda write: writers.pop(0)(write)):
            self.client.start()
            self.service.publish(version(1))
            answer = await self.wait_for_answer(1)
        self.assertEqual(writers, [])
        self.assertTrue(answer.accepted)


class Channel(ChannelCase):
    async def test_versions_are_acknowledged_once_they_are_stored_and_in_force(self) -> None:
        self.service.publish(version(1))
        answer = await self.wait_for_answer(1)
        self.assertTrue(answer.accepted)
        self.assertEqual((answer.in_force, answer.in_force_digest), (1, version(1).digest))
        self.assertEqual(self.router.version, 1)
        stored = read_store(self.folder).in_force
        assert stored is not None
        self.assertEqual((stored.record.number, stored.record.digest), (1, version(1).digest))

    async def test_updates_are_sent_as_deltas_and_in_full_after_a_wrong_base(self) -> None:
        sent = mock.Mock(side_effect=self.stream.send)
        with mock.patch.object(RouterStream, "send", lambda _, data: data and sent(data)):
            self.service.publish(version(1))
            await self.wait_for_answer(1)
            self.service.publish(version(2))
            await self.wait_for_answer(2)
        kinds = [
            wire.FromControl.FromString(c.args[0]).version.WhichOneof("content") for c in sent.mock_calls
        ]
        self.assertEqual(kinds, ["full", "delta"])
        subscriber, publisher = self.stream.subscriber, self.service.publisher
        publisher.publish(version(3))
        message = wire.FromControl.FromString(publisher.encode_version(subscriber, version(3)))
        message.version.delta.base_digest = "f" * 32
        self.stream.send(message.SerializeToString())
        await self.wait_until(lambda: self.router.version == 3)
        self.assertEqual([a.reason for a in self.answers if not a.accepted], [RejectionReason.WRONG_BASE])

    async def test_the_service_dies_before_the_acknowledgement(self) -> None:
        self.router.preparation_gate = asyncio.Event()
        self.service.publish(version(1))
        await self.wait_until(lambda: self.manager.versions.preparing is not None)
        publisher = self.service.publisher
        await self.service.stop()
        self.router.preparation_gate.set()
        await self.wait_until(lambda: self.router.version == 1)
        await self.restart_service(publisher)
        self.assertEqual(
            (self.received[0].hello.in_force, self.received[0].hello.digest), (1, version(1).digest)
        )
        publisher.publish(version(2))
        self.stream.send(publisher.next_message(self.stream.subscriber))
        self.assertTrue((await self.wait_for_answer(2)).accepted)

    async def test_the_service_restarts_without_versions_or_with_an_older_one(self) -> None:
        self.service.publish(version(5))
        await self.wait_for_answer(5)
        await self.restart_service(Publisher())
        self.assertEqual(self.received[0].hello.in_force, 5)
        older = Publisher()
        older.publish(version(4))
        await self.restart_service(older)
        self.stream.send(
            older.encode_version(self.stream.subscriber, version(4), full=True)
        )  # the publisher itself would not send an older version
        answer = await self.wait_for_answer(4)
        self.assertEqual((RejectionReason(answer.reason), answer.in_force), (RejectionReason.OUT_OF_ORDER, 5))
        self.service.publish(version(6))
        self.assertTrue((await self.wait_for_answer(6)).accepted)

    async def test_of_two_offers_during_a_preparation_the_newer_waits(self) -> None:
        self.router.preparation_gate = asyncio.Event()
        self.service.publish(version(1))
        await self.wait_until(lambda: self.manager.versions.preparing is not None)
        self.service.publish(version(2))
        self.service.publish(version(3))
        self.assertEqual(RejectionReason((await self.wait_for_answer(2)).reason), RejectionReason.SUPERSEDED)
        self.router.preparation_gate.set()
        self.assertTrue((await self.wait_for_answer(3)).accepted)
        self.assertEqual([a.offer.number for a in self.answers if a.accepted], [1, 3])

    async def test_an_answer_to_an_old_nonce_is_only_counted(self) -> None:
        self.router.preparation_gate = asyncio.Event()
        self.service.publish(version(1))
        await self.wait_until(lambda: self.manager.versions.preparing is not None)
        self.service.publish(version(2))
        self.router.preparation_gate.set()
        await self.wait_for_answer(2)
        subscriber = self.stream.subscriber
        self.assertEqual((subscriber.in_force, subscriber.stale_answers, subscriber.nonce), (2, 1, ""))

    async def test_a_part_that_raises_changes_nothing_and_the_version_may_be_offered_again(self) -> None:
        self.service.publish(version(1))
        await self.wait_for_answer(1)
        self.router.preparation_error = ZeroDivisionError("on purpose")
        self.service.publish(version(2))
        answer = await self.wait_for_answer(2)
        self.assertEqual((RejectionReason(answer.reason), answer.in_force), (RejectionReason.PART_FAILED, 1))
        self.router.preparation_error = None
        self.stream.send(self.service.publisher.encode_version(self.stream.subscriber, version(2), full=True))
        await self.wait_until(lambda: self.router.version == 2)

    async def test_versions_are_rejected_while_the_disk_is_full(self) -> None:
        with mock.patch("os.fsync", side_effect=OSError(28, "No space left on device")):
            self.service.publish(version(1))
            answer = await self.wait_for_answer(1)
        self.assertEqual(
            (RejectionReason(answer.reason), self.router.version), (RejectionReason.NOT_STORED, 0)
        )
        self.assertIsNone(read_store(self.folder).in_force)

    async def test_malformed_messages_are_answered_and_the_stream_continues(self) -> None:
        complete = self.service.publisher.encode_version(self.stream.subscriber, version(1), full=True)
        for data in (complete[:-7], b"\xff" * 9, b""):
            self.received.clear()
            self.stream.send(data)
            self.assertEqual(
                RejectionReason((await self.wait_for_answer(0)).reason), RejectionReason.MALFORMED
            )
        deeply_nested = PublishedVersion.parse(2, "(magpieshift " + "(a " * 9999 + ")" * 10000)
        self.stream.send(
            self.service.publisher.encode_version(self.stream.subscriber, deeply_nested, full=True)
        )
        self.assertIn("deep nesting", (await self.wait_for_answer(2)).detail)
        self.service.publish(version(3))
        self.assertTrue((await self.wait_for_answer(3)).accepted)

    async def test_a_64_mb_message_ends_the_stream_and_the_next_hello_reports_it(self) -> None:
        self.received.clear()
        message = wire.FromControl(version=wire.Version(number=1, full="x" * (64 << 20)))
        self.stream.send(message.SerializeToString())
        await self.wait_until(lambda: bool(self.received))
        self.assertIn("RESOURCE_EXHAUSTED", self.received[0].hello.trouble)

    async def test_a_silent_service_is_disconnected_by_keepalive(self) -> None:
        """The service's machine fails without notice: the connection stays open and nothing arrives, until
        gRPC's keepalive ends it."""
        silent = await asyncio.start_server(self._read_and_ignore, "127.0.0.1", 0)
        other = ControlClient(
            f"127.0.0.1:{silent.sockets[0].getsockname()[1]}", self.manager, "r1", "b1", random.Random(1)
        )
        lost = asyncio.Event()

        def record_loss(lasted_s: float) -> float:
            lost.set()
            return 60.0

        with mock.patch.object(other._backoff, "next_delay_s", record_loss):
            other.start()
            await asyncio.wait_for(lost.wait(), WAIT_TIMEOUT_S)
        await other.stop()
        silent.close()

    @staticmethod
    async def _read_and_ignore(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.read(65536):
            pass


class BackoffAndDecoding(unittest.TestCase):
    def test_delays_grow_to_a_cap_with_full_jitter_and_are_reset_by_a_stable_connection(self) -> None:
        without_jitter = mock.Mock(uniform=lambda low, high: high)
        backoff = Backoff(without_jitter)
        delays = [backoff.next_delay_s(0.0) for _ in range(1200)]
        self.assertEqual(delays[:3], [INITIAL_BACKOFF_S, 2 * INITIAL_BACKOFF_S, 4 * INITIAL_BACKOFF_S])
        self.assertEqual(set(delays[10:]), {MAX_BACKOFF_S})
        self.assertEqual(backoff.next_delay_s(STABLE_CONNECTION_S), INITIAL_BACKOFF_S)
        self.assertGreater(len({Backoff(random.Random(seed)).next_delay_s(0) for seed in range(50)}), 45)

    @given(st.binary(max_size=200), st.integers(0, 400))
    def test_any_bytes_are_an_offer_or_an_answer(self, random_bytes: bytes, at: int) -> None:
        complete = Publisher().encode_version(mock.Mock(digest=""), version(1))
        for data in (random_bytes, complete[: at % len(complete)] + random_bytes, random_bytes + complete):
            found = RouterSession().receive(data)
            self.assertIsInstance(found, VersionOffer | OfferOutcome)

    def test_a_stored_version_that_is_no_longer_usable_is_skipped(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            store = VersionStore(folder)
            for number, text in ((1, version(1).text), (2, "(magpieshift (of another age))")):
                record = VersionRecord(number, version(1).digest, "t", VersionState.IN_FORCE, 1)
                store.append(StoredVersion(record, text))
            with self.assertLogs("magpieshift.control.version_startup", "ERROR"):
                versions, loaded = first_version(None, store, "")
            self.assertEqual((versions.in_force.number, loaded.digest), (1, version(1).digest))
            higher = load_text(TEXT.replace("(magpieshift", "(magpieshift (version 9)", 1))
            with (
                self.assertNoLogs(level=logging.ERROR),
                mock.patch("magpieshift.control.version_startup.log"),
            ):
                self.assertEqual(first_version(higher, store, "file")[0].in_force.number, 9)
            store.close()
        with self.assertRaises(LookupError):
            first_version(None, None, "")


if __name__ == "__main__":
    unittest.main()
