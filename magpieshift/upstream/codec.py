"""Codec of the upstream protocol: encodes request lines, parses response lines and bodies. No I/O.

Only this module uses the protocol's own words; it maps each to the name that the rest of the router uses.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from magpieshift.engine.model import AttemptResult, UpstreamRequest
from magpieshift.errors import MagpieshiftError
from magpieshift.log import fields as log_fields
from magpieshift.policy.actions import CacheRequestFlag
from magpieshift.policy.outcomes import CacheStatus, Outcome

log = logging.getLogger(__name__)

LINE_END = b"\r\n"
MAX_LINE_BYTES = 4096
"""Maximum size of a response line. Smaller could reject a long load report, larger costs memory."""
MAX_BODY_BYTES = 1 << 18
"""Maximum size of a response body; the protocol allows objects of up to 240,000 bytes."""
MAX_LOGGED_CHARACTERS = 40
"""Maximum number of characters of a received text in a log line, so that a peer cannot fill the log."""
MAX_NUMBER = 1e12
"""Numbers in a response from this one on count as 0: no load figure can be that large."""


class ResponseStatus(StrEnum):
    """Status of a response; the values are the words on the wire."""

    DATA = "data"
    NOT_MODIFIED = "unchanged"
    MISS = "absent"
    OVERLOADED = "full"
    ERROR = "failed"
    SUPERSEDED = "moot"
    HEALTHY = "well"
    UNHEALTHY = "ill"


STATUSES: Mapping[str, ResponseStatus] = {status.value: status for status in ResponseStatus}
"""Each status by its word on the wire."""

REQUEST_OUTCOMES: Mapping[ResponseStatus, Outcome] = {
    ResponseStatus.DATA: Outcome.OK,
    ResponseStatus.NOT_MODIFIED: Outcome.OK,
    ResponseStatus.MISS: Outcome.MISS,
    ResponseStatus.OVERLOADED: Outcome.OVERLOADED,
    ResponseStatus.ERROR: Outcome.ERROR,
    ResponseStatus.SUPERSEDED: Outcome.SUPERSEDED,
}
"""Outcome of each status that may answer a request which names the client's known version."""
UNCONDITIONAL_REQUEST_OUTCOMES: Mapping[ResponseStatus, Outcome] = {
    status: outcome for status, outcome in REQUEST_OUTCOMES.items() if status != ResponseStatus.NOT_MODIFIED
}
"""Outcome of each status that may answer a request without a known version.

"Not modified" is excluded: the client holds no copy, so it would get no content at all.
"""
PROBE_OUTCOMES: Mapping[ResponseStatus, Outcome] = {
    ResponseStatus.HEALTHY: Outcome.OK,
    ResponseStatus.UNHEALTHY: Outcome.ERROR,
}
"""Outcome of each status that may answer a health check."""

CACHE_STATUSES: Mapping[str, CacheStatus] = {
    "warm": CacheStatus.HIT,
    "fill": CacheStatus.FILLED,
    "deep_fill": CacheStatus.FILLED_BY_ORIGIN,
    "piggy": CacheStatus.COALESCED,
    "aged": CacheStatus.STALE,
    "bounced": CacheStatus.SOURCE_REJECTED,
    "dropped": CacheStatus.SOURCE_LOST,
    "lacking": CacheStatus.SOURCE_MISS,
    "jammed": CacheStatus.NO_CAPACITY,
    "backfire": CacheStatus.ORIGIN_FAILED,
}

LOAD_REPORT_ALIASES: Mapping[str, str] = {
    "load_share": "util",
    "concurrent": "inflight",
    "depth": "queue",
    "mean_ms": "latency_ms",
    "tps": "qps",
    "err_ps": "eps",
}
"""Alternative name under which an endpoint may report a load figure, by the figure's name in the settings."""

REQUEST_FLAGS = (
    (CacheRequestFlag.COALESCE_FILL, "share"),
    (CacheRequestFlag.SOURCE_CACHED_ONLY, "peek"),
    (CacheRequestFlag.PARENT_DOES_NOT_STORE, "pass"),
    (CacheRequestFlag.REVALIDATE, "swr"),
)

