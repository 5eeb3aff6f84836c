"""The client of the change log: reads it over HTTP, and reconnects with backoff when the connection ends."""

from __future__ import annotations

import asyncio
import logging
import random
import socket
from collections.abc import Callable

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError

from magpieshift.background_task import BackgroundTask, log_failure
from magpieshift.config import Document
from magpieshift.discovery.changes import ChangeLog
from magpieshift.discovery.errors import DiscoveryError, EventStreamError
from magpieshift.discovery.event_stream import EventStreamParser
from magpieshift.log import fields

log = logging.getLogger(__name__)

SILENCE_TIMEOUT_S = 2.5
"""Read timeout, after which the change log is considered unreachable. It sends a comment every second, of
which two may be missing. A longer timeout serves from stale data for longer, a shorter one reconnects
needlessly."""
CONNECT_TIMEOUT_S = 1.0
"""Time limit for opening a connection. A longer one delays the next attempt."""
CAUGHT_UP_AFTER_S = 0.15
"""After this long without data from a log that has answered, all past changes count as received. Well below
the 7 s after which a replacing process accepts clients regardless."""
CATCH_UP_POLL_S = 0.02
"""Polling interval of ``caught_up``."""
MIN_BACKOFF_S = 0.05
"""Shortest delay before the log is read again. A shorter one would put load on a log that has just failed."""
MAX_BACKOFF_S = 0.8
"""Longest delay before the log is read again, and how long a connection must last to count as healthy. A
longer one delays changes."""
JITTER = (0.5, 1.0)
"""Range of the random factor applied to each delay, so that routers do not all reconnect at once."""
UNLIMITED_BODY_BYTES = 1 << 40
"""Body size limit of the response, which never ends; the HTTP library's default limit must not cut it off."""


class _ResponseReader(HTTPMessageDelegate):
    """Parses the body of one response incrementally and passes its events on."""

    def __init__(self, client: ChangeLogClient, stream: IOStream) -> None:
        self._client = client
        self._stream = stream
        self._parser = EventStreamParser()
        self._event_began_s: float | None = None
        """When the incomplete event at the end of the data began; None if there is none."""

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        code = getattr(start_line, "code", 0)
        if code == 200:
            self._client.has_answered = True
        else:
            log.warning("change log request rejected", extra=fields(code=code))
            self._stream.close()

    def data_received(self, chunk: bytes) -> None:
        self._client.note_received()
        self._client.chunks_read += 1
        now_s = asyncio.get_running_loop().time()
        try:
            for event in self._parser.feed(chunk):
                self._event_began_s = None
                self._client.changes.receive(event.data, event.event_id)
            self._check_partial_event(now_s)
            self._client.changes.log_if_due(now_s)
        except DiscoveryError as err:
            log.warning("change log connection closed", extra=fields(reason=err))
            self._stream.close()

    def _check_partial_event(self, now_s: float) -> None:
        """Apply the read timeout to an incomplete event, even if other bytes keep arriving meanwhile."""
        if not self._parser.has_partial_event:
            self._event_began_s = None
            return
        self._event_began_s = self._event_began_s or now_s
        if now_s - self._event_began_s > SILENCE_TIMEOUT_S:
            raise EventStreamError(f"an event is still incomplete after {SILENCE_TIMEOUT_S} s")


