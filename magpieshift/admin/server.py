"""I/O of the admin server: its listening socket and the operators' connections."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket

from tornado.iostream import StreamClosedError

from magpieshift.admin.command import AdminCommand, Commands, CommandsWithArgument
from magpieshift.background_task import log_failure
from magpieshift.config import Address
from magpieshift.lifecycle import Lifecycle
from magpieshift.log import fields
from magpieshift.sockets import LingeringClose, LingeringStream, Listener, listen_socket

log = logging.getLogger(__name__)

MAX_CONNECTIONS = 16
"""Maximum number of open connections; their descriptors are part of ``limits.RESERVED_DESCRIPTORS``."""
MAX_LINGERING = 4
"""Maximum number of connections in lingering close; their descriptors are part of the same reserve."""
LINE_TIMEOUT_S = 2.0
"""Timeout for a client to send a complete line, and for the answer to be sent to it. Longer lets silent
clients hold connections, shorter fails slow ones."""
READ_CHUNK_BYTES = 512
"""Maximum size of one read; more than a complete line, see ``command.MAX_LINE_BYTES``."""
MAX_BUFFERED_BYTES = 1 << 16
"""Maximum number of bytes that a connection's stream buffers; far more than a command needs."""
MAX_LOGGED_BYTES = 200
"""Maximum number of bytes of an answer in the log: some answers are long lists of figures for programs."""


class AdminServer:
    """Owns the listening socket and all operators' connections."""

    def __init__(
        self,
        lifecycle: Lifecycle,
        commands: Commands | None = None,
        commands_with_argument: CommandsWithArgument | None = None,
    ) -> None:
        self._commands: Commands = {
            "PING": lifecycle.ping,
            "LAMEDUCK": lifecycle.lame_duck,
            "REJOIN": lifecycle.rejoin,
            **(commands or {}),
        }
        self._commands_with_argument = dict(commands_with_argument or {})
        self._connections: dict[LingeringStream, asyncio.Task[None]] = {}  # oldest first
        self._closing = LingeringClose(MAX_LINGERING)
        self._listener: Listener | None = None

    def open(self, address: Address) -> None:
        """Start to listen at an address; raises ``OSError`` if it is not available."""
        self._listener = Listener(listen_socket(*address), self._accepted, self._closing.drop_one)
        log.info("admin server started", extra=fields(console="{}:{}".format(*address)))

    def close(self) -> None:
        """Stop listening, and close every connection."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        for stream in list(self._connections):
            self._release(stream)
        self._closing.close()

    def _accepted(self, sock: socket.socket) -> None:
        # At the limit the oldest connection is closed, so that silent clients cannot lock others out.
        if len(self._connections) >= MAX_CONNECTIONS:
            self._release(next(iter(self._connections)))
        stream = LingeringStream(sock, self._closing, MAX_BUFFERED_BYTES)
        task = asyncio.ensure_future(self._serve(stream))
        task.add_done_callback(log_failure("admin connection"))
        self._connections[stream] = task

    async def _serve(self, stream: LingeringStream) -> None:
        command = AdminCommand(self._commands, self._commands_with_argument)
        answer: bytes | None = None
        try:
            async with asyncio.timeout(LINE_TIMEOUT_S):
                while answer is None:
                    answer = command.feed(await stream.read_bytes(READ_CHUNK_BYTES, partial=True))
        except TimeoutError:
            answer = command.timed_out(LINE_TIMEOUT_S)
        except StreamClosedError:  # the client disconnected before its line was complete
            return self._release(stream)
        shown = answer[:MAX_LOGGED_BYTES].decode("utf-8", "replace").rstrip()
        log.info("admin command answered", extra=fields(answer=shown))
        with contextlib.suppress(StreamClosedError, TimeoutError):
            async with asyncio.timeout(LINE_TIMEOUT_S):
                await stream.write(answer)
        return self._release(stream)

    def _release(self, stream: LingeringStream) -> None:
        """Close a connection and remove it from the open ones; nothing else does."""
        self._connections.pop(stream, None)
        stream.close()
