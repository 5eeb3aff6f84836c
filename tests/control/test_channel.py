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
from magpieshift.control.schema import load_text
from magpieshift.control.service import ControlService, RouterStream
from magpieshift.control.session import RouterSession
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
from tests.real.exchange import PATIENCE_S, ROOT

TEXT = (ROOT / "deploy" / "magpieshift.sexp").read_text()
START = load_text(TEXT)


def version(number: int, **more: Any) -> PublishedVersion:
    return PublishedVersion.parse(
        number, sexp.format_document(dict(START.data) | {"retry-after-ms": 100 + number} | more)
    )


class FakeRouter:
    """A router whose preparation blocks or fails as the test sets it."""

    part = "fake"

    def __init__(self) -> None:
        self.document, self.version = START.document, 0
        self.hold: asyncio.Event | None = None
        self.says: Exception | None = None

    def running(self) -> Mapping[str, RunningSettings]:
        return {"fake": {"retry_us": self.document.settings.max_retry_after_us}}

    async def prepare(self, document: Document) -> Prepared:
        if self.hold is not None:
            await self.hold.wait()
        if self.says is not None:
            raise self.says
        return await prepare([], self.document, document)

    def commit(self, prepared: Prepared, version: int) -> None:
        self.document, self.version = prepared.document, version


class ChannelCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder, self.router, self.service = Path(folder.name), FakeRouter(), ControlService()
        self.answers: list[OfferOutcome] = []
        self.heard: list[wire.FromRouter] = []
        self.manager = self.new_manager()
        await self.service.start("127.0.0.1:0")
        self.port = self.service.port
        self.service.on_message = lambda stream, data: self.heard.append(wire.FromRouter.FromString(data))
        self.client = ControlClient(f"127.0.0.1:{self.port}", self.manager, "r1", "b1", random.Random(1))
        self.quiet = (
            mock.patch("magpieshift.control.version_manager.log"),
            mock.patch("magpieshift.control.client.log"),
        )
        for patch in self.quiet:
            patch.start()
            self.addCleanup(patch.stop)
        self.manager.start()
        self.client.start()
        await self.until(lambda: bool(self.service.streams) and self.heard != [])

    async def asyncTearDown(self) -> None:
        await self.client.stop()
        await self.manager.stop()
        await self.service.stop()

    def new_manager(self) -> VersionManager:
        kept = VersionStore(self.folder)
        versions, loaded = first_version(START, kept, "test")
        manager = VersionManager(self.router, versions, loaded.data, kept)
        manager.listeners.append(lambda answer, apply_us, pause_us: self.answers.append(answer))
        return manager

    async def until(self, what: Callable[[], bool]) -> None:
        async with asyncio.timeout(PATIENCE_S):
            while not what():
                await asyncio.sleep(0.002)

    async def answer_to(self, number: int) -> wire.Answer:
        def found() -> list[wire.Answer]:
            return [
                m.answer for m in self.heard if m.WhichOneof("said") == "answer" and m.answer.number == number
            ]

        await self.until(lambda: bool(found()))
        return found()[-1]

    async def again(self, publisher: Publisher) -> None:
        """Stop the service and start another one with this publisher on the same port."""
        await self.service.stop()
        self.service = ControlService(publisher)
        self.service.on_message = lambda stream, data: self.heard.append(wire.FromRouter.FromString(data))
        self.heard.clear()
        await self.service.start(f"127.0.0.1:{self.port}")
        await self.until(lambda: bool(self.heard))

    @property
    def stream(self) -> RouterStream:
        return next(iter(self.service.streams))


