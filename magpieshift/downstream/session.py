"""State machine of one client's connection: turns received bytes into events, and responses into bytes to
write.

It owns the stream ids of its connection: a stream is opened in ``feed`` and closed in ``_release``. No I/O.
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
"""Maximum number of open requests on one connection, set by the platform's protocol; further ones are
rejected."""
MAX_INVALID_REQUESTS = 64
"""Maximum number of invalid requests on one connection; a client that sends more is disconnected. Smaller
disconnects a client too soon that has only one of its classes wrong, larger lets a client waste more of the
router's time."""
MAX_STREAM_ID_GAP = 4096
"""Maximum number of used stream ids above the lowest unused one, which are stored as ids may arrive out of
order. Larger costs memory, smaller disconnects clients that skip ids."""


class Session:
    """The protocol of one client's connection."""

    def __init__(self, class_numbers: Mapping[str, int]) -> None:
        """``class_numbers`` gives the number of each class that a request may name."""
        self._class_numbers = class_numbers
        self._parser = FrameParser()
        self._open: set[int] = set()
        """Streams of requests that are not answered or cancelled yet."""
        self.go_away_sent = False
        """Whether GO_AWAY was sent."""
        self.requests_received = 0
        """Number of requests received; readiness requests do not count."""
        self.frames_received = 0
        """Number of complete frames received."""
        self._invalid_requests = 0
        """Number of invalid requests received."""
        self._used_up_to = 0
        """The highest stream id up to which all ids have been used."""
        self._used_above: set[int] = set()
        """The used stream ids above ``_used_up_to``."""

    @property
    def partial_frame_bytes(self) -> int:
        """Number of bytes received of an incomplete frame."""
        return self._parser.partial_bytes

    @property
    def partial_frame_held_bytes(self) -> int:
        """Memory allocated for an incomplete frame."""
        return self._parser.held_bytes

    def feed(self, data: bytes) -> Iterator[SessionEvent]:
        """Yield the events of these bytes; raises ``FrameError`` if the connection has to be closed."""
        for frame in self._parser.feed(data):
            self.frames_received += 1
            if (event := self._event(frame)) is not None:
                yield event

    def discard_input(self) -> None:
        """Release the incomplete frame, as the connection accepts no more."""
        self._parser.discard()

    def respond(self, stream_id: int, response: Response) -> Chunks:
        """Close the stream and return the response to write; nothing for a stream that is not open."""
        if stream_id not in self._open:
            return ()
        self._release(stream_id)
        return write_response(stream_id, response)

    def go_away(self) -> Chunks:
        """Return the GO_AWAY frame to write; nothing if it was returned before."""
        if self.go_away_sent:
            return ()
        self.go_away_sent = True
        return write_go_away()

    def _event(self, frame: Frame) -> SessionEvent | None:
        if frame.type == FrameType.REQUEST:
            return self._receive_request(frame)
        if frame.type == FrameType.CANCEL:
            if frame.stream_id not in self._open:
                return None  # the response was sent before the cancel arrived
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
            return self._invalid_request(
                stream_id, f"more than {MAX_OPEN_STREAMS} open requests on the connection", Verdict.REJECTED
            )
        fields, body_start = read_fields(frame.payload)
        try:
            request = read_request(fields, frame.payload[body_start:], self._class_numbers)
        except InvalidFieldError as err:
            return self._invalid_request(stream_id, str(err))
        return ClientRequestReceived(stream_id, request)

    def _register_stream_id(self, stream_id: int) -> None:
        """Mark a stream id as used; raises ``FrameError`` if it was used before, or if too many ids were
        skipped."""
        if stream_id <= self._used_up_to or stream_id in self._used_above:
            raise FrameError(f"stream {stream_id} is not new")
        self._used_above.add(stream_id)
        while self._used_up_to + 1 in self._used_above:
            self._used_up_to += 1
            self._used_above.remove(self._used_up_to)
        if len(self._used_above) > MAX_STREAM_ID_GAP:  # each is stored until the ids below it are used
            raise FrameError("stream ids are too far apart")

    def _invalid_request(
        self, stream_id: int, reason: str, verdict: Verdict = Verdict.FAILED
    ) -> InvalidRequestReceived:
        self._invalid_requests += 1
        if self._invalid_requests > MAX_INVALID_REQUESTS:
            raise FrameError("too many requests that cannot be used")
        return InvalidRequestReceived(stream_id, reason, verdict)

    def _release(self, stream_id: int) -> None:
        """Close a stream; nothing else does."""
        self._open.discard(stream_id)
