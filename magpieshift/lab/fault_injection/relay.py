"""Relays for streams on loopback: between two processes, with the faults of either direction.

A relay has a port of its own for each pair of processes, so that it knows who connects. It carries bytes and
knows nothing of what they mean.
"""

from __future__ import annotations

import asyncio
import socket
import struct

from magpieshift.lab.fault_injection.network import LinkFault, Network

READ_BYTES = 16_384
"""Most bytes read at once: a throttled stream pauses after each piece."""
FAULT_POLL_S = 0.02
"""Seconds until a fault that was added or removed shows on open connections."""
LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER on, for zero seconds: the socket's close sends RST."""


class Relay:
    """Owner of one listener and of all connections through it."""

    def __init__(self, network: Network, source: str, target: str, port: int) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._target_port = port
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self.port = 0
        """Port it listens on; 0 before ``start``."""
        self.forwarded_bytes = 0
        """Bytes forwarded, both directions together."""
        self.resets = 0
        """Connections that it reset."""

    async def start(self, port: int = 0) -> int:
        """Listen on a port, 0 for any that is free; return the port."""
        self._server = await asyncio.start_server(self._connection_accepted, "127.0.0.1", port)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def close(self) -> None:
        """Stop listening and end all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in self._connections:
            task.cancel()

    @property
    def open_connections(self) -> int:
        """Connections through it now."""
        return len(self._connections)

    async def _connection_accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._forward_connection(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass  # at the end of the run its tasks are cancelled, which asyncio's streams would report
        finally:
            self._connections.discard(task)
            writer.transport.abort()

    def _faults_either_way(self) -> list[LinkFault]:
        return self._network.faults_either_way(self._source, self._target)

    async def _forward_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Carry one connection of the source until it ends or is reset."""
        while any(fault.silent for fault in self._faults_either_way()):
            if self._reset_if_faulted(writer):
                return
            await asyncio.sleep(FAULT_POLL_S)
        if self._reset_if_faulted(writer):
            return
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self._target_port)
        directions = [
            asyncio.ensure_future(self._forward_direction(self._source, self._target, reader, target_writer)),
            asyncio.ensure_future(self._forward_direction(self._target, self._source, target_reader, writer)),
        ]
        try:
            await self._watch(directions, writer, target_writer)
        finally:
            for direction in directions:
                direction.cancel()
            target_writer.transport.abort()

    async def _watch(
        self,
        directions: list[asyncio.Task[bool]],
        writer: asyncio.StreamWriter,
        target_writer: asyncio.StreamWriter,
    ) -> None:
        """Wait until both directions end; reset both ends where a fault or either end resets it."""
        while not all(direction.done() for direction in directions):
            await asyncio.wait(directions, timeout=FAULT_POLL_S)
            if self._reset_if_faulted(writer):
                self._reset(target_writer)
                return
            # a reset by one end is passed on: otherwise the other waits in vain for an answer
            if any(direction.done() and not direction.result() for direction in directions):
                self._reset(target_writer)
                self._reset(writer)
                return

    async def _forward_direction(
        self, source: str, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Carry what one end sends to the other until it ends; False where it broke off.

        Bytes that wait are not lost: the sender's system keeps them and blocks it once its buffers are full.
        """
        try:
            while True:
                await self._wait_until_passable(source, target)
                if not (data := await reader.read(READ_BYTES)):
                    break
                await self._wait_until_passable(source, target)  # cut while it waited for data
                for fault in self._network.faults_on(source, target):
                    if pause_s := _pause_s(fault, len(data)):
                        await asyncio.sleep(pause_s)
                writer.write(data)
                self.forwarded_bytes += len(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
        except (OSError, asyncio.IncompleteReadError):
            return False
        return True

    async def _wait_until_passable(self, source: str, target: str) -> None:
        while any(fault.cut or fault.silent for fault in self._network.faults_on(source, target)):
            await asyncio.sleep(FAULT_POLL_S)

    def _reset_if_faulted(self, writer: asyncio.StreamWriter) -> bool:
        """Reset a connection where a fault says so; return whether it did."""
        if not any(fault.reset for fault in self._faults_either_way()):
            return False
        self._reset(writer)
        return True

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        """Close a connection so that the other end sees a reset in place of an orderly end."""
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.resets += 1
        writer.transport.abort()


def _pause_s(fault: LinkFault, size_bytes: int) -> float:
    """How long a fault holds up a piece of a stream, in seconds."""
    pause_s = fault.delay_ms / 1e3
    if fault.kb_per_s:
        pause_s += size_bytes / 1e3 / fault.kb_per_s
    return pause_s
