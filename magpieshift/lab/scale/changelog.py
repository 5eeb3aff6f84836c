"""The change log of a run, in a separate process: sends its events to many watches as server-sent events.

Each event is encoded once. A watch whose client does not read delays no other: nothing is queued for it
beyond its transport's buffer, and it receives the remaining events from the log once the client reads again.
"""

from __future__ import annotations

import asyncio
import json
import re
import time
from typing import Any

from magpieshift.lab.scale import process_loop
from magpieshift.lab.scale.applied_changes import object_of
from magpieshift.lab.scale.installation import CacheList
from magpieshift.lab.scale.messages import (
    AcceptPurges,
    ChangeEndpointList,
    Head,
    HeadRequest,
    LogReport,
    LogReportRequest,
    Message,
    PauseChangeLog,
    Ready,
    StartLog,
)

HEARTBEAT_INTERVAL_S = 1.0  # same as the platform's change log
HEARTBEAT = b": alive\n\n"
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
LAST_EVENT_ID = re.compile(rb"^last-event-id:\s*(\d+)\s*$", re.I | re.M)
MAX_EVENTS_PER_WRITE = 4096  # limits how long a watch that is far behind blocks the event loop
MAX_REQUEST_HEAD_BYTES = 8192  # a connection with a longer request head is reset


class Watch(asyncio.Protocol):
    """One connection on which a client follows the change log."""

    def __init__(self, server: ChangeLogServer) -> None:
        self._log_server = server
        self._head = b""
        self._transport: asyncio.Transport | None = None
        self._writable = False
        self._next_event = 0  # index into the server's events
        self.bytes_written = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register this watch with the server."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        self._log_server.watches.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove this watch from the server, which keeps its byte count."""
        self._log_server.watches.discard(self)
        self._log_server.watch_closed(self)
        self._writable = False

    def data_received(self, data: bytes) -> None:
        """Collect the request head; once it is complete, send the response head and the events after the
        ``Last-Event-ID``."""
        if self._writable or self._transport is None:
            return
        self._head += data
        if b"\r\n\r\n" not in self._head:
            if len(self._head) > MAX_REQUEST_HEAD_BYTES:
                self.abort()
            return
        match = LAST_EVENT_ID.search(self._head.replace(b"\r\n", b"\n"))
        self._next_event = int(match[1]) if match else 0
        self._writable = True
        self._write(RESPONSE_HEAD + HEARTBEAT)
        self.catch_up()

    def pause_writing(self) -> None:
        """Stop sending: the transport's buffer is full."""
        self._writable = False

    def resume_writing(self) -> None:
        """Resume sending after a pause."""
        self._writable = True
        self.catch_up()

    def catch_up(self) -> None:
        """Write the events that this watch has not been sent yet, until the transport's buffer is full."""
        events = self._log_server.events
        while self._writable and self._next_event < len(events):
            part = events[self._next_event : self._next_event + MAX_EVENTS_PER_WRITE]
            self._next_event += len(part)
            self._write(b"".join(part))

    def send_heartbeat(self) -> None:
        """Write a comment line, which shows the client that the change log is alive."""
        if self._writable:
            self._write(HEARTBEAT)

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _write(self, data: bytes) -> None:
        assert self._transport is not None
        self.bytes_written += len(data)
        self._transport.write(data)


