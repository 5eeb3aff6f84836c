"""The driver of a ``Fanout``: a gRPC server with a stream for each follower.

What a follower is sent is taken from the ``Fanout`` only once its last write is through: nothing is queued
here for one that reads slowly. A follower's stream has two coroutines, one that reads and one that writes;
one ticker wakes all writers.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any

import grpc
import grpc.aio

from magpieshift import clock
from magpieshift.control.service import OPTIONS
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.log import fields
from magpieshift.relay.codec import Malformed, decode_from
from magpieshift.relay.encoder import Encoder
from magpieshift.relay.fanout import Fanout, Full, Superseded, Unfit, UnknownStream
from magpieshift.relay.messages import Batch, Epoch, Join, Snapshot, ToFollower

log = logging.getLogger(__name__)

TICK_S = 0.05
JOIN_S = 3.0  # a stream that has not joined by then is ended
MOST_STREAMS = 8192  # also those that have not joined
MOST_HEARD_BYTES = 1 << 14  # of a follower's message, the last of which is kept: a hundred are common
SERVER_OPTIONS = [*OPTIONS, ("grpc.max_receive_message_length", MOST_HEARD_BYTES)]

Code = grpc.StatusCode


@dataclass
class Counters:
    """What a service has done since its start."""

    joins: int = 0
    batches: int = 0
    entries: int = 0
    bytes_out: int = 0
    snapshots: int = 0
    refused: int = 0  # streams that were ended for what was said on them, or for want of room
    lapses: int = 0  # streams that were ended because nothing was heard on them


class Stream:
    """One follower's stream."""

    def __init__(self, number: int, task: asyncio.Task[None]) -> None:
        self.number = number
        self._task = task
        self.name = ""  # once it has joined
        self.began_us = clock.source.steady_us()
        self.woken = asyncio.Event()
        self.writing = False
        self.ended: tuple[Any, str] | None = None  # the status that the follower is to be told, and why

    def end(self, code: Any = Code.OK, why: str = "") -> None:
        """End it; a write that does not come through is given up."""
        if self.ended is None:
            self.ended = code, why
            self.woken.set()
            if self.writing:
                self._task.cancel()


