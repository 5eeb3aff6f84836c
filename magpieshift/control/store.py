"""The versions kept on disk: an append-only file of checksummed records, written through before anyone is
told.

A record is ``MARK length:4 crc32c:4 payload``, numbers little-endian, the payload one JSON object. Each is
written twice, one behind the other, in one append: a bit that flips in the newest, with nothing else to fall
back on, costs nothing. Reading looks for marks, so one damaged record hides no other. What was torn off by a
crash never was acknowledged, and is cut away when the file is opened to be written.

All calls block; ``VersionManager`` makes them in a thread. One process may hold a folder open for writing.
"""

from __future__ import annotations

import fcntl
import json
import logging
import os
import struct
from collections.abc import Iterable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from crc32c import crc32c

from magpieshift.control.version_history import Reason, Record, State
from magpieshift.log import fields

log = logging.getLogger(__name__)

FILE = "versions.log"
TEMPORARY = "versions.new"
LOCK = "lock"
HEADER = b"magpieshift versions 1\n"
MARK = b"\xabMV\x01"
HEAD = struct.Struct("<4sII")
MOST_RECORD = 16 << 20
KEPT = 64  # versions and refusals that stay; the file is rewritten when it holds twice as many


class StoreError(Exception):
    """The versions cannot be kept; the text says why, in one line."""


@dataclass(frozen=True)
class Kept:
    """A record on disk; ``text`` is the whole document of a version that came into force."""

    record: Record
    text: str = ""


@dataclass(frozen=True)
class Contents:
    """What a file holds."""

    kept: tuple[Kept, ...]
    damaged: int  # stretches of bytes that are no record, apart from a torn tail
    torn: int  # bytes after the last whole record
    twins_lost: int  # records of which only one of the two copies is whole

    @property
    def in_force(self) -> Kept | None:
        return next((k for k in reversed(self.kept) if k.record.state is State.IN_FORCE), None)


def _encode(kept: Kept) -> bytes:
    r = kept.record
    payload = json.dumps(
        {
            "number": r.number,
            "digest": r.digest,
            "source": r.source,
            "state": r.state.value,
            "at_us": r.at_us,
            "reason": int(r.reason),
            "detail": r.detail,
            "skipped": r.skipped,
            "text": kept.text,
        }
    ).encode()
    return (HEAD.pack(MARK, len(payload), crc32c(payload)) + payload) * 2


def _decode(payload: bytes) -> Kept:
    raw: dict[str, Any] = json.loads(payload)
    record = Record(
        raw["number"],
        raw["digest"],
        raw["source"],
        State(raw["state"]),
        raw["at_us"],
        Reason(raw["reason"]),
        raw["detail"],
        raw["skipped"],
    )
    return Kept(record, raw["text"])


def parse(data: bytes) -> Contents:
    """The records in a file's bytes, however damaged."""
    if not data.startswith(HEADER[:12]):
        found = data[:12]
        if data:
            raise StoreError(f"{FILE} begins with {found!r}, expected {HEADER!r}")
        return Contents((), 0, 0, 0)
    if data[: len(HEADER)] != HEADER and len(data) >= len(HEADER):
        raise StoreError(f"{FILE} is of the form {data[: len(HEADER)]!r}, expected {HEADER!r}")
    kept: list[Kept] = []
    at = len(HEADER)
    end = min(len(HEADER), len(data))
    damaged = 0
    lone = 0
    last = b""
    while (start := data.find(MARK, at)) >= 0:
        payload = whole(data, start)
        if payload is None:
            at = start + 1
            continue
        if start != end:
            damaged += 1
        at = end = start + HEAD.size + len(payload)
        if payload == last:  # the second copy
            last = b""
            lone = lone - 1
            continue
        try:
            kept.append(_decode(payload))
        except (ValueError, KeyError, TypeError):
            damaged += 1  # sums that fit over what is no record: another program wrote it
            continue
        last = payload
        lone = lone + 1
    return Contents(tuple(kept), damaged, len(data) - end, lone)


def whole(data: bytes, start: int) -> bytes | None:
    """The payload of the record that begins there; None where it is not whole, or its sum does not fit."""
    if start + HEAD.size > len(data):
        return None
    _, length, checksum = HEAD.unpack_from(data, start)
    payload = data[start + HEAD.size : start + HEAD.size + length]
    return payload if len(payload) == length and crc32c(payload) == checksum else None


def read(folder: str | Path) -> Contents:
    """What a folder holds, without touching it; nothing where it holds no file yet."""
    try:
        data = (Path(folder) / FILE).read_bytes()
    except FileNotFoundError:
        if not Path(folder).is_dir():
            raise StoreError(f"{folder} is no folder") from None
        return Contents((), 0, 0, 0)
    except OSError as err:
        raise StoreError(f"{folder}: {err.strerror or err}") from err
    return parse(data)


