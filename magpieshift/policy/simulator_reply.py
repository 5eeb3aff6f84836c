"""Encodes the policy's actions as reply frames of the simulator's protocol, in the form described in
``simulator_codec``."""

from __future__ import annotations

import struct
from collections.abc import Callable
from typing import Any

from magpieshift.policy.actions import (
    Action,
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    FetchEndpointList,
    RejectRequest,
    SendCacheRequest,
    SendPeerMessage,
    SendPlainRequest,
    SetTimer,
    StartHealthCheck,
    SubscribeToEndpointList,
    WriteLog,
)
from magpieshift.policy.simulator_codec import ENDPOINT_BYTES

ACTION_BYTES = 32
ERROR_ACTION = 9
"""Code of the record that reports an error of an instance."""
ALL_PEERS = 0xFFFFFFFF
"""Sent as the peer's number to address all peers."""


def endpoint_bytes(endpoint: int) -> bytes:
    """Encode an endpoint as its address and port."""
    return endpoint.to_bytes(ENDPOINT_BYTES, "big")


class ReplyFrame:
    """Collects and encodes the actions that reply to one batch."""

    def __init__(self, number: int) -> None:
        self._number = number
        self._records: list[bytes] = []
        self._tail = bytearray()

    def put_in_tail(self, data: bytes) -> bytes:
        """Append data to the tail; returns the reference to it for a record."""
        reference = struct.pack("<II", len(self._tail), len(data))
        self._tail += data
        return reference

    def add(self, instance: int, action: Action) -> None:
        """Add an action of an instance."""
        code, encode = _ENCODERS[type(action)]
        self._add_record(code, instance, encode(self, action))

    def add_error(self, instance: int, text: str) -> None:
        """Report an error of an instance."""
        self._add_record(ERROR_ACTION, instance, self.put_in_tail(text.encode()))

    def _add_record(self, code: int, instance: int, fields: bytes) -> None:
        record = bytes((code,)) + struct.pack("<I", instance) + fields
        self._records.append(record.ljust(ACTION_BYTES, b"\0"))

    def encode(self) -> bytes:
        """Encode the complete frame."""
        body = b"".join(self._records) + bytes(self._tail)
        return struct.pack("<III", self._number, len(body) + 4, len(self._records)) + body


def _send_plain(reply: ReplyFrame, action: SendPlainRequest) -> bytes:
    return (
        struct.pack("<I", action.request_id)
        + endpoint_bytes(action.endpoint)
        + struct.pack("<i", action.timeout_us)
    )


def _send_cache(reply: ReplyFrame, action: SendCacheRequest) -> bytes:
    return (
        struct.pack("<I", action.request_id)
        + endpoint_bytes(action.endpoint)
        + struct.pack("<i", action.timeout_us)
        + endpoint_bytes(action.source)
        + struct.pack("<BIB", action.retention_rank, action.max_age_us, action.flags)
    )


def _reject(reply: ReplyFrame, action: RejectRequest) -> bytes:
    return struct.pack("<II", action.request_id, action.retry_after_us)


def _fail(reply: ReplyFrame, action: FailRequest) -> bytes:
    return struct.pack("<I", action.request_id)


def _cancel(reply: ReplyFrame, action: CancelAttempt) -> bytes:
    return struct.pack("<IH", action.request_id, action.attempt)


def _set_timer(reply: ReplyFrame, action: SetTimer) -> bytes:
    return struct.pack("<IQ", action.delay_us, action.token)


def _only_endpoint(reply: ReplyFrame, action: StartHealthCheck | CloseIdleConnections) -> bytes:
    return endpoint_bytes(action.endpoint)


def _send_peer_message(reply: ReplyFrame, action: SendPeerMessage) -> bytes:
    peer = ALL_PEERS if action.peer is None else action.peer
    return struct.pack("<I", peer) + reply.put_in_tail(action.body)


def _write_log(reply: ReplyFrame, action: WriteLog) -> bytes:
    return reply.put_in_tail(action.text.encode())


def _subscribe(reply: ReplyFrame, action: SubscribeToEndpointList) -> bytes:
    return bytes((action.enabled,))


def _no_fields(reply: ReplyFrame, action: FetchEndpointList) -> bytes:
    return b""


_ENCODERS: dict[type, tuple[int, Callable[[ReplyFrame, Any], bytes]]] = {
    SendPlainRequest: (0, _send_plain),
    RejectRequest: (1, _reject),
    FailRequest: (2, _fail),
    CancelAttempt: (3, _cancel),
    SetTimer: (4, _set_timer),
    StartHealthCheck: (5, _only_endpoint),
    CloseIdleConnections: (6, _only_endpoint),
    SendPeerMessage: (7, _send_peer_message),
    WriteLog: (8, _write_log),
    SubscribeToEndpointList: (10, _subscribe),
    FetchEndpointList: (11, _no_fields),
    SendCacheRequest: (12, _send_cache),
}
"""The code and the field encoder for each action class."""
