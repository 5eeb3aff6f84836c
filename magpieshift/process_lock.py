"""Detects whether another process of the same router is alive or serving, as while one replaces another.

Each process locks one byte of a shared, empty file while it is alive, and another byte while it serves. The
kernel releases the locks when the process ends for any reason, so no lock is ever stale, and the file has no
content to read. All versions of the program must agree on the file name and the byte offsets.
"""

from __future__ import annotations

import fcntl
import logging
import os
import struct
import tempfile
from pathlib import Path

from magpieshift.config import Address
from magpieshift.log import fields

log = logging.getLogger(__name__)

ALIVE_OFFSET = 0
"""Offset of the byte range for live processes; each locks the byte at this offset plus its process id."""
SERVING_OFFSET = 1 << 32
"""Offset of the byte range for serving processes, used in the same way."""
RANGE_BYTES = 1 << 31
"""Size of each byte range; larger than any process id."""
FLOCK_STRUCT = struct.Struct("hhqqi4x")
"""Linux's ``struct flock``: type, whence, start, length, process."""


class ProcessLock:
    """Owner of the lock file's descriptor and of this process's locks."""

    def __init__(self, listen: Address, folder: str | None = None) -> None:
        self._file = -1  # file descriptor; -1 if not open
        path = Path(folder or tempfile.gettempdir()) / "magpieshift-{}-{}.lock".format(*listen)
        try:
            self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, ALIVE_OFFSET + os.getpid())
        except OSError as err:  # other processes cannot be detected: run as if there were none
            log.warning("process lock not acquired", extra=fields(path=path, reason=err))
            self.close()

    @property
    def other_is_alive(self) -> bool:
        """Whether another process of this router is alive."""
        return self._is_locked_by_other(ALIVE_OFFSET)

    @property
    def other_is_serving(self) -> bool:
        """Whether another process of this router serves clients."""
        return self._is_locked_by_other(SERVING_OFFSET)

    def set_serving(self, serving: bool) -> None:
        """Show other processes whether this one serves clients; a draining process does not count as
        replacement."""
        if self._file < 0:
            return
        kind = fcntl.LOCK_EX | fcntl.LOCK_NB if serving else fcntl.LOCK_UN
        try:
            fcntl.lockf(self._file, kind, 1, SERVING_OFFSET + os.getpid())
        except OSError as err:  # must not prevent a planned shutdown
            log.warning("serving lock not changed", extra=fields(serving=serving, reason=err))

    def close(self) -> None:
        """Release the locks; the file is not deleted, since another process may have it open."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1

    def _is_locked_by_other(self, offset: int) -> bool:
        if self._file < 0:
            return False
        query = FLOCK_STRUCT.pack(fcntl.F_WRLCK, os.SEEK_SET, offset, RANGE_BYTES, 0)
        try:
            kind, *_ = FLOCK_STRUCT.unpack(fcntl.fcntl(self._file, fcntl.F_GETLK, query))
        except OSError as err:
            log.warning("process lock query failed", extra=fields(reason=err))
            return False
        return bool(kind != fcntl.F_UNLCK)
