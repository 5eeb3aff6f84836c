"""Versions on disk: an append-only file of checksummed records, written through before anyone is told.

What a crash tore off was never acknowledged, and is cut away when the file is opened to be written. All calls
block; ``VersionManager`` makes them in a thread. One process may hold a folder open for writing.
"""

from __future__ import annotations

import logging
import os
from pathlib import Path

from magpieshift.control.checked_records import lock_file, open_file, read_all, sync_folder, write_at
from magpieshift.control.errors import VersionStoreError
from magpieshift.control.stored_versions import (
    FILE_HEADER,
    MAX_STORED,
    VERSIONS_FILE,
    StoreContents,
    StoredVersion,
    encode_version,
    newest_in_force,
    parse_store,
    retained_versions,
)
from magpieshift.log import fields

log = logging.getLogger(__name__)

REWRITE_FILE = "versions.new"
LOCK_FILE = "lock"
CLOSED = -1
"""In place of a descriptor."""


class VersionStore:
    """The owner of a folder of versions; ``close`` gives it back."""

    def __init__(self, folder: str | Path) -> None:
        """Open it for writing, and repair what a crash left; ``VersionStoreError`` if that cannot be."""
        self.versions: list[StoredVersion] = []
        """What is stored, oldest first."""
        self._folder = Path(folder)
        self._file = CLOSED
        self._lock = CLOSED
        # of the file, as far as it is known good
        self._size = 0
        # why nothing can be stored any more; empty while it can
        self._failure = ""
        try:
            self._open()
        except BlockingIOError:
            self.close()
            raise VersionStoreError(f"{folder} is in use by another process") from None
        except OSError as err:
            self.close()
            raise VersionStoreError(f"{folder} cannot be written: {err.strerror or err}") from err
        except VersionStoreError:
            self.close()
            raise

    def _open(self) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._lock = lock_file(self._folder / LOCK_FILE)
        (self._folder / REWRITE_FILE).unlink(missing_ok=True)  # of a rewriting that a crash broke off
        self._file = open_file(self._folder / VERSIONS_FILE)
        contents = parse_store(read_all(self._file))
        self.versions = list(contents.versions)
        self._size = os.fstat(self._file).st_size
        self._repair(contents)

    def _repair(self, contents: StoreContents) -> None:
        is_intact = not (contents.damaged_stretches or contents.single_copies or contents.torn_bytes)
        if is_intact and self._size >= len(FILE_HEADER):
            return
        if self._size:
            log.warning(
                "version store repaired",
                extra=fields(
                    folder=self._folder,
                    damaged=contents.damaged_stretches,
                    half=contents.single_copies,
                    torn_bytes=contents.torn_bytes,
                    kept=len(self.versions),
                ),
            )
        self._rewrite()

    @property
    def in_force(self) -> StoredVersion | None:
        """The version that came into force last."""
        return newest_in_force(self.versions)

    def append(self, version: StoredVersion) -> None:
        """Write a record through to the disk; ``VersionStoreError`` if that failed, and then it is not
        stored."""
        if self._failure:
            raise VersionStoreError(self._failure)
        try:
            write_at(self._file, encode_version(version), self._size)
            os.fsync(self._file)
        except OSError as err:
            self._undo_append(err)
            raise VersionStoreError(f"{self._folder} cannot be written: {err.strerror or err}") from err
        self._size = os.fstat(self._file).st_size
        self.versions.append(version)
        if len(self.versions) >= 2 * MAX_STORED:
            try:
                self._rewrite()
            except OSError as err:  # all that is stored stands in the old file as well
                log.warning("version store not rewritten", extra=fields(reason=err.strerror or err))

    def _undo_append(self, error: OSError) -> None:
        """What was rejected for the disk's sake must not come into force at the next start."""
        try:
            os.ftruncate(self._file, self._size)
            os.fsync(self._file)
        except OSError:
            reason = error.strerror or error
            self._failure = f"{self._folder} is in an unknown state since: {reason}"
            log.error("version store failed", extra=fields(folder=self._folder, reason=reason))

    def _rewrite(self) -> None:
        """Write what stays to a new file and put that in the old one's place, in one step."""
        retained = retained_versions(self.versions)
        path = self._folder / REWRITE_FILE
        new = open_file(path, os.O_TRUNC)
        try:
            data = FILE_HEADER + b"".join(map(encode_version, retained))
            write_at(new, data, 0)
            os.fsync(new)
            os.rename(path, self._folder / VERSIONS_FILE)
            sync_folder(self._folder)
        except OSError:
            os.close(new)
            path.unlink(missing_ok=True)
            raise
        os.close(self._file)
        self._file = new
        self._size = len(data)
        self.versions = retained

    def close(self) -> None:
        """Give the folder back."""
        for descriptor in (self._file, self._lock):
            if descriptor != CLOSED:
                os.close(descriptor)
        self._file = CLOSED
        self._lock = CLOSED
