"""Requests and responses of clients: the one place that knows their field names on the wire. No I/O."""

from __future__ import annotations

import re
from collections.abc import Mapping

from magpieshift.downstream.errors import InvalidFieldError
from magpieshift.downstream.frames import FrameType, ResponseCode, frame_head, response_head, write_fields
from magpieshift.engine.model import ClientRequest, Response, Verdict

Chunks = tuple[bytes | bytearray, ...]
"""Bytes to write, in pieces, so that a body is not copied."""

HEX_ID = re.compile(r"[0-9a-fA-F]{16}")
TOKEN = re.compile(r"[!-+\--~]{1,256}")
"""Printable, and no comma: it goes into a list on a line of the upstream wire."""

NETWORK_MARGIN_US = 30_000
"""Taken off the client's wait, which began before its request was here; our response takes time as well.
Smaller and responses come too late, larger and work is given up that was still of use."""
MIN_TIME_LEFT_US = 1000
"""What a request is given at least, however short its wait: the wire counts whole milliseconds."""
MAX_WAIT_MS = 3_600_000
"""Longest wait that a client may name: an hour."""
MAX_PART = 2**31
"""Largest number of an object's part; what is beyond it is garbage."""
MAX_GROUP = 255
"""Largest number of an object's purge group, as the platform's protocol has it."""
MAX_SIZE_KB = 1e9
"""Largest size of an object that a client may name; what is beyond it is garbage."""

RESPONSE_CODES = {
    Verdict.SERVED: ResponseCode.OK,
    Verdict.REJECTED: ResponseCode.REJECTED,
    Verdict.FAILED: ResponseCode.FAILED,
}


def read_request(fields: Mapping[str, str], body: bytes, class_numbers: Mapping[str, int]) -> ClientRequest:
    """The request that a frame's fields describe; ``InvalidFieldError`` where one cannot be used."""
    class_name = fields.get("c", "")
    if class_name not in class_numbers:
        raise InvalidFieldError(f"class {class_name!r}"[:100])
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
        raise InvalidFieldError(f"field {name}: {text!r}")
    return value


def _read_text(fields: Mapping[str, str], name: str, form: re.Pattern[str], is_required: bool) -> str:
    text = fields.get(name, "")
    if (is_required or text) and not form.fullmatch(text):
        raise InvalidFieldError(f"field {name}: {text!r}"[:100])
    return text


def write_response(stream_id: int, response: Response) -> Chunks:
    """The final answer to a request."""
    fields: dict[str, str] = {}
    if response.not_modified:
        fields["current"] = "1"
    if response.verdict == Verdict.REJECTED and response.retry_after_us:
        fields["w"] = str(-(-response.retry_after_us // 1000))
    body = b"" if response.not_modified else response.body
    head = response_head(stream_id, RESPONSE_CODES[response.verdict], fields, len(body))
    return (head, body) if body else (head,)


def write_readiness(stream_id: int, is_ready: bool) -> Chunks:
    """The answer to a client that asks whether the router is ready."""
    code = ResponseCode.OK if is_ready else ResponseCode.REJECTED
    return (frame_head(FrameType.READINESS, stream_id, bytes((code,)) + write_fields({})),)


def write_go_away() -> Chunks:
    """The notice that no new request is to be sent on this connection."""
    return (frame_head(FrameType.GO_AWAY, 0),)


def write_error(text: str) -> Chunks:
    """An error that belongs to no request."""
    body = text.encode()
    return (response_head(0, ResponseCode.FAILED, {}, len(body)), body)