class ChangeLogClient:
    """Reads the change log over a single connection."""

    part = "feed"
    """Its name among the router's parts, where running settings are shown; operators' tools use it."""

    def __init__(self, address: tuple[str, int], changes: ChangeLog, seed: int = 0) -> None:
        """``seed`` initializes the random generator of the jitter."""
        self._address = address
        self.changes = changes
        self.backoff_s = MIN_BACKOFF_S
        """The current delay before the log is read again, without jitter."""
        self._random = random.Random(seed)
        self._reading = BackgroundTask("change log client", self._run)
        self._last_received_s = 0.0
        """When bytes last arrived or a connection was opened, on the event loop's clock."""
        self.has_answered = False
        """Whether the log has ever answered."""
        self.chunks_read = 0
        """Count of response body chunks read so far."""
        self._stream: IOStream | None = None
        """The open connection; None if there is none."""

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Prepare a new configuration: the log's address, and the names of zones and kinds. Returns the
        function that puts it in force."""

        def commit() -> None:
            """Put the new configuration in force."""
            self.changes.names = new.names
            self.set_address(new.change_log_address)

        return commit

    def running(self) -> dict[str, object]:
        """The address of the log, and the names of zones and kinds used to decode it."""
        names = self.changes.names
        return {
            "address": list(self._address),
            "zones": sorted(filter(None, names.zones)),
            "kinds": sorted(filter(None, names.kinds)),
        }

    def start(self) -> None:
        """Read the log until ``stop``."""
        self._reading.start()

    def stop(self) -> None:
        """Close the connection and stop reading; may be called repeatedly."""
        self._reading.cancel()

    def set_address(self, address: tuple[str, int]) -> None:
        """Read the log from another address, continuing its sequence numbers. The connection to the old
        address is closed immediately."""
        if address != self._address:
            self._address = address
            if self._reading.is_running:
                self.stop()
                self.start()

    def note_received(self) -> None:
        """Restart the read timeout: bytes arrived, or a connection was opened."""
        self._last_received_s = asyncio.get_running_loop().time()

    def has_read_all(self) -> bool:
        """Whether the log is connected and all data that has arrived from it is read and applied. Must be
        called on the event loop."""
        stream = self._stream
        if stream is None or stream.closed() or not stream.reading():
            return False  # data may be buffered between the socket and the change log
        try:
            stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False  # unread bytes, or the end of the stream

    async def caught_up(self, within_s: float) -> bool:
        """Wait at most ``within_s`` seconds until the log has answered and then sent nothing for
        ``CAUGHT_UP_AFTER_S``; returns whether that happened."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + within_s
        while not (self.has_answered and loop.time() - self._last_received_s >= CAUGHT_UP_AFTER_S):
            if loop.time() >= deadline_s:
                return False
            await asyncio.sleep(CATCH_UP_POLL_S)
        return True

    async def _run(self) -> None:
        """Read one response after another, with backoff in between."""
        while True:
            started_s = asyncio.get_running_loop().time()
            first_sequence = self.changes.last_sequence
            try:
                await self._read()
            except (OSError, StreamClosedError, TimeoutError) as err:
                log.debug("change log disconnected", extra=fields(reason=repr(err)))
            except Exception:  # a bug in handling one change must not stop the client
                log.exception("change log client failed")
            # a log that answers and closes immediately must not reset the backoff; when it did, it was
            # requested 30 times a second
            has_lasted = asyncio.get_running_loop().time() - started_s >= MAX_BACKOFF_S
            has_received = self._last_received_s > started_s
            has_advanced = self.changes.last_sequence > first_sequence
            is_healthy = has_advanced or (has_received and has_lasted)
            self.backoff_s = MIN_BACKOFF_S if is_healthy else min(2 * self.backoff_s, MAX_BACKOFF_S)
            await asyncio.sleep(self.backoff_s * self._random.uniform(*JITTER))

    async def _read(self) -> None:
        """Read one response to its end."""
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        watchdog: asyncio.Task[None] | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.connect(self._address)
            self.note_received()
            self._stream = stream
            watchdog = asyncio.ensure_future(self._close_when_silent(stream))
            watchdog.add_done_callback(log_failure("change log watchdog"))
            parameters = HTTP1ConnectionParameters(no_keep_alive=True, max_body_size=UNLIMITED_BODY_BYTES)
            http = HTTP1Connection(stream, is_client=True, params=parameters)
            await http.write_headers(RequestStartLine("GET", "/changes", "HTTP/1.1"), self._headers())
            await http.read_response(_ResponseReader(self, stream))
        finally:
            if watchdog is not None:
                watchdog.cancel()
            self._stream = None
            stream.close()
            self.changes.log_applied()

    def _headers(self) -> HTTPHeaders:
        host, port = self._address
        return HTTPHeaders(
            {
                "Host": f"{host}:{port}",
                "Accept": "text/event-stream",
                "Last-Event-ID": str(self.changes.last_sequence),
            }
        )

    async def _close_when_silent(self, stream: IOStream) -> None:
        """Close the connection after ``SILENCE_TIMEOUT_S`` without data: a machine that fails without notice
        sends no end of stream."""
        loop = asyncio.get_running_loop()
        while (remaining_s := self._last_received_s + SILENCE_TIMEOUT_S - loop.time()) > 0:
            await asyncio.sleep(remaining_s)
        log.warning("change log silent", extra=fields(after_s=SILENCE_TIMEOUT_S))
        stream.close()
