"""What a coordinator has decided, on disk: an append-only file of checksummed records, each written through
before anything is done by it. One coordinator may hold a folder open; reading needs nothing.

A record that a crash tore off was never acted on, and is cut away when the file is opened to be written. A
damaged one in the middle is a reason to stop: what rests on it is not known.
"""

from __future__ import annotations

import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from magpieshift.control.checked_records import (
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
MARK = b"\xabMR\x01"
"""With which each record begins; no JSON text holds its first byte."""
CLOSED = -1
"""In place of a descriptor."""


def encode_row(row: Mapping[str, Any]) -> bytes:
    """The bytes of one record."""
    return encode_record(MARK, json.dumps(row, separators=(",", ":")).encode())


def parse_journal(data: bytes) -> tuple[list[dict[str, Any]], int]:
    """The rows in a file's bytes, and up to where they are complete; ``JournalError`` if one in the middle is
    damaged, for then a later one may rest on what is not known."""
    if not data.startswith(JOURNAL_HEADER):
        if JOURNAL_HEADER.startswith(data):
            return [], 0  # torn off as it was made
        raise JournalError(f"{JOURNAL_FILE} begins with {data[:12]!r}, expected {JOURNAL_HEADER!r}")
    rows: list[dict[str, Any]] = []
    end = len(JOURNAL_HEADER)
    while data[end : end + len(MARK)] == MARK and (payload := payload_at(data, end)) is not None:
        rows.append(json.loads(payload))
        end += RECORD_HEADER.size + len(payload)
    later = end + 1
    while (later := data.find(MARK, later)) >= 0:
        if payload_at(data, later) is not None:
            raise JournalError(f"{JOURNAL_FILE} is damaged at byte {end}, and whole again at {later}")
        later += 1
    return rows, end


def read_rows(folder: str | Path) -> list[dict[str, Any]]:
    """The rows of a folder's journal, without touching it; none if there is no journal."""
    try:
        return parse_journal((Path(folder) / JOURNAL_FILE).read_bytes())[0]
    except FileNotFoundError:
        return []
    except OSError as err:
        raise JournalError(f"{folder}: {err.strerror or err}") from err


class Journal:
    """The owner of a folder; ``close`` gives it back."""

    def __init__(self, folder: str | Path) -> None:
        """Open it for writing; ``JournalError`` if that cannot be."""
        self.rows: list[dict[str, Any]] = []
        """All records, as they stand on disk."""
        self._folder = Path(folder)
        self._file = CLOSED
        self._lock = CLOSED
        # up to where records stand
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
        """Write a record through; ``JournalError`` if that failed, and then nothing may be done by it."""
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
        """Give the folder back."""
        for descriptor in (self._file, self._lock):
            if descriptor != CLOSED:
                os.close(descriptor)
        self._file = CLOSED
        self._lock = CLOSED