class RelayService(grpc.GenericRpcHandler):  # type: ignore[misc]  # the library is not typed
    """Owner of the server and of all followers' streams."""

    def __init__(
        self,
        fanout: Fanout,
        superseded: Callable[[Epoch], None],
        report: Callable[[], wire.StatusReport],
    ) -> None:
        """``superseded`` is told where a follower knows of a higher epoch; ``report`` answers operators."""
        self._fanout = fanout
        self._superseded = superseded
        self._report = report
        self._streams: dict[int, Stream] = {}
        self._numbers = itertools.count(1)
        self._encoder = Encoder()
        self._fit = True
        self._server: Any = None
        self._ticking: asyncio.Task[None] | None = None
        self.counters = Counters()
        self.port = 0

    def service(self, details: Any) -> Any:
        """gRPC asks for the handler of a method."""
        if details.method.endswith("/Follow"):
            return grpc.stream_stream_rpc_method_handler(self._follow)
        if details.method.endswith("/Status"):
            return grpc.unary_unary_rpc_method_handler(self._status)
        return None

    async def start(self, listen: str) -> None:
        """Listen on ``host:port``; port 0 picks a free one. ``OSError`` where that cannot be."""
        self._server = grpc.aio.server(options=SERVER_OPTIONS)
        self._server.add_generic_rpc_handlers((self,))
        try:
            self.port = self._server.add_insecure_port(listen)
        except RuntimeError as err:
            raise OSError(f"cannot listen on {listen}") from err
        await self._server.start()
        self._ticking = asyncio.ensure_future(self._tick())

    def end_streams(self, why: str) -> None:
        """End all streams: nothing more is written on them."""
        for stream in list(self._streams.values()):
            stream.end(Code.UNAVAILABLE, why)

    async def stop(self) -> None:
        """End all streams, at once."""
        if self._ticking is not None:
            self._ticking.cancel()
        self.end_streams("ending")
        if self._server is not None:
            await self._server.stop(0)

    async def _status(self, request: bytes, context: Any) -> bytes:
        return bytes(self._report().SerializeToString())

    async def _tick(self) -> None:
        """Wake the writers whose time has come, and end streams on which nothing is heard."""
        while True:
            now_us = clock.source.steady_us()
            for number in self._fanout.due(now_us):
                if (stream := self._streams.get(number)) is not None:
                    stream.woken.set()
            for number in self._fanout.silent(now_us):
                self._lapse(number)
            self._end_others(now_us)
            await asyncio.sleep(TICK_S)

    def _end_others(self, now_us: int) -> None:
        """Streams that did not join in time; all, where this process is not current itself."""
        fit = self._fanout.fit(now_us)
        if self._fit and not fit and self._streams:
            log.warning("not current", extra=fields(followers=len(self._streams)))
        self._fit = fit
        for stream in list(self._streams.values()):
            if stream.name and not fit:
                stream.end(Code.UNAVAILABLE, "not current")
            elif not stream.name and now_us - stream.began_us > JOIN_S * 1e6:
                stream.end(Code.DEADLINE_EXCEEDED, "nothing was said")

    def _lapse(self, number: int) -> None:
        stream = self._streams.get(number)
        if stream is not None and stream.ended is None:
            self.counters.lapses += 1
            log.warning("follower lapsed", extra=fields(name=stream.name))
            stream.end(Code.DEADLINE_EXCEEDED, "nothing was heard")

    # --- one stream

    async def _follow(self, requests: AsyncIterator[bytes], context: Any) -> None:
        if len(self._streams) >= MOST_STREAMS:
            self.counters.refused += 1
            await context.abort(Code.RESOURCE_EXHAUSTED, f"{MOST_STREAMS} streams are open")
        task: Any = asyncio.current_task()
        stream = Stream(next(self._numbers), task)
        self._streams[stream.number] = stream
        reading = asyncio.ensure_future(self._read(stream, requests))
        try:
            await self._write(stream, context)
        except (grpc.aio.BaseError, asyncio.CancelledError, UnknownStream):
            if stream.ended is None:  # it left under a message
                raise
        finally:
            reading.cancel()
            del self._streams[stream.number]
            self._left(stream)
        code, why = stream.ended or (Code.OK, "")
        if code is not Code.OK:
            await context.abort(code, why)

    def _left(self, stream: Stream) -> None:
        if stream.name:
            self._fanout.leave(stream.number, clock.source.steady_us())
            _, why = stream.ended or (None, "")
            log.info("follower left", extra=fields(name=stream.name, reason=why or "its stream ended"))

    async def _write(self, stream: Stream, context: Any) -> None:
        while stream.ended is None:
            stream.woken.clear()
            now_us = clock.source.steady_us()
            due = stream.name and self._fanout.due_us(stream.number) <= now_us
            messages = self._fanout.send(stream.number, now_us) if due else []
            if not messages:
                await stream.woken.wait()
            stream.writing = True
            for message in messages:
                await self._write_one(message, context)
            stream.writing = False

    async def _write_one(self, message: ToFollower, context: Any) -> None:
        for data in self._encoder.encode(message):
            await context.write(data)
            self.counters.bytes_out += len(data)
        if isinstance(message, Batch):
            self.counters.batches += 1
            self.counters.entries += len(message.entries)
        elif isinstance(message, Snapshot):
            self.counters.snapshots += 1
            log.info("snapshot sent", extra=fields(applied=message.applied, purges=len(message.purges)))

    async def _read(self, stream: Stream, requests: AsyncIterator[bytes]) -> None:
        """Take in what a follower says, until it ends the stream or says what cannot be."""
        code = Code.OK
        why = ""
        try:
            async for data in requests:
                self._heard(stream, data)
        except grpc.aio.BaseError:
            why = "its stream broke off"
        except Malformed as err:
            log.warning("malformed message", extra=fields(name=stream.name, reason=err))
            code = Code.INVALID_ARGUMENT
            why = str(err)
        except Superseded as err:
            code = Code.FAILED_PRECONDITION
            why = str(err)
            self._superseded(err.epoch)
        except Full:
            code = Code.RESOURCE_EXHAUSTED
            why = "there are too many followers"
        except Unfit as err:
            code = Code.UNAVAILABLE
            why = str(err)
        except UnknownStream:
            code = Code.ABORTED
            why = "replaced by a later stream"
        except Exception as err:
            log.exception("follower's stream failed", extra=fields(name=stream.name))
            code = Code.INTERNAL
            why = f"{type(err).__name__}: {err}"[:200]
        self.counters.refused += code is not Code.OK
        stream.end(code, why)

    def _heard(self, stream: Stream, data: bytes) -> None:
        message = decode_from(data)
        now_us = clock.source.steady_us()
        if not isinstance(message, Join):
            if not stream.name:
                raise Malformed("first message", "progress", "join")
            self._fanout.progress(stream.number, message, now_us)
        elif stream.name:
            raise Malformed("message", "a second join", "progress")
        else:
            self._join(stream, message, now_us)
        stream.woken.set()

    def _join(self, stream: Stream, join: Join, now_us: int) -> None:
        earlier = self._fanout.join(stream.number, join, now_us)
        if earlier is not None and (other := self._streams.get(earlier)) is not None:
            other.end(Code.ABORTED, "replaced by a later stream")
        stream.name = join.name
        self.counters.joins += 1
        log.info("follower joined", extra=fields(name=join.name, applied=join.applied))
