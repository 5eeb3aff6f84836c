"""All or none: a document goes to every part of a router, each of which prepares it or turns it down.

A part's ``prepare`` changes nothing that runs; it returns what is to be called to put the document in force.
Those calls come one after another in one turn of the event loop, after all parts have prepared, and must not
fail: a part does all its checking and building before, and only assigns then. No I/O here, and no clock but
the time-out.
"""

from __future__ import annotations

import asyncio
import inspect
import logging
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from magpieshift.config import Document
from magpieshift.log import fields

log = logging.getLogger(__name__)

PREPARE_S = 2.0  # for one part; they prepare in memory, so one that takes longer is stuck

Commit = Callable[[], None]
Running = Mapping[str, object]


class SettingsRejected(Exception):
    """A part cannot go over to a document while it runs; the text says why."""

    def __init__(self, reason: str, at_start: bool = False) -> None:
        super().__init__(reason)
        self.at_start = at_start  # whether it could with a restart


class Part(Protocol):
    """A part of a running router that takes settings."""

    @property
    def part(self) -> str:
        """Its name, for people."""
        ...

    def prepare(self, old: Document, new: Document) -> Commit | Awaitable[Commit]:
        """Make ready for ``new``, changing nothing; ``SettingsRejected`` where it cannot be."""
        ...

    def running(self) -> Running:
        """The figures that it runs on, read from where it uses them; JSON's types."""
        ...


class PreparationFailed(Exception):
    """A part turned a document down, raised, or took too long; nothing has changed."""

    def __init__(self, part: str, detail: str, kind: str) -> None:
        super().__init__(f"{part}: {detail}")
        self.kind = kind  # "start", "part", "raised" or "late"


@dataclass(frozen=True)
class Prepared:
    """A document that all parts are ready for."""

    document: Document
    commits: Sequence[tuple[str, Commit]]

    def commit(self) -> None:
        """Put it in force. A part that fails all the same, against its promise, is logged and does not keep
        the others on the old document: the configuration in force is the new one from here on."""
        for name, commit in self.commits:
            try:
                commit()
            except Exception:
                log.exception("part failed to commit", extra=fields(part=name))


async def prepare(
    parts: Sequence[Part], old: Document, new: Document, within_s: float = PREPARE_S
) -> Prepared:
    """Let every part prepare, in order; ``PreparationFailed`` at the first that does not."""
    commits: list[tuple[str, Commit]] = []
    for part in parts:
        try:
            found = part.prepare(old, new)
            if inspect.isawaitable(found):
                async with asyncio.timeout(within_s):
                    found = await found
        except SettingsRejected as err:
            raise PreparationFailed(part.part, str(err), "start" if err.at_start else "part") from None
        except TimeoutError:
            raise PreparationFailed(part.part, f"not ready after {within_s} s", "late") from None
        except Exception as err:
            log.exception("part raised", extra=fields(part=part.part))
            raise PreparationFailed(part.part, f"{type(err).__name__}: {err}"[:200], "raised") from err
        commits.append((part.part, found))
    return Prepared(new, commits)
