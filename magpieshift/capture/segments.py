"""The files of a capture: blocks of records, compressed and checksummed, in segments that rotate within a
budget.

A segment is ``HEADER`` and then blocks, each ``MARK raw:4 size:4 crc32c:4 payload``, numbers little-endian,
the payload a zstandard frame of a serialized ``Block``, the checksum over it. The first block begins with a
``Header`` and a keyframe, so that every segment can be replayed by itself. A block that is torn off or
damaged costs what is in it; reading goes on at the next mark, and replaying at the next keyframe.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

import zstandard
from crc32c import crc32c
from google.protobuf.message import DecodeError

from magpieshift.capture.wire import capture_pb2 as wire

FORMAT = 1
HEADER = b"magpieshift capture %d\n"
MARK = b"\xc9MC\x02"
HEAD = struct.Struct("<4sIII")
MOST_RAW = 64 << 20  # of a block; a keyframe of ten thousand requests takes a quarter
NAME = "capture-{:08d}.seg"
PATTERN = "capture-*.seg"
LEVEL = 3


class CaptureError(Exception):
    """A file is no capture that this program can read; the text says why."""


@dataclass(frozen=True)
class Missing:
    """Something that a capture lacks: where, and what is known of it."""

    file: str
    at: int  # bytes into the file
    detail: str

    def __str__(self) -> str:
        return f"{self.file} at {self.at}: {self.detail}"


def block(records: Sequence[wire.Record]) -> bytes:
    """The bytes of a block."""
    raw = wire.Block(records=records).SerializeToString()
    payload = zstandard.ZstdCompressor(level=LEVEL).compress(raw)
    return HEAD.pack(MARK, len(raw), len(payload), crc32c(payload)) + payload


class Segment:
    """A file being written; ``close`` gives it back."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.size = 0
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        try:
            self._put(HEADER % FORMAT)
        except OSError:
            self.close()
            path.unlink(missing_ok=True)
            raise

    @property
    def empty(self) -> bool:
        """Whether no block was ever begun in it."""
        return self.size <= len(HEADER % FORMAT)

    def write(self, records: Sequence[wire.Record]) -> None:
        self._put(block(records))

    def _put(self, data: bytes) -> None:
        self.size += len(data)
        while data:
            data = data[os.write(self._file, data) :]

    def close(self) -> None:
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def next_number(folder: Path) -> int:
    """The number of the next segment: files of earlier runs are never written over."""
    return max((int(path.stem.rpartition("-")[2]) for path in folder.glob(PATTERN)), default=0) + 1


def trim(folder: Path, budget: int, keep: Path) -> int:
    """Remove the oldest segments until the rest fits the budget; ``keep`` stays. How many bytes stay with
    it."""
    sizes = {path: path.stat().st_size for path in sorted(folder.glob(PATTERN))}
    total = sum(sizes.values())
    for path, size in sizes.items():
        if total <= budget:
            break
        if path != keep:
            path.unlink()
            total -= size
    return total


def files(path: str | Path) -> list[Path]:
    """The files of a capture: one, or a folder's segments in order; ``CaptureError`` where there is none."""
    given = Path(path)
    found = sorted(given.glob(PATTERN)) if given.is_dir() else [given]
    if not found or not all(file.is_file() for file in found):
        raise CaptureError(f"{path} is no capture: no file {PATTERN}")
    return found


def read(path: str | Path) -> Iterator[wire.Record | Missing]:
    """All records of a capture in order, and what it lacks in their places."""
    for file in files(path):
        yield from read_file(file)


def read_file(file: Path) -> Iterator[wire.Record | Missing]:
    try:
        data = file.read_bytes()
    except OSError as err:
        raise CaptureError(f"{file} cannot be read: {err.strerror or err}") from err
    line = data.partition(b"\n")[0]
    known = HEADER % FORMAT
    if not data.startswith(known):
        if known.startswith(data):  # the process died right after it had made the file
            yield Missing(file.name, 0, "nothing was written")
            return
        raise CaptureError(f"{file} begins with {line[:40]!r}, expected {known!r}")
    at = len(known)
    while at < len(data):
        found, end = _block(data, at)
        if found is not None:
            yield from found
            at = end
            continue
        start = data.find(MARK, at + 1)
        while start >= 0 and _block(data, start)[0] is None:  # a mark in the middle of other bytes
            start = data.find(MARK, start + 1)
        if start < 0:
            yield Missing(file.name, at, f"{len(data) - at} bytes torn off at the end")
            return
        yield Missing(file.name, at, f"{start - at} bytes damaged")
        at = start


def _block(data: bytes, at: int) -> tuple[Sequence[wire.Record] | None, int]:
    """The records of the block at a place, and where it ends; None where there is no whole one."""
    if at + HEAD.size > len(data):
        return None, at
    mark, raw, size, checksum = HEAD.unpack_from(data, at)
    end = at + HEAD.size + size
    if mark != MARK or end > len(data) or raw > MOST_RAW:
        return None, at
    payload = data[at + HEAD.size : end]
    if crc32c(payload) != checksum:
        return None, at
    try:
        text = zstandard.ZstdDecompressor().decompress(payload, max_output_size=raw)
        return wire.Block.FromString(text).records, end
    except (zstandard.ZstdError, DecodeError):
        return None, at


def write_file(path: Path, records: Sequence[wire.Record], most: int = 2000) -> int:
    """A capture in one file, as ``cut`` makes them; its size in bytes."""
    part = path.with_name(path.name + ".new")
    part.unlink(missing_ok=True)
    segment = Segment(part)
    try:
        for at in range(0, len(records), most):
            segment.write(records[at : at + most])
    finally:
        segment.close()
    os.replace(part, path)
    return segment.size
