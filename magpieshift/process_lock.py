"""Whether another process of this router lives, or serves: while one replaces another there are two.

Each locks one byte of a common, empty file while it lives, and a second one while it serves. The kernel lets
go of a lock with its process, however that ends, so nothing can be left over, and there is nothing to read.
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

# where in the file each process has its byte, at its process id
LIVES = 0
SERVES = 1 << 32
SPAN = 1 << 31
FLOCK = struct.Struct("hhqqi4x")  # Linux's struct flock: type, whence, start, length, process


class ProcessLock:
    """Owner of the file and of this process's locks on it."""

    def __init__(self, listen: Address, folder: str | None = None) -> None:
        self._file = -1
        path = Path(folder or tempfile.gettempdir()) / "magpieshift-{}-{}.lock".format(*listen)
        try:
            self._file = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
            fcntl.lockf(self._file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, LIVES + os.getpid())
        except OSError as err:  # then we can't know of another, and run as if there were none
            log.warning("no claim", extra=fields(path=path, reason=err))
            self.close()

    def _another(self, at: int) -> bool:
        if self._file < 0:
            return False
        asked = FLOCK.pack(fcntl.F_WRLCK, os.SEEK_SET, at, SPAN, 0)
        try:
            found = FLOCK.unpack(fcntl.fcntl(self._file, fcntl.F_GETLK, asked))
        except OSError as err:
            log.warning("claim unreadable", extra=fields(reason=err))
            return False
        return bool(found[0] != fcntl.F_UNLCK)

    def serve(self, serving: bool) -> None:
        """Tell others whether this process takes clients: one that empties is nobody's successor."""
        if self._file >= 0:
            kind = fcntl.LOCK_EX | fcntl.LOCK_NB if serving else fcntl.LOCK_UN
            try:
                fcntl.lockf(self._file, kind, 1, SERVES + os.getpid())
            except OSError as err:  # it must not keep a planned end from beginning
                log.warning("claim not changed", extra=fields(serving=serving, reason=err))

    @property
    def another_lives(self) -> bool:
        return self._another(LIVES)

    @property
    def another_serves(self) -> bool:
        return self._another(SERVES)

    def close(self) -> None:
        """Let go of the locks; the file stays, since another process may hold it open."""
        if self._file >= 0:
            os.close(self._file)
            self._file = -1
