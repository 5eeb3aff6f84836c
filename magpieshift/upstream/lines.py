"""The lines that caches, parents and the origin are asked in, and a parser for their answers."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from magpieshift.policy.actions import CacheRequestFlag
from magpieshift.policy.outcomes import Outcome

END = b"\r\n"
MOST_LINE = 4096
MOST_BODY = 1 << 18  # objects have 240,000 bytes at most
PROBE_WORDS = {"well": Outcome.OK, "ill": Outcome.ERROR}
WORDS = {
    "data": Outcome.OK,
    "unchanged": Outcome.OK,
    "absent": Outcome.MISS,
    "full": Outcome.OVERLOADED,
    "failed": Outcome.ERROR,
    "moot": Outcome.SUPERSEDED,
}
NOTES = ("warm", "fill", "deep_fill", "piggy", "aged", "bounced", "dropped", "lacking", "jammed", "backfire")
REPORT_WORDS = {  # other names under which a load report may carry the settings' fields
    "load_share": "util",
    "concurrent": "inflight",
    "depth": "queue",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
OPTIONS = (
    (CacheRequestFlag.COALESCE_FILL, "share"),
    (CacheRequestFlag.SOURCE_CACHED_ONLY, "peek"),
    (CacheRequestFlag.PARENT_DOES_NOT_STORE, "pass"),
    (CacheRequestFlag.REVALIDATE, "swr"),
)


class LineError(Exception):
    """Bytes that are no answer; the connection cannot go on."""


@dataclass(slots=True)
class Reply:
    """One answer."""

    ident: str
    word: str
    fields: Mapping[str, str] = field(default_factory=dict)
    body: bytes | bytearray = b""


def options(mode: int) -> str:
    return "+".join(word for bit, word in OPTIONS if mode & bit)


def note_number(word: str) -> int:
    """The simulator's number of a note; 0 for none, and for one that is not known."""
    return NOTES.index(word) + 1 if word in NOTES else 0


def write_fields(fields: Mapping[str, str]) -> str:
    return ",".join(f"{name}={value}" for name, value in fields.items()) or "-"


def read_fields(text: str) -> dict[str, str]:
    if text == "-":
        return {}
    pairs = [item.partition("=") for item in text.split(",")]
    if any(not name or not equals for name, equals, _ in pairs):
        raise LineError(f"fields {text!r}"[:200])
    return {name: value for name, _, value in pairs}


def ask(ident: str, fields: Mapping[str, str], length: int) -> bytes:
    return f"ASK {ident} {write_fields(fields)} {length}\r\n".encode()


def quit_(ident: str) -> bytes:
    return f"QUIT {ident}\r\n".encode()


def probe(tag: str, with_report: bool) -> bytes:
    return f"{'INFO' if with_report else 'NOOP'} {tag}\r\n".encode()


class ReplyParser:
    """Bytes in, answers out, however they are cut. A body is gathered in one buffer of its full size."""

    def __init__(self) -> None:
        self._line = bytearray()
        self._head: Reply | None = None
        self._body = bytearray()
        self._have = 0

    @property
    def within(self) -> str:
        """Under which id an answer has begun and not ended; empty for none."""
        return self._head.ident if self._head is not None else ""

    def feed(self, data: bytes) -> Iterator[Reply]:
        view = memoryview(data)
        at = 0
        while at < len(data):
            if self._head is None:
                stop = data.find(b"\n", at)
                stop = len(data) if stop < 0 else stop + 1
                self._line += view[at:stop]
                at = stop
                if len(self._line) > MOST_LINE:
                    raise LineError(f"line of more than {MOST_LINE} bytes")
                if self._line.endswith(b"\n") and (whole := self._take_line()) is not None:
                    yield whole
            else:
                size = min(len(self._body) - self._have, len(data) - at)
                self._body[self._have : self._have + size] = view[at : at + size]
                self._have += size
                at += size
                if self._have == len(self._body):
                    yield self._take_body()

    def _take_line(self) -> Reply | None:
        raw = bytes(self._line)
        self._line = bytearray()
        if not raw.endswith(END):
            raise LineError("line does not end in CR LF")
        try:
            words = raw[:-2].decode("ascii").split(" ")
        except UnicodeDecodeError as err:
            raise LineError(f"line is not text: {err}") from err
        if not 2 <= len(words) <= 4 or words[1] not in WORDS | PROBE_WORDS:
            raise LineError(f"line {raw[:80]!r}")
        head = Reply(words[0], words[1], read_fields(words[2]) if len(words) > 2 else {})
        if len(words) < 4:
            if head.word == "data":  # without its length it would be served as an empty copy
                raise LineError(f"line {raw[:80]!r}")
            return head
        if not words[3].isdecimal() or int(words[3]) > MOST_BODY:
            raise LineError(f"length {words[3][:20]!r}")
        self._head = head
        self._body = bytearray(int(words[3]) + len(END))
        self._have = 0
        return None

    def _take_body(self) -> Reply:
        head = self._head
        body = self._body
        assert head is not None
        self._head = None
        self._body = bytearray()
        if not body.endswith(END):
            raise LineError("body does not end in CR LF")
        del body[-len(END) :]
        return Reply(head.ident, head.word, head.fields, body)
