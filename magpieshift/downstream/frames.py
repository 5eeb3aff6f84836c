"""Frames of the client protocol: codec and incremental parser. All numbers are unsigned, little-endian. No
I/O."""

from __future__ import annotations

import struct
import sys
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import IntEnum

from magpieshift.downstream.errors import FrameError

MIN_LENGTH_BYTES = 5
"""Minimum value of a frame's length field, which counts the type and the stream id as well."""
MAX_LENGTH_BYTES = 262_144
"""Maximum value of a frame's length field, set by the platform's protocol."""
PIECE_BYTES = 8_192
"""Size of the pieces in which an incomplete frame is collected."""
HEADER = struct.Struct("<IBI")
"""Format of a frame's header: length of all that follows the length field, type, stream id."""
LENGTH = struct.Struct("<I")
VALUE_LENGTH = struct.Struct("<H")
"""Format of the length of a field's value."""


class FrameType(IntEnum):
    """Type of a frame; the numbers are those on the wire."""

    REQUEST = 1
    RESPONSE = 2
    CANCEL = 3
    """The client cancels its request."""
    READINESS_REQUEST = 4
    READINESS = 5
    GO_AWAY = 6
    """The router asks the client to send no new request on this connection."""


class ResponseCode(IntEnum):
    """First byte of a response; the numbers are those on the wire."""

    OK = 79
    REJECTED = 66
    FAILED = 69


@dataclass(slots=True)
class Frame:
    """One frame."""

    type: int
    """A ``FrameType``, or a number that is not a known type."""
    stream_id: int
    payload: bytes
    """The content after the header, not parsed yet."""


class FrameParser:
    """Incremental parser: takes bytes in chunks of any size and yields frames.

    An incomplete frame is collected in pieces of one size, which are joined once it is complete: one buffer
    that grows would take up to twice its bytes, and leave gaps of all sizes in the process's memory.
    """

    def __init__(self) -> None:
        self._pieces: list[bytearray] = []
        """The received part of an incomplete frame."""
        self._partial_bytes = 0

    @property
    def partial_bytes(self) -> int:
        """Number of bytes received of an incomplete frame."""
        return self._partial_bytes

    @property
    def held_bytes(self) -> int:
        """Memory allocated for an incomplete frame; 0 if there is none."""
        pieces = len(self._pieces)
        if pieces == 0:
            return 0
        return sys.getsizeof(self._pieces[-1]) + (pieces - 1) * sys.getsizeof(self._pieces[0])

    def discard(self) -> None:
        """Release the received part of an incomplete frame; nothing may be fed after this."""
        self._pieces = []
        self._partial_bytes = 0

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yield the frames that these bytes complete; raises ``FrameError`` for an invalid length."""
        if self._pieces:
            if self._partial_bytes >= LENGTH.size and self._partial_bytes + len(data) < self._frame_stop():
                self._collect(data)
                return
            data = b"".join((*self._pieces, data))
            self.discard()
        start = 0
        try:
            while len(data) - start >= LENGTH.size:
                (length,) = LENGTH.unpack_from(data, start)
                if not MIN_LENGTH_BYTES <= length <= MAX_LENGTH_BYTES:
                    raise FrameError(f"frame length {length}")
                stop = start + LENGTH.size + length
                if len(data) < stop:
                    return
                _, frame_type, stream_id = HEADER.unpack_from(data, start)
                payload = data[start + HEADER.size : stop]
                start = stop
                yield Frame(frame_type, stream_id, payload)
        finally:
            self._collect(data[start:])

    def _frame_stop(self) -> int:
        """Size of the incomplete frame once it is complete; its length field was received and checked."""
        (length,) = LENGTH.unpack_from(self._pieces[0])
        return int(LENGTH.size + length)

    def _collect(self, data: bytes) -> None:
        """Add bytes to the incomplete frame."""
        self._partial_bytes += len(data)
        start = 0
        while start < len(data):
            if not self._pieces or len(self._pieces[-1]) >= PIECE_BYTES:
                self._pieces.append(bytearray())
            newest = self._pieces[-1]
            room = PIECE_BYTES - len(newest)
            newest += data[start : start + room]
            start += room


def read_fields(payload: bytes) -> tuple[dict[str, str], int]:
    """Return the fields at the start of a payload, and the position at which the body begins."""
    fields: dict[str, str] = {}
    if not payload:
        raise FrameError("payload lacks its fields")
    position = 1
    try:
        for _ in range(payload[0]):
            name_stop = position + 1 + payload[position]
            name = payload[position + 1 : name_stop].decode()
            (size,) = VALUE_LENGTH.unpack_from(payload, name_stop)
            position = name_stop + VALUE_LENGTH.size + size
            if position > len(payload) or name in fields:
                raise FrameError(f"field {name!r} is cut short or comes twice")
            fields[name] = payload[position - size : position].decode()
    except (IndexError, struct.error, UnicodeDecodeError) as err:
        raise FrameError(f"fields cannot be read: {err}") from err
    return fields, position


def write_fields(fields: Mapping[str, str]) -> bytes:
    """Encode fields in the form that ``read_fields`` reads."""
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        raw_name = name.encode()
        raw_value = value.encode()
        parts += (bytes((len(raw_name),)), raw_name, VALUE_LENGTH.pack(len(raw_value)), raw_value)
    return b"".join(parts)


def frame_head(frame_type: FrameType, stream_id: int, payload: bytes = b"", body_size: int = 0) -> bytes:
    """Encode a frame without its body, which is written after it unchanged."""
    length = HEADER.size - LENGTH.size + len(payload) + body_size
    return HEADER.pack(length, frame_type, stream_id) + payload


def response_head(stream_id: int, code: ResponseCode, fields: Mapping[str, str], body_size: int = 0) -> bytes:
    """Encode a response frame without its body, which is written after it unchanged."""
    return frame_head(FrameType.RESPONSE, stream_id, bytes((code,)) + write_fields(fields), body_size)
