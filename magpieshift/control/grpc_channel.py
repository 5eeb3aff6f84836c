"""Shared by all clients of gRPC streams: channel options, connecting, and descriptions of failures."""

from __future__ import annotations

import asyncio
from typing import Any

import grpc
import grpc.aio

from magpieshift.control.router_session import MAX_MESSAGE_BYTES

FOLLOW_METHOD = "/magpieshift.control.v1.Control/Follow"
"""The gRPC method for the stream of configuration versions, and for that of a relay's log entries."""

CONNECT_TIMEOUT_S = 3.0
"""Time limit for a connection to come up: long enough for a handshake across regions. Retries are spaced by
the caller's backoff."""

CHANNEL_OPTIONS: list[tuple[str, Any]] = [
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
    ("grpc.keepalive_time_ms", 2000),  # a machine that fails without notice closes no connection
    ("grpc.keepalive_timeout_ms", 2000),
    ("grpc.http2.max_pings_without_data", 0),
    ("grpc.enable_retries", 0),  # the caller retries, with its own backoff
    ("grpc.use_local_subchannel_pool", 1),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.initial_reconnect_backoff_ms", 100),
]


async def connect(channel: Any) -> None:
    """Wait for a channel's connection to come up.

    Raises ``ConnectionError`` at the first failure, without gRPC's own retries, and ``TimeoutError`` after
    ``CONNECT_TIMEOUT_S``.
    """
    async with asyncio.timeout(CONNECT_TIMEOUT_S):
        while (state := channel.get_state(try_to_connect=True)) != grpc.ChannelConnectivity.READY:
            if state == grpc.ChannelConnectivity.TRANSIENT_FAILURE:
                raise ConnectionError("no connection")
            await channel.wait_for_state_change(state)


STREAM_FAILURES = (grpc.aio.AioRpcError, TimeoutError, ConnectionError, asyncio.InvalidStateError)
"""The errors raised by a stream that fails or cannot be opened. gRPC raises ``InvalidStateError`` when a
stream ends during a read or a write."""


def failure_text(error: BaseException) -> str:
    """A one-line description of the error that ended a stream, one of ``STREAM_FAILURES`` or any other."""
    if isinstance(error, grpc.aio.AioRpcError):
        return f"{error.code().name}: {error.details() or ''}"
    if isinstance(error, asyncio.InvalidStateError):
        return "the stream ended"
    return str(error) or "no connection in time"
