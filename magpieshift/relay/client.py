"""The driver of a ``Follower``: one gRPC stream at a time, to the relay that its ``Selection`` says."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

import grpc
import grpc.aio

from magpieshift import clock
from magpieshift.control.client import METHOD, connect
from magpieshift.control.client import OPTIONS as CONTROL_OPTIONS
from magpieshift.log import fields
from magpieshift.relay import status
from magpieshift.relay.codec import MOST_SNAPSHOT_BYTES, Malformed, decode, encode_from
from magpieshift.relay.fanout import Report
from magpieshift.relay.follower import Apply, Effect, EndStream, Follower, TakeConfiguration, TakeSnapshot
from magpieshift.relay.limits import LEASE_US
from magpieshift.relay.messages import ConfigurationChange, Progress, Snapshot
from magpieshift.relay.selection import Relay, Selection

log = logging.getLogger(__name__)

TICK_S = 0.1
WRITE_S = 2.0  # a relay that takes nothing for so long is given up
GOODBYE_S = 0.2  # for the last message, as the process ends
# a message that is too large shall be told of by the codec, in one line; far larger ones end in gRPC
OPTIONS = [
    *((name, value) for name, value in CONTROL_OPTIONS if name != "grpc.max_receive_message_length"),
    ("grpc.max_receive_message_length", MOST_SNAPSHOT_BYTES + 1024),
]


class Receiver(Protocol):
    """What takes in what a follower receives. Each call is one turn of the event loop: what it is told has
    been applied when it returns, and is acknowledged then. It must not fail."""

    def apply(self, batch: Apply) -> None:
        """The entries of a batch, in order."""
        ...

    def take_snapshot(self, snapshot: Snapshot) -> None:
        """What a snapshot says, without forgetting purges."""
        ...

    def take_configuration(self, change: ConfigurationChange) -> None:
        """A whole version, which was asked for."""
        ...


class StreamEnded(Exception):
    """The stream is to be ended, or was."""


class Moved(StreamEnded):
    """A better relay is there."""


class Connection:
    """A channel to a relay, and the stream on it."""

    def __init__(self, address: str) -> None:
        self._channel = grpc.aio.insecure_channel(address, options=OPTIONS)
        self._call = self._channel.stream_stream(METHOD)()
        self._write_lock = asyncio.Lock()  # gRPC takes one write at a time, and fails the call at a second
        self.reading: asyncio.Task[None] | None = None  # to cancel it in a read ends the stream

    async def open(self) -> None:
        """Wait for the connection to come up; ``TimeoutError`` or ``ConnectionError`` where it does not."""
        await connect(self._channel)

    async def read(self) -> bytes | None:
        """The next message; None at the stream's end, which raises where it was told a reason."""
        data = await self._call.read()
        if data is not grpc.aio.EOF:
            return bytes(data)
        if (code := await self._call.code()) is not grpc.StatusCode.OK:
            raise StreamEnded(f"{code.name}: {await self._call.details()}")
        return None

    async def write(self, data: bytes) -> None:
        """Send a message; ``TimeoutError`` where the relay does not take it."""
        async with asyncio.timeout(WRITE_S), self._write_lock:
            await self._call.write(data)

    async def say_goodbye(self, data: bytes) -> None:
        """Send a last message, after the write in flight, as far as the relay takes both soon, and close."""
        # a stream that fails meanwhile raises AioRpcError, which is an RpcError and no BaseError
        with contextlib.suppress(grpc.RpcError, grpc.aio.BaseError, asyncio.InvalidStateError, TimeoutError):
            async with asyncio.timeout(GOODBYE_S), self._write_lock:
                await self._call.write(data)
                await self._call.done_writing()
                await self._call.code()  # the relay ends the stream once it has read all
        await self.close()

    async def close(self) -> None:
        """End the stream, whatever is under way on it."""
        if self.reading is not None:
            self.reading.cancel()
        self._call.cancel()
        await self._channel.close()


