"""The driver of the router's end of the control channel: gRPC streams, one at a time, made anew when they
end."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable
from typing import Any

import grpc
import grpc.aio

from magpieshift.control.backoff import Backoff
from magpieshift.control.session import MAX_MESSAGE_BYTES, OFFER_SOURCE, RouterSession
from magpieshift.control.version_history import Answer, Offer
from magpieshift.control.version_manager import VersionManager
from magpieshift.log import fields

log = logging.getLogger(__name__)

FOLLOW_METHOD = "/magpieshift.control.v1.Control/Follow"
MOST_UNSENT = 64  # answers; a service that takes none is not read from
CONNECT_S = 3.0
CHANNEL_OPTIONS: list[tuple[str, Any]] = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", 2000),  # a machine that has vanished says nothing
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.enable_retries", 0),  # waits between tries are ours
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.initial_reconnect_backoff_ms", 100),
]


async def connect(channel: Any) -> None:
    """Wait for a channel's connection to come up; a refusal is a failure at once, not after gRPC's own tries.
    ``TimeoutError`` or ``ConnectionError`` where it does not."""
    async with asyncio.timeout(CONNECT_S):
        while (state := channel.get_state(try_to_connect=True)) != grpc.ChannelConnectivity.READY:
            if state == grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                raise ConnectionError("no connection")
            await channel.wait_for_state_change(state)


class ControlClient:
    """Owner of the one stream to the control service."""

    def __init__(
        self, address: str, manager: VersionManager, name: str, boot: str, rand: random.Random | None = None
    ) -> None:
        self._address = address
        self._manager = manager
        self._name = name
        self._boot = boot
        self._backoff = Backoff(rand or random.Random())
        self._task: asyncio.Task[None] | None = None
        self._trouble = ""
        self._told_lost = False
        self._unsent: deque[bytes] = deque()
        self._session: RouterSession | None = None
        self._changed = asyncio.Event()
        manager.listeners.append(self._answered)

    def start(self) -> None:
        self._task = asyncio.ensure_future(self._run())

    async def stop(self) -> None:
        """Send what is owed, as far as the service takes it soon, and close."""
        for _ in range(20):
            if not self._unsent or self._session is None:
                break
            await asyncio.sleep(0.01)
        self._manager.listeners.remove(self._answered)
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            began = loop.time()
            lasted = 0.0
            try:
                await self._follow()
                self._trouble = "the service ended the stream"
            except grpc.aio.AioRpcError as err:
                self._trouble = f"{err.code().name}: {err.details() or ''}"[:200]
            except (TimeoutError, ConnectionError) as err:
                self._trouble = str(err) or "no connection in time"
            except asyncio.InvalidStateError:
                self._trouble = "the stream ended"
            except Exception as err:
                log.exception("control stream failed")
                self._trouble = f"{type(err).__name__}: {err}"[:200]
            lasted = loop.time() - began
            wait_s = self._backoff.next_delay_s(lasted)
            tell = log.debug if self._told_lost else log.warning
            tell(
                "control service lost",
                extra=fields(
                    address=self._address, reason=self._trouble, version=self._manager.in_force.number
                ),
            )
            self._told_lost = True  # once, until it is there again: it may be away for days
            await asyncio.sleep(wait_s)

    async def _follow(self) -> None:
        """One stream, from hello to its end."""
        async with grpc.aio.insecure_channel(self._address, options=CHANNEL_OPTIONS) as channel:
            call = channel.stream_stream(FOLLOW_METHOD)()
            writing: asyncio.Task[None] | None = None
            session = RouterSession()
            try:
                await connect(channel)
                hello = session.hello(
                    self._name, self._boot, self._manager.in_force, self._manager.running(), self._trouble
                )
                await call.write(hello)
                if self._told_lost:
                    log.info("control service found", extra=fields(address=self._address))
                self._told_lost = False
                self._session = session
                writing = asyncio.ensure_future(self._write(call.write))
                writing.add_done_callback(lambda _: self._changed.set())
                while (data := await call.read()) is not grpc.aio.EOF:
                    self._take(session, data)
                    while len(self._unsent) >= MOST_UNSENT and not writing.done():
                        self._changed.clear()
                        await self._changed.wait()
            finally:
                # what was not sent belongs to this stream; the next hello tells what is in force
                self._session = None
                self._unsent.clear()
                self._changed.set()
                if writing is not None:
                    writing.cancel()
                call.cancel()

    def _take(self, session: RouterSession, data: bytes) -> None:
        match session.feed(data):
            case Offer() as offer:
                self._manager.offer(offer)
            case Answer() as answer:
                log.warning(
                    "message turned down", extra=fields(reason=answer.detail, version=answer.offer.number)
                )
                self._answered(answer, 0, 0)

    def _answered(self, answer: Answer, apply_us: int, pause_us: int) -> None:
        if self._session is not None and answer.offer.source == OFFER_SOURCE:
            manager = self._manager
            self._unsent.append(
                self._session.answer(answer, manager.in_force, manager.running(), apply_us, pause_us)
            )
            self._changed.set()

    async def _write(self, write: Callable[[bytes], Any]) -> None:
        while True:
            while self._unsent:
                data = self._unsent[0]
                await write(data)
                if self._unsent and self._unsent[0] is data:
                    self._unsent.popleft()
                self._changed.set()
            self._changed.clear()
            if not self._unsent:
                await self._changed.wait()
