"""Relays for streams on loopback: between two processes, with the faults of either direction.

A relay has a port of its own for each pair, so that who comes is known. It carries bytes and knows nothing of
what they mean.
"""

from __future__ import annotations

import asyncio
import socket
import struct

from magpieshift.lab.fault_injection.network import Network

CHUNK = 16_384
LOOK_S = 0.02  # how soon a fault that was put or healed shows on open connections


class Relay:
    """Owner of one listener and of all connections through it."""

    def __init__(self, network: Network, source: str, target: str, port: int) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._to = port
        self._server: asyncio.Server | None = None
        self._through: set[asyncio.Task[None]] = set()
        self.port = 0
        self.carried = 0  # bytes, of both directions
        self.resets = 0

    async def start(self, port: int = 0) -> int:
        """Listen; the port."""
        self._server = await asyncio.start_server(self._accepted, "127.0.0.1", port)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in self._through:
            task.cancel()

    @property
    def open(self) -> int:
        """Connections through it now."""
        return len(self._through)

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._through.add(task)
        try:
            await self._carry(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass  # at the end of the run its tasks are cancelled, which asyncio's streams would report
        finally:
            self._through.discard(task)
            writer.transport.abort()

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while any(fault.silent for fault in self._network.either(self._source, self._target)):
            if self._is_reset(writer):
                return
            await asyncio.sleep(LOOK_S)
        if self._is_reset(writer):
            return
        theirs, ours = await asyncio.open_connection("127.0.0.1", self._to)
        ends = [
            asyncio.ensure_future(self._one_way(self._source, self._target, reader, ours)),
            asyncio.ensure_future(self._one_way(self._target, self._source, theirs, writer)),
        ]
        try:
            while not all(end.done() for end in ends):
                await asyncio.wait(ends, timeout=LOOK_S)
                if self._is_reset(writer):
                    return self._reset(ours)
                # what was reset is over for both: the other would wait for an answer in vain
                if any(end.done() and not end.result() for end in ends):
                    self._reset(ours)
                    return self._reset(writer)
        finally:
            for end in ends:
                end.cancel()
            ours.transport.abort()

    async def _one_way(
        self, source: str, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Carry what one says to the other until it ends; False where it broke off. What waits here is not
        lost: the other end's system keeps it, and holds the sender up once its buffers are full."""
        try:
            while True:
                await self._let(source, target)
                if not (data := await reader.read(CHUNK)):
                    break
                await self._let(source, target)  # put while it waited for something to carry
                for fault in self._network.on(source, target):
                    pause = fault.delay_ms / 1e3
                    if fault.kb_per_s:
                        pause += len(data) / 1e3 / fault.kb_per_s
                    if pause:
                        await asyncio.sleep(pause)
                writer.write(data)
                self.carried += len(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return True

    async def _let(self, source: str, target: str) -> None:
        """Wait until nothing is in the way."""
        while any(fault.cut or fault.silent for fault in self._network.on(source, target)):
            await asyncio.sleep(LOOK_S)

    def _is_reset(self, writer: asyncio.StreamWriter) -> bool:
        if not any(fault.reset for fault in self._network.either(self._source, self._target)):
            return False
        self._reset(writer)
        return True

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        """End a connection so that the other end is told of a reset, not of an end."""
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.resets += 1
        writer.transport.abort()
