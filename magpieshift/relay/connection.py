"""A gRPC connection to a relay, and the one stream on it."""

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
"""A relay that takes no message for so long is given up: as for one that sends none."""
LAST_WRITE_TIMEOUT_S = 0.2
"""For the last message and the relay's answer to it: the end of the process waits for it."""

CHANNEL_OPTIONS = [
    *((name, value) for name, value in CONTROL_OPTIONS if name != "grpc.max_receive_message_length"),
    # a message a little too large is left to the decoder, which says so in one line; gRPC stops larger ones
    ("grpc.max_receive_message_length", MAX_SNAPSHOT_BYTES + 1024),
]


class RelayConnection:
    """A channel to a relay, and the stream on it."""

    def __init__(self, address: str) -> None:
        """``address`` is host:port."""
        self.reading: asyncio.Task[None] | None = None
        """The task that reads; to cancel it in a read ends the stream."""
        self._channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        self._call = self._channel.stream_stream(FOLLOW_METHOD)()
        # gRPC takes one write at a time, and fails the call at a second
        self._write_lock = asyncio.Lock()

    async def open(self) -> None:
        """Wait for the connection to come up; ``TimeoutError`` or ``ConnectionError`` if it does not."""
        await connect(self._channel)

    async def read(self) -> bytes | None:
        """The next message; None at the stream's end, or ``StreamEndedError`` if that came with a reason."""
        data = await self._call.read()
        if data is not grpc.aio.EOF:
            return bytes(data)
        if (code := await self._call.code()) is not grpc.StatusCode.OK:
            raise StreamEndedError(f"{code.name}: {await self._call.details()}")
        return None

    async def write(self, data: bytes) -> None:
        """Send a message; ``TimeoutError`` if the relay does not take it."""
        async with asyncio.timeout(WRITE_TIMEOUT_S), self._write_lock:
            await self._call.write(data)

    async def send_last(self, data: bytes) -> None:
        """Send a last message, after the write in flight, as far as the relay takes both soon, and close."""
        # a stream that fails meanwhile raises AioRpcError, which is an RpcError and no BaseError
        with contextlib.suppress(grpc.RpcError, grpc.aio.BaseError, asyncio.InvalidStateError, TimeoutError):
            async with asyncio.timeout(LAST_WRITE_TIMEOUT_S), self._write_lock:
                await self._call.write(data)
                await self._call.done_writing()
                await self._call.code()  # the relay ends the stream once it has read all
        await self.close()

    async def close(self) -> None:
        """End the stream, whatever is in flight on it."""
        if self.reading is not None:
            self.reading.cancel()
        self._call.cancel()
        await self._channel.close()