ALWAYS_WRITTEN = frozenset({"class", "key", "part", "wait"})
"""Request fields that are written even if they are empty or zero."""


class UpstreamProtocolError(MagpieshiftError):
    """An endpoint sent bytes that are not a valid response; its connection has to be closed."""


@dataclass(slots=True)
class UpstreamResponse:
    """One response."""

    request_id: str
    """The id of the request or health check that it answers."""
    status: ResponseStatus
    fields: Mapping[str, str] = field(default_factory=dict)
    """The response's fields, under their names on the wire."""
    body: bytes | bytearray = b""

    def result(self, outcome: Outcome, load_report_columns: Sequence[str]) -> AttemptResult:
        """Convert the response to an ``AttemptResult``, with one load figure for each column, in order."""
        return AttemptResult(
            outcome=outcome,
            cache_status=CACHE_STATUSES.get(self.fields.get("how", ""), CacheStatus.NONE),
            fill_wait_us=int(_read_number(self.fields.get("lag", "")) * 1000),
            load=_read_load_report(self.fields.get("stats", ""), load_report_columns),
            body=self.body,
            not_modified=self.status == ResponseStatus.NOT_MODIFIED,
        )


def encode_request(request: UpstreamRequest, now_us: int) -> tuple[bytes, ...]:
    """Encode a request as the chunks to write; the body is a chunk of its own, so that it is not copied."""
    client_request = request.request
    body = client_request.body
    text = write_fields(request_fields(request, now_us))
    head = f"ASK {client_request.request_id} {text} {len(body)}\r\n".encode()
    return (head, body, LINE_END) if body else (head + LINE_END,)


def encode_cancel(request_id: str) -> bytes:
    """Encode the line that cancels a request."""
    return f"QUIT {request_id}\r\n".encode()


def encode_probe(probe_id: str, with_load_report: bool) -> bytes:
    """Encode the line of a health check."""
    return f"{'INFO' if with_load_report else 'NOOP'} {probe_id}\r\n".encode()


