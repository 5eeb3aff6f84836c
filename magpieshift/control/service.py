"""A control service: the gRPC server around ``Publisher``, which serves versions from a folder or from the
calling program."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any

import grpc
import grpc.aio

from magpieshift.background_task import log_failure
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
"""Polling interval of the folder; short compared with the seconds that a version takes to come into force."""
MAX_UNSENT_MESSAGES = 64
"""Most unsent messages per router. The oldest are dropped first, since only the newest version matters."""


class RouterStream:
    """One router's stream and its queue of unsent messages."""

    def __init__(self, publisher: Publisher) -> None:
        """``publisher`` holds the published versions."""
        self.subscriber = RouterSubscription()
        """State of the router at the other end."""
        self.publisher = publisher
        """Holds the published versions."""
        self._unsent: deque[bytes] = deque(maxlen=MAX_UNSENT_MESSAGES)
        self._changed = asyncio.Event()
        self._ended = False

    def send(self, data: bytes | None) -> None:
        """Queue a message; None is ignored."""
        if data is not None:
            self._unsent.append(data)
            self._changed.set()

    def end(self) -> None:
        """Stop sending and end the stream."""
        self._ended = True
        self._changed.set()

    async def messages(self) -> AsyncIterator[bytes]:
        """Yields the queued messages as they come, until ``end``."""
        while not self._ended:
            while self._unsent and not self._ended:
                yield self._unsent.popleft()
            self._changed.clear()
            if not self._unsent and not self._ended:
                await self._changed.wait()


class ControlService(grpc.GenericRpcHandler):  # type: ignore[misc]  # the library is not typed
    """The gRPC server and the streams of all routers."""

    def __init__(self, publisher: Publisher | None = None) -> None:
        """``publisher`` may hold versions already."""
        self.publisher = publisher or Publisher()
        """Holds the published versions."""
        self.streams: set[RouterStream] = set()
        """All open streams."""
        self.on_message: Callable[[RouterStream, bytes], None] = lambda stream, data: None
        """Called with each message of a router, after the publisher has handled it."""
        self.port = 0
        """Port that it listens on, once started."""
        self._server: Any = None

    def service(self, details: Any) -> Any:
        """Called by gRPC: returns the handler of a method, or None for an unknown one."""
        if details.method.endswith("/Follow"):
            return grpc.stream_stream_rpc_method_handler(self._follow)
        return None

    async def start(self, listen: str) -> None:
        """Listen on ``host:port``; port 0 picks a free port. ``OSError`` if the address cannot be bound."""
        self._server, self.port = await start_server(self, listen)

    async def stop(self) -> None:
        """End all streams immediately and stop the server."""
        for stream in list(self.streams):
            stream.end()
        await self._server.stop(0)

    def publish(self, version: PublishedVersion) -> None:
        """Add a version and send it to all routers; ``VersionNumberError`` if its number is not
        higher than all published ones."""
        self.publisher.publish(version)
        for stream in list(self.streams):
            if stream.subscriber.router:
                stream.send(self.publisher.next_message(stream.subscriber))

    async def _follow(self, requests: AsyncIterator[bytes], context: Any) -> None:
        stream = RouterStream(self.publisher)
        self.streams.add(stream)
        reading = asyncio.ensure_future(self._read(stream, requests))
        reading.add_done_callback(log_failure("control stream reader"))
        try:
            async for message in stream.messages():
                await context.write(message)
        except grpc.aio.BaseError:  # the router disconnected while a message was being sent
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
        except ValueError as err:  # an unreadable message, or an unknown rejection reason
            log.warning("unreadable router message", extra=fields(reason=err))
        finally:
            stream.end()


async def serve_folder(folder: str, listen: str, ready: Callable[[int], None] = lambda port: None) -> None:
    """Serve the versions in a folder, including ones added later, until cancelled.

    ``ready`` is called with the port once the service listens.
    """
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
    """Log the version that a router has in force, and the version that it rejected last."""
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
            "reason": rejection.reason.shown_name,
            "detail": rejection.detail,
        }
    if router.last_failure:
        pairs["trouble"] = router.last_failure
    log.info("router state received", extra=fields(**pairs))


def _read_new(folder: str, known: set[int]) -> list[PublishedVersion]:
    if not Path(folder).is_dir():
        return []
    return read_version_folder(folder, known=known)
