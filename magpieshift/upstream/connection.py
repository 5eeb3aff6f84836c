"""One connection to an upstream endpoint: its socket, and the exchanges that wait until it is connected."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from tornado.iostream import IOStream, StreamClosedError

from magpieshift.clock import LoopClock
from magpieshift.engine.model import AttemptResult, ListedEndpoint, UpstreamRequest
from magpieshift.log import fields
from magpieshift.memory_use import MemoryUse
from magpieshift.policy.outcomes import Outcome
from magpieshift.sockets import peek_byte
from magpieshift.upstream.codec import UpstreamProtocolError
from magpieshift.upstream.exchange_table import ExchangeTable, ResultCallback

log = logging.getLogger(__name__)

READ_CHUNK_BYTES = 32_768
"""Maximum size of one read; most responses fit. Larger costs time: Tornado allocates and zeroes a buffer of
this size for each read."""
MAX_BUFFER_BYTES = 1 << 20
"""Maximum number of received bytes that a stream buffers; four times the largest response."""
CONNECTION_LOST = AttemptResult(Outcome.RESET)
"""Result of exchanges written on a connection that closed: the endpoint may have executed them."""
NEVER_CONNECTED = AttemptResult(Outcome.CONNECT_FAILED)
"""Result of exchanges that were never written: connecting failed, or no connection was available."""


@dataclass(slots=True)
class ConnectionSettings:
    """Settings shared by all upstream connections; updated in place when a configuration takes effect."""

    load_report_columns: Sequence[str]
    """Names of the figures in a load report, in the order of the settings."""
    connect_timeout_us: int
    max_silence_us: int
    """Time without a received byte, while responses are due, after which the connection counts as silent."""
    memory: MemoryUse = field(default_factory=lambda: MemoryUse(0))
    """Counts the memory of the answers being received on all connections."""


class PendingExchange:
    """A request or health check sent, or to be sent, to an endpoint; the engine cancels it by this object."""

    def __init__(self, request: UpstreamRequest | None, callback: ResultCallback) -> None:
        self.request = request
        """None for a health check."""
        self.request_id = "" if request is None else request.request.request_id
        """The id on the wire; for a health check it is empty until it is written."""
        self.callback = callback
        self.connection: Connection | None = None
        """The connection that it was submitted to; None before that."""
        self.is_written = False
        """Whether it was written to the socket, so that the endpoint may have executed it."""
        self.is_cancelled = False
        """Whether it was cancelled and must not be written."""

    @property
    def must_not_repeat(self) -> bool:
        """Whether it is a request that the endpoint must not execute twice."""
        return self.request is not None and self.request.must_not_repeat

    def cancel(self) -> bool:
        """Cancel it; its callback is not called. Returns whether it may have reached the endpoint."""
        self.is_cancelled = True
        if self.connection is not None:
            self.connection.cancel(self)
        return self.is_written


class Connection:
    """One connection to an endpoint. Owns the socket, and the exchanges that wait until it is connected."""

    def __init__(
        self,
        endpoint: ListedEndpoint,
        settings: ConnectionSettings,
        clock: LoopClock,
        on_closed: Callable[[Connection], None],
    ) -> None:
        """Start to connect; raises ``OSError`` if no file descriptor is available.

        ``on_closed`` is called once with this connection when it has closed, before its exchanges are ended.
        """
        self._endpoint_name = endpoint.name
        self._address = endpoint.address
        self._settings = settings
        self._clock = clock
        self._on_closed = on_closed
        self.exchanges = ExchangeTable(settings.load_report_columns)
        """The exchanges written on this connection and not ended."""
        self._waiting: dict[PendingExchange, None] = {}
        """Exchanges to be written once connected, oldest first."""
        self._is_connected = False
        self.is_retired = False
        """Whether it accepts no new exchange and is closed once no exchange is open on it."""
        self.idle_since_us: int | None = clock.now_us()
        """Since when no exchange is open on it or waits for it, in Unix microseconds; None while one does."""
        self._partial_answer_bytes = 0
        """Number of bytes allocated for the answer being received, as counted so far."""
        self._last_received_us = clock.now_us()
        """When bytes were last received, when it connected, or when an exchange was written while none was
        open, whichever is latest."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._stream = IOStream(sock, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=READ_CHUNK_BYTES)
        log.debug("connecting", extra=fields(endpoint=endpoint.name))
        self._task = asyncio.ensure_future(self._run())

    @property
    def load(self) -> int:
        """Number of exchanges that are open on it or wait until it is connected."""
        return len(self.exchanges) + len(self._waiting)

    def can_accept(self, exchange: PendingExchange, now_us: int) -> bool:
        """Whether this exchange may be submitted to this connection.

        On an idle connection the socket is checked first, since the endpoint may have closed it. An exchange
        written to it would be reset, and would have to count as possibly executed.
        """
        if self.is_retired or self._stream.closed() or self.is_silent(now_us):
            return False
        if self._is_connected and self.load == 0 and peek_byte(self._stream.socket) == b"":
            return False
        return self.exchanges.can_open(exchange.request_id, exchange.must_not_repeat)

    def is_silent(self, now_us: int) -> bool:
        """Whether responses are due and nothing was received for ``max_silence_us``.

        A machine that fails sends nothing, not even a reset, so an exchange written here might be lost and
        end only by its timeout.
        """
        responses_due = self._is_connected and len(self.exchanges) > 0
        return responses_due and now_us - self._last_received_us > self._settings.max_silence_us

    def submit(self, exchange: PendingExchange) -> None:
        """Write an exchange, at once or when the connection is established."""
        self.idle_since_us = None
        exchange.connection = self
        if self._is_connected:
            self._write(exchange)
        else:
            self._waiting[exchange] = None

    def submit_probe(self, probe: PendingExchange) -> None:
        """Write a health check, which asks for no load report, after everything written before.

        Does nothing if the connection is closed.
        """
        if not self._stream.closed():
            self.idle_since_us = None
            probe.connection = self
            self._write_probe(probe, with_load_report=False)

    def cancel(self, exchange: PendingExchange) -> None:
        """Cancel an exchange: an unwritten one is removed, a written request is cancelled on the wire.

        The connection is retired if the endpoint has been silent for too long, or if part of the response has
        arrived: the rest may never come, and it would block all responses after it.
        """
        self._waiting.pop(exchange, None)
        if exchange.is_written:
            response_may_never_end = self.exchanges.is_receiving(exchange.request_id)
            cancel_line = self.exchanges.cancel(exchange.request_id, is_probe=exchange.request is None)
            if cancel_line:
                self._send((cancel_line,))
            silence_us = self._clock.now_us() - self._last_received_us
            if response_may_never_end or silence_us > self._settings.max_silence_us:
                self.is_retired = True
        self.close_if_done()

    def close_if_done(self) -> None:
        """If no exchange is left, record since when the connection is idle, and close it if it is retired."""
        if self.load:
            return
        if self.idle_since_us is None:
            self.idle_since_us = self._clock.now_us()
        if self.is_retired:
            self.close()

    def close(self) -> None:
        """Close the socket, which makes ``_run`` return and end the exchanges."""
        self._stream.close()

    async def _run(self) -> None:
        """Connect, and read until the connection closes; then end the exchanges and release the socket."""
        result = NEVER_CONNECTED
        try:
            if self._stream.closed():  # closed before this task first ran
                return
            async with asyncio.timeout(self._settings.connect_timeout_us / 1e6):
                await self._stream.connect(self._address)
            result = CONNECTION_LOST
            self._connected()
            while True:
                self._receive(await self._stream.read_bytes(READ_CHUNK_BYTES, partial=True))
        except (StreamClosedError, TimeoutError):
            pass
        except UpstreamProtocolError as err:
            # the field is named "store" because recorded exchanges match this log line
            log.warning("unreadable answer", extra=fields(store=self._endpoint_name, reason=err))
        except Exception:  # an error in a callback closes this connection, but its exchanges are still ended
            log.exception("exception closed the connection", extra=fields(endpoint=self._endpoint_name))
        finally:
            self._end(result)

    def _connected(self) -> None:
        """Write the exchanges that have waited until it was connected."""
        self._is_connected = True
        self._last_received_us = self._clock.now_us()
        waiting = list(self._waiting)
        self._waiting = {}
        for exchange in waiting:
            self._write(exchange)
        self.close_if_done()

    def _receive(self, data: bytes) -> None:
        """Parse received bytes, and end the exchanges whose responses they complete."""
        self._last_received_us = self._clock.now_us()
        for callback, result in self.exchanges.feed(data):
            callback(result)
        self._count_partial_answer(self.exchanges.partial_body_bytes)
        self.close_if_done()

    def _count_partial_answer(self, size: int) -> None:
        """Set how many bytes are allocated for the answer being received; nothing else counts them."""
        self._settings.memory.answer_bytes += size - self._partial_answer_bytes
        self._partial_answer_bytes = size

    def _end(self, result: AttemptResult) -> None:
        """Release the connection; nothing else does.

        Exchanges that were written end with ``result``, the others with ``NEVER_CONNECTED``.
        """
        self._stream.close()
        self._count_partial_answer(0)
        self._on_closed(self)
        waiting = list(self._waiting)
        self._waiting = {}
        for callback in self.exchanges.abort_all():
            callback(result)
        for exchange in waiting:
            exchange.callback(NEVER_CONNECTED)

    def _write(self, exchange: PendingExchange) -> None:
        """Write an exchange, or end it with the blocked reason if its request must no longer be sent."""
        request = exchange.request
        if request is not None and (blocked := request.check_blocked()) is not None:
            # deferred, as a callback must not be called from within the call that submits the exchange
            self._clock.soon(lambda: exchange.callback(AttemptResult(blocked)))
            self.close_if_done()
            return
        if request is None:
            self._write_probe(exchange, with_load_report=bool(self._settings.load_report_columns))
            return
        self._mark_written(exchange)
        self._send(self.exchanges.open_request(request, self._clock.now_us(), exchange.callback))

    def _write_probe(self, probe: PendingExchange, with_load_report: bool) -> None:
        self._mark_written(probe)
        probe.request_id, probe_line = self.exchanges.open_probe(with_load_report, probe.callback)
        self._send((probe_line,))

    def _mark_written(self, exchange: PendingExchange) -> None:
        """Mark an exchange as written. If no other is open, silence is measured from now on."""
        if len(self.exchanges) == 0:
            self._last_received_us = self._clock.now_us()
        exchange.is_written = True

    def _send(self, chunks: Iterable[bytes]) -> None:
        """Write chunks. If the stream is closed, they are dropped, and ``_run`` ends the exchanges."""
        with contextlib.suppress(StreamClosedError):
            for chunk in chunks:
                self._stream.write(chunk)
