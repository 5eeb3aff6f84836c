"""What a coordinator has decided, kept for good: an append-only file of checksummed records, each written
through before anything is done by it. One coordinator may hold a folder open; reading needs nothing.

A record that a crash tore off was never acted on, and is cut away when the file is opened to be written. A
damaged one in the middle is a reason to stop: what rests on it is not known."""

from __future__ import annotations

import fcntl
import json
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from crc32c import crc32c

from magpieshift.control.store import HEAD, sync_folder, whole

FILE = "rollout.log"
LOCK = "rollout.lock"
HEADER = b"magpieshift rollout 1\n"
MARK = b"\xabMR\x01"


class JournalError(Exception):
    """The journal cannot be used; the text says why, in one line."""


def encode(record: Mapping[str, Any]) -> bytes:
    payload = json.dumps(record, separators=(",", ":")).encode()
    return HEAD.pack(MARK, len(payload), crc32c(payload)) + payload


def parse(data: bytes) -> tuple[list[dict[str, Any]], int]:
    """The records in a file's bytes, and up to where they are whole; ``JournalError`` where one in the
    middle is damaged, for then a later one may rest on what is not known."""
    if not data.startswith(HEADER):
        if HEADER.startswith(data):
            return [], 0  # torn off as it was made
        raise JournalError(f"{FILE} begins with {data[:12]!r}, expected {HEADER!r}")
    records: list[dict[str, Any]] = []
    at = len(HEADER)
    while data[at : at + len(MARK)] == MARK and (payload := whole(data, at)) is not None:
        records.append(json.loads(payload))
        at += HEAD.size + len(payload)
    rest = at + 1
    while (rest := data.find(MARK, rest)) >= 0:
        if whole(data, rest) is not None:
            raise JournalError(f"{FILE} is damaged at byte {at}, and whole again at {rest}")
        rest += 1
    return records, at


def read(folder: str | Path) -> list[dict[str, Any]]:
    """The records of a folder, without touching it."""
    try:
        return parse((Path(folder) / FILE).read_bytes())[0]
    except FileNotFoundError:
        return []
    except OSError as err:
        raise JournalError(f"{folder}: {err.strerror or err}") from err


class Journal:
    """The owner of a folder; ``close`` gives it back."""

    def __init__(self, folder: str | Path) -> None:
        """Open it for writing; ``JournalError`` where that cannot be."""
        self._folder = Path(folder)
        self._file = self._lock = -1
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(self._folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            self._file = os.open(self._folder / FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            with open(self._file, "rb", closefd=False) as file:
                self.records, self._size = parse(file.read())
            if self._size == 0:
                self._put(HEADER)
                sync_folder(self._folder)
            else:
                os.ftruncate(self._file, self._size)
        except BlockingIOError:
            self.close()
            raise JournalError(f"{folder} is in use by another coordinator") from None
        except OSError as err:
            self.close()
            raise JournalError(f"{folder} cannot be written: {err.strerror or err}") from err
        except JournalError:
            self.close()
            raise

    def _put(self, data: bytes) -> None:
        done = 0
        while done < len(data):
            done += os.pwrite(self._file, data[done:], self._size + done)
        os.fsync(self._file)
        self._size += len(data)

    def append(self, record: Mapping[str, Any]) -> None:
        """Write a record through; ``JournalError`` where that failed, and then nothing may be done by it."""
        try:
            self._put(encode(record))
        except OSError as err:
            raise JournalError(f"{self._folder} cannot be written: {err.strerror or err}") from err
        self.records.append(dict(record))

    def close(self) -> None:
        for number in (self._file, self._lock):
            if number >= 0:
                os.close(number)
        self._file = self._lock = -1
