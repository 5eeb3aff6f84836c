"""Codec of clients' requests and responses; only this module uses their field names on the wire. No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping

from magpieshift.downstream.errors import InvalidFieldError
from magpieshift.downstream.frames import FrameType, ResponseCode, frame_head, response_head, write_fields
from magpieshift.engine.model import ClientRequest, Response, Verdict

Chunks = tuple[bytes | bytearray, ...]
"""Bytes to write; a body is a chunk of its own, so that it is not copied."""

HEX_ID = re.compile(r"[0-9a-fA-F]{16}")
TOKEN = re.compile(r"[!-+\--~]{1,256}")
"""Printable ASCII without space and comma, as it becomes part of a comma-separated list in the upstream
protocol."""

NETWORK_MARGIN_US = 30_000
"""Time subtracted from the client's wait for transmission: the wait began before the request arrived, and the
response takes time to reach the client. Smaller makes responses late, larger ends attempts that would be in
time."""
MIN_TIME_LEFT_US = 1000
"""Minimum time left for a request, however short its wait: the upstream protocol counts whole
milliseconds."""
MAX_WAIT_MS = 3_600_000
"""Maximum wait that a client may state: one hour."""
MAX_PART = 2**31
"""Maximum part number of an object; larger ones are invalid."""
MAX_GROUP = 255
"""Maximum number of an object's purge group, set by the platform's protocol."""
MAX_SIZE_KB = 1e9
"""Maximum size of an object that a client may state; larger ones are invalid."""

RESPONSE_CODES = {
    Verdict.SERVED: ResponseCode.OK,
    Verdict.REJECTED: ResponseCode.REJECTED,
    Verdict.FAILED: ResponseCode.FAILED,
}


def read_request(fields: Mapping[str, str], body: bytes, class_numbers: Mapping[str, int]) -> ClientRequest:
    """Decode a request from a frame's fields; raises ``InvalidFieldError`` if one is missing or invalid."""
    class_name = fields.get("c", "")
    if class_name not in class_numbers:
        raise InvalidFieldError(f"unknown class {class_name!r}"[:100])
    return ClientRequest(
        request_id=_read_text(fields, "i", HEX_ID, is_required=True),
        class_index=class_numbers[class_name],
        class_name=class_name,
        object_key=_read_text(fields, "o", HEX_ID, is_required=True),
        part=int(_read_number(fields, "slice", MAX_PART, "0")),
        group=int(_read_number(fields, "set", MAX_GROUP, "0")),
        size_kb=_read_number(fields, "m", MAX_SIZE_KB, "0"),
        time_left_us=max(
            MIN_TIME_LEFT_US, int(_read_number(fields, "d", MAX_WAIT_MS) * 1000) - NETWORK_MARGIN_US
        ),
        is_repeat=fields.get("r") == "1",
        idempotency_key=_read_text(fields, "k", TOKEN, is_required=False),
        known_version=_read_text(fields, "seen", TOKEN, is_required=False),
        body=body,
    )


def _read_number(fields: Mapping[str, str], name: str, maximum: float, default: str | None = None) -> float:
    text = fields.get(name, default)
    try:
        value = float(text) if text is not None else -1.0
    except ValueError:
        value = -1.0
    if not 0 <= value <= maximum:  # also false for NaN
        raise InvalidFieldError(f"field {name}: found {text!r}, expected a number from 0 to {maximum}")
    return value


def _read_text(fields: Mapping[str, str], name: str, form: re.Pattern[str], is_required: bool) -> str:
    text = fields.get(name, "")
    if (is_required or text) and not form.fullmatch(text):
        raise InvalidFieldError(f"field {name}: expected {form.pattern}, found {text!r}"[:100])
    return text


def write_response(stream_id: int, response: Response) -> Chunks:
    """Encode the final answer to a request."""
    fields: dict[str, str] = {}
    if response.not_modified:
        fields["current"] = "1"
    if response.verdict == Verdict.REJECTED and response.retry_after_us:
        fields["w"] = str(-(-response.retry_after_us // 1000))
    body = b"" if response.not_modified else response.body
    head = response_head(stream_id, RESPONSE_CODES[response.verdict], fields, len(body))
    return (head, body) if body else (head,)


def write_readiness(stream_id: int, is_ready: bool) -> Chunks:
    """Encode the answer to a readiness request."""
    code = ResponseCode.OK if is_ready else ResponseCode.REJECTED
    return (frame_head(FrameType.READINESS, stream_id, bytes((code,)) + write_fields({})),)


def write_go_away() -> Chunks:
    """Encode GO_AWAY, which asks the client to send no new request on this connection."""
    return (frame_head(FrameType.GO_AWAY, 0),)


def write_error(text: str) -> Chunks:
    """Encode an error that belongs to no request, as a response on stream 0."""
    body = text.encode()
    return (response_head(0, ResponseCode.FAILED, {}, len(body)), body)
