"""The files of a capture: blocks of records, compressed and checksummed, in segments that rotate within a
budget.

A segment is ``FILE_HEADER`` and then blocks, each ``BLOCK_MARK raw:4 size:4 crc32c:4 payload``, numbers
little-endian, the payload a zstandard frame of a serialized ``Block``, the checksum over it. The first
block begins with a ``Header`` and a keyframe, so that every segment can be replayed by itself. A block that
is torn off or damaged costs what is in it; reading goes on at the next mark, and replaying at the next
keyframe.
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

from magpieshift.capture.errors import CaptureError
from magpieshift.capture.wire import capture_pb2 as wire

FORMAT = 1
"""The version of the files' form."""
FILE_HEADER = b"magpieshift capture %d\n"
BLOCK_MARK = b"\xc9MC\x02"
"""Bytes that begin a block, by which reading finds the next one after damage."""
BLOCK_HEAD = struct.Struct("<4sIII")
MAX_BLOCK_BYTES = 64 << 20
"""Of a block when decompressed; a keyframe of ten thousand requests takes a quarter. A bound on what a
damaged length can make a reader allocate."""
SEGMENT_NAME = "capture-{:08d}.seg"
SEGMENT_PATTERN = "capture-*.seg"
COMPRESSION_LEVEL = 3
"""zstandard's default: higher levels cost the writer more processor time than they save bytes."""
SHOWN_BYTES = 40
"""Of a file's first line, in an error."""
RECORDS_PER_BLOCK = 2000
"""In a file that is written at once."""


@dataclass(frozen=True)
class Missing:
    """Something that a capture lacks: where, and what is known of it."""

    file: str
    offset: int
    """Bytes into the file."""
    detail: str

    def __str__(self) -> str:
        return f"{self.file} at {self.offset}: {self.detail}"


def block(records: Sequence[wire.Record]) -> bytes:
    """The bytes of a block."""
    raw = wire.Block(records=records).SerializeToString()
    payload = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(raw)
    return BLOCK_HEAD.pack(BLOCK_MARK, len(raw), len(payload), crc32c(payload)) + payload


class Segment:
    """A file being written, and the owner of its descriptor until ``close``."""

    def __init__(self, path: Path) -> None:
        """Create the file; ``OSError`` where that cannot be, and then there is none."""
        self.path = path
        self.size = 0
        """Bytes written."""
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        try:
            self._write_bytes(FILE_HEADER % FORMAT)
        except OSError:
            self.close()
            path.unlink(missing_ok=True)
            raise

    @property
    def is_empty(self) -> bool:
        """Whether no block was ever begun in it."""
        return self.size <= len(FILE_HEADER % FORMAT)

    def write(self, records: Sequence[wire.Record]) -> None:
        """Append a block; ``OSError`` where the disk does not take it."""
        self._write_bytes(block(records))

    def _write_bytes(self, data: bytes) -> None:
        self.size += len(data)
        while data:
            data = data[os.write(self._file, data) :]

    def close(self) -> None:
        """Give the descriptor back; a second call does nothing."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def next_number(folder: Path) -> int:
    """The number of the next segment: files of earlier runs are never written over."""
    return max((int(path.stem.rpartition("-")[2]) for path in folder.glob(SEGMENT_PATTERN)), default=0) + 1


def trim(folder: Path, budget_bytes: int, current: Path) -> int:
    """Remove the oldest segments until the rest fits the budget, but never the current one; returns the bytes
    that remain."""
    sizes = {path: path.stat().st_size for path in sorted(folder.glob(SEGMENT_PATTERN))}
    total = sum(sizes.values())
    for path, size in sizes.items():
        if total <= budget_bytes:
            break
        if path != current:
            path.unlink()
            total -= size
    return total


def files(path: str | Path) -> list[Path]:
    """The files of a capture: one, or a folder's segments in order; ``CaptureError`` where there is none."""
    given = Path(path)
    found = sorted(given.glob(SEGMENT_PATTERN)) if given.is_dir() else [given]
    if not found or not all(file.is_file() for file in found):
        raise CaptureError(f"{path} is no capture: no file {SEGMENT_PATTERN}")
    return found


def read(path: str | Path) -> Iterator[wire.Record | Missing]:
    """All records of a capture in order, and what it lacks in their places."""
    for file in files(path):
        yield from read_file(file)


def read_file(file: Path) -> Iterator[wire.Record | Missing]:
    """The records of one file; ``CaptureError`` where it is of another form."""
    try:
        data = file.read_bytes()
    except OSError as err:
        raise CaptureError(f"{file} cannot be read: {err.strerror or err}") from err
    known = FILE_HEADER % FORMAT
    if not data.startswith(known):
        if known.startswith(data):  # the process died right after it had made the file
            yield Missing(file.name, 0, "nothing was written")
            return
        line = data.partition(b"\n")[0]
        raise CaptureError(f"{file} begins with {line[:SHOWN_BYTES]!r}, expected {known!r}")
    offset = len(known)
    while offset < len(data):
        records, end = _read_block(data, offset)
        if records is not None:
            yield from records
            offset = end
            continue
        start = _next_block(data, offset + 1)
        if start < 0:
            yield Missing(file.name, offset, f"{len(data) - offset} bytes torn off at the end")
            return
        yield Missing(file.name, offset, f"{start - offset} bytes damaged")
        offset = start


def _next_block(data: bytes, offset: int) -> int:
    """Where the next whole block begins; -1 where none does."""
    start = data.find(BLOCK_MARK, offset)
    while start >= 0 and _read_block(data, start)[0] is None:  # a mark in the middle of other bytes
        start = data.find(BLOCK_MARK, start + 1)
    return start


def _read_block(data: bytes, offset: int) -> tuple[Sequence[wire.Record] | None, int]:
    """The records of the block at an offset, and where it ends; None where there is no whole one."""
    if offset + BLOCK_HEAD.size > len(data):
        return None, offset
    mark, raw_size, size, checksum = BLOCK_HEAD.unpack_from(data, offset)
    end = offset + BLOCK_HEAD.size + size
    if mark != BLOCK_MARK or end > len(data) or raw_size > MAX_BLOCK_BYTES:
        return None, offset
    payload = data[offset + BLOCK_HEAD.size : end]
    if crc32c(payload) != checksum:
        return None, offset
    try:
        text = zstandard.ZstdDecompressor().decompress(payload, max_output_size=raw_size)
        return wire.Block.FromString(text).records, end
    except (zstandard.ZstdError, DecodeError):
        return None, offset


def write_file(path: Path, records: Sequence[wire.Record], block_records: int = RECORDS_PER_BLOCK) -> int:
    """A capture in one file, which is there whole or not at all; returns its size in bytes."""
    partial = path.with_name(path.name + ".new")
    partial.unlink(missing_ok=True)
    segment = Segment(partial)
    try:
        for start in range(0, len(records), block_records):
            segment.write(records[start : start + block_records])
    finally:
        segment.close()
    os.replace(partial, path)
    return segment.size
