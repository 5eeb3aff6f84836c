"""A proxy that forwards TCP connections between two processes on loopback, with the faults of each direction.

Each pair of processes has its own proxy and port, which identifies the connecting process. A proxy forwards
bytes without interpreting them.
"""

from __future__ import annotations

import asyncio
import socket
import struct

from magpieshift.lab.fault_injection.link_faults import LinkFault, Network

READ_BYTES = 16_384
"""Maximum number of bytes per read; a throttled stream pauses after each."""
FAULT_POLL_S = 0.02
"""Polling interval in seconds at which open connections notice added and removed faults."""
LINGER_RESET = struct.pack("ii", 1, 0)
"""SO_LINGER with a time of 0 s: closing the socket sends RST."""


class LinkProxy:
    """Owns one listener and all connections through it."""

    def __init__(self, network: Network, source: str, target: str, port: int) -> None:
        self._network = network
        self._source = source
        self._target = target
        self._target_port = port
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()
        self.port = 0
        """Port on which it listens; 0 before ``start``."""
        self.forwarded_bytes = 0
        """Number of bytes forwarded in both directions."""
        self.resets = 0
        """Number of resets that it sent to either end of a connection."""

    async def start(self, port: int = 0) -> int:
        """Listen on a port, or on any free one if it is 0; return the port."""
        self._server = await asyncio.start_server(self._connection_accepted, "127.0.0.1", port)
        self.port = int(self._server.sockets[0].getsockname()[1])
        return self.port

    def close(self) -> None:
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in self._connections:
            task.cancel()

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    async def _connection_accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            await self._forward_connection(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass  # tasks are cancelled at the end of the run, which asyncio would log as errors
        finally:
            self._connections.discard(task)
            writer.transport.abort()

    def _faults_either_way(self) -> list[LinkFault]:
        return self._network.faults_either_way(self._source, self._target)

    async def _forward_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection from the source until it ends or is reset."""
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
        """Wait until both directions end; reset both ends if a fault or one end resets the connection."""
        while not all(direction.done() for direction in directions):
            await asyncio.wait(directions, timeout=FAULT_POLL_S)
            if self._reset_if_faulted(writer):
                self._reset(target_writer)
                return
            # forward a reset by one end: otherwise the other end waits until its time-out for an answer
            if any(direction.done() and not direction.result() for direction in directions):
                self._reset(target_writer)
                self._reset(writer)
                return

    async def _forward_direction(
        self, source: str, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Forward one direction until the end of its stream; return False if it ended with an error.

        Bytes that a fault holds up are not lost: they stay in the sender's socket buffers, and the sender
        blocks when these are full.
        """
        try:
            while True:
                await self._wait_until_passable(source, target)
                if not (data := await reader.read(READ_BYTES)):
                    break
                await self._wait_until_passable(source, target)  # the link may have been cut during the read
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
        """Reset a connection if a fault requires it; return whether it was reset."""
        if not any(fault.reset for fault in self._faults_either_way()):
            return False
        self._reset(writer)
        return True

    def _reset(self, writer: asyncio.StreamWriter) -> None:
        """Close a connection with RST instead of FIN."""
        sock = writer.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        self.resets += 1
        writer.transport.abort()


def _pause_s(fault: LinkFault, size_bytes: int) -> float:
    """Return the delay in seconds that a fault adds to this many bytes of a stream."""
    pause_s = fault.delay_ms / 1e3
    if fault.kb_per_s:
        pause_s += size_bytes / 1e3 / fault.kb_per_s
    return pause_s
