"""One client connection as a state machine: fed bytes, it says what they mean and what to write back.

It owns the stream ids of its connection. A stream is taken in ``feed`` and given back in ``_release``.
"""

from __future__ import annotations

import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from magpieshift.downstream import frames
from magpieshift.downstream.frames import Code, Frame, FrameError, Type
from magpieshift.engine.model import ClientRequest, Response, Verdict

MOST_OPEN = 32
MOST_UNUSABLE = 64  # requests that cannot be used; who goes on sending them is let go
MOST_AHEAD = 4096  # stream ids above the lowest unused one that may be out of order
MARGIN_US = 30_000  # the client's wait began before its request was here; our answer takes time as well
IDENT = re.compile(r"[0-9a-fA-F]{16}")
TOKEN = re.compile(r"[!-+\--~]{1,256}")  # printable, and no comma: it goes into a list on a line

Chunks = tuple[bytes | bytearray, ...]
CODES = {Verdict.SERVED: Code.OK, Verdict.REJECTED: Code.REFUSED, Verdict.FAILED: Code.FAILED}


@dataclass(slots=True)
class Asked:
    """A request on a new stream."""

    stream: int
    call: ClientRequest


@dataclass(slots=True)
class Unusable:
    """A request whose fields cannot be used; it is owed a failure, or a refusal where there are too many."""

    stream: int
    reason: str
    verdict: Verdict = Verdict.FAILED


@dataclass(slots=True)
class Abandoned:
    """Nobody waits for this stream any more."""

    stream: int


@dataclass(slots=True)
class ReadyAsked:
    """The client asks whether the router is ready."""

    stream: int


Event = Asked | Unusable | Abandoned | ReadyAsked


class _Unread(Exception):
    """A field cannot be used."""


def _number(fields: Mapping[str, str], name: str, most: float, default: str | None = None) -> float:
    text = fields.get(name, default)
    try:
        value = float(text) if text is not None else -1.0
    except ValueError:
        value = -1.0
    if not 0 <= value <= most:  # also false for what is no number at all
        raise _Unread(f"field {name}: {text!r}")
    return value


def _text(fields: Mapping[str, str], name: str, form: re.Pattern[str], needed: bool) -> str:
    text = fields.get(name, "")
    if (needed or text) and not form.fullmatch(text):
        raise _Unread(f"field {name}: {text!r}"[:100])
    return text


def read_call(fields: Mapping[str, str], body: bytes, classes: Mapping[str, int]) -> ClientRequest:
    """The request in a frame's fields."""
    name = fields.get("c", "")
    if name not in classes:
        raise _Unread(f"class {name!r}"[:100])
    return ClientRequest(
        request_id=_text(fields, "i", IDENT, needed=True),
        class_index=classes[name],
        class_name=name,
        object_key=_text(fields, "o", IDENT, needed=True),
        part=int(_number(fields, "slice", 2**31, "0")),
        group=int(_number(fields, "set", 255, "0")),
        size_kb=_number(fields, "m", 1e9, "0"),
        time_left_us=max(1000, int(_number(fields, "d", 3_600_000) * 1000) - MARGIN_US),
        is_repeat=fields.get("r") == "1",
        idempotency_key=_text(fields, "k", TOKEN, needed=False),
        known_version=_text(fields, "seen", TOKEN, needed=False),
        body=body,
    )


class Session:
    """The protocol of one client connection."""

    def __init__(self, classes: Mapping[str, int]) -> None:
        self._classes = classes
        self._parser = frames.FrameParser()
        self._open: set[int] = set()
        self.told_no_more = False
        self.requests = 0  # that have come; who only asks whether we are ready has none
        self._unusable = 0
        self.frames = 0  # whole ones that have come
        self._used_to = 0  # every id up to here has been used,
        self._used: set[int] = set()  # and these above it

    @property
    def pending(self) -> int:
        """Bytes of a frame that is not whole yet."""
        return self._parser.pending

    def feed(self, data: bytes) -> Iterator[Event]:
        """What these bytes say; ``FrameError`` where the connection cannot go on."""
        for frame in self._parser.feed(data):
            if (event := self._event(frame)) is not None:
                yield event

    def _event(self, frame: Frame) -> Event | None:
        self.frames += 1
        if frame.type == Type.REQUEST:
            return self._request(frame)
        if frame.type == Type.ABANDON:
            if frame.stream not in self._open:
                return None  # it crossed the answer
            self._release(frame.stream)
            return Abandoned(frame.stream)
        if frame.type == Type.READY_ASKED:
            return ReadyAsked(frame.stream)
        raise FrameError(f"frame type {frame.type} from a client")

    def _request(self, frame: Frame) -> Event:
        stream = frame.stream
        self.requests += 1
        if stream <= self._used_to or stream in self._used:
            raise FrameError(f"stream {stream} is not new")
        self._used.add(stream)
        while self._used_to + 1 in self._used:
            self._used_to += 1
            self._used.remove(self._used_to)
        if len(self._used) > MOST_AHEAD:  # a client that skips ids must not make us remember all the others
            raise FrameError("stream ids are too far apart")
        crowded = len(self._open) >= MOST_OPEN
        self._open.add(stream)
        if crowded:
            return self._cannot_use(stream, "too many open requests", Verdict.REJECTED)
        fields, at = frames.read_fields(frame.payload)
        try:
            return Asked(stream, read_call(fields, frame.payload[at:], self._classes))
        except _Unread as err:
            return self._cannot_use(stream, str(err))

    def _cannot_use(self, stream: int, reason: str, verdict: Verdict = Verdict.FAILED) -> Unusable:
        self._unusable += 1
        if self._unusable > MOST_UNUSABLE:
            raise FrameError("too many requests that cannot be used")
        return Unusable(stream, reason, verdict)

    def _release(self, stream: int) -> None:
        self._open.discard(stream)

    def answer(self, stream: int, answer: Response) -> Chunks:
        """What to write for a final answer; nothing for a stream that is not open."""
        if stream not in self._open:
            return ()
        self._release(stream)
        fields: dict[str, str] = {}
        if answer.not_modified:
            fields["current"] = "1"
        if answer.verdict == Verdict.REJECTED and answer.retry_after_us:
            fields["w"] = str(-(-answer.retry_after_us // 1000))
        body = b"" if answer.not_modified else answer.body
        start = frames.answer_head(stream, CODES[answer.verdict], fields, len(body))
        return (start, body) if body else (start,)

    def ready(self, stream: int, yes: bool) -> Chunks:
        code = Code.OK if yes else Code.REFUSED
        return (frames.head(Type.READY, stream, bytes((code,)) + frames.write_fields({})),)

    def no_more(self) -> Chunks:
        """Tell the client, once, to send no new request on this connection."""
        if self.told_no_more:
            return ()
        self.told_no_more = True
        return (frames.head(Type.NO_MORE, 0),)

    def error(self, text: str) -> Chunks:
        """Tell of an error that belongs to no request; the connection is closed behind it."""
        return (frames.answer_head(0, Code.FAILED, {}, len(text.encode())), text.encode())
