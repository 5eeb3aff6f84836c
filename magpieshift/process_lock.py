"""Whether another process of this router is alive, or serving: while one replaces another there are two.

Each process locks one byte of a common, empty file while it is alive, and a second one while it serves. The
kernel releases a lock with its process, however that ends, so no lock is ever stale, and there is nothing to
read. The file's name and the bytes locked are shared by all versions of the program.
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
"""Where in the file the bytes of living processes begin; each has the one at its process id."""
SERVING_OFFSET = 1 << 32
"""The same of serving processes."""
RANGE_BYTES = 1 << 31
"""Above any process id."""
FLOCK_STRUCT = struct.Struct("hhqqi4x")
"""Linux's ``struct flock``: type, whence, start, length, process."""


class ProcessLock:
    """Owner of the file and of this process's locks on it."""

    def __init__(self, listen: Address, folder: str | None = None) -> None:
        self._file = -1  # its descriptor; -1 while there is none
        path = Path(folder or tempfile.gettempdir()) / "magpieshift-{}-{}.lock".format(*listen)
        try:
            self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, ALIVE_OFFSET + os.getpid())
        except OSError as err:  # another process cannot be detected then: run as if there were none
            log.warning("process lock failed", extra=fields(path=path, reason=err))
            self.close()

    @property
    def other_is_alive(self) -> bool:
        """Whether another process of this router is alive."""
        return self._is_locked_by_other(ALIVE_OFFSET)

    @property
    def other_is_serving(self) -> bool:
        """Whether another process of this router takes clients."""
        return self._is_locked_by_other(SERVING_OFFSET)

    def set_serving(self, serving: bool) -> None:
        """Show other processes whether this one takes clients: one that drains replaces nobody."""
        if self._file < 0:
            return
        kind = fcntl.LOCK_EX | fcntl.LOCK_NB if serving else fcntl.LOCK_UN
        try:
            fcntl.lockf(self._file, kind, 1, SERVING_OFFSET + os.getpid())
        except OSError as err:  # it must not keep a planned shutdown from beginning
            log.warning("process lock not changed", extra=fields(serving=serving, reason=err))

    def close(self) -> None:
        """Release the locks; the file stays, since another process may hold it open."""
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
            log.warning("process lock not read", extra=fields(reason=err))
            return False
        return bool(kind != fcntl.F_UNLCK)
