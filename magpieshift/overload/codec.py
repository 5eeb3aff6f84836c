"""Digests as bytes and back, by protobuf; what cannot be used is ``Malformed``."""

from __future__ import annotations

from dataclasses import dataclass

from google.protobuf.message import DecodeError

from magpieshift.overload.failure_reports import MOST_TOLD, FailureReport
from magpieshift.overload.wire import overload_pb2 as wire

MOST_BYTES = 1_100  # beside what else a datagram carries


class Malformed(Exception):
    """No digest; the text says what was found and what expected."""


@dataclass(frozen=True, slots=True)
class Digest:
    """What one router says: reports it has seen or heard, and its own pressure, rate, and whether it hands
    over."""

    reports: tuple[FailureReport, ...] = ()
    pressure: float = 0.0
    rate: float = 0.0
    over: bool = False


def encode(digest: Digest) -> bytes:
    """As bytes, of ``MOST_BYTES`` at most: the oldest reports give way."""
    reports = digest.reports
    while True:
        out = wire.Digest(
            pressure=min(int(digest.pressure * 1000), 100_000),
            rate=min(int(digest.rate), 1 << 31),
            over=digest.over,
        )
        for report in reports:
            out.words.add(
                store=report.store,
                witness=report.witness,
                failing=report.failing,
                age_ms=report.age_us // 1000,
            )
        data = out.SerializeToString()
        if len(data) <= MOST_BYTES or not reports:
            return data
        reports = reports[: len(reports) // 2]


def decode(data: bytes) -> Digest:
    """Bytes from anybody; ``Malformed`` where they are none."""
    raw = wire.Digest()
    try:
        raw.ParseFromString(data)
    except DecodeError as err:
        raise Malformed(f"digest: {err}") from err
    if len(raw.words) > 2 * MOST_TOLD:
        raise Malformed(f"digest: found {len(raw.words)} reports, expected at most {2 * MOST_TOLD}")
    reports = tuple(FailureReport(w.store, w.witness, w.failing, w.age_ms * 1000) for w in raw.words)
    return Digest(reports, raw.pressure / 1000, float(raw.rate), raw.over)
