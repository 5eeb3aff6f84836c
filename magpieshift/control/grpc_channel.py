"""What all clients of gRPC streams share: channel options, connecting, and the text of a failure."""

from __future__ import annotations

import asyncio
from typing import Any

import grpc
import grpc.aio

from magpieshift.control.session import MAX_MESSAGE_BYTES

FOLLOW_METHOD = "/magpieshift.control.v1.Control/Follow"
"""The stream of configuration versions, and of a relay's entries."""

CONNECT_TIMEOUT_S = 3.0
"""Long enough for a handshake across regions; the caller's backoff spaces what comes after."""

CHANNEL_OPTIONS: list[tuple[str, Any]] = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", 2000),  # a machine that has vanished closes nothing
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.enable_retries", 0),  # the backoff between attempts is the caller's
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.initial_reconnect_backoff_ms", 100),
]


async def connect(channel: Any) -> None:
    """Wait for a channel's connection to come up; a refused one fails at once, without gRPC's own retries.
    ``TimeoutError`` or ``ConnectionError`` if it does not come up."""
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        while (state := channel.get_state(try_to_connect=True)) != grpc.ChannelConnectivity.READY:
            if state == grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                raise ConnectionError("no connection")
            await channel.wait_for_state_change(state)


STREAM_FAILURES = (grpc.aio.AioRpcError, TimeoutError, ConnectionError, asyncio.InvalidStateError)
"""What a stream raises that fails, or that cannot be opened. gRPC raises ``InvalidStateError`` when a stream
ends under a read or a write."""


def failure_text(error: BaseException) -> str:
    """Why a stream failed, in one line, from one of ``STREAM_FAILURES`` or another error."""
    if isinstance(error, grpc.aio.AioRpcError):
        return f"{error.code().name}: {error.details() or ''}"
    if isinstance(error, asyncio.InvalidStateError):
        return "the stream ended"
    return str(error) or "no connection in time"
