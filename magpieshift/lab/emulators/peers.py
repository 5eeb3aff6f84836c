"""Simple emulators of a router's peers: an endpoint and a change log.

Written from the protocol pages, for tests and measurements of one router; ``emulated_endpoint`` and ``load``
model an installation in more detail.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import time
from collections.abc import Mapping
from typing import Any

from magpieshift.upstream import codec

# body of an endpoint's answers: smaller than the platform's parts, so that one machine bears the load
ANSWER_BODY = b"x" * 600
KEEP_ALIVE_S = 0.5  # interval of comments on an idle change log, well below a router's silence timeout


class OverlapDetector:
    """Detects requests with two attempts in flight; shared by all endpoints."""

    def __init__(self) -> None:
        self._in_flight: dict[str, int] = {}
        """Number of attempts in flight, by request id."""
        self.overlapping: list[str] = []
        """Ids of requests with an attempt that arrived while another was in flight, once per such attempt."""
        self.attempts = 0
        """Attempts received by all endpoints."""

    def attempt_started(self, request_id: str) -> None:
        """Record that an endpoint has received an attempt."""
        self.attempts += 1
        self._in_flight[request_id] = self._in_flight.get(request_id, 0) + 1
        if self._in_flight[request_id] > 1:
            self.overlapping.append(request_id)

    def attempt_ended(self, request_id: str) -> None:
        """Record that an attempt is no longer in flight. Raises ``KeyError`` if it was not."""
        self._in_flight[request_id] -= 1
        if not self._in_flight[request_id]:
            del self._in_flight[request_id]


class StubEndpoint:
    """A cache or an origin: it answers with the parts it stores, and stores those that it fills."""

    def __init__(
        self, name: str, overlaps: OverlapDetector, delay_s: float = 0.004, is_origin: bool = False
    ) -> None:
        self.name = name
        self._overlaps = overlaps
        self.delay_s = delay_s
        """Delay of each answer in seconds."""
        self._is_origin = is_origin
        """Whether it is an origin, which has every part."""
        self._stored_parts: set[tuple[str, str]] = set()
        """Object key and part number of each part that it stores."""
        self.body = ANSWER_BODY
        """Body of every answer."""
        self._server: asyncio.Server | None = None
        self.received: list[tuple[float, str]] = []
        """Unix time and id of each received request."""
        self.port = 0
        """Port of loopback on which it listens, once started."""

    async def start(self, port: int = 0) -> None:
        """Listen on loopback, at a free port unless one is given."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        answering: dict[str, asyncio.Task[None]] = {}
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "ASK":
                    fields = codec.read_fields(words[2])
                    size = int(words[3])
                    if size:
                        await reader.readexactly(size + len(codec.LINE_END))
                    else:
                        await reader.readline()
                    answer = self._answer(words[1], fields, writer, answering)
                    answering[words[1]] = asyncio.ensure_future(answer)
                elif words[0] == "QUIT" and (task := answering.pop(words[1], None)) is not None:
                    task.cancel()
                elif words[0] in ("NOOP", "INFO"):
                    writer.write(f"{words[1]} well - 0\r\n\r\n".encode())
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the router has disconnected or the program ends: no answer can be sent
        finally:
            for task in answering.values():
                task.cancel()
            writer.close()

    async def _answer(
        self,
        request_id: str,
        fields: Mapping[str, str],
        writer: asyncio.StreamWriter,
        answering: dict[str, asyncio.Task[None]],
    ) -> None:
        part = fields["key"], fields["part"]
        self.received.append((time.time(), request_id))
        self._overlaps.attempt_started(request_id)
        try:
            await asyncio.sleep(self.delay_s)
        finally:
            self._overlaps.attempt_ended(request_id)
        if not (self._is_origin or part in self._stored_parts or "via" in fields):
            writer.write(f"{request_id} absent - 0\r\n\r\n".encode())
        else:
            self._stored_parts.add(part)
            created_ms = int(time.time() * 1000)
            head = f"{request_id} data tag=t1,minted={created_ms} {len(self.body)}\r\n"
            writer.write(head.encode() + self.body + codec.LINE_END)
        answering.pop(request_id, None)


def list_entry(
    endpoint: StubEndpoint, zone: str, kind: str, cell: int, phase: str = "SERVING"
) -> dict[str, Any]:
    """Return an endpoint's entry in the endpoint list, with the field names of the wire."""
    return {
        "id": endpoint.name,
        "host_port": f"127.0.0.1:{endpoint.port}",
        "locality": zone,
        "flavor": kind,
        "cell": cell,
        "phase": phase,
        "size": 4,
        "up_since_ms": 0,
    }


class ChangeLog:
    """A change log. A router that reconnects receives the events after the last one it received."""

    def __init__(self) -> None:
        self._events: list[dict[str, Any]] = []
        """All events, with the field names of the wire."""
        self._published = asyncio.Event()
        """Set when an event is published; cleared by each connection that has written all events."""
        self._server: asyncio.Server | None = None
        self.port = 0
        """Port of loopback on which it listens, once started."""

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Accept no more connections."""
        if self._server is not None:
            self._server.close()

    def publish(self, **event: Any) -> None:
        """Append an event, given by its fields on the wire without the sequence number."""
        self._events.append({"seq": len(self._events) + 1} | event)
        self._published.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # at the end of the program these tasks are cancelled, which asyncio would log as errors
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            last_event_id = head.partition("last-event-id:")[2].partition("\r\n")[0].strip()
            position = int(last_event_id or 0)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
            while True:
                for event in self._events[position:]:
                    writer.write(f"id: {event['seq']}\ndata: {json.dumps(event)}\n\n".encode())
                position = len(self._events)
                writer.write(b": alive\n\n")
                await writer.drain()
                self._published.clear()
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._published.wait(), KEEP_ALIVE_S)
        writer.close()
