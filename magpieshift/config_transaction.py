"""A new document for all parts of a router or for none: each part prepares it or rejects it, then all commit.

A part's ``prepare`` changes nothing that runs; it returns its commit, which puts the document in force. The
commits are called one after another in one turn of the event loop, after all parts have prepared, and must
not fail: a part does all its checking and building before, and only assigns then. No I/O here, and no clock
but the timeout.
"""

from __future__ import annotations

import asyncio
import inspect
import logging
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from magpieshift.config import Document
from magpieshift.errors import MagpieshiftError
from magpieshift.log import fields

log = logging.getLogger(__name__)

PREPARE_TIMEOUT_S = 2.0
"""For one part. Parts prepare in memory, so one that takes longer is stuck."""
MAX_REASON_CHARACTERS = 200
"""Of an unexpected error, where it is shown to operators."""

Commit = Callable[[], None]
"""Puts a prepared document in force in one part."""
RunningSettings = Mapping[str, object]
"""What a part runs on, in JSON's types, by the names that operators are shown."""


class SettingsRejectedError(MagpieshiftError):
    """A part cannot go over to a document while it runs; the text says why."""

    def __init__(self, reason: str, needs_restart: bool = False) -> None:
        super().__init__(reason)
        self.needs_restart = needs_restart
        """Whether it could with a restart."""


class FailureKind(StrEnum):
    """Why a document could not be prepared."""

    NEEDS_RESTART = "start"
    REJECTED = "part"
    RAISED = "raised"
    """A part failed with an error that is no rejection."""
    TIMED_OUT = "late"


class PreparationError(MagpieshiftError):
    """A part rejected a document, failed, or took too long; nothing has changed."""

    def __init__(self, part: str, detail: str, kind: FailureKind) -> None:
        super().__init__(f"{part}: {detail}")
        self.kind = kind


class Part(Protocol):
    """A part of a running router that takes settings."""

    @property
    def part(self) -> str:
        """Its name, which is shown to operators."""
        ...

    def prepare(self, old: Document, new: Document) -> Commit | Awaitable[Commit]:
        """Make ready for ``new``, changing nothing; ``SettingsRejectedError`` where that is not possible."""
        ...

    def running(self) -> RunningSettings:
        """The settings that it runs on, read from where it uses them."""
        ...


@dataclass(frozen=True)
class Prepared:
    """A document that all parts are ready for."""

    document: Document
    commits: Sequence[tuple[str, Commit]]
    """Each with the name of its part, in the order in which they are called."""

    def commit(self) -> None:
        """Put the document in force."""
        for name, commit in self.commits:
            # A part that fails in spite of its promise must not keep the others on the old document: the
            # settings in force are the new ones from here on.
            try:
                commit()
            except Exception:
                log.exception("part failed to commit", extra=fields(part=name))


async def prepare(
    parts: Sequence[Part], old: Document, new: Document, timeout_s: float = PREPARE_TIMEOUT_S
) -> Prepared:
    """Have every part prepare, in order; ``PreparationError`` at the first that does not.

    ``timeout_s`` is the timeout of each part.
    """
    commits: list[tuple[str, Commit]] = []
    for part in parts:
        commits.append((part.part, await _prepare_part(part, old, new, timeout_s)))
    return Prepared(new, commits)


async def _prepare_part(part: Part, old: Document, new: Document, timeout_s: float) -> Commit:
    try:
        prepared = part.prepare(old, new)
        if inspect.isawaitable(prepared):
            async with asyncio.timeout(timeout_s):
                return await prepared
        return prepared
    except SettingsRejectedError as err:
        kind = FailureKind.NEEDS_RESTART if err.needs_restart else FailureKind.REJECTED
        raise PreparationError(part.part, str(err), kind) from None
    except TimeoutError:
        detail = f"not ready after {timeout_s} s"
        raise PreparationError(part.part, detail, FailureKind.TIMED_OUT) from None
    except Exception as err:  # whatever a part raises rejects the document, and the router runs on
        log.exception("part failed to prepare", extra=fields(part=part.part))
        detail = f"{type(err).__name__}: {err}"[:MAX_REASON_CHARACTERS]
        raise PreparationError(part.part, detail, FailureKind.RAISED) from err
