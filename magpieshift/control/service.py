"""The stand-in control service: the driver round ``Publisher``, serving versions from a folder or a
program."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import grpc
import grpc.aio

from magpieshift.control.publisher import Published, Publisher, Subscriber, read_folder
from magpieshift.log import fields

log = logging.getLogger(__name__)

POLL_S = 0.3
MOST_UNSENT = 64  # messages to one router; older ones make room, as only the newest version counts
SERVER_OPTIONS: list[tuple[str, Any]] = [
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.max_send_message_length", -1),
    ("grpc.so_reuseport", 0),
]


class Stream:
    """One router's stream: what it is still to be sent."""

    def __init__(self, publisher: Publisher) -> None:
        self.subscriber = Subscriber()
        self.publisher = publisher
        self._unsent: deque[bytes] = deque(maxlen=MOST_UNSENT)
        self._changed = asyncio.Event()
        self._ended = False

    def send(self, data: bytes | None) -> None:
        if data is not None:
            self._unsent.append(data)
            self._changed.set()

    def end(self) -> None:
        self._ended = True
        self._changed.set()

    async def messages(self) -> AsyncIterator[bytes]:
        while not self._ended:
            while self._unsent and not self._ended:
                yield self._unsent.popleft()
            self._changed.clear()
            if not self._unsent and not self._ended:
                await self._changed.wait()


class ControlService(grpc.GenericRpcHandler):  # type: ignore[misc]  # the library is not typed
    """Owner of the server and of all routers' streams."""

    def __init__(self, publisher: Publisher | None = None) -> None:
        self.publisher = publisher or Publisher()
        self.streams: set[Stream] = set()
        self.heard: Callable[[Stream, bytes], None] = lambda stream, data: None  # for who watches
        self._server: Any = None
        self.port = 0

    def service(self, details: Any) -> Any:
        if details.method.endswith("/Follow"):
            return grpc.stream_stream_rpc_method_handler(self._follow)
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

    async def stop(self) -> None:
        """End all streams, at once."""
        for stream in list(self.streams):
            stream.end()
        await self._server.stop(0)

    def publish(self, version: Published) -> None:
        """Add a version and send it to all routers."""
        self.publisher.publish(version)
        for stream in list(self.streams):
            if stream.subscriber.router:
                stream.send(self.publisher.next_for(stream.subscriber))

    async def _follow(self, requests: AsyncIterator[bytes], context: Any) -> None:
        stream = Stream(self.publisher)
        self.streams.add(stream)
        reading = asyncio.ensure_future(self._read(stream, requests))
        try:
            async for message in stream.messages():
                await context.write(message)
        except grpc.aio.BaseError:  # the router left under a message
            pass
        finally:
            reading.cancel()
            self.streams.discard(stream)

    async def _read(self, stream: Stream, requests: AsyncIterator[bytes]) -> None:
        try:
            async for data in requests:
                answer = self.publisher.heard(stream.subscriber, data)
                self.heard(stream, data)
                stream.send(answer)
        except ValueError as err:
            log.warning("unreadable router", extra=fields(reason=err))
        finally:
            stream.end()


async def serve_folder(folder: str, listen: str, ready: Callable[[int], None] = lambda port: None) -> None:
    """Serve a folder's versions, and those that are added to it, until cancelled."""
    service = ControlService()

    def heard(stream: Stream, data: bytes) -> None:
        who = stream.subscriber
        pairs: dict[str, object] = {"router": who.router, "version": who.in_force, "digest": who.digest}
        if who.refused is not None and who.refused[0] > who.in_force:
            number, reason, detail = who.refused
            pairs |= {"turned_down": number, "reason": reason.name.lower(), "detail": detail}
        if who.trouble:
            pairs["trouble"] = who.trouble
        log.info("router", extra=fields(**pairs))

    service.heard = heard
    await service.start(listen)
    log.info("control service ready", extra=fields(port=service.port, folder=folder))
    ready(service.port)
    told: set[int] = set()
    try:
        while True:
            for version in await asyncio.get_running_loop().run_in_executor(None, _unread, folder, told):
                told.add(version.number)
                try:
                    service.publish(version)
                except ValueError as err:
                    log.warning("version not published", extra=fields(version=version.number, reason=err))
                else:
                    state = "document" if version.data is not None else "no document"
                    log.info("version published", extra=fields(version=version.number, content=state))
            await asyncio.sleep(POLL_S)
    finally:
        await service.stop()


def _unread(folder: str, told: set[int]) -> list[Published]:
    if not Path(folder).is_dir():
        return []
    return read_folder(folder, known=told)
