"""Tells two processes of one router which requests must not run again, while one replaces the other.

Each process appends the ids of the requests that it takes, of classes that must not run twice, to one file
beside the process lock, and reads what the other has appended. Records have one size, so that two processes
may append to the file without a lock.
"""

from __future__ import annotations

import logging
import os
import struct
import tempfile
import time
from collections.abc import Iterable
from pathlib import Path

from magpieshift.config import Address
from magpieshift.engine.executed_requests import ExecutedRequests
from magpieshift.log import fields

log = logging.getLogger(__name__)

RECORD = struct.Struct("<I16s")
"""Format of a record: process id, request id as 16 hex digits."""
MAX_FILE_BYTES = 1 << 20
"""Size above which the file is emptied as a replacement begins: what it holds is of former ones."""
READ_BYTES = RECORD.size << 12
"""Size of one read, a whole number of records."""


class SharedRequestIds:
    """Owner of the file's descriptor in this process."""

    def __init__(self, listen: Address, folder: str | None = None) -> None:
        self._file = -1  # file descriptor; -1 if not open
        self._offset = 0
        """Up to where the file was read."""
        self._process = os.getpid()
        self._taken = ExecutedRequests()
        """Requests that the other process has taken."""
        self._is_announcing = False
        """Whether another process is alive, so that ids are appended."""
        path = Path(folder or tempfile.gettempdir()) / "magpieshift-{}-{}.ids".format(*listen)
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND | os.O_CLOEXEC | os.O_NOFOLLOW
        try:
            self._file = os.open(path, flags, 0o600)
        except OSError as err:  # as if the other process had taken nothing
            log.warning("request ids not shared", extra=fields(path=path, reason=err))

    def set_shared(self, is_shared: bool, request_ids: Iterable[str]) -> None:
        """Set whether another process is alive; as one appears, announce the ids taken before."""
        begins = is_shared and not self._is_announcing
        self._is_announcing = is_shared
        if begins and self._file >= 0:
            if os.fstat(self._file).st_size > MAX_FILE_BYTES:
                os.ftruncate(self._file, 0)
                self._offset = 0
            for request_id in request_ids:
                self.announce(request_id)

    def announce(self, request_id: str) -> None:
        """Tell the other process, if one is alive, that this one has taken a request."""
        if self._is_announcing and self._file >= 0:
            try:
                os.write(self._file, RECORD.pack(self._process, request_id.encode()))
            except OSError as err:  # no space: the request itself goes on
                log.warning("request ids not shared", extra=fields(reason=err))

    def is_taken(self, request_id: str) -> bool:
        """Whether the other process has taken a request of this id lately."""
        now_us = int(time.monotonic() * 1e6)
        self._read(now_us)
        return self._taken.may_have_run(request_id, now_us)

    def close(self) -> None:
        """Close the file; it stays, as the other process may still need what it tells."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    def _read(self, now_us: int) -> None:
        """Read the records appended since the last call."""
        if self._file < 0:
            return
        size = os.fstat(self._file).st_size
        if size < self._offset:  # it was emptied
            self._offset = 0
        while self._offset + RECORD.size <= size:
            data = os.pread(self._file, READ_BYTES, self._offset)
            whole = len(data) - len(data) % RECORD.size
            if whole == 0:
                return
            self._offset += whole
            for process, request_id in RECORD.iter_unpack(data[:whole]):
                if process != self._process:
                    self._taken.add(request_id.decode("ascii", "replace"), now_us)
