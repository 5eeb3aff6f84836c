"""State machine of one client's connection: bytes in, events out, and the bytes of what is to be written.

It owns the stream ids of its connection: one is taken in ``feed`` and given back in ``_release``. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping

from magpieshift.downstream.errors import FrameError, InvalidFieldError
from magpieshift.downstream.events import (
    ClientRequestCancelled,
    ClientRequestReceived,
    InvalidRequestReceived,
    ReadinessRequested,
    SessionEvent,
)
from magpieshift.downstream.frames import Frame, FrameParser, FrameType, read_fields
from magpieshift.downstream.messages import Chunks, read_request, write_go_away, write_response
from magpieshift.engine.model import Response, Verdict

MAX_OPEN_STREAMS = 32
"""Requests open at once on one connection, as the platform's protocol has it; those beyond are rejected."""
MAX_INVALID_REQUESTS = 64
"""Requests that cannot be used, on one connection; a client that goes on sending them is disconnected.
Smaller is hard on a client with one bad class, larger lets one keep us busy."""
MAX_STREAM_ID_GAP = 4096
"""Stream ids above the lowest unused one that are remembered, since they may come out of order.
Larger costs memory, smaller disconnects clients that skip ids."""


class Session:
    """The protocol of one client's connection."""

    def __init__(self, class_numbers: Mapping[str, int]) -> None:
        """``class_numbers`` gives the number of each class that a request may name."""
        self._class_numbers = class_numbers
        self._parser = FrameParser()
        self._open: set[int] = set()
        """Streams whose response is due."""
        self.go_away_sent = False
        """Whether the client was asked to send no new request."""
        self.requests_received = 0
        """A client that only asks whether the router is ready has none."""
        self.frames_received = 0
        """Complete ones."""
        self._invalid_requests = 0
        """Requests that could not be used, so far."""
        self._used_up_to = 0
        """Every stream id up to here has been used."""
        self._used_above: set[int] = set()
        """The used ones above that."""

    @property
    def partial_frame_bytes(self) -> int:
        """Bytes of a frame that is not complete yet."""
        return self._parser.partial_bytes

    def feed(self, data: bytes) -> Iterator[SessionEvent]:
        """What these bytes mean; ``FrameError`` where the connection cannot go on."""
        for frame in self._parser.feed(data):
            self.frames_received += 1
            if (event := self._event(frame)) is not None:
                yield event

    def respond(self, stream_id: int, response: Response) -> Chunks:
        """What to write for a final answer; nothing for a stream that is not open."""
        if stream_id not in self._open:
            return ()
        self._release(stream_id)
        return write_response(stream_id, response)

    def go_away(self) -> Chunks:
        """What to write, once, to have the client send no new request on this connection."""
        if self.go_away_sent:
            return ()
        self.go_away_sent = True
        return write_go_away()

    def _event(self, frame: Frame) -> SessionEvent | None:
        if frame.type == FrameType.REQUEST:
            return self._receive_request(frame)
        if frame.type == FrameType.CANCEL:
            if frame.stream_id not in self._open:
                return None  # it crossed the response
            self._release(frame.stream_id)
            return ClientRequestCancelled(frame.stream_id)
        if frame.type == FrameType.READINESS_REQUEST:
            return ReadinessRequested(frame.stream_id)
        raise FrameError(f"frame type {frame.type} from a client")

    def _receive_request(self, frame: Frame) -> SessionEvent:
        stream_id = frame.stream_id
        self.requests_received += 1
        self._register_stream_id(stream_id)
        is_over_limit = len(self._open) >= MAX_OPEN_STREAMS
        self._open.add(stream_id)
        if is_over_limit:
            return self._invalid_request(stream_id, "too many open requests", Verdict.REJECTED)
        fields, body_start = read_fields(frame.payload)
        try:
            request = read_request(fields, frame.payload[body_start:], self._class_numbers)
        except InvalidFieldError as err:
            return self._invalid_request(stream_id, str(err))
        return ClientRequestReceived(stream_id, request)

    def _register_stream_id(self, stream_id: int) -> None:
        """Note that an id is used; ``FrameError`` where it was before, or is too far ahead."""
        if stream_id <= self._used_up_to or stream_id in self._used_above:
            raise FrameError(f"stream {stream_id} is not new")
        self._used_above.add(stream_id)
        while self._used_up_to + 1 in self._used_above:
            self._used_up_to += 1
            self._used_above.remove(self._used_up_to)
        if len(self._used_above) > MAX_STREAM_ID_GAP:  # each is remembered until the gap is filled
            raise FrameError("stream ids are too far apart")

    def _invalid_request(
        self, stream_id: int, reason: str, verdict: Verdict = Verdict.FAILED
    ) -> InvalidRequestReceived:
        self._invalid_requests += 1
        if self._invalid_requests > MAX_INVALID_REQUESTS:
            raise FrameError("too many requests that cannot be used")
        return InvalidRequestReceived(stream_id, reason, verdict)

    def _release(self, stream_id: int) -> None:
        """The one place where a stream is given back."""
        self._open.discard(stream_id)
