"""An incremental parser of server-sent events (the ``text/event-stream`` of the HTML standard). No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from magpieshift.discovery.errors import EventStreamError

MAX_EVENT_BYTES = 4 << 20
"""Largest event. Smaller cuts off long lists of endpoints, larger lets a broken log take
more memory."""


@dataclass(slots=True, frozen=True)
class ServerEvent:
    """One event."""

    event_id: str
    """Empty where none was given."""
    data: str
    """Its data lines, joined by newlines."""


class EventStreamParser:
    """Bytes in, events out, however the bytes are cut. Comments are dropped: they only prove that the sender
    is alive."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        """The line that has begun and not ended."""
        self._data: list[str] = []
        """Data lines of the event that has begun and not ended."""
        self._event_id = ""
        self._ends_in_cr = False
        """Whether the last byte was a CR, whose LF may follow."""

    @property
    def has_partial_event(self) -> bool:
        """Whether an event, or a line, has begun and not ended."""
        return bool(self._data or self._buffer)

    def feed(self, data: bytes) -> Iterator[ServerEvent]:
        """The events that these bytes complete; ``EventStreamError`` for one that is too long."""
        if self._ends_in_cr and data[:1] == b"\n":
            data = data[1:]  # the other half of a CR LF
        self._ends_in_cr = data[-1:] == b"\r" if data else self._ends_in_cr
        self._buffer += data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *lines, rest = self._buffer.split(b"\n")
        self._buffer = bytearray(rest)
        if len(rest) + sum(map(len, self._data)) > MAX_EVENT_BYTES:
            raise EventStreamError("event is too long")
        for line in lines:
            if (event := self._take_line(line.decode("utf-8", "replace"))) is not None:
                yield event

    def _take_line(self, line: str) -> ServerEvent | None:
        """The event that an empty line ends, if it has data; None for any other line."""
        if not line:
            event = ServerEvent(self._event_id, "\n".join(self._data)) if self._data else None
            self._data = []
            self._event_id = ""
            return event
        name, _, value = line.partition(":")
        value = value.removeprefix(" ")
        if name == "data":
            self._data.append(value)
        elif name == "id":
            self._event_id = value
        return None