def request_fields(request: UpstreamRequest, now_us: int) -> dict[str, str]:
    """Return a request's fields under their names on the wire.

    Fields that are empty or zero are omitted, except those in ``ALWAYS_WRITTEN``.
    """
    client_request = request.request
    max_age_us = request.max_age_now_us()
    max_age_ms = (
        -(-max_age_us // 1000) if max_age_us < 1000 else max_age_us // 1000
    )  # rounded up below 1 ms, as 0 would mean "no bound"
    values: dict[str, str | int] = {
        "class": client_request.class_name,
        "key": client_request.object_key,
        "part": client_request.part,
        "wait": max(1, (request.deadline_us - now_us) // 1000),
        "once": client_request.idempotency_key,
        "via": request.source.name if request.source is not None else "",
        "tier": request.retention_rank,
        "fresh": max_age_ms,
        "opts": "+".join(word for flag, word in REQUEST_FLAGS if request.flags & flag),
        "known": client_request.known_version,
    }
    return {name: str(value) for name, value in values.items() if value or name in ALWAYS_WRITTEN}


def write_fields(fields: Mapping[str, str]) -> str:
    """Encode fields as they appear in a line; ``-`` if there are none."""
    return ",".join(f"{name}={value}" for name, value in fields.items()) or "-"


def read_fields(text: str) -> dict[str, str]:
    """Decode fields written by ``write_fields``; raises ``UpstreamProtocolError`` for any other text."""
    if text == "-":
        return {}
    pairs = [item.partition("=") for item in text.split(",")]
    if any(not name or not equals for name, equals, _ in pairs):
        raise UpstreamProtocolError(f"found fields {text!r}"[:200] + ", expected name=value pairs")
    return {name: value for name, _, value in pairs}


def _read_load_report(text: str, columns: Sequence[str]) -> tuple[float, ...]:
    """Return the load report's figure for each column, in order; empty if the report lacks a column."""
    values = dict(item.partition(":")[::2] for item in text.split(";") if ":" in item)
    found = [values.get(name) or values.get(LOAD_REPORT_ALIASES.get(name, "")) for name in columns]
    return () if None in found else tuple(_read_number(value or "") for value in found)


def _read_number(text: str) -> float:
    """Parse a number of a response.

    Returns 0 for an empty or unreadable text, and for a number that is negative, NaN or too large.
    """
    try:
        value = float(text) if text else 0.0
    except ValueError:
        log.warning("unreadable number in response", extra=log_fields(text=text[:MAX_LOGGED_CHARACTERS]))
        return 0.0
    return value if 0 <= value < MAX_NUMBER else 0.0


class ResponseParser:
    """Incremental parser: takes bytes in chunks of any size and yields responses.

    A body is collected in one buffer, allocated at its full size.
    """

    def __init__(self) -> None:
        self._line = bytearray()
        """The received part of an incomplete line."""
        self._head: UpstreamResponse | None = None
        """The response whose body is being received; None while a line is being received."""
        self._body = bytearray()
        """Buffer for that body and its line end, allocated at full size."""
        self._body_size = 0
        """Number of bytes received into ``_body`` so far."""

    @property
    def partial_request_id(self) -> str:
        """The request id of the response whose body is being received; empty if there is none."""
        return self._head.request_id if self._head is not None else ""

    @property
    def partial_body_bytes(self) -> int:
        """Number of bytes allocated for the body that is being received; 0 if there is none."""
        return len(self._body)

    def feed(self, data: bytes) -> Iterator[UpstreamResponse]:
        """Yield the responses that these bytes complete; raises ``UpstreamProtocolError`` if one is
        invalid."""
        view = memoryview(data)
        position = 0
        while position < len(data):
            if self._head is None:
                line_stop = data.find(b"\n", position)
                line_stop = len(data) if line_stop < 0 else line_stop + 1
                self._line += view[position:line_stop]
                position = line_stop
                if len(self._line) > MAX_LINE_BYTES:
                    raise UpstreamProtocolError(
                        f"found a response line of more than the maximum of {MAX_LINE_BYTES} bytes"
                    )
                if self._line.endswith(b"\n") and (response := self._parse_line()) is not None:
                    yield response
            else:
                size = min(len(self._body) - self._body_size, len(data) - position)
                self._body[self._body_size : self._body_size + size] = view[position : position + size]
                self._body_size += size
                position += size
                if self._body_size == len(self._body):
                    yield self._finish_body()

    def _parse_line(self) -> UpstreamResponse | None:
        """Parse the complete line in ``_line``; returns None if the response continues with a body."""
        raw = bytes(self._line)
        self._line = bytearray()
        if not raw.endswith(LINE_END):
            raise UpstreamProtocolError("found a response line that ends in LF alone, expected CR LF")
        try:
            words = raw[: -len(LINE_END)].decode("ascii").split(" ")
        except UnicodeDecodeError as err:
            raise UpstreamProtocolError(f"found a response line that is not ASCII: {err}") from err
        if not 2 <= len(words) <= 4 or words[1] not in STATUSES:
            raise UpstreamProtocolError(f"found line {raw[:80]!r}, expected an id, a known status and fields")
        fields = read_fields(words[2]) if len(words) > 2 else {}
        response = UpstreamResponse(words[0], STATUSES[words[1]], fields)
        if len(words) < 4:
            if response.status == ResponseStatus.DATA:  # without a body it would count as an empty copy
                raise UpstreamProtocolError(f"found line {raw[:80]!r}, expected the length of a body")
            return response
        if not words[3].isdecimal() or int(words[3]) > MAX_BODY_BYTES:
            raise UpstreamProtocolError(
                f"found body length {words[3][:20]!r}, expected 0 to {MAX_BODY_BYTES}"
            )
        self._head = response
        self._body = bytearray(int(words[3]) + len(LINE_END))
        self._body_size = 0
        return None

    def _finish_body(self) -> UpstreamResponse:
        """Return the response whose body is now complete."""
        head = self._head
        body = self._body
        assert head is not None
        self._head = None
        self._body = bytearray()
        if not body.endswith(LINE_END):
            raise UpstreamProtocolError("found other bytes than CR LF after the body")
        del body[-len(LINE_END) :]
        return UpstreamResponse(head.request_id, head.status, head.fields, body)