class ChangeLogServer:
    """Owner of the listener and of all watches."""

    def __init__(self, caches: int) -> None:
        self.events: list[bytes] = []
        self.watches: set[Watch] = set()
        self.accepted: list[float] = []  # acceptance time of each purge, on the monotonic clock
        self.port = 0
        self._list = CacheList(caches)
        self._server: asyncio.Server | None = None
        self._heartbeat_task: asyncio.Task[None] | None = None
        self._resume_task: asyncio.Task[None] | None = None
        self._flush_scheduled = False
        self._closed_watch_bytes = 0
        self._append(self._list.complete_event())

    async def start(self, port: int = 0) -> None:
        """Start listening; port 0 picks a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Watch(self), "127.0.0.1", port, backlog=4096, reuse_address=True
        )
        self.port = int(self._server.sockets[0].getsockname()[1])
        if self._heartbeat_task is None:
            self._heartbeat_task = asyncio.ensure_future(self._send_heartbeats())

    def stop(self) -> None:
        """Stop listening, and reset all watches."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for watch in list(self.watches):
            watch.abort()

    def close(self) -> None:
        """Stop the server and its tasks."""
        self.stop()
        for task in (self._heartbeat_task, self._resume_task):
            if task is not None:
                task.cancel()

    def pause(self, seconds: float) -> None:
        """Reset all watches and close the port, and listen on it again after ``seconds``. Events are still
        accepted meanwhile."""
        self.stop()
        self._resume_task = asyncio.ensure_future(self._resume_after(seconds))

    async def _resume_after(self, seconds: float) -> None:
        await asyncio.sleep(seconds)
        await self.start(self.port)

    def purge(self, count: int, made_over_s: float) -> None:
        """Accept ``count`` purges of new objects, with creation times spread evenly over the last
        ``made_over_s`` seconds."""
        now_s = time.monotonic()
        now_ms = time.time() * 1000
        for number in range(count):
            index = len(self.accepted)
            made_ms = int(now_ms - 1000 * made_over_s * (count - 1 - number) / max(1, count - 1))
            self.accepted.append(now_s)
            self._append({"invalidate": {"object": object_of(index), "time": made_ms}})

    def change_list(self, index: int) -> None:
        """Move the cache at index ``index`` of the list to its next phase, and accept the event for it."""
        self._append(self._list.change(index))

    def head(self) -> Head:
        """The newest sequence number, the purges so far and the complete list."""
        event = json.dumps({"seq": len(self.events)} | self._list.complete_event())
        return Head(sequence=len(self.events), purges=len(self.accepted), list_event=event)

    def report(self) -> LogReport:
        """Acceptance times, bytes written and watches."""
        written = [watch.bytes_written for watch in self.watches]
        return LogReport(
            accepted=self.accepted,
            bytes_written=sum(written) + self._closed_watch_bytes,
            watches=len(written),
            most_bytes_a_watch=max(written, default=0),
        )

    def watch_closed(self, watch: Watch) -> None:
        """Add the byte count of a closed watch to the total."""
        self._closed_watch_bytes += watch.bytes_written

    def _append(self, event: dict[str, Any]) -> None:
        seq = len(self.events) + 1
        text = json.dumps({"seq": seq} | event, separators=(",", ":"))
        self.events.append(f"id: {seq}\ndata: {text}\n\n".encode())
        if not self._flush_scheduled and self.watches:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self._flush)

    def _flush(self) -> None:
        self._flush_scheduled = False
        for watch in list(self.watches):
            watch.catch_up()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
            for watch in list(self.watches):
                watch.send_heartbeat()


async def run() -> None:
    """Run the process: a change log that is driven by messages."""
    server: ChangeLogServer | None = None

    async def handle(message: Message) -> Message | None:
        nonlocal server
        if isinstance(message, StartLog):
            server = ChangeLogServer(message.caches)
            await server.start()
            return Ready(ports={"log": server.port})
        if server is None:
            raise RuntimeError("the change log has not been started")
        match message:
            case AcceptPurges(count=count, made_over_s=made_over_s):
                server.purge(count, made_over_s)
            case ChangeEndpointList(place=index):
                server.change_list(index)
            case PauseChangeLog(seconds=seconds):
                server.pause(seconds)
            case HeadRequest():
                return server.head()
            case LogReportRequest():
                return server.report()
            case other:
                raise RuntimeError(f"the change log cannot handle a message of kind {other.kind!r}")
        return None

    await process_loop.serve(handle)
    if server is not None:
        server.close()
