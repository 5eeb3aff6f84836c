"""The fencing extension: a router obeys the latest coordinator of a rollout only, by its term.

The latest term lies in a file beside the router's lock file, which all processes of the router read: a
successor knows the term that its predecessor was given. A command of an older term is rejected, and a process
that an older term starts does not come to serve.
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

MAX_TERM = 1 << 62  # more is no term of a coordinator
MAX_FILE_BYTES = 32  # of the file that are read: a term of 20 digits and a line feed
MAX_SHOWN_CHARACTERS = 60  # of a command in the text of its rejection


class FencingTermFile:
    """The file with the latest term. Each call opens, locks, reads and closes it, as calls are rare."""

    def __init__(self, listen: Address, folder: str | None = None) -> None:
        """``listen`` is the router's address, by which its processes find the same file."""
        self.path = Path(folder or tempfile.gettempdir()) / "magpieshift-{}-{}.term".format(*listen)

    def advance(self, term: int) -> int:
        """Record a term; the latest one, which is larger where the caller's term is over.

        Raises ``OSError`` where the file cannot be used: then nothing may be done in any term's name.
        """
        file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX)
            text = os.pread(file, MAX_FILE_BYTES, 0).decode("ascii", "replace").strip("\0 \n")
            latest = int(text) if text.isdecimal() else 0
            if term > latest:
                os.pwrite(file, f"{term:<20}\n".encode(), 0)  # one write of one length: never half a number
                os.fsync(file)
            return max(term, latest)
        finally:
            os.close(file)


class FencingTerms(BaseExtension):
    """Answers the admin command ``AS TERM COMMAND``, which only the latest coordinator may give."""

    name = "terms"

    def __init__(self, router: EdgeRouter, term: int) -> None:
        """``term`` starts this process, -1 for none; ``ConfigError`` where it is over."""
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
            raise ConfigError(f"{self._file.path} cannot be used: {err.strerror or err}") from err
        if 0 <= term < latest:
            raise ConfigError(f"term: found {term}, expected {latest} or later: a rollout has gone on since")

    def commands(self) -> Mapping[str, Callable[[], str]]:
        """TERM shows the latest term."""
        return {"TERM": self._latest_term}

    def commands_with_argument(self) -> Mapping[str, Callable[[str], str]]:
        """AS runs a command in the name of a term."""
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
