"""Journal of a coordinator's decisions: an append-only file of checksummed records, each synced to disk
before the decision is carried out. Only one coordinator may have a folder open for writing; readers need no
lock.

A record torn off by a crash was never acted on, and is truncated when the file is opened for writing. A
damaged record followed by valid ones is an error, because the later ones may depend on it.
"""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from magpieshift.control.checksummed_records import (
    RECORD_HEADER,
    encode_record,
    lock_file,
    open_file,
    payload_at,
    read_all,
    sync_folder,
    write_at,
)
from magpieshift.rollout.errors import JournalError

JOURNAL_FILE = "rollout.log"
LOCK_FILE = "rollout.lock"
JOURNAL_HEADER = b"magpieshift rollout 1\n"
RECORD_MARK = b"\xabMR\x01"
"""First bytes of each record; ASCII JSON never contains the first of them."""
CLOSED_DESCRIPTOR = -1
"""Value of a file descriptor that is not open."""


def encode_row(row: Mapping[str, Any]) -> bytes:
    """Encode one record as bytes."""
    return encode_record(RECORD_MARK, json.dumps(row, separators=(",", ":")).encode())


def parse_journal(data: bytes) -> tuple[list[dict[str, Any]], int]:
    """Parse a journal file's bytes into its rows and the offset of the end of the last complete record.

    Raises ``JournalError`` if a damaged record is followed by a valid one, which may depend on it.
    """
    if not data.startswith(JOURNAL_HEADER):
        if JOURNAL_HEADER.startswith(data):
            return [], 0  # a crash interrupted the creation of the file
        raise JournalError(f"{JOURNAL_FILE} begins with {data[:12]!r}, expected {JOURNAL_HEADER!r}")
    rows: list[dict[str, Any]] = []
    end = len(JOURNAL_HEADER)
    while (
        data[end : end + len(RECORD_MARK)] == RECORD_MARK and (payload := payload_at(data, end)) is not None
    ):
        rows.append(json.loads(payload))
        end += RECORD_HEADER.size + len(payload)
    later = end + 1
    while (later := data.find(RECORD_MARK, later)) >= 0:
        if payload_at(data, later) is not None:
            raise JournalError(
                f"{JOURNAL_FILE} is damaged at byte {end}, but has a valid record at byte {later}"
            )
        later += 1
    return rows, end


def read_rows(folder: str | Path) -> list[dict[str, Any]]:
    """Read the rows of a folder's journal without locking or changing it; empty if there is no journal."""
    try:
        return parse_journal((Path(folder) / JOURNAL_FILE).read_bytes())[0]
    except FileNotFoundError:
        return []
    except OSError as err:
        raise JournalError(f"{folder}: the journal cannot be read: {err.strerror or err}") from err


class Journal:
    """A journal open for writing; holds the folder's lock until ``close``."""

    def __init__(self, folder: str | Path) -> None:
        """Open the folder's journal for writing; raises ``JournalError`` if that fails."""
        self.rows: list[dict[str, Any]] = []
        """All records in their form on disk."""
        self._folder = Path(folder)
        self._file = CLOSED_DESCRIPTOR
        self._lock = CLOSED_DESCRIPTOR
        # length in bytes of the file's valid part
        self._size = 0
        try:
            self._open()
        except BlockingIOError:
            self.close()
            raise JournalError(f"{folder} is in use by another coordinator") from None
        except OSError as err:
            self.close()
            raise JournalError(f"{folder} cannot be written: {err.strerror or err}") from err
        except JournalError:
            self.close()
            raise

    def _open(self) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock = lock_file(self._folder / LOCK_FILE)
        self._file = open_file(self._folder / JOURNAL_FILE)
        self.rows, self._size = parse_journal(read_all(self._file))
        if self._size == 0:
            self._write_through(JOURNAL_HEADER)
            sync_folder(self._folder)
        else:
            os.ftruncate(self._file, self._size)

    def append(self, row: Mapping[str, Any]) -> None:
        """Append a record and sync it to disk; raises ``JournalError`` if that fails, in which case the
        decision must not be carried out."""
        try:
            self._write_through(encode_row(row))
        except OSError as err:
            raise JournalError(f"{self._folder} cannot be written: {err.strerror or err}") from err
        self.rows.append(dict(row))

    def _write_through(self, data: bytes) -> None:
        write_at(self._file, data, self._size)
        os.fsync(self._file)
        self._size += len(data)

    def close(self) -> None:
        """Close the files and release the folder's lock."""
        for descriptor in (self._file, self._lock):
            if descriptor != CLOSED_DESCRIPTOR:
                os.close(descriptor)
        self._file = CLOSED_DESCRIPTOR
        self._lock = CLOSED_DESCRIPTOR
