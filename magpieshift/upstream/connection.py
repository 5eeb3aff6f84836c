"""One connection to an upstream endpoint: the socket, and the exchanges that wait for it to come up."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamClosedError

from magpieshift.clock import LoopClock
from magpieshift.engine.model import AttemptResult, ListedEndpoint, UpstreamRequest
from magpieshift.log import fields
from magpieshift.policy.outcomes import Outcome
from magpieshift.sockets import peek_byte
from magpieshift.upstream.codec import UpstreamProtocolError
from magpieshift.upstream.exchange_table import ExchangeTable, ResultCallback

log = logging.getLogger(__name__)

READ_CHUNK_BYTES = 32_768
"""Most responses fit into it. Larger costs time: the stream clears as much memory for each read."""
MAX_BUFFER_BYTES = 1 << 20
"""What a stream holds unparsed; four times the largest response."""
CONNECTION_LOST = AttemptResult(Outcome.RESET)
"""The connection broke after it was up: what was written may have run."""
NEVER_CONNECTED = AttemptResult(Outcome.CONNECT_FAILED)
"""No connection came up, or none was to be had: nothing was written."""


@dataclass(slots=True)
class ConnectionSettings:
    """What all upstream connections are run by; changed in place when a configuration takes effect."""

    load_report_columns: Sequence[str]
    """The names of a load report's figures, in the settings' order."""
    connect_timeout_us: int
    max_silence_us: int
    """Without a byte for so long while responses are due, the endpoint's machine may be gone."""


class PendingExchange:
    """A request or a health check on its way to an endpoint; the engine's handle on it."""

    def __init__(self, request: UpstreamRequest | None, callback: ResultCallback) -> None:
        self.request = request
        """None for a health check."""
        self.request_id = "" if request is None else request.request.request_id
        """The id on the wire; a health check gets it when it is written."""
        self.callback = callback
        self.connection: Connection | None = None
        """The connection that carries it."""
        self.is_written = False
        """Whether its bytes were handed to the socket, so that it may have run."""
        self.is_cancelled = False
        """Whether it was stopped, so that it must not be written any more."""

    @property
    def must_not_repeat(self) -> bool:
        """Whether running it twice does harm."""
        return self.request is not None and self.request.must_not_repeat

    def cancel(self) -> bool:
        """Stop it; its callback is not called. Returns whether the endpoint may have been reached."""
        self.is_cancelled = True
        if self.connection is not None:
            self.connection.cancel(self)
        return self.is_written


