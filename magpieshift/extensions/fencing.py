"""Which coordinator of a rollout a router obeys, as a fitting: the latest, by its term.

The latest term that was heard of lies in a file beside the router's claim, which all processes of the router
read: a successor knows what its predecessor was told. A call of an older term is turned down, and a process
that an older one starts does not come to serve.
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

MOST_TERM = 1 << 62


class FencingTermFile:
    """The file with the latest term. Each call opens, locks, reads and closes it: it is called seldom."""

    def __init__(self, listen: Address, folder: str | None = None) -> None:
        self.path = Path(folder or tempfile.gettempdir()) / "magpieshift-{}-{}.term".format(*listen)

    def pass_on(self, term: int) -> int:
        """The latest term, this one counted; the caller's is over if it is less. ``OSError`` where the file
        cannot be used: then nothing may be done in any term's name."""
        file = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
        try:
            fcntl.flock(file, fcntl.LOCK_EX)
            text = os.pread(file, 32, 0).decode("ascii", "replace").strip("\0 \n")
            latest = int(text) if text.isdecimal() else 0
            if term > latest:
                os.pwrite(file, f"{term:<20}\n".encode(), 0)  # one write of one length: never half a number
                os.fsync(file)
            return max(term, latest)
        finally:
            os.close(file)


class FencingTerms(BaseExtension):
    """The door's call ``AS TERM WORD``: what only the latest coordinator may ask."""

    name = "terms"

    def __init__(self, router: EdgeRouter, term: int) -> None:
        """``ConfigError`` where the term that starts this process is over."""
        self._router = router
        self._fence = FencingTermFile(router.document.listen)
        try:
            latest = self._fence.pass_on(max(term, 0))
        except OSError as err:
            raise ConfigError(f"{self._fence.path} cannot be used: {err.strerror or err}") from err
        if 0 <= term < latest:
            raise ConfigError(f"term: found {term}, expected {latest} or later: a rollout has gone on since")

    def commands(self) -> Mapping[str, Callable[[], str]]:
        return {"TERM": self._latest}

    def commands_with_argument(self) -> Mapping[str, Callable[[str], str]]:
        return {"AS": self._as}

    def _latest(self) -> str:
        try:
            return str(self._fence.pass_on(0))
        except OSError as err:
            raise InvalidStateError(f"the term cannot be read: {err.strerror or err}") from err

    def _as(self, text: str) -> str:
        term, _, word = text.partition(" ")
        lifecycle = self._router.lifecycle
        calls: dict[str, Callable[[], str]] = {
            "PING": lifecycle.ping,
            "LAMEDUCK": lifecycle.lame_duck,
            "REJOIN": lifecycle.rejoin,
            "END": self._end,
        }
        if not term.isdecimal() or int(term) > MOST_TERM or word not in calls:
            raise InvalidStateError(
                f"found {ascii(text)[:60]}, expected AS TERM and one of {', '.join(calls)}"
            )
        try:
            latest = self._fence.pass_on(int(term))
        except OSError as err:
            raise InvalidStateError(f"the term cannot be kept: {err.strerror or err}") from err
        if int(term) < latest:
            raise InvalidStateError(f"term {term} is over, the latest is {latest}")
        return calls[word]()

    def _end(self) -> str:
        self._router.stop()
        return self._router.lifecycle.state_name
