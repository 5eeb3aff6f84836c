"""Drives a ``Fanout``: a gRPC server with a stream for each follower.

Messages to a follower are taken from the ``Fanout`` only when the previous write has completed, so that
nothing is queued here for a follower that reads slowly. A stream has two coroutines, a reader and a writer; a
shared timer task wakes all writers.
"""

from __future__ import annotations

import asyncio
import itertools
import logging
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc
import grpc.aio

from magpieshift import clock
from magpieshift.background_task import BackgroundTask
from magpieshift.control.grpc_server import SERVER_OPTIONS as CONTROL_OPTIONS
from magpieshift.control.grpc_server import start_server
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.log import fields
from magpieshift.relay.decoding import decode_upstream
from magpieshift.relay.errors import (
    EpochSupersededError,
    MalformedMessageError,
    TooManyFollowersError,
    UnknownStreamError,
    UpstreamStaleError,
)
from magpieshift.relay.fanout import Fanout
from magpieshift.relay.message_cache import MessageCache
from magpieshift.relay.messages import DownstreamMessage, Epoch, Join, Snapshot
from magpieshift.relay.service_counters import ServiceCounters

log = logging.getLogger(__name__)

TICK_S = 0.05
"""Interval between checks of the streams' timers: a fifth of the batch interval."""
END_TIMEOUT_S = 0.5
"""How long the streams' end statuses may take to be sent when the service stops."""
JOIN_TIMEOUT_S = 3.0
"""Time-out for the join, after which a stream is ended; as long as a client waits for a connection."""
MAX_STREAMS = 8192
"""Maximum open streams: twice ``MAX_FOLLOWERS``, as streams that have not joined or were replaced count
too."""
MAX_UPSTREAM_BYTES = 1 << 14
"""Maximum size of a follower's message; the last one is kept in memory. Usual messages have about 100
bytes."""
MAX_REASON_LENGTH = 200
"""Maximum characters of an unexpected error that are sent to a follower."""

SERVER_OPTIONS = [*CONTROL_OPTIONS, ("grpc.max_receive_message_length", MAX_UPSTREAM_BYTES)]

Code = grpc.StatusCode


class StreamDriver:
    """The driver's state of one follower's stream."""

    def __init__(self, number: int, task: asyncio.Task[None]) -> None:
        """``task`` is the writer's task."""
        self.number = number
        """Number that identifies the stream in the ``Fanout``."""
        self.name = ""
        """Name of the follower; empty until it has joined."""
        self.began_us = clock.source.steady_us()
        """When the stream was opened."""
        self.write_event = asyncio.Event()
        """Set when there may be something to write."""
        self.writing = False
        """Whether a write is in flight."""
        self.end_status: tuple[Any, str] | None = None
        """The gRPC status code and the reason with which the stream is ended; None while it is open."""
        self._task = task

    def end(self, code: Any = Code.OK, reason: str = "") -> None:
        """End the stream; a write in flight is cancelled."""
        if self.end_status is None:
            self.end_status = (code, reason)
            self.write_event.set()
            if self.writing:
                self._task.cancel()


