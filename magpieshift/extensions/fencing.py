"""The fencing extension: a router accepts fenced commands only from the coordinator with the latest term.

The latest term is stored in a file next to the router's process lock file. All processes of the router share
it, so a replacement process knows the terms that its predecessor received. A command of an older term is
rejected, and a process that is started with an older term exits before it serves.
"""

from __future__ import annotations

import fcntl
import os
import tempfile
from collections.abc import Callable, Mapping
from pathlib import Path

from magpieshift.app import EdgeRouter
from magpieshift.config import Address, ConfigError
from magpieshift.extensions.extension import BaseExtension
from magpieshift.lifecycle import InvalidStateError

MAX_TERM = 1 << 62  # a larger number in a command is rejected as invalid
MAX_FILE_BYTES = 32  # read limit; the file holds a term, padded to 20 characters, and a line feed
MAX_SHOWN_CHARACTERS = 60  # characters of a rejected command that are repeated in the error


class FencingTermFile:
    """The file that stores the latest term. Calls are rare, so each one opens, locks and closes it."""

    def __init__(self, listen: Address, folder: str | None = None) -> None:
        """``listen`` is the router's address, which names the file for all processes of the router."""
        self.path = Path(folder or tempfile.gettempdir()) / "magpieshift-{}-{}.term".format(*listen)

    def advance(self, term: int) -> int:
        """Store ``term`` if it is newer than the stored one; returns the latest term.

        A result larger than ``term`` means that a newer coordinator has replaced that of ``term``. Raises
        ``OSError`` if the file cannot be used; then no command of any term may be executed.
        """
        file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX)
            text = os.pread(file, MAX_FILE_BYTES, 0).decode("ascii", "replace").strip("\0 \n")
            latest = int(text) if text.isdecimal() else 0
            if term > latest:
                # a single write of fixed length never leaves part of a number
                os.pwrite(file, f"{term:<20}\n".encode(), 0)
                os.fsync(file)
            return max(term, latest)
        finally:
            os.close(file)


class FencingTerms(BaseExtension):
    """Answers the admin command ``AS TERM COMMAND``, and rejects it if a later term is known."""

    name = "terms"

    def __init__(self, router: EdgeRouter, term: int) -> None:
        """``term`` is that of the coordinator that starts this process, -1 for none.

        Raises ``ConfigError`` if a later term is stored, or the file cannot be used.
        """
        self._router = router
        self._file = FencingTermFile(router.document.listen)
        lifecycle = router.lifecycle
        self._fenced_commands: dict[str, Callable[[], str]] = {
            "PING": lifecycle.ping,
            "LAMEDUCK": lifecycle.lame_duck,
            "REJOIN": lifecycle.rejoin,
            "END": self._stop_router,
        }
        try:
            latest = self._file.advance(max(term, 0))
        except OSError as err:
            raise ConfigError(f"term file {self._file.path} cannot be used: {err.strerror or err}") from err
        if 0 <= term < latest:
            raise ConfigError(
                f"term: found {term}, expected {latest} or later, as a newer coordinator has taken over"
            )

    def commands(self) -> Mapping[str, Callable[[], str]]:
        """TERM returns the latest term."""
        return {"TERM": self._latest_term}

    def commands_with_argument(self) -> Mapping[str, Callable[[str], str]]:
        """AS executes a command for the coordinator of the given term."""
        return {"AS": self._run_as}

    def _latest_term(self) -> str:
        try:
            return str(self._file.advance(0))
        except OSError as err:
            raise InvalidStateError(f"the term cannot be read: {err.strerror or err}") from err

    def _run_as(self, argument: str) -> str:
        term, _, command = argument.partition(" ")
        if not term.isdecimal() or int(term) > MAX_TERM or command not in self._fenced_commands:
            raise InvalidStateError(
                f"found {ascii(argument)[:MAX_SHOWN_CHARACTERS]}, "
                f"expected AS TERM and one of {', '.join(self._fenced_commands)}"
            )
        try:
            latest = self._file.advance(int(term))
        except OSError as err:
            raise InvalidStateError(f"the term cannot be kept: {err.strerror or err}") from err
        if int(term) < latest:
            raise InvalidStateError(f"term {term} is over, the latest is {latest}")
        return self._fenced_commands[command]()

    def _stop_router(self) -> str:
        self._router.stop()
        return self._router.lifecycle.state_name
