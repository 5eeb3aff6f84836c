"""A control service: the driver round ``Publisher``, serving versions from a folder or a program."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import grpc
import grpc.aio

from magpieshift.control.errors import VersionNumberError
from magpieshift.control.grpc_server import start_server
from magpieshift.control.publisher import (
    PublishedVersion,
    Publisher,
    RouterSubscription,
    read_version_folder,
)
from magpieshift.log import fields

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.3
"""Between two looks into the folder: a small part of the seconds in which a version is in force."""
MAX_UNSENT_MESSAGES = 64
"""To one router; older ones make room, as only the newest version counts."""


class RouterStream:
    """One router's stream: what it is still to be sent."""

    def __init__(self, publisher: Publisher) -> None:
        """``publisher`` holds the versions."""
        self.subscriber = RouterSubscription()
        """The router."""
        self.publisher = publisher
        """The versions it is sent."""
        self._unsent: deque[bytes] = deque(maxlen=MAX_UNSENT_MESSAGES)
        self._changed = asyncio.Event()
        self._ended = False

    def send(self, data: bytes | None) -> None:
        """Queue a message, if there is one."""
        if data is not None:
            self._unsent.append(data)
            self._changed.set()

    def end(self) -> None:
        """Send nothing more."""
        self._ended = True
        self._changed.set()

    async def messages(self) -> AsyncIterator[bytes]:
        """What is queued, until the end."""
        while not self._ended:
            while self._unsent and not self._ended:
                yield self._unsent.popleft()
            self._changed.clear()
            if not self._unsent and not self._ended:
                await self._changed.wait()


class ControlService(grpc.GenericRpcHandler):  # type: ignore[misc]  # the library is not typed
    """Owner of the server and of all routers' streams."""

    def __init__(self, publisher: Publisher | None = None) -> None:
        """``publisher`` may hold versions already."""
        self.publisher = publisher or Publisher()
        """The versions."""
        self.streams: set[RouterStream] = set()
        """All that are open."""
        self.on_message: Callable[[RouterStream, bytes], None] = lambda stream, data: None
        """Called with each message of a router, after it was taken in."""
        self.port = 0
        """On which it listens, once started."""
        self._server: Any = None

    def service(self, details: Any) -> Any:
        """The handler of a method, for gRPC."""
        if details.method.endswith("/Follow"):
            return grpc.stream_stream_rpc_method_handler(self._follow)
        return None

    async def start(self, listen: str) -> None:
        """Listen on ``host:port``; port 0 picks a free one. ``OSError`` if that cannot be."""
        self._server, self.port = await start_server(self, listen)

    async def stop(self) -> None:
        """End all streams, at once."""
        for stream in list(self.streams):
            stream.end()
        await self._server.stop(0)

    def publish(self, version: PublishedVersion) -> None:
        """Add a version and send it to all routers; ``VersionNumberError`` if its number is not above all
        others."""
        self.publisher.publish(version)
        for stream in list(self.streams):
            if stream.subscriber.router:
                stream.send(self.publisher.next_message(stream.subscriber))

    async def _follow(self, requests: AsyncIterator[bytes], context: Any) -> None:
        stream = RouterStream(self.publisher)
        self.streams.add(stream)
        reading = asyncio.ensure_future(self._read(stream, requests))
        try:
            async for message in stream.messages():
                await context.write(message)
        except grpc.aio.BaseError:  # the router has gone under a message
            pass
        finally:
            reading.cancel()
            self.streams.discard(stream)

    async def _read(self, stream: RouterStream, requests: AsyncIterator[bytes]) -> None:
        try:
            async for data in requests:
                reply = self.publisher.receive(stream.subscriber, data)
                self.on_message(stream, data)
                stream.send(reply)
        except ValueError as err:  # an unreadable message, or a reason that this version does not know
            log.warning("router message not read", extra=fields(reason=err))
        finally:
            stream.end()


async def serve_folder(folder: str, listen: str, ready: Callable[[int], None] = lambda port: None) -> None:
    """Serve a folder's versions, and those that are added to it, until cancelled; ``ready`` is called with
    the port."""
    service = ControlService()
    service.on_message = _log_router
    await service.start(listen)
    log.info("control service ready", extra=fields(port=service.port, folder=folder))
    ready(service.port)
    known: set[int] = set()
    try:
        while True:
            versions = await asyncio.get_running_loop().run_in_executor(None, _read_new, folder, known)
            for version in versions:
                known.add(version.number)
                _publish(service, version)
            await asyncio.sleep(POLL_INTERVAL_S)
    finally:
        await service.stop()


def _publish(service: ControlService, version: PublishedVersion) -> None:
    try:
        service.publish(version)
    except VersionNumberError as err:
        log.warning("version not published", extra=fields(version=version.number, reason=err))
        return
    content = "document" if version.data is not None else "no document"
    log.info("version published", extra=fields(version=version.number, content=content))


def _log_router(stream: RouterStream, data: bytes) -> None:
    """One line of what a router has in force, and of what it rejected."""
    router = stream.subscriber
    pairs: dict[str, object] = {
        "router": router.router,
        "version": router.in_force,
        "digest": router.digest,
    }
    rejection = router.rejection
    if rejection is not None and rejection.number > router.in_force:
        pairs |= {
            "turned_down": rejection.number,
            "reason": rejection.reason.word,
            "detail": rejection.detail,
        }
    if router.last_failure:
        pairs["trouble"] = router.last_failure
    log.info("router reported", extra=fields(**pairs))


def _read_new(folder: str, known: set[int]) -> list[PublishedVersion]:
    if not Path(folder).is_dir():
        return []
    return read_version_folder(folder, known=known)
