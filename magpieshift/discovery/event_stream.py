"""An incremental parser of server-sent events (the ``text/event-stream`` of the HTML standard). No I/O."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from magpieshift.discovery.errors import EventStreamError

MAX_EVENT_BYTES = 4 << 20
"""Largest event. A smaller limit would reject long endpoint lists, a larger one lets a faulty log use more
memory."""


@dataclass(slots=True, frozen=True)
class ServerEvent:
    """One server-sent event."""

    event_id: str
    """The event's id; empty if it has none."""
    data: str
    """Its data lines, joined by newlines."""


class EventStreamParser:
    """Converts chunks of bytes, split at any position, to events. Comments are dropped; they only show that
    the sender is alive."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        """The incomplete line at the end of the data."""
        self._data: list[str] = []
        """Data lines of the incomplete event."""
        self._event_id = ""
        self._ends_in_cr = False
        """Whether the last byte was a CR, so that a following LF belongs to it."""

    @property
    def has_partial_event(self) -> bool:
        """Whether an event or a line is incomplete."""
        return bool(self._data or self._buffer)

    def feed(self, data: bytes) -> Iterator[ServerEvent]:
        """The events completed by these bytes; ``EventStreamError`` if one exceeds ``MAX_EVENT_BYTES``."""
        if self._ends_in_cr and data[:1] == b"\n":
            data = data[1:]  # the second half of a CR LF
        self._ends_in_cr = data[-1:] == b"\r" if data else self._ends_in_cr
        self._buffer += data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *lines, rest = self._buffer.split(b"\n")
        self._buffer = bytearray(rest)
        if len(rest) + sum(map(len, self._data)) > MAX_EVENT_BYTES:
            raise EventStreamError(f"an event is larger than {MAX_EVENT_BYTES} bytes")
        for line in lines:
            if (event := self._take_line(line.decode("utf-8", "replace"))) is not None:
                yield event

    def _take_line(self, line: str) -> ServerEvent | None:
        """Process one line. An empty line completes the event, which is returned if it has data; else
        None."""
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
