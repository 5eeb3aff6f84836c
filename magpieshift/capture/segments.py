"""The files of a capture: segments of compressed and checksummed blocks of records; the oldest segments are
removed to keep to a disk budget.

A segment consists of ``FILE_HEADER`` and blocks of the form ``BLOCK_MARK raw:4 size:4 crc32c:4 payload``.
Numbers are little-endian; the payload is a zstandard frame with a serialized ``Block``, and the checksum is
that of the payload. The first block begins with a ``Header`` and a keyframe, so that every segment can be
replayed by itself. A truncated or damaged block loses only its own records: reading continues at the next
block mark, and the replay at the next keyframe.
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
"""The version of the file format."""
FILE_HEADER = b"magpieshift capture %d\n"
BLOCK_MARK = b"\xc9MC\x02"
"""The first bytes of a block, by which a reader finds the next block after a damaged one."""
BLOCK_HEADER = struct.Struct("<4sIII")
MAX_BLOCK_BYTES = 64 << 20
"""Maximum decompressed size of a block, which limits what a reader allocates for a damaged length. A keyframe
of ten thousand requests takes a quarter of it."""
SEGMENT_NAME = "capture-{:08d}.seg"
SEGMENT_PATTERN = "capture-*.seg"
COMPRESSION_LEVEL = 3
"""zstandard's default; the bytes that a higher level saves are not worth its processor time."""
MAX_SHOWN_BYTES = 40
"""Number of bytes of a file's first line that are shown in an error."""
RECORDS_PER_BLOCK = 2000
"""Records in each block of a file that is written as a whole (``write_file``)."""


@dataclass(frozen=True)
class Missing:
    """A missing part of a capture: its place and a description."""

    file: str
    offset: int
    """Offset in the file, in bytes."""
    detail: str

    def __str__(self) -> str:
        return f"{self.file} at {self.offset}: {self.detail}"


def encode_block(records: Sequence[wire.Record]) -> bytes:
    """Encode records as a block."""
    raw = wire.Block(records=records).SerializeToString()
    payload = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(raw)
    return BLOCK_HEADER.pack(BLOCK_MARK, len(raw), len(payload), crc32c(payload)) + payload


class Segment:
    """A segment that is being written; owns its file descriptor until ``close``."""

    def __init__(self, path: Path) -> None:
        """Create the file; raises ``OSError`` if that fails, and then leaves no file."""
        self.path = path
        self.size = 0
        """Number of bytes written."""
        self._file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC, 0o600)
        try:
            self._write_bytes(FILE_HEADER % FORMAT)
        except OSError:
            self.close()
            path.unlink(missing_ok=True)
            raise

    @property
    def is_empty(self) -> bool:
        """Whether no block has been begun."""
        return self.size <= len(FILE_HEADER % FORMAT)

    def write(self, records: Sequence[wire.Record]) -> None:
        """Append a block; raises ``OSError`` if the write fails."""
        self._write_bytes(encode_block(records))

    def _write_bytes(self, data: bytes) -> None:
        self.size += len(data)
        while data:
            data = data[os.write(self._file, data) :]

    def close(self) -> None:
        """Close the file descriptor; a second call does nothing."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1


def next_number(folder: Path) -> int:
    """The number of the next segment; existing files of earlier runs are never overwritten."""
    return max((int(path.stem.rpartition("-")[2]) for path in folder.glob(SEGMENT_PATTERN)), default=0) + 1


def trim(folder: Path, budget_bytes: int, current: Path) -> int:
    """Remove the oldest segments, but never the current one, until the rest fits the budget; returns the
    remaining size in bytes."""
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
    """The files of a capture: the given file, or a folder's segments in order; ``CaptureError`` for none."""
    given = Path(path)
    found = sorted(given.glob(SEGMENT_PATTERN)) if given.is_dir() else [given]
    if not found or not all(file.is_file() for file in found):
        raise CaptureError(f"{path} is not a capture: found no file {SEGMENT_PATTERN}")
    return found


def read(path: str | Path) -> Iterator[wire.Record | Missing]:
    """All records of a capture in order, with a ``Missing`` in the place of each missing part."""
    for file in files(path):
        yield from read_file(file)


def read_file(file: Path) -> Iterator[wire.Record | Missing]:
    """The records of one file; ``CaptureError`` if it cannot be read or has another format."""
    try:
        data = file.read_bytes()
    except OSError as err:
        raise CaptureError(f"{file} cannot be read: {err.strerror or err}") from err
    known = FILE_HEADER % FORMAT
    if not data.startswith(known):
        if known.startswith(data):  # the process died while it was creating the file
            yield Missing(file.name, 0, "nothing was written")
            return
        line = data.partition(b"\n")[0]
        raise CaptureError(f"{file} begins with {line[:MAX_SHOWN_BYTES]!r}, expected {known!r}")
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
    """Offset of the next complete block; -1 if there is none."""
    start = data.find(BLOCK_MARK, offset)
    while start >= 0 and _read_block(data, start)[0] is None:  # a chance match, or a damaged block
        start = data.find(BLOCK_MARK, start + 1)
    return start


def _read_block(data: bytes, offset: int) -> tuple[Sequence[wire.Record] | None, int]:
    """The records of the block at an offset, and the offset of its end; None if the block is not complete."""
    if offset + BLOCK_HEADER.size > len(data):
        return None, offset
    mark, raw_size, size, checksum = BLOCK_HEADER.unpack_from(data, offset)
    end = offset + BLOCK_HEADER.size + size
    if mark != BLOCK_MARK or end > len(data) or raw_size > MAX_BLOCK_BYTES:
        return None, offset
    payload = data[offset + BLOCK_HEADER.size : end]
    if crc32c(payload) != checksum:
        return None, offset
    try:
        text = zstandard.ZstdDecompressor().decompress(payload, max_output_size=raw_size)
        return wire.Block.FromString(text).records, end
    except (zstandard.ZstdError, DecodeError):
        return None, offset


def write_file(path: Path, records: Sequence[wire.Record], block_records: int = RECORDS_PER_BLOCK) -> int:
    """Write a capture to one file, which appears only when complete; returns its size in bytes."""
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
