"""The driver of the feed: reads the change log over HTTP, and comes back whenever it breaks off."""

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
from magpieshift.discovery.changes import ChangeLog, Gap
from magpieshift.discovery.event_stream import SseError, SseParser
from magpieshift.log import fields

log = logging.getLogger(__name__)

SILENCE_S = 2.5  # a comment comes every second; with two missing, what we know may be growing old
CONNECT_S = 1.0
QUIET_S = 0.15  # after the log's last word: what it had to tell has been told
# well under the 7 s after which all counts as told
PAUSE_S = 0.05
MOST_PAUSE_S = 0.8


class _Reader(HTTPMessageDelegate):
    """The body of one response, fed to the parser as it comes."""

    def __init__(self, feed: ChangeLogClient, stream: IOStream) -> None:
        self._feed = feed
        self._stream = stream
        self._parser = SseParser()
        self.good = False
        self._begun: float | None = None  # since when an event is not whole

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        code = getattr(start_line, "code", 0)
        self.good = code == 200
        if not self.good:
            log.warning("change log refused", extra=fields(code=code))
            self._stream.close()
        self._feed.answered |= self.good

    def data_received(self, chunk: bytes) -> None:
        self._feed.alive()
        self._feed.chunks += 1
        now = asyncio.get_running_loop().time()
        try:
            for event in self._parser.feed(chunk):
                self._begun = None
                self._feed.changes.event(event.data, event.ident)
            self._begun = (self._begun or now) if self._parser.pending else None
            if self._begun is not None and now - self._begun > SILENCE_S:  # comments prove it alive meanwhile
                raise SseError("an event does not end")
            self._feed.changes.log_due(now)
        except (Gap, SseError) as err:
            log.warning("change log broken off", extra=fields(reason=err))
            self._stream.close()


class ChangeLogClient:
    """Owner of the one connection to the change log."""

    part = "feed"

    def __init__(self, address: tuple[str, int], changes: ChangeLog, seed: int = 0) -> None:
        self._address = address
        self.changes = changes
        self.pause_s = PAUSE_S  # before it is asked again
        self._draw = random.Random(seed)  # or all routers would come back at once
        self._task: asyncio.Task[None] | None = None
        self._heard = 0.0
        self.answered = False  # by the log, so far
        self.chunks = 0  # of its answers' bodies that were read, so far
        self._stream: IOStream | None = None

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Make ready for a new document: another address, other words for zones and kinds."""

        def commit() -> None:
            self.changes.names = new.names
            self.follow(new.change_log_address)

        return commit

    def running(self) -> dict[str, object]:
        """Where the log is read, and the words that it is read with."""
        names = self.changes.names
        return {
            "address": list(self._address),
            "zones": sorted(filter(None, names.zones)),
            "kinds": sorted(filter(None, names.kinds)),
        }

    def start(self) -> None:
        self._task = asyncio.ensure_future(self._run())

    def follow(self, address: tuple[str, int]) -> None:
        """The log is to be had elsewhere from now on; its numbers go on. The old one tells nothing more,
        so its connection is dropped at once."""
        if address != self._address:
            self._address = address
            if self._task is not None:
                self.stop()
                self.start()

    def stop(self) -> None:
        if self._task is not None:
            self._task.cancel()
            self._task = None

    def alive(self) -> None:
        self._heard = asyncio.get_running_loop().time()

    def all_read(self) -> bool:
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
        end = loop.time() + within_s
        while not (self.answered and loop.time() - self._heard >= QUIET_S):
            if loop.time() >= end:
                return False
            await asyncio.sleep(0.02)
        return True

    async def _run(self) -> None:
        while True:
            begun = asyncio.get_running_loop().time()
            last = self.changes.last
            try:
                await self._read()
            except (OSError, StreamClosedError, TimeoutError) as err:
                log.debug("change log lost", extra=fields(reason=repr(err)))
            except Exception:
                log.exception("change log failed")
            # one that answers and closes at once is not well: it was asked 30 times a second
            lasted = asyncio.get_running_loop().time() - begun >= MOST_PAUSE_S
            good = self.changes.last > last or (self._heard > begun and lasted)
            self.pause_s = PAUSE_S if good else min(2 * self.pause_s, MOST_PAUSE_S)
            await asyncio.sleep(self.pause_s * self._draw.uniform(0.5, 1.0))

    async def _read(self) -> None:
        """Read one response to its end."""
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM))
        watch: asyncio.Task[None] | None = None
        try:
            async with asyncio.timeout(CONNECT_S):
                await stream.connect(self._address)
            self.alive()
            self._stream = stream
            watch = asyncio.ensure_future(self._watch(stream))
            reader = _Reader(self, stream)
            parameters = HTTP1ConnectionParameters(no_keep_alive=True, max_body_size=1 << 40)
            http = HTTP1Connection(stream, is_client=True, params=parameters)
            host, port = self._address
            headers = HTTPHeaders(
                {
                    "Host": f"{host}:{port}",
                    "Accept": "text/event-stream",
                    "Last-Event-ID": str(self.changes.last),
                }
            )
            await http.write_headers(RequestStartLine("GET", "/changes", "HTTP/1.1"), headers)
            await http.read_response(reader)
        finally:
            if watch is not None:
                watch.cancel()
            self._stream = None
            stream.close()
            self.changes.log_all()

    async def _watch(self, stream: IOStream) -> None:
        """Take missed heartbeats for death: a machine that vanished says nothing."""
        loop = asyncio.get_running_loop()
        while (left := self._heard + SILENCE_S - loop.time()) > 0:
            await asyncio.sleep(left)
        log.warning("change log silent", extra=fields(after_s=SILENCE_S))
        stream.close()