class Connection:
    """One connection to an endpoint: owner of its socket, and of the exchanges that wait for it to come
    up."""

    def __init__(
        self,
        endpoint: ListedEndpoint,
        settings: ConnectionSettings,
        clock: LoopClock,
        on_closed: Callable[[Connection], None],
    ) -> None:
        """Begin to connect; ``OSError`` where no descriptor is to be had. ``on_closed`` is called once with
        this connection, before its exchanges are ended."""
        self._endpoint_name = endpoint.name
        self._address = endpoint.address
        self._settings = settings
        self._clock = clock
        self._on_closed = on_closed
        self.exchanges = ExchangeTable(settings.load_report_columns)
        """The exchanges that were written."""
        self._waiting: dict[PendingExchange, None] = {}
        """Exchanges to be written once the connection is up, oldest first."""
        self._is_connected = False
        self.is_retired = False
        """Takes nothing new, and is closed once nothing is open on it."""
        self.idle_since_us: int | None = clock.now_us()
        """Since when nothing is open on it; None while something is."""
        self._last_received_us = clock.now_us()
        """When bytes last came, or when the first of the open exchanges was written."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._stream = IOStream(sock, max_buffer_size=MAX_BUFFER_BYTES, read_chunk_size=READ_CHUNK_BYTES)
        log.debug("connecting", extra=fields(endpoint=endpoint.name))
        self._task = asyncio.ensure_future(self._run())

    @property
    def load(self) -> int:
        """The number of exchanges open on it or waiting for it."""
        return len(self.exchanges) + len(self._waiting)

    def can_accept(self, exchange: PendingExchange, now_us: int) -> bool:
        """Whether it may carry this exchange. An idle connection may have been closed by the endpoint: what
        is written to it then is reset, and has to pass for what may have run."""
        if self.is_retired or self._stream.closed() or self.is_silent(now_us):
            return False
        if self._is_connected and self.load == 0 and peek_byte(self._stream.socket) == b"":
            return False
        return self.exchanges.can_open(exchange.request_id, exchange.must_not_repeat)

    def is_silent(self, now_us: int) -> bool:
        """Whether responses are due and nothing has come for long. A machine that vanishes sends nothing at
        all, so what is forwarded here would be lost until its timeout."""
        responses_due = self._is_connected and len(self.exchanges) > 0
        return responses_due and now_us - self._last_received_us > self._settings.max_silence_us

    def submit(self, exchange: PendingExchange) -> None:
        """Write an exchange, now or once the connection is up."""
        self.idle_since_us = None
        exchange.connection = self
        if self._is_connected:
            self._write(exchange)
        else:
            self._waiting[exchange] = None

    def submit_probe(self, probe: PendingExchange) -> None:
        """Write a health check behind all that was written, without a load report; on a connection that is
        closed it does nothing."""
        if not self._stream.closed():
            self.idle_since_us = None
            probe.connection = self
            self._write_probe(probe, with_load_report=False)

    def cancel(self, exchange: PendingExchange) -> None:
        """Take back an exchange: unwritten it is forgotten, written it is cancelled on the wire."""
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
        """Note since when nothing is open, and close if the connection is not to be used again."""
        if self.load:
            return
        if self.idle_since_us is None:
            self.idle_since_us = self._clock.now_us()
        if self.is_retired:
            self.close()

    def close(self) -> None:
        """Close the socket; ``_run`` ends with it, and ends the exchanges."""
        self._stream.close()

    async def _run(self) -> None:
        """Connect, read until the end, and give everything back."""
        result = NEVER_CONNECTED
        try:
            if self._stream.closed():  # before this ran at all
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
            # "store" is the field's name in the recorded exchanges that check this line
            log.warning("unreadable answer", extra=fields(store=self._endpoint_name, reason=err))
        except Exception:  # a fault in a callback costs this connection, not the task that ends its exchanges
            log.exception("connection failed", extra=fields(endpoint=self._endpoint_name))
        finally:
            self._end(result)

    def _connected(self) -> None:
        """The connection is up: write what has waited for it."""
        self._is_connected = True
        self._last_received_us = self._clock.now_us()
        waiting = list(self._waiting)
        self._waiting = {}
        for exchange in waiting:
            self._write(exchange)
        self.close_if_done()

    def _receive(self, data: bytes) -> None:
        """End the exchanges that these bytes answer."""
        self._last_received_us = self._clock.now_us()
        for callback, result in self.exchanges.feed(data):
            callback(result)
        self.close_if_done()

    def _end(self, result: AttemptResult) -> None:
        """The one place where a connection is given back. What was written on it may have run and ends with
        ``result``; what was not written never ran."""
        self._stream.close()
        self._on_closed(self)
        waiting = list(self._waiting)
        self._waiting = {}
        for callback in self.exchanges.abort_all():
            callback(result)
        for exchange in waiting:
            exchange.callback(NEVER_CONNECTED)

    def _write(self, exchange: PendingExchange) -> None:
        """Write an exchange, unless its request may not be sent any more."""
        request = exchange.request
        if request is not None and (blocked := request.check_blocked()) is not None:
            # never from within the caller's own call
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
        """Silence counts from the first of the exchanges that are open."""
        if len(self.exchanges) == 0:
            self._last_received_us = self._clock.now_us()
        exchange.is_written = True

    def _send(self, chunks: Iterable[bytes]) -> None:
        """Write; where the first chunk finds the connection broken, ``_run`` is about to end it."""
        with contextlib.suppress(StreamClosedError):
            for chunk in chunks:
                self._stream.write(chunk)