class Channel(ChannelCase):
    async def test_versions_are_acknowledged_once_they_are_stored_and_in_force(self) -> None:
        self.service.publish(version(1))
        answer = await self.answer_to(1)
        self.assertTrue(answer.accepted)
        self.assertEqual((answer.in_force, answer.in_force_digest), (1, version(1).digest))
        self.assertEqual(self.router.version, 1)
        kept = read_store(self.folder).in_force
        assert kept is not None
        self.assertEqual((kept.record.number, kept.record.digest), (1, version(1).digest))

    async def test_the_second_is_sent_as_a_delta_and_one_on_a_wrong_base_in_full(self) -> None:
        sent = mock.Mock(side_effect=self.stream.send)
        with mock.patch.object(RouterStream, "send", lambda _, data: data and sent(data)):
            self.service.publish(version(1))
            await self.answer_to(1)
            self.service.publish(version(2))
            await self.answer_to(2)
        kinds = [
            wire.FromControl.FromString(c.args[0]).version.WhichOneof("content") for c in sent.mock_calls
        ]
        self.assertEqual(kinds, ["full", "delta"])
        who, publisher = self.stream.subscriber, self.service.publisher
        publisher.publish(version(3))
        message = wire.FromControl.FromString(publisher.encode_version(who, version(3)))
        message.version.delta.base_digest = "f" * 32
        self.stream.send(message.SerializeToString())
        await self.until(lambda: self.router.version == 3)
        self.assertEqual([a.reason for a in self.answers if not a.accepted], [RejectionReason.WRONG_BASE])

    async def test_the_service_dies_before_the_acknowledgement(self) -> None:
        self.router.hold = asyncio.Event()
        self.service.publish(version(1))
        await self.until(lambda: self.manager.versions.preparing is not None)
        publisher = self.service.publisher
        await self.service.stop()
        self.router.hold.set()
        await self.until(lambda: self.router.version == 1)
        await self.again(publisher)
        self.assertEqual((self.heard[0].hello.in_force, self.heard[0].hello.digest), (1, version(1).digest))
        publisher.publish(version(2))
        self.stream.send(publisher.next_message(self.stream.subscriber))
        self.assertTrue((await self.answer_to(2)).accepted)

    async def test_the_service_comes_back_having_forgotten_everything_or_with_an_older_version(self) -> None:
        self.service.publish(version(5))
        await self.answer_to(5)
        await self.again(Publisher())
        self.assertEqual(self.heard[0].hello.in_force, 5)
        older = Publisher()
        older.publish(version(4))
        await self.again(older)
        self.stream.send(
            older.encode_version(self.stream.subscriber, version(4), full=True)
        )  # sent all the same
        answer = await self.answer_to(4)
        self.assertEqual((RejectionReason(answer.reason), answer.in_force), (RejectionReason.OUT_OF_ORDER, 5))
        self.service.publish(version(6))
        self.assertTrue((await self.answer_to(6)).accepted)

    async def test_two_come_while_one_is_prepared(self) -> None:
        self.router.hold = asyncio.Event()
        self.service.publish(version(1))
        await self.until(lambda: self.manager.versions.preparing is not None)
        self.service.publish(version(2))
        self.service.publish(version(3))
        self.assertEqual(RejectionReason((await self.answer_to(2)).reason), RejectionReason.SUPERSEDED)
        self.router.hold.set()
        self.assertTrue((await self.answer_to(3)).accepted)
        self.assertEqual([a.offer.number for a in self.answers if a.accepted], [1, 3])

    async def test_an_answer_to_an_old_nonce_says_nothing_of_what_was_sent_since(self) -> None:
        self.router.hold = asyncio.Event()
        self.service.publish(version(1))
        await self.until(lambda: self.manager.versions.preparing is not None)
        self.service.publish(version(2))
        self.router.hold.set()
        await self.answer_to(2)
        who = self.stream.subscriber
        self.assertEqual((who.in_force, who.stale_answers, who.nonce), (2, 1, ""))

    async def test_a_part_that_raises_leaves_all_as_it_was_and_may_be_asked_again(self) -> None:
        self.service.publish(version(1))
        await self.answer_to(1)
        self.router.says = ZeroDivisionError("on purpose")
        self.service.publish(version(2))
        answer = await self.answer_to(2)
        self.assertEqual((RejectionReason(answer.reason), answer.in_force), (RejectionReason.PART_FAILED, 1))
        self.router.says = None
        self.stream.send(self.service.publisher.encode_version(self.stream.subscriber, version(2), full=True))
        await self.until(lambda: self.router.version == 2)

    async def test_a_disk_that_takes_nothing_turns_versions_down(self) -> None:
        with mock.patch("os.fsync", side_effect=OSError(28, "No space left on device")):
            self.service.publish(version(1))
            answer = await self.answer_to(1)
        self.assertEqual(
            (RejectionReason(answer.reason), self.router.version), (RejectionReason.NOT_STORED, 0)
        )
        self.assertIsNone(read_store(self.folder).in_force)

    async def test_what_is_no_version_is_answered_and_the_stream_goes_on(self) -> None:
        whole = self.service.publisher.encode_version(self.stream.subscriber, version(1), full=True)
        for data in (whole[:-7], b"\xff" * 9, b""):
            self.heard.clear()
            self.stream.send(data)
            self.assertEqual(RejectionReason((await self.answer_to(0)).reason), RejectionReason.MALFORMED)
        deep = PublishedVersion.parse(2, "(magpieshift " + "(a " * 9999 + ")" * 10000)
        self.stream.send(self.service.publisher.encode_version(self.stream.subscriber, deep, full=True))
        self.assertIn("deep nesting", (await self.answer_to(2)).detail)
        self.service.publish(version(3))
        self.assertTrue((await self.answer_to(3)).accepted)

    async def test_64_mb_end_the_stream_and_the_next_hello_says_so(self) -> None:
        self.heard.clear()
        message = wire.FromControl(version=wire.Version(number=1, full="x" * (64 << 20)))
        self.stream.send(message.SerializeToString())
        await self.until(lambda: bool(self.heard))
        self.assertIn("RESOURCE_EXHAUSTED", self.heard[0].hello.trouble)

    async def test_a_silent_service_is_given_up(self) -> None:
        """Its machine fails without notice: the connection stays open and nothing arrives, until gRPC's
        keepalive ends it."""
        silent = await asyncio.start_server(self._swallow, "127.0.0.1", 0)
        other = ControlClient(
            f"127.0.0.1:{silent.sockets[0].getsockname()[1]}", self.manager, "r1", "b1", random.Random(1)
        )
        lost = asyncio.Event()

        def after(lasted_s: float) -> float:
            lost.set()
            return 60.0

        with mock.patch.object(other._backoff, "next_delay_s", after):
            other.start()
            await asyncio.wait_for(lost.wait(), PATIENCE_S)
        await other.stop()
        silent.close()

    @staticmethod
    async def _swallow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while await reader.read(65536):
            pass


