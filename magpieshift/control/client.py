"""The router's end of the control channel: one gRPC stream at a time, reconnected whenever it ends."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import grpc.aio

from magpieshift.background_task import BackgroundTask, run_until_first_ends
from magpieshift.control.backoff import Backoff
from magpieshift.control.grpc_channel import (
    CHANNEL_OPTIONS,
    FOLLOW_METHOD,
    STREAM_FAILURES,
    connect,
    failure_text,
)
from magpieshift.control.router_session import OFFER_SOURCE, RouterSession
from magpieshift.control.version_manager import VersionManager
from magpieshift.control.version_records import OfferOutcome, VersionOffer
from magpieshift.log import fields

log = logging.getLogger(__name__)

MAX_UNSENT_ANSWERS = 64
"""With this many answers unsent, no more messages are read: a service that reads no answers gets no more."""
MAX_FAILURE_LENGTH = 200
"""Longest reported reason for the end of a stream, in characters."""
MAX_DRAIN_POLLS = 20
"""How often ``stop`` checks whether all answers are sent before it closes the stream anyway."""
DRAIN_POLL_S = 0.01
"""Interval of these checks. Together they delay the end of the process by at most 0.2 s."""


class ControlClient:
    """Follows the control service over one stream and offers its versions to the ``VersionManager``."""

    def __init__(
        self, address: str, manager: VersionManager, name: str, boot: str, rand: random.Random | None = None
    ) -> None:
        """``address`` is the service's host:port, ``name`` the router's name, and ``boot`` an identifier that
        is new with each start of the router."""
        self._address = address
        self._manager = manager
        self._name = name
        self._boot = boot
        self._backoff = Backoff(rand or random.Random())
        self._following = BackgroundTask("control client", self._run)
        # why the last stream ended; the next hello reports it
        self._last_failure = ""
        # whether the current outage has been logged as a warning: once only, since it may last for days
        self._loss_logged = False
        # answers not sent yet; discarded when their stream ends
        self._unsent: deque[bytes] = deque()
        # the session of the current stream
        self._session: RouterSession | None = None
        self._queue_changed = asyncio.Event()
        manager.listeners.append(self._queue_answer)

    def start(self) -> None:
        """Follow the control service until ``stop``."""
        self._following.start()

    async def stop(self) -> None:
        """Wait up to ``MAX_DRAIN_POLLS * DRAIN_POLL_S`` for unsent answers to be sent, then close."""
        for _ in range(MAX_DRAIN_POLLS):
            if not self._unsent or self._session is None:
                break
            await asyncio.sleep(DRAIN_POLL_S)
        self._manager.listeners.remove(self._queue_answer)
        self._following.cancel()
        await self._following.wait()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began_s = loop.time()
            try:
                await self._follow()
                failure = "the service ended the stream"
            except STREAM_FAILURES as err:
                failure = failure_text(err)
            except Exception as err:  # a bug in handling one message must not stop the client
                log.exception("control stream failed")
                failure = f"{type(err).__name__}: {err}"
            self._last_failure = failure[:MAX_FAILURE_LENGTH]
            delay_s = self._backoff.next_delay_s(loop.time() - began_s)
            self._log_lost()
            await asyncio.sleep(delay_s)

    def _log_lost(self) -> None:
        version = self._manager.in_force.number
        log.log(
            logging.DEBUG if self._loss_logged else logging.WARNING,
            "control service lost",
            extra=fields(address=self._address, reason=self._last_failure, version=version),
        )
        self._loss_logged = True

    async def _follow(self) -> None:
        """Run one stream, from the hello to its end."""
        async with grpc.aio.insecure_channel(self._address, options=CHANNEL_OPTIONS) as channel:
            call = channel.stream_stream(FOLLOW_METHOD)()
            session = RouterSession()
            try:
                await connect(channel)
                await call.write(self._hello(session))
                if self._loss_logged:
                    log.info("control service connected", extra=fields(address=self._address))
                self._loss_logged = False
                self._session = session
                await run_until_first_ends(self._read(call.read, session), self._write(call.write))
            finally:
                # unsent answers are discarded; the hello of the next stream reports the version in force
                self._session = None
                self._unsent.clear()
                call.cancel()

    def _hello(self, session: RouterSession) -> bytes:
        manager = self._manager
        return session.encode_hello(
            self._name, self._boot, manager.in_force, manager.running(), self._last_failure
        )

    async def _read(self, read: Callable[[], Any], session: RouterSession) -> None:
        """Handle the service's messages until it ends the stream."""
        while (data := await read()) is not grpc.aio.EOF:
            self._receive(session, data)
            await self._wait_for_capacity()

    def _receive(self, session: RouterSession, data: bytes) -> None:
        match session.receive(data):
            case VersionOffer() as offer:
                self._manager.offer(offer)
            case OfferOutcome() as outcome:
                log.warning(
                    "control message rejected",
                    extra=fields(reason=outcome.detail, version=outcome.offer.number),
                )
                self._queue_answer(outcome, 0, 0)

    async def _wait_for_capacity(self) -> None:
        """Apply backpressure: wait until fewer than ``MAX_UNSENT_ANSWERS`` are unsent."""
        while len(self._unsent) >= MAX_UNSENT_ANSWERS:
            self._queue_changed.clear()
            await self._queue_changed.wait()

    def _queue_answer(self, answer: OfferOutcome, apply_us: int, pause_us: int) -> None:
        if self._session is not None and answer.offer.source == OFFER_SOURCE:
            manager = self._manager
            self._unsent.append(
                self._session.encode_answer(answer, manager.in_force, manager.running(), apply_us, pause_us)
            )
            self._queue_changed.set()

    async def _write(self, write: Callable[[bytes], Any]) -> None:
        while True:
            while self._unsent:
                data = self._unsent[0]
                await write(data)
                if self._unsent and self._unsent[0] is data:
                    self._unsent.popleft()
                self._queue_changed.set()
            self._queue_changed.clear()
            if not self._unsent:
                await self._queue_changed.wait()
