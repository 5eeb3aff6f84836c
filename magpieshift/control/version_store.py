"""The version store: an append-only file of checksummed records, flushed to disk before a version is
acknowledged.

A record that a crash left incomplete was never acknowledged, and is removed when the file is opened for
writing. All calls block; ``VersionManager`` runs appends in a thread. Only one process at a time may open a
folder for writing.
"""

from __future__ import annotations

import logging
import os
from pathlib import Path

from magpieshift.control.checksummed_records import lock_file, open_file, read_all, sync_folder, write_at
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
"""Value of a descriptor that is not open."""


class VersionStore:
    """A folder of stored versions, open for writing until ``close``."""

    def __init__(self, folder: str | Path) -> None:
        """Open the folder for writing and repair the file after a crash; ``VersionStoreError`` if that
        fails."""
        self.versions: list[StoredVersion] = []
        """The stored records, oldest first."""
        self._folder = Path(folder)
        self._file = CLOSED
        self._lock = CLOSED
        # length in bytes of the part of the file that holds valid records
        self._size = 0
        # why no more records can be stored; empty while they can
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
        (self._folder / REWRITE_FILE).unlink(missing_ok=True)  # left by a rewrite that a crash interrupted
        self._file = open_file(self._folder / VERSIONS_FILE)
        contents = parse_store(read_all(self._file))
        self.versions = list(contents.versions)
        self._size = os.fstat(self._file).st_size
        self._repair(contents)

    def _repair(self, contents: StoreContents) -> None:
        is_intact = not (contents.damaged_ranges or contents.single_copies or contents.torn_bytes)
        if is_intact and self._size >= len(FILE_HEADER):
            return
        if self._size:
            log.warning(
                "version store repaired",
                extra=fields(
                    folder=self._folder,
                    damaged=contents.damaged_ranges,
                    half=contents.single_copies,
                    torn_bytes=contents.torn_bytes,
                    kept=len(self.versions),
                ),
            )
        self._rewrite()

    @property
    def in_force(self) -> StoredVersion | None:
        """The version that came into force last; None if none did."""
        return newest_in_force(self.versions)

    def append(self, version: StoredVersion) -> None:
        """Write and flush a record to disk. ``VersionStoreError`` if that fails; the record is then not
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
            except OSError as err:  # the old file still holds all records
                log.warning("version store not rewritten", extra=fields(reason=err.strerror or err))

    def _undo_append(self, error: OSError) -> None:
        """Remove a partly written record: its version is rejected, so it must not come into force at the next
        start."""
        try:
            os.ftruncate(self._file, self._size)
            os.fsync(self._file)
        except OSError:
            reason = error.strerror or error
            self._failure = f"{self._folder} is in an unknown state since: {reason}"
            log.error("version store failed", extra=fields(folder=self._folder, reason=reason))

    def _rewrite(self) -> None:
        """Write the retained records to a new file and atomically replace the old file with it."""
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
        """Close the file and release the folder's lock."""
        for descriptor in (self._file, self._lock):
            if descriptor != CLOSED:
                os.close(descriptor)
        self._file = CLOSED
        self._lock = CLOSED
