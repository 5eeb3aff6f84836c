"""Files of checksummed records, used by the version store and the rollout journal.

A record is ``mark:4 length:4 crc32c:4 payload``, numbers little-endian. A crash may leave an incomplete
record at the end of a file; such a record was never acknowledged.
"""

from __future__ import annotations

import fcntl
import os
import struct
from pathlib import Path

from crc32c import crc32c

RECORD_HEADER = struct.Struct("<4sII")
"""Mark, payload length in bytes, and the payload's CRC-32C."""
PRIVATE_MODE = 0o600
"""Permissions of new files: settings and start commands may be confidential."""


def encode_record(mark: bytes, payload: bytes) -> bytes:
    """The bytes of one record."""
    return RECORD_HEADER.pack(mark, len(payload), crc32c(payload)) + payload


def payload_at(data: bytes, start: int) -> bytes | None:
    """The payload of the record that begins at ``start``; None if the record is incomplete or its checksum
    does not match."""
    payload_start = start + RECORD_HEADER.size
    if payload_start > len(data):
        return None
    _, length, checksum = RECORD_HEADER.unpack_from(data, start)
    payload = data[payload_start : payload_start + length]
    return payload if len(payload) == length and crc32c(payload) == checksum else None


def open_file(path: Path, flags: int = 0) -> int:
    """Open a file for reading and writing, creating it if it does not exist; returns the descriptor."""
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | flags, PRIVATE_MODE)


def lock_file(path: Path) -> int:
    """Lock a file exclusively and return its descriptor; closing the descriptor releases the lock.

    Raises ``BlockingIOError`` if another process holds the lock.
    """
    descriptor = open_file(path)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(descriptor)
        raise
    return descriptor


def read_all(descriptor: int) -> bytes:
    """All bytes of an open file."""
    with open(descriptor, "rb", closefd=False) as file:
        file.seek(0)
        return file.read()


def write_at(descriptor: int, data: bytes, offset: int) -> None:
    """Write all bytes at an offset; ``OSError`` if the write fails."""
    while data:
        written = os.pwrite(descriptor, data, offset)
        data = data[written:]
        offset += written


def sync_folder(folder: Path) -> None:
    """Flush the folder's entries to disk, so that a new or renamed file survives a crash."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