class RelayService(grpc.GenericRpcHandler):  # type: ignore[misc]  # the library is not typed
    """The gRPC server and all followers' streams."""

    def __init__(
        self,
        fanout: Fanout,
        on_superseded: Callable[[Epoch], None],
        make_report: Callable[[], wire.StatusReport],
    ) -> None:
        """``on_superseded`` is called if a follower knows a higher epoch; ``make_report`` returns the status
        report for operators."""
        self.counters = ServiceCounters()
        """Counters since the start."""
        self.port = 0
        """Port on which the server listens; 0 before ``start``."""
        self._fanout = fanout
        self._on_superseded = on_superseded
        self._make_report = make_report
        self._streams: dict[int, StreamDriver] = {}
        self._numbers = itertools.count(1)
        self._messages = MessageCache()
        # whether the fan-out was fresh at the last tick
        self._was_fresh = True
        self._server: Any = None
        self._ticking = BackgroundTask("relay service tick", self._tick)

    def service(self, details: Any) -> Any:
        """The handler of a gRPC method; None for an unknown one."""
        if details.method.endswith("/Follow"):
            return grpc.stream_stream_rpc_method_handler(self._follow)
        if details.method.endswith("/Status"):
            return grpc.unary_unary_rpc_method_handler(self._status)
        return None

    async def start(self, listen: str) -> None:
        """Listen on ``host:port``; port 0 picks a free one. ``OSError`` if the address cannot be used."""
        self._server, self.port = await start_server(self, listen, SERVER_OPTIONS)
        self._ticking.start()

    def end_streams(self, reason: str) -> None:
        """End all streams; nothing more is written to them."""
        for stream in list(self._streams.values()):
            stream.end(Code.UNAVAILABLE, reason)

    async def stop(self) -> None:
        """End all streams and stop the server once their end statuses are sent, or after
        ``END_TIMEOUT_S``."""
        self._ticking.cancel()
        self.end_streams("ending")
        if self._server is not None:
            await self._server.stop(END_TIMEOUT_S)

    async def _status(self, request: bytes, context: Any) -> bytes:
        return bytes(self._make_report().SerializeToString())

    async def _tick(self) -> None:
        """Wake the writers that have something to send, and end streams that are silent or must not be
        served."""
        while True:
            now_us = clock.source.steady_us()
            for number in self._fanout.due_streams(now_us):
                if (stream := self._streams.get(number)) is not None:
                    stream.write_event.set()
            for number in self._fanout.silent_streams(now_us):
                self._end_silent(number)
            self._end_ineligible(now_us)
            await asyncio.sleep(TICK_S)

    def _end_ineligible(self, now_us: int) -> None:
        """End streams that did not join in time, and all joined streams if this process is not fresh."""
        is_fresh = self._fanout.is_fresh(now_us)
        if self._was_fresh and not is_fresh and self._streams:
            log.warning("source contact lost", extra=fields(followers=len(self._streams)))
        self._was_fresh = is_fresh
        for stream in list(self._streams.values()):
            if stream.name and not is_fresh:
                stream.end(Code.UNAVAILABLE, "not current")
            elif not stream.name and now_us - stream.began_us > JOIN_TIMEOUT_S * 1e6:
                stream.end(Code.DEADLINE_EXCEEDED, "nothing was said")

    def _end_silent(self, number: int) -> None:
        stream = self._streams.get(number)
        if stream is not None and stream.end_status is None:
            self.counters.silent_streams += 1
            log.warning("follower timed out", extra=fields(peer=stream.name))
            stream.end(Code.DEADLINE_EXCEEDED, "nothing was heard")

    # --- one stream

    async def _follow(self, requests: AsyncIterator[bytes], context: Any) -> None:
        if len(self._streams) >= MAX_STREAMS:
            self.counters.rejected_streams += 1
            await context.abort(Code.RESOURCE_EXHAUSTED, f"{MAX_STREAMS} streams are open")
        task: Any = asyncio.current_task()
        stream = StreamDriver(next(self._numbers), task)
        self._streams[stream.number] = stream
        reading = asyncio.ensure_future(self._read(stream, requests))
        try:
            await self._write(stream, context)
        except (grpc.aio.BaseError, asyncio.CancelledError, UnknownStreamError):
            if stream.end_status is None:  # the stream broke while a message was being written
                raise
        finally:
            reading.cancel()
            del self._streams[stream.number]
            self._close_stream(stream)
        code, reason = stream.end_status or (Code.OK, "")
        if code is not Code.OK:
            await context.abort(code, reason)

    def _close_stream(self, stream: StreamDriver) -> None:
        if stream.name:
            self._fanout.close_stream(stream.number, clock.source.steady_us())
            _, reason = stream.end_status or (None, "")
            log.info(
                "follower disconnected",
                extra=fields(peer=stream.name, reason=reason or "the follower ended it"),
            )

    async def _write(self, stream: StreamDriver, context: Any) -> None:
        while stream.end_status is None:
            stream.write_event.clear()
            now_us = clock.source.steady_us()
            is_due = stream.name and self._fanout.next_send_us(stream.number) <= now_us
            messages = self._fanout.messages_to_send(stream.number, now_us) if is_due else []
            if not messages:
                await stream.write_event.wait()
            stream.writing = True
            for message in messages:
                await self._write_one(message, context)
            stream.writing = False

    async def _write_one(self, message: DownstreamMessage, context: Any) -> None:
        for data in self._messages.encode(message):
            await context.write(data)
            self.counters.bytes_out += len(data)
        self.counters.count_sent(message)
        if isinstance(message, Snapshot):
            log.info("snapshot sent", extra=fields(applied=message.applied, purges=len(message.purges)))

    async def _read(self, stream: StreamDriver, requests: AsyncIterator[bytes]) -> None:
        """Handle a follower's messages until it ends the stream or sends an invalid message."""
        code = Code.OK
        reason = ""
        try:
            async for data in requests:
                self._receive(stream, data)
        except grpc.aio.BaseError:
            reason = "the stream broke"
        except Exception as err:  # an error in handling a message ends only that follower's stream
            code, reason = self._status_after_error(stream, err)
        self.counters.rejected_streams += code is not Code.OK
        stream.end(code, reason)

    def _status_after_error(self, stream: StreamDriver, error: Exception) -> tuple[Any, str]:
        """The status code and reason with which to end a stream after an error in handling its message."""
        match error:
            case MalformedMessageError():
                log.warning("malformed message", extra=fields(peer=stream.name, reason=error))
                return Code.INVALID_ARGUMENT, str(error)
            case EpochSupersededError():
                self._on_superseded(error.epoch)
                return Code.FAILED_PRECONDITION, str(error)
            case TooManyFollowersError():
                return Code.RESOURCE_EXHAUSTED, "there are too many followers"
            case UpstreamStaleError():
                return Code.UNAVAILABLE, str(error)
            case UnknownStreamError():
                return Code.ABORTED, "replaced by a later stream"
        log.error("follower's stream failed", exc_info=error, extra=fields(peer=stream.name))
        return Code.INTERNAL, f"{type(error).__name__}: {error}"[:MAX_REASON_LENGTH]

    def _receive(self, stream: StreamDriver, data: bytes) -> None:
        message = decode_upstream(data)
        now_us = clock.source.steady_us()
        if not isinstance(message, Join):
            if not stream.name:
                raise MalformedMessageError("first message", "progress", "join")
            self._fanout.receive_progress(stream.number, message, now_us)
        elif stream.name:
            raise MalformedMessageError("message", "a second join", "progress")
        else:
            self._join(stream, message, now_us)
        stream.write_event.set()

    def _join(self, stream: StreamDriver, join: Join, now_us: int) -> None:
        earlier = self._fanout.join(stream.number, join, now_us)
        if earlier is not None and (other := self._streams.get(earlier)) is not None:
            other.end(Code.ABORTED, "replaced by a later stream")
        stream.name = join.name
        self.counters.joins += 1
        log.info("follower joined", extra=fields(peer=join.name, applied=join.applied))