class Pieces(unittest.TestCase):
    def test_waits_grow_to_a_cap_with_full_jitter_and_begin_anew_after_a_steady_connection(self) -> None:
        top = mock.Mock(uniform=lambda low, high: high)
        backoff = Backoff(top)
        waits = [backoff.next_delay_s(0.0) for _ in range(1200)]
        self.assertEqual(waits[:3], [INITIAL_BACKOFF_S, 2 * INITIAL_BACKOFF_S, 4 * INITIAL_BACKOFF_S])
        self.assertEqual(set(waits[10:]), {MAX_BACKOFF_S})
        self.assertEqual(backoff.next_delay_s(STABLE_CONNECTION_S), INITIAL_BACKOFF_S)
        self.assertGreater(len({Backoff(random.Random(seed)).next_delay_s(0) for seed in range(50)}), 45)

    @given(st.binary(max_size=200), st.integers(0, 400))
    def test_any_bytes_are_an_offer_or_an_answer(self, noise: bytes, at: int) -> None:
        whole = Publisher().encode_version(mock.Mock(digest=""), version(1))
        for data in (noise, whole[: at % len(whole)] + noise, noise + whole):
            found = RouterSession().receive(data)
            self.assertIsInstance(found, VersionOffer | OfferOutcome)

    def test_a_stored_version_that_cannot_be_used_any_more_is_passed_over(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            kept = VersionStore(folder)
            for number, text in ((1, version(1).text), (2, "(magpieshift (of another age))")):
                record = VersionRecord(number, version(1).digest, "t", VersionState.IN_FORCE, 1)
                kept.append(StoredVersion(record, text))
            with self.assertLogs("magpieshift.control.version_startup", "ERROR"):
                versions, loaded = first_version(None, kept, "")
            self.assertEqual((versions.in_force.number, loaded.digest), (1, version(1).digest))
            higher = load_text(TEXT.replace("(magpieshift", "(magpieshift (version 9)", 1))
            with (
                self.assertNoLogs(level=logging.ERROR),
                mock.patch("magpieshift.control.version_startup.log"),
            ):
                self.assertEqual(first_version(higher, kept, "file")[0].in_force.number, 9)
            kept.close()
        with self.assertRaises(LookupError):
            first_version(None, None, "")


if __name__ == "__main__":
    unittest.main()
