"""Client frames: the codec and an incremental parser. Every number is unsigned and little-endian."""

from __future__ import annotations

import struct
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from enum import IntEnum

# what a frame's length may be
LEAST = 5
MOST = 262_144
HEAD = struct.Struct("<IBI")
SIZE = struct.Struct("<I")
VALUE = struct.Struct("<H")


class Type(IntEnum):
    """Frame types."""

    REQUEST = 1
    ANSWER = 2
    ABANDON = 3
    READY_ASKED = 4
    READY = 5
    NO_MORE = 6


class Code(IntEnum):
    """Codes of answers."""

    OK = 79
    REFUSED = 66
    FAILED = 69


class FrameError(Exception):
    """Bytes that are no frame; the connection cannot go on."""


@dataclass(slots=True)
class Frame:
    """One frame; the payload is still bytes."""

    type: int
    stream: int
    payload: bytes


class FrameParser:
    """Bytes in, frames out, however they are cut."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def pending(self) -> int:
        """Bytes of a frame that is not whole yet."""
        return len(self._buffer)

    def feed(self, data: bytes) -> Iterator[Frame]:
        self._buffer += data
        at = 0
        try:
            while len(self._buffer) - at >= SIZE.size:
                (length,) = SIZE.unpack_from(self._buffer, at)
                if not LEAST <= length <= MOST:  # judged before anything is stored for it
                    raise FrameError(f"frame length {length}")
                end = at + SIZE.size + length
                if len(self._buffer) < end:
                    return
                _, kind, stream = HEAD.unpack_from(self._buffer, at)
                with memoryview(self._buffer) as view:
                    payload = bytes(view[at + HEAD.size : end])
                at = end
                yield Frame(kind, stream, payload)
        finally:
            del self._buffer[:at]


def read_fields(payload: bytes) -> tuple[dict[str, str], int]:
    """The fields at the start of a payload, and where the body begins."""
    fields: dict[str, str] = {}
    if not payload:
        raise FrameError("payload lacks its fields")
    at = 1
    try:
        for _ in range(payload[0]):
            end = at + 1 + payload[at]
            name = payload[at + 1 : end].decode()
            (size,) = VALUE.unpack_from(payload, end)
            at = end + VALUE.size + size
            if at > len(payload) or name in fields:
                raise FrameError(f"field {name!r} is cut short or comes twice")
            fields[name] = payload[at - size : at].decode()
    except (IndexError, struct.error, UnicodeDecodeError) as err:
        raise FrameError(f"fields cannot be read: {err}") from err
    return fields, at


def write_fields(fields: Mapping[str, str]) -> bytes:
    parts = [bytes((len(fields),))]
    for name, value in fields.items():
        raw = name.encode()
        text = value.encode()
        parts += (bytes((len(raw),)), raw, VALUE.pack(len(text)), text)
    return b"".join(parts)


def head(kind: Type, stream: int, payload: bytes = b"", body_size: int = 0) -> bytes:
    """A frame up to its body, which follows as it is."""
    return HEAD.pack(HEAD.size - SIZE.size + len(payload) + body_size, kind, stream) + payload


def answer_head(stream: int, code: Code, fields: Mapping[str, str], body_size: int = 0) -> bytes:
    return head(Type.ANSWER, stream, bytes((code,)) + write_fields(fields), body_size)
