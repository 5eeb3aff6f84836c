"""Decodes frames of the simulator's protocol into the policy's events. Numbers are little-endian, except for
endpoints, which are an address and a port in network byte order.

A frame holds records of a fixed size, and a tail with the data of variable length to which the records refer.
``simulator_reply`` encodes the replies.
"""

from __future__ import annotations

import struct
from collections.abc import Callable
from dataclasses import dataclass

from magpieshift.policy.errors import WireError
from magpieshift.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    Event,
    HealthCheckEnded,
    PeerMessageReceived,
    PurgeReceived,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from magpieshift.policy.outcomes import Outcome

EVENT_BYTES = 48
LIST_ENTRY_BYTES = 24
ENDPOINT_BYTES = 6
FRAME_HEADER = struct.Struct("<II")
"""Number of the frame, and length of the rest of it in bytes."""
BATCH_HEADER = struct.Struct("<IQ")
"""Number of records, and the time in microseconds."""
HEADER_OFFSET = FRAME_HEADER.size
"""Added to offsets in the body: error messages count offsets from the start of the frame."""
MAX_LOAD_VALUES = 4
REPEAT_FLAG = 2
WRITE_FLAG = 4
"""Bits of a request's flags."""


@dataclass(slots=True)
class Boot:
    """A router instance starts. ``simulator_settings`` parses the text of its settings."""

    seed: int
    text: str


@dataclass(slots=True)
class Stop:
    """A router instance was killed."""


Decoded = Event | Boot | Stop


def read_endpoint(raw: bytes, offset: int) -> int:
    """An endpoint's address and port as one number."""
    return int.from_bytes(raw[offset : offset + ENDPOINT_BYTES], "big")


class EventFrame:
    """A batch of events, each for one router instance."""

    def __init__(self, number: int, body: bytes) -> None:
        """Raises ``WireError`` if the body is shorter than its header and the number of records require."""
        if len(body) < BATCH_HEADER.size:
            raise WireError(
                f"batch {number}: offset {HEADER_OFFSET}: "
                f"found {len(body)} bytes, expected a batch header of {BATCH_HEADER.size} bytes"
            )
        self.number = number
        self.now_us = 0
        self._body = body
        self._count, self.now_us = BATCH_HEADER.unpack_from(body)
        self._tail = BATCH_HEADER.size + self._count * EVENT_BYTES
        if self._tail > len(body):
            raise WireError(
                f"batch {number}: offset {HEADER_OFFSET}: "
                f"{self._count} records of {EVENT_BYTES} bytes do not fit in a body of {len(body)} bytes"
            )

    def events(self) -> list[tuple[int, Decoded]]:
        """All events in order, each with the number of its instance."""
        return [self._event(BATCH_HEADER.size + index * EVENT_BYTES) for index in range(self._count)]

    def _event(self, offset: int) -> tuple[int, Decoded]:
        raw = self._body[offset : offset + EVENT_BYTES]
        place = f"batch {self.number}: offset {offset + HEADER_OFFSET}"
        decode = _DECODERS.get(raw[0])
        if decode is None:
            raise WireError(f"{place}: unknown event code {raw[0]}")
        try:
            return struct.unpack_from("<I", raw, 1)[0], decode(self, raw)
        except (ValueError, struct.error) as err:
            raise WireError(f"{place}: event code {raw[0]}: {err}") from err

    def from_tail(self, raw: bytes, offset: int, unit_bytes: int = 1) -> bytes:
        """The data in the tail to which a record refers by start and length, the length in units of
        ``unit_bytes``."""
        start, length = struct.unpack_from("<II", raw, offset)
        first = self._tail + start
        end = first + length * unit_bytes
        if end > len(self._body):
            raise ValueError(
                f"reference to {length * unit_bytes} bytes at tail offset {start} lies outside the frame"
            )
        return self._body[first:end]


def _boot(frame: EventFrame, raw: bytes) -> Boot:
    return Boot(struct.unpack_from("<Q", raw, 5)[0], frame.from_tail(raw, 13).decode("utf-8"))


