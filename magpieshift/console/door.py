"""The thin driver of the door: its socket, and the callers' connections."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Mapping

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from magpieshift.config import Address
from magpieshift.console.call import Call
from magpieshift.lifecycle import Lifecycle
from magpieshift.log import fields
from magpieshift.streams import listen_socket, see_off

log = logging.getLogger(__name__)

MOST_CALLERS = 16  # within the descriptors that are kept aside
WHOLE_S = 2.0  # for a caller to send a whole line
READ_SIZE = 512
MOST_LOGGED = 200  # bytes of an answer: some are figures for programs


class Door(TCPServer):
    """Listens for operators; owner of its listener and of all callers' connections."""

    def __init__(
        self, lifecycle: Lifecycle, more: Mapping[str, Callable[[], str]] | None = None,
        worded: Mapping[str, Callable[[str], str]] | None = None,
    ) -> None:  # fmt: skip
        super().__init__(max_buffer_size=1 << 16, read_chunk_size=READ_SIZE)
        self._calls: dict[str, Callable[[], str]] = {
            "PING": lifecycle.ping,
            "LAMEDUCK": lifecycle.lame_duck,
            "REJOIN": lifecycle.rejoin,
            **(more or {}),
        }
        self._worded = dict(worded or {})
        self._callers: dict[IOStream, None] = {}  # in the order in which they came

    def open(self, address: Address) -> None:
        """Listen; ``OSError`` where that can't be."""
        self.add_socket(listen_socket(*address))
        log.info("door open", extra=fields(console="{}:{}".format(*address)))

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        if len(self._callers) >= MOST_CALLERS:  # some call to say nothing; they must not lock others out
            self._release(next(iter(self._callers)))
        self._callers[stream] = None
        call = Call(self._calls, self._worded)
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
        with contextlib.suppress(StreamClosedError):
            stream.write(answer)
            await see_off(stream)
        self._release(stream)

    def _release(self, stream: IOStream) -> None:
        """The one place where a caller's connection is given back."""
        self._callers.pop(stream, None)
        stream.close()

    def close(self) -> None:
        self.stop()
        for stream in list(self._callers):
            self._release(stream)