class Store:
    """The owner of a folder of versions; ``close`` gives it back."""

    def __init__(self, folder: str | Path) -> None:
        """Open it for writing, and mend what a crash left; ``StoreError`` where that cannot be."""
        self._folder = Path(folder)
        self._file = self._lock = -1
        self._broken = ""
        try:
            self._folder.mkdir(parents=True, exist_ok=True)
            self._lock = os.open(self._folder / LOCK, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            (self._folder / TEMPORARY).unlink(missing_ok=True)  # a rewriting that a crash broke off
            self._file = os.open(self._folder / FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            contents = parse(self._read())
            self.kept = list(contents.kept)
            self._size = os.fstat(self._file).st_size
            self._mend(contents)
        except BlockingIOError:
            self.close()
            raise StoreError(f"{folder} is in use by another process") from None
        except OSError as err:
            self.close()
            raise StoreError(f"{folder} cannot be written: {err.strerror or err}") from err
        except StoreError:
            self.close()
            raise

    def _read(self) -> bytes:
        with open(self._file, "rb", closefd=False) as file:
            file.seek(0)
            return file.read()

    def _mend(self, contents: Contents) -> None:
        if contents.damaged or contents.twins_lost or contents.torn or self._size < len(HEADER):
            if self._size:
                log.warning(
                    "version store mended",
                    extra=fields(
                        folder=self._folder,
                        damaged=contents.damaged,
                        half=contents.twins_lost,
                        torn_bytes=contents.torn,
                        kept=len(self.kept),
                    ),
                )
            self._rewrite()

    @property
    def in_force(self) -> Kept | None:
        return next((k for k in reversed(self.kept) if k.record.state is State.IN_FORCE), None)

    def append(self, kept: Kept) -> None:
        """Write a record through to the disk; ``StoreError`` where that failed, and then it is not kept."""
        if self._broken:
            raise StoreError(self._broken)
        try:
            self._write(self._file, _encode(kept), self._size)
            os.fsync(self._file)
        except OSError as err:
            self._take_back(err)
            raise StoreError(f"{self._folder} cannot be written: {err.strerror or err}") from err
        self._size = os.fstat(self._file).st_size
        self.kept.append(kept)
        if len(self.kept) >= 2 * KEPT:
            try:
                self._rewrite()
            except OSError as err:  # all that is kept stands in the old file as well
                log.warning("version store not rewritten", extra=fields(reason=err.strerror or err))

    def _take_back(self, err: OSError) -> None:
        """What was turned down for the disk's sake must not come into force at the next start."""
        try:
            os.ftruncate(self._file, self._size)
            os.fsync(self._file)
        except OSError:
            self._broken = f"{self._folder} is in an unknown state since: {err.strerror or err}"
            log.error("version store given up", extra=fields(folder=self._folder, reason=err.strerror or err))

    @staticmethod
    def _write(file: int, data: bytes, at: int) -> None:
        while data:
            written = os.pwrite(file, data, at)
            data = data[written:]
            at = at + written

    def _rewrite(self) -> None:
        """Write what stays to a new file and put that in the old one's place, in one step."""
        keep = bounded(self.kept)
        new = os.open(self._folder / TEMPORARY, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            data = HEADER + b"".join(map(_encode, keep))
            self._write(new, data, 0)
            os.fsync(new)
            os.rename(self._folder / TEMPORARY, self._folder / FILE)
            sync_folder(self._folder)
        except OSError:
            os.close(new)
            (self._folder / TEMPORARY).unlink(missing_ok=True)
            raise
        os.close(self._file)
        self._file = new
        self._size = len(data)
        self.kept = keep

    def close(self) -> None:
        for number in (self._file, self._lock):
            if number >= 0:
                os.close(number)
        self._file = self._lock = -1


def bounded(kept: Iterable[Kept]) -> list[Kept]:
    """The newest that fit the bound; what is in force stays, however many were turned down since."""
    everything = list(kept)
    newest = everything[-KEPT:]
    force = next((k for k in reversed(everything) if k.record.state is State.IN_FORCE), None)
    if force is not None and force not in newest:
        newest[0] = force
    return newest


def sync_folder(folder: Path) -> None:
    """Make a renaming last."""
    number = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(number)
    finally:
        os.close(number)


def history(contents: Contents) -> list[Kept]:
    """The records as people want them: one of them in force, those before it replaced."""
    force = contents.in_force
    return [
        replace(kept, record=replace(kept.record, state=State.REPLACED))
        if kept.record.state is State.IN_FORCE and kept is not force
        else kept
        for kept in contents.kept
    ]
