"""Forwards the streams between routers and control, with injected faults: a delay that does not limit
throughput, a cut that holds bytes back, and a rate limit for slow readers."""

from __future__ import annotations

import asyncio
import contextlib

from magpieshift.lab.fault_injection.link_faults import Network

CHUNK_BYTES = 65_536  # maximum size of one read from a stream
MAX_CHUNKS_IN_FLIGHT = 64  # delayed chunks in each direction; beyond it, reading from the sender pauses
FAULT_POLL_INTERVAL_S = 0.02  # polling interval while a path is cut: bounds the delay until a heal shows
LOOPBACK = "127.0.0.1"


class StreamForwarder:
    """Owner of a listening port, and of all streams forwarded from it to a target port. ``source`` and
    ``target`` are the names of the two ends in ``links``."""

    def __init__(self, links: Network, source: str, target: str, to_port: int) -> None:
        self._links = links
        self._source = source
        self._target = target
        self._to_port = to_port
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()

    async def start(self) -> int:
        """Start listening, and return the port."""
        self._server = await asyncio.start_server(self._accepted, LOOPBACK, 0, backlog=1024)
        return int(self._server.sockets[0].getsockname()[1])

    def close(self) -> None:
        """Stop listening, and end all streams."""
        if self._server is not None:
            self._server.close()
        for task in self._connections:
            task.cancel()

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._connections.add(task)
        try:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                await self._forward_connection(reader, writer)
        finally:
            self._connections.discard(task)
            writer.transport.abort()

    async def _forward_connection(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward both directions until either of them ends."""
        await self._wait_until_connected(self._source, self._target)
        target_reader, target_writer = await asyncio.open_connection(LOOPBACK, self._to_port)
        ends = [
            asyncio.ensure_future(self._forward(self._source, self._target, reader, target_writer)),
            asyncio.ensure_future(self._forward(self._target, self._source, target_reader, writer)),
        ]
        try:
            await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for end in ends:
                end.cancel()
            await asyncio.gather(*ends, return_exceptions=True)
            target_writer.transport.abort()

    async def _forward(
        self, source: str, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        in_flight: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(MAX_CHUNKS_IN_FLIGHT)
        writing = asyncio.ensure_future(self._write_delayed(source, target, in_flight, writer))
        loop = asyncio.get_running_loop()
        try:
            while data := await reader.read(CHUNK_BYTES):
                delay_ms = sum(fault.delay_ms for fault in self._links.faults_on(source, target))
                await in_flight.put((loop.time() + delay_ms / 1000, data))
        finally:
            writing.cancel()

    async def _write_delayed(
        self,
        source: str,
        target: str,
        in_flight: asyncio.Queue[tuple[float, bytes]],
        writer: asyncio.StreamWriter,
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while True:
                due, data = await in_flight.get()
                if (remaining_s := due - loop.time()) > 0:
                    await asyncio.sleep(remaining_s)
                await self._wait_until_connected(source, target)
                for fault in self._links.faults_on(source, target):
                    if fault.kb_per_s:
                        await asyncio.sleep(len(data) / 1000 / fault.kb_per_s)
                writer.write(data)
                await writer.drain()

    async def _wait_until_connected(self, source: str, target: str) -> None:
        while any(fault.cut for fault in self._links.faults_on(source, target)):
            await asyncio.sleep(FAULT_POLL_INTERVAL_S)
