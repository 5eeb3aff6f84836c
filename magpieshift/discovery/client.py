"""The client of the change log: reads it over HTTP, and reconnects with backoff whenever it breaks off."""

from __future__ import annotations

import asyncio
import logging
import random
import socket
from collections.abc import Callable

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine, ResponseStartLine
from tornado.iostream import IOStream, StreamClosedError

from magpieshift.config import Document
from magpieshift.discovery.changes import ChangeLog
from magpieshift.discovery.errors import DiscoveryError, EventStreamError
from magpieshift.discovery.event_stream import EventStreamParser
from magpieshift.log import fields

log = logging.getLogger(__name__)

SILENCE_TIMEOUT_S = 2.5
"""Silence after which the log's machine may be gone: it sends a comment each second, and two may be missing.
Longer serves from older knowledge, shorter reconnects for nothing."""
CONNECT_TIMEOUT_S = 1.0
"""For a connection to come up. Longer delays the next try."""
CAUGHT_UP_AFTER_S = 0.15
"""Silence of an answering log after which all that it had to tell has arrived; well under the 7 s after which
a replacing process accepts clients all the same."""
CATCH_UP_POLL_S = 0.02
"""How often that silence is looked for."""
MIN_BACKOFF_S = 0.05
"""First wait before the log is read again. Shorter busies a log that has just broken off."""
MAX_BACKOFF_S = 0.8
"""Longest wait. Also how long a connection must last to prove the log healthy. Longer reads changes later."""
JITTER = (0.5, 1.0)
"""Each wait is this part of its length, drawn anew, so that routers do not come back all at once."""
UNLIMITED_BODY_BYTES = 1 << 40
"""The response goes on for as long as the connection; HTTP's own bound must not end it."""


class _ResponseReader(HTTPMessageDelegate):
    """The body of one response, fed to the parser as it comes."""

    def __init__(self, client: ChangeLogClient, stream: IOStream) -> None:
        self._client = client
        self._stream = stream
        self._parser = EventStreamParser()
        self._event_began_s: float | None = None
        """Since when an event is not complete; None if none has begun."""

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        code = getattr(start_line, "code", 0)
        if code == 200:
            self._client.has_answered = True
        else:
            log.warning("change log refused", extra=fields(code=code))
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
            log.warning("change log interrupted", extra=fields(reason=err))
            self._stream.close()

    def _check_partial_event(self, now_s: float) -> None:
        """An event that does not end is as bad as silence, though comments prove the sender alive
        meanwhile."""
        if not self._parser.has_partial_event:
            self._event_began_s = None
            return
        self._event_began_s = self._event_began_s or now_s
        if now_s - self._event_began_s > SILENCE_TIMEOUT_S:
            raise EventStreamError("an event does not end")


class ChangeLogClient:
    """Owner of the one connection to the change log."""

    part = "feed"
    """Its name among the parts whose running figures are shown; operators' tools know it."""

    def __init__(self, address: tuple[str, int], changes: ChangeLog, seed: int = 0) -> None:
        """``seed`` is that of the jitter."""
        self._address = address
        self.changes = changes
        self.backoff_s = MIN_BACKOFF_S
        """The wait before the log is read again, before jitter."""
        self._random = random.Random(seed)
        self._task: asyncio.Task[None] | None = None
        """The task that reads; None before the start and after the stop."""
        self._last_received_s = 0.0
        """When bytes last came, or a connection came up, on the event loop's clock."""
        self.has_answered = False
        """Whether the log has ever answered."""
        self.chunks_read = 0
        """Chunks of its responses' bodies that were read, so far."""
        self._stream: IOStream | None = None
        """The connection, while it is up."""

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Make ready for a new configuration: another address, other names of zones and kinds. What is
        returned puts it in force."""

        def commit() -> None:
            """Put it in force."""
            self.changes.names = new.names
            self.set_address(new.change_log_address)

        return commit

    def running(self) -> dict[str, object]:
        """Where the log is read, and the names that it is read with."""
        names = self.changes.names
        return {
            "address": list(self._address),
            "zones": sorted(filter(None, names.zones)),
            "kinds": sorted(filter(None, names.kinds)),
        }

    def start(self) -> None:
        """Read the log, until ``stop``."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Close the connection and read no more; may be called again."""
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def set_address(self, address: tuple[str, int]) -> None:
        """Read the log elsewhere from now on; its sequence numbers go on. The old one has nothing more to
        tell, so its connection is closed at once."""
        if address != self._address:
            self._address = address
            if self._task is not None:
                self.stop()
                self.start()

    def note_received(self) -> None:
        """The log is alive: bytes came, or the connection came up."""
        self._last_received_s = asyncio.get_running_loop().time()

    def has_read_all(self) -> bool:
        """Whether the log is connected and everything that has arrived from it by now is read and applied.
        To be called from the event loop itself."""
        stream = self._stream
        if stream is None or stream.closed() or not stream.reading():
            return False  # what is not being read may wait between the socket and the changes
        try:
            stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            pass
        return False  # bytes, or the end of the stream

    async def caught_up(self, within_s: float) -> bool:
        """Wait until the log has told what it had to tell; whether it did within this time."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + within_s
        while not (self.has_answered and loop.time() - self._last_received_s >= CAUGHT_UP_AFTER_S):
            if loop.time() >= deadline_s:
                return False
            await asyncio.sleep(CATCH_UP_POLL_S)
        return True

    async def _run(self) -> None:
        """Read one response after the other, with backoff between them."""
        while True:
            started_s = asyncio.get_running_loop().time()
            first_sequence = self.changes.last_sequence
            try:
                await self._read()
            except (OSError, StreamClosedError, TimeoutError) as err:
                log.debug("change log disconnected", extra=fields(reason=repr(err)))
            except Exception:  # a fault of ours in one change must not end the reading for ever
                log.exception("change log failed")
            # a log that answers and closes at once is not healthy: it was asked 30 times a second
            has_lasted = asyncio.get_running_loop().time() - started_s >= MAX_BACKOFF_S
            has_received = self._last_received_s > started_s
            has_advanced = self.changes.last_sequence > first_sequence
            is_healthy = has_advanced or (has_received and has_lasted)
            self.backoff_s = MIN_BACKOFF_S if is_healthy else min(2 * self.backoff_s, MAX_BACKOFF_S)
            await asyncio.sleep(self.backoff_s * self._random.uniform(*JITTER))

    async def _read(self) -> None:
        """Read one response to its end."""
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        watch: asyncio.Task[None] | None = None
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await stream.connect(self._address)
            self.note_received()
            self._stream = stream
            watch = asyncio.ensure_future(self._close_when_silent(stream))
            parameters = HTTP1ConnectionParameters(no_keep_alive=True, max_body_size=UNLIMITED_BODY_BYTES)
            http = HTTP1Connection(stream, is_client=True, params=parameters)
            await http.write_headers(RequestStartLine("GET", "/changes", "HTTP/1.1"), self._headers())
            await http.read_response(_ResponseReader(self, stream))
        finally:
            if watch is not None:
                watch.cancel()
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
        """Take missing comments for the log's end: a machine that vanished sends nothing at all."""
        loop = asyncio.get_running_loop()
        while (remaining_s := self._last_received_s + SILENCE_TIMEOUT_S - loop.time()) > 0:
            await asyncio.sleep(remaining_s)
        log.warning("change log silent", extra=fields(after_s=SILENCE_TIMEOUT_S))
        stream.close()