class RelayClient:
    """Owner of the one stream to a relay."""

    def __init__(
        self,
        follower: Follower,
        selection: Selection,
        receiver: Receiver,
        report: Callable[[int], Report] | None = None,
    ) -> None:
        """``report``, of a relay, tells of its own followers."""
        self._follower = follower
        self._selection = selection
        self._receiver = receiver
        self._report = report
        self._task: asyncio.Task[None] | None = None
        self._connection: Connection | None = None
        self._former: Connection | None = None  # that before a planned move, until it is told farewell
        self._told_lost = False
        self._receiving = True
        self.caught_up = asyncio.Event()  # set once the process has been current

    @property
    def relay(self) -> Relay:
        """The relay that is followed, or tried."""
        return self._selection.current

    def start(self) -> None:
        """Follow, until ``stop``."""
        self._task = asyncio.ensure_future(self._run())

    def stop_receiving(self) -> None:
        """Take in, and acknowledge, nothing more."""
        self._receiving = False

    async def stop(self) -> None:
        """Give up the lease, where no followers of this process may still hold one, and close."""
        if self._task is None:
            return
        if self._connection is not None and self._report is None:
            goodbye = self._follower.release(clock.source.steady_us())
            await self._connection.say_goodbye(encode_from(goodbye))
        self._task.cancel()
        await asyncio.wait([self._task])
        await self._close_former()

    async def _close_former(self) -> None:
        former = self._former
        self._former = None
        if former is not None:
            await former.close()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            relay = self._selection.current
            began = loop.time()
            try:
                why = await self._follow(relay)
            except Moved as err:
                log.info("relay changed", extra=fields(relay=relay.name, reason=err))
                continue
            except Exception as err:
                log.exception("relay stream failed", extra=fields(relay=relay.name))
                why = f"{type(err).__name__}: {err}"
            wait_s = self._selection.failed(loop.time() - began)
            self._tell_lost(relay, why)
            await asyncio.sleep(wait_s)

    def _tell_lost(self, relay: Relay, why: str) -> None:
        tell = log.debug if self._told_lost else log.warning
        follower = self._follower
        tell(
            "relay lost",
            extra=fields(
                relay=relay.name,
                address=relay.address,
                reason=why[:200],
                applied=follower.applied,
                next=self._selection.current.name,
            ),
        )
        self._told_lost = True  # once, until one is found: all may be away for long

    async def _follow(self, relay: Relay) -> str:
        """One stream, from join to its end; why it ended."""
        connection = Connection(relay.address)
        kept = False
        ticking: asyncio.Task[None] | None = None
        try:
            await connection.open()
            join = self._follower.connect(clock.source.steady_us())
            await connection.write(encode_from(join))
            self._connection = connection
            connection.reading = _watched(self._read(connection, relay))
            ticking = _watched(self._tick(connection))
            tasks = (connection.reading, ticking)
            done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
            return "the relay ended the stream"
        except grpc.aio.AioRpcError as err:
            return f"{err.code().name}: {err.details() or ''}"
        except Moved:
            if self._report is None:  # a relay's followers may hold leases by what it learned there
                await self._close_former()
                self._former = connection
                kept = True
            raise
        except Malformed as err:
            log.warning("malformed message", extra=fields(relay=relay.name, reason=err))
            self._told_lost = True
            return str(err)
        except (StreamEnded, TimeoutError, ConnectionError) as err:
            return str(err) or "no connection in time"
        except asyncio.InvalidStateError:
            return "the stream ended"
        finally:
            self._connection = None
            if ticking is not None:
                ticking.cancel()
            if not kept:
                await connection.close()

    async def _take_leave(self) -> None:
        """Tell the relay before a planned move that it need not count this process any more, once the lease
        rests on the present stream."""
        former = self._former
        if former is None or not self._follower.rests_on_stream:
            return
        self._former = None
        await former.say_goodbye(encode_from(self._follower.farewell()))

    async def _read(self, connection: Connection, relay: Relay) -> None:
        """Take in what the relay sends, each message in one turn; nothing more once another is followed."""
        found = False
        while (data := await connection.read()) is not None:
            if not self._receiving or connection is not self._connection:
                continue
            message = decode(data)
            now_us = clock.source.steady_us()
            for effect in self._follower.receive(message, now_us):
                self._carry_out(effect)
            if not found:
                found = True
                self._found(relay, now_us)
            if self._follower.currency.lease_held(now_us):
                self.caught_up.set()

    def _found(self, relay: Relay, now_us: int) -> None:
        self._selection.connected(now_us)
        self._told_lost = False
        log.info("relay found", extra=fields(relay=relay.name, address=relay.address))

    def _carry_out(self, effect: Effect) -> None:
        follower = self._follower
        match effect:
            case Apply():
                self._receiver.apply(effect)
                follower.applied_up_to(effect.epoch, effect.last)
            case TakeSnapshot(snapshot):
                self._receiver.take_snapshot(snapshot)
                follower.applied_up_to(snapshot.epoch, snapshot.applied)
                log.info(
                    "snapshot taken",
                    extra=fields(
                        epoch=snapshot.epoch.term, applied=snapshot.applied, purges=len(snapshot.purges)
                    ),
                )
            case TakeConfiguration(configuration):
                self._receiver.take_configuration(configuration)
            case EndStream(reason, detail):
                raise StreamEnded(f"{reason.value} {detail}".strip())

    async def _tick(self, connection: Connection) -> None:
        """Acknowledge, probe, watch for silence, and look for a better relay."""
        trial: asyncio.Task[bool] | None = None
        better: Relay | None = None
        try:
            while True:
                now_us = clock.source.steady_us()
                if (end := self._follower.check(now_us)) is not None:
                    self._carry_out(end)
                await self._acknowledge(connection, now_us)
                await self._take_leave()
                if better is None and (better := self._selection.better(now_us)) is not None:
                    trial = asyncio.ensure_future(_is_current(better))
                elif better is not None and trial is not None and trial.done():
                    self._judge(better, trial.result(), now_us)
                    better = None
                    trial = None
                await asyncio.sleep(TICK_S)
        finally:
            if trial is not None:
                trial.cancel()

    async def _acknowledge(self, connection: Connection, now_us: int) -> None:
        if self._follower.due_us() > now_us:
            return
        report = None if self._report is None else self._report(now_us)
        progress: Progress | None = self._follower.progress(now_us, report)
        if progress is not None:
            await connection.write(encode_from(progress))

    def _judge(self, better: Relay, current: bool, now_us: int) -> None:
        """A better relay was tried: go over to it where it is current."""
        if not current:
            self._selection.not_moved(now_us)
            return
        self._selection.moved(better, now_us)
        raise Moved(f"{better.name} is there")


def _watched(work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
    """A task whose error is known to be looked at, also where another ended first."""
    task = asyncio.ensure_future(work)
    task.add_done_callback(lambda done: done.cancelled() or done.exception())
    return task


async def _is_current(relay: Relay) -> bool:
    """Whether a relay answers and could give a lease."""
    try:
        report = await status.ask(relay.address)
    except status.Unreachable:
        return False
    return report.HasField("age_us") and report.age_us < LEASE_US // 2