def _endpoint_list(frame: EventFrame, raw: bytes) -> EndpointListReceived:
    entries = frame.from_tail(raw, 14, LIST_ENTRY_BYTES)
    return EndpointListReceived(
        kind=EndpointListKind(raw[5]),
        version=struct.unpack_from("<Q", raw, 6)[0],
        endpoints=tuple(_list_entry(entries, at) for at in range(0, len(entries), LIST_ENTRY_BYTES)),
    )


def _list_entry(raw: bytes, offset: int) -> Endpoint:
    zone, kind, cell, state, weight, started_us = struct.unpack_from("<HBHBfQ", raw, offset + ENDPOINT_BYTES)
    return Endpoint(read_endpoint(raw, offset), zone, kind, cell, EndpointState(state), weight, started_us)


def _request(frame: EventFrame, raw: bytes) -> RequestReceived:
    request_id, class_index, tenant, object_key, time_left_us, size_kb, group, part, flags = (
        struct.unpack_from("<IBIQIfffH", raw, 5)
    )
    return RequestReceived(
        request_id,
        class_index,
        tenant,
        object_key,
        time_left_us,
        size_kb,
        int(group),
        int(part),
        bool(flags & REPEAT_FLAG),
        bool(flags & WRITE_FLAG),
    )


def _response_started(frame: EventFrame, raw: bytes) -> ResponseStarted:
    latency_us, attempt = struct.unpack_from("<IH", raw, 15)
    return ResponseStarted(struct.unpack_from("<I", raw, 5)[0], read_endpoint(raw, 9), latency_us, attempt)


def _attempt_ended(frame: EventFrame, raw: bytes) -> AttemptEnded:
    request_id, outcome, latency_us, fill_wait_us, is_closed, cache_status = struct.unpack_from(
        "<IBIIBI", raw, 5
    )
    return AttemptEnded(
        request_id,
        Outcome(outcome),
        latency_us,
        fill_wait_us,
        bool(is_closed),
        cache_status,
        read_endpoint(raw, 23),
        struct.unpack_from("<H", raw, 29)[0],
        _load_report(raw, 31),
    )


def _load_report(raw: bytes, offset: int) -> tuple[float, ...]:
    count = raw[offset]
    if count > MAX_LOAD_VALUES:
        raise ValueError(f"load report of {count} values, at most {MAX_LOAD_VALUES} allowed")
    values: tuple[float, ...] = struct.unpack_from(f"<{count}f", raw, offset + 1)
    return values


def _client_disconnected(frame: EventFrame, raw: bytes) -> ClientDisconnected:
    return ClientDisconnected(struct.unpack_from("<I", raw, 5)[0])


def _timer_fired(frame: EventFrame, raw: bytes) -> TimerFired:
    return TimerFired(struct.unpack_from("<Q", raw, 5)[0])


def _health_check_ended(frame: EventFrame, raw: bytes) -> HealthCheckEnded:
    latency_us = struct.unpack_from("<I", raw, 12)[0]
    return HealthCheckEnded(read_endpoint(raw, 5), Outcome(raw[11]), latency_us, _load_report(raw, 16))


def _peer_message(frame: EventFrame, raw: bytes) -> PeerMessageReceived:
    return PeerMessageReceived(struct.unpack_from("<H", raw, 5)[0], frame.from_tail(raw, 7))


def _stop(frame: EventFrame, raw: bytes) -> Stop:
    return Stop()


def _purge(frame: EventFrame, raw: bytes) -> PurgeReceived:
    return PurgeReceived(*struct.unpack_from("<QHI", raw, 5))


_DECODERS: dict[int, Callable[[EventFrame, bytes], Decoded]] = {
    0: _boot,
    1: _endpoint_list,
    2: _request,
    3: _response_started,
    4: _attempt_ended,
    5: _client_disconnected,
    6: _timer_fired,
    7: _health_check_ended,
    8: _peer_message,
    9: _stop,
    10: _purge,
}
"""Decoders by event code. A record starts with the code in one byte and the instance's number in four; the
fields follow from offset 5."""
