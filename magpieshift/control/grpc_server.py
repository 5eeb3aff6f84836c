"""Shared by all gRPC services: server options, and starting a server."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import grpc
import grpc.aio

SERVER_OPTIONS: list[tuple[str, Any]] = [
    # clients ping every 2 s; with gRPC's default minimum interval the server would close them with GOAWAY
    ("grpc.http2.min_recv_ping_interval_without_data_ms", 500),
    ("grpc.keepalive_permit_without_calls", 1),
    ("grpc.max_send_message_length", -1),
    ("grpc.so_reuseport", 0),
]


async def start_server(
    handler: grpc.GenericRpcHandler, listen: str, options: Sequence[tuple[str, Any]] = SERVER_OPTIONS
) -> tuple[Any, int]:
    """Serve a handler on ``host:port``; port 0 picks a free port.

    Returns the server and its port. Raises ``OSError`` if the address cannot be bound.
    """
    server = grpc.aio.server(options=options)
    server.add_generic_rpc_handlers((handler,))
    try:
        port: int = server.add_insecure_port(listen)
    except RuntimeError as err:
        raise OSError(f"cannot listen on {listen}") from err
    await server.start()
    return server, port
