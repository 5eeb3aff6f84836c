"""An incremental parser of server-sent events."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

MOST_EVENT = 4 << 20


class SseError(Exception):
    """The stream cannot be followed any further."""


@dataclass(slots=True, frozen=True)
class ServerEvent:
    """One event: its id, empty where none was given, and its data."""

    ident: str
    data: str


class SseParser:
    """Bytes in, events out, however they are cut. Comments only prove that the sender is alive."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._data: list[str] = []
        self._ident = ""
        self._after_cr = False

    @property
    def pending(self) -> bool:
        """Whether an event, or a line, has begun and not ended."""
        return bool(self._data or self._buffer)

    def feed(self, data: bytes) -> Iterator[ServerEvent]:
        if self._after_cr and data[:1] == b"\n":
            data = data[1:]  # the other half of a CR LF
        self._after_cr = data[-1:] == b"\r" if data else self._after_cr
        self._buffer += data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *whole, rest = self._buffer.split(b"\n")
        self._buffer = bytearray(rest)
        if len(rest) + sum(map(len, self._data)) > MOST_EVENT:
            raise SseError("event is too long")
        for line in whole:
            if (event := self._line(line.decode("utf-8", "replace"))) is not None:
                yield event

    def _line(self, line: str) -> ServerEvent | None:
        if not line:
            event = ServerEvent(self._ident, "\n".join(self._data)) if self._data else None
            self._data = []
            self._ident = ""
            return event
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            self._data.append(value)
        elif name == "id":
            self._ident = value
        return None
