"""The thin driver of the door: its socket, and the callers' connections."""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable, Mapping

from tornado.iostream import StreamClosedError

from magpieshift.admin.command import AdminCommand
from magpieshift.config import Address
from magpieshift.lifecycle import Lifecycle
from magpieshift.log import fields
from magpieshift.sockets import LingeringClose, LingeringStream, Listener, listen_socket

log = logging.getLogger(__name__)

MOST_CALLERS = 16  # within the descriptors that are kept aside
MOST_CLOSING = 4
WHOLE_S = 2.0  # for a caller to send a whole line
READ_SIZE = 512
MOST_LOGGED = 200  # bytes of an answer: some are figures for programs


class AdminServer:
    """Listens for operators; owner of its listener and of all callers' connections."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        more: Mapping[str, Callable[[], str]] | None = None,
        worded: Mapping[str, Callable[[str], str]] | None = None,
    ) -> None:
        self._calls: dict[str, Callable[[], str]] = {
            "PING": lifecycle.ping,
            "LAMEDUCK": lifecycle.lame_duck,
            "REJOIN": lifecycle.rejoin,
            **(more or {}),
        }
        self._worded = dict(worded or {})
        self._callers: dict[LingeringStream, asyncio.Task[None]] = {}  # in the order in which they came
        self._closing = LingeringClose(MOST_CLOSING)
        self._listener: Listener | None = None

    def open(self, address: Address) -> None:
        """Listen; ``OSError`` where that can't be."""
        self._listener = Listener(listen_socket(*address), self._taken, self._closing.drop_oldest)
        log.info("door open", extra=fields(console="{}:{}".format(*address)))

    def _taken(self, sock: socket.socket) -> None:
        if len(self._callers) >= MOST_CALLERS:  # some call to say nothing; they must not lock others out
            self._release(next(iter(self._callers)))
        stream = LingeringStream(sock, self._closing, 1 << 16)
        self._callers[stream] = asyncio.ensure_future(self._serve(stream))

    async def _serve(self, stream: LingeringStream) -> None:
        call = AdminCommand(self._calls, self._worded)
        answer: bytes | None = None
        try:
            async with asyncio.timeout(WHOLE_S):
                while answer is None:
                    answer = call.feed(await stream.read_bytes(READ_SIZE, partial=True))
        except TimeoutError:
            answer = call.late(WHOLE_S)
        except StreamClosedError:
            return self._release(stream)  # gone half way
        log.info("call", extra=fields(answer=answer[:MOST_LOGGED].decode("utf-8", "replace").rstrip()))
        try:
            async with asyncio.timeout(WHOLE_S):
                await stream.write(answer)
        except (StreamClosedError, TimeoutError):
            pass
        self._release(stream)

    def _release(self, stream: LingeringStream) -> None:
        """The one place where a caller's connection is given back."""
        self._callers.pop(stream, None)
        stream.close()

    def close(self) -> None:
        """Listen no more, and give back every connection."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for stream in list(self._callers):
            self._release(stream)
        self._closing.close()
