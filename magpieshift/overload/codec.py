"""Encodes and decodes digests as protobuf. The protobuf's field names are used in this module only."""

from __future__ import annotations

from google.protobuf.message import DecodeError

from magpieshift.errors import MagpieshiftError
from magpieshift.overload.digest import Digest, FailureReport
from magpieshift.overload.failure_reports import MAX_REPORTS_SENT
from magpieshift.overload.wire import overload_pb2 as wire

MAX_DIGEST_BYTES = 1_100  # leaves space for the membership fields in a datagram of 1,400 bytes
MAX_REPORTS_READ = 2 * MAX_REPORTS_SENT  # accepted in one digest: a later version may send more than this one
PRESSURE_UNITS = 1000  # pressure is encoded in thousandths
MAX_WIRE_PRESSURE = 100_000  # thousandths; larger values than 100 times the capacity make no difference
MAX_WIRE_RATE = 1 << 31  # requests per second; limit of the protobuf field
US_PER_MS = 1000


class MalformedDigestError(MagpieshiftError):
    """The bytes are not a valid digest; the message says what was found and what was expected."""


def encode(digest: Digest) -> bytes:
    """Encode a digest in at most ``MAX_DIGEST_BYTES``.

    While it is too large, the older half of its reports is left out.
    """
    reports = digest.reports
    while True:
        raw = wire.Digest(
            pressure=min(int(digest.pressure * PRESSURE_UNITS), MAX_WIRE_PRESSURE),
            rate=min(int(digest.request_rate), MAX_WIRE_RATE),
            over=digest.is_offloading,
        )
        for report in reports:
            raw.words.add(
                store=report.endpoint,
                witness=report.witness,
                failing=report.failing,
                age_ms=report.age_us // US_PER_MS,
            )
        data = raw.SerializeToString()
        if len(data) <= MAX_DIGEST_BYTES or not reports:
            return data
        reports = reports[: len(reports) // 2]


def decode(data: bytes) -> Digest:
    """Decode untrusted bytes; raises ``MalformedDigestError`` if they are not a digest."""
    raw = wire.Digest()
    try:
        raw.ParseFromString(data)
    except DecodeError as err:
        raise MalformedDigestError(f"digest: expected a protobuf Digest message, found: {err}") from err
    if len(raw.words) > MAX_REPORTS_READ:
        raise MalformedDigestError(
            f"digest: found {len(raw.words)} reports, expected at most {MAX_REPORTS_READ}"
        )
    reports = tuple(
        FailureReport(word.store, word.witness, word.failing, word.age_ms * US_PER_MS) for word in raw.words
    )
    return Digest(reports, raw.pressure / PRESSURE_UNITS, float(raw.rate), raw.over)
