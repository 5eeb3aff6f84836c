"""A gRPC connection to a relay, with a single stream."""

from __future__ import annotations

import asyncio
import contextlib

import grpc
import grpc.aio

from magpieshift.control.grpc_channel import CHANNEL_OPTIONS as CONTROL_OPTIONS
from magpieshift.control.grpc_channel import FOLLOW_METHOD, connect
from magpieshift.relay.decoding import MAX_SNAPSHOT_BYTES
from magpieshift.relay.errors import StreamEndedError

WRITE_TIMEOUT_S = 2.0
"""Write time-out after which a relay is given up; the same as ``RELAY_SILENCE_TIMEOUT_US``."""
LAST_WRITE_TIMEOUT_S = 0.2
"""Time-out for the last message and the end of the stream by the relay; kept short, as the shutdown of the
process waits for it."""

CHANNEL_OPTIONS = [
    *((name, value) for name, value in CONTROL_OPTIONS if name != "grpc.max_receive_message_length"),
    # the decoder reports slightly oversized messages in one log line; gRPC rejects larger ones
    ("grpc.max_receive_message_length", MAX_SNAPSHOT_BYTES + 1024),
]


class RelayConnection:
    """A gRPC channel to a relay, and the stream on it."""

    def __init__(self, address: str) -> None:
        """``address`` is host:port."""
        self.reading: asyncio.Task[None] | None = None
        """The task that reads from the stream; cancelling it during a read ends the stream."""
        self._channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        self._call = self._channel.stream_stream(FOLLOW_METHOD)()
        # gRPC allows one write at a time, and fails the call on a concurrent one
        self._write_lock = asyncio.Lock()

    async def open(self) -> None:
        """Wait for the connection to come up; ``TimeoutError`` or ``ConnectionError`` if it does not."""
        await connect(self._channel)

    async def read(self) -> bytes | None:
        """The next message; None at the end of the stream, ``StreamEndedError`` if it ended with an error
        status."""
        data = await self._call.read()
        if data is not grpc.aio.EOF:
            return bytes(data)
        if (code := await self._call.code()) is not grpc.StatusCode.OK:
            raise StreamEndedError(f"{code.name}: {await self._call.details()}")
        return None

    async def write(self, data: bytes) -> None:
        """Send a message; ``TimeoutError`` if the relay does not accept it within ``WRITE_TIMEOUT_S``."""
        async with asyncio.timeout(WRITE_TIMEOUT_S), self._write_lock:
            await self._call.write(data)

    async def send_last(self, data: bytes) -> None:
        """Send a last message after the write in flight, then close. Both writes are dropped if the relay
        does not accept them within ``LAST_WRITE_TIMEOUT_S``."""
        # a stream that fails meanwhile raises AioRpcError, which is an RpcError but not a BaseError
        with contextlib.suppress(grpc.RpcError, grpc.aio.BaseError, asyncio.InvalidStateError, TimeoutError):
            async with asyncio.timeout(LAST_WRITE_TIMEOUT_S), self._write_lock:
                await self._call.write(data)
                await self._call.done_writing()
                await self._call.code()  # the relay ends the stream once it has read everything
        await self.close()

    async def close(self) -> None:
        """End the stream at once; a write in flight is dropped."""
        if self.reading is not None:
            self.reading.cancel()
        self._call.cancel()
        await self._channel.close()
