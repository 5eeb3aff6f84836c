"""Files of checksummed records, as the version store and a rollout's journal write them.

A record is ``mark:4 length:4 crc32c:4 payload``, numbers little-endian. A crash may tear off the end of a
file; nobody was told of what stood there.
"""

from __future__ import annotations

import fcntl
import os
import struct
from pathlib import Path

from crc32c import crc32c

RECORD_HEADER = struct.Struct("<4sII")
"""Mark, length of the payload, and its CRC-32C."""
PRIVATE_MODE = 0o600
"""Of new files: settings and start commands are nobody else's."""


def encode_record(mark: bytes, payload: bytes) -> bytes:
    """The bytes of one record."""
    return RECORD_HEADER.pack(mark, len(payload), crc32c(payload)) + payload


def payload_at(data: bytes, start: int) -> bytes | None:
    """The payload of the record that begins at ``start``; None if it is torn, or its checksum does not
    match."""
    payload_start = start + RECORD_HEADER.size
    if payload_start > len(data):
        return None
    _, length, checksum = RECORD_HEADER.unpack_from(data, start)
    payload = data[payload_start : payload_start + length]
    return payload if len(payload) == length and crc32c(payload) == checksum else None


def open_file(path: Path, flags: int = 0) -> int:
    """A descriptor for reading and writing a file, which is made if need be."""
    return os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | flags, PRIVATE_MODE)


def lock_file(path: Path) -> int:
    """The descriptor of a file that this process holds locked until it is closed; ``BlockingIOError`` if
    another one does."""
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
    """Write all bytes at an offset; ``OSError`` if the disk does not take them."""
    while data:
        written = os.pwrite(descriptor, data, offset)
        data = data[written:]
        offset += written


def sync_folder(folder: Path) -> None:
    """Make a new or renamed file last."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
