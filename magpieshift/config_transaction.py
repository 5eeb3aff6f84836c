"""Applies a new document to all parts of a router or to none, by a two-phase commit.

A part's ``prepare`` changes nothing in the running part; it rejects the document or returns a commit function
that puts it in force. After all parts have prepared, their commits are called in one event loop iteration and
must not fail: a part does all validation and construction in ``prepare``, and only assigns in its commit.
This module does no I/O and uses no time but the prepare timeout.
"""

from __future__ import annotations

import asyncio
import inspect
import logging
from collections.abc import Awaitable, Callable, Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

from magpieshift.config import Document
from magpieshift.errors import MagpieshiftError
from magpieshift.log import fields

log = logging.getLogger(__name__)

PREPARE_TIMEOUT_S = 2.0
"""Timeout for one part's ``prepare``. It works in memory only, so one that takes longer is stuck."""
MAX_REASON_CHARACTERS = 200
"""Maximum length of an unexpected error's text as shown to operators."""

Commit = Callable[[], None]
"""Puts a prepared document in force in one part; must not fail."""
RunningSettings = Mapping[str, object]
"""The settings a part uses, as JSON types, under the names that operators see."""


class SettingsRejectedError(MagpieshiftError):
    """A part cannot apply a document while it runs; the text gives the reason."""

    def __init__(self, reason: str, needs_restart: bool = False) -> None:
        super().__init__(reason)
        self.needs_restart = needs_restart
        """Whether the document can be applied by a restart."""


class FailureKind(StrEnum):
    """Why a document could not be prepared."""

    NEEDS_RESTART = "start"
    REJECTED = "part"
    RAISED = "raised"
    """A part raised an error other than a rejection."""
    TIMED_OUT = "late"


class PreparationError(MagpieshiftError):
    """A part rejected a document, failed or timed out while preparing it; nothing has changed."""

    def __init__(self, part: str, detail: str, kind: FailureKind) -> None:
        super().__init__(f"{part}: {detail}")
        self.kind = kind


class Part(Protocol):
    """A part of a running router that is configured by documents."""

    @property
    def part(self) -> str:
        """Name of the part as shown to operators."""
        ...

    def prepare(self, old: Document, new: Document) -> Commit | Awaitable[Commit]:
        """Prepare ``new`` without changing anything; raises ``SettingsRejectedError`` if it cannot be
        applied."""
        ...

    def running(self) -> RunningSettings:
        """The settings in force, read from the objects that use them."""
        ...


@dataclass(frozen=True)
class Prepared:
    """A document that all parts have prepared."""

    document: Document
    commits: Sequence[tuple[str, Commit]]
    """Commit functions with the names of their parts, in call order."""

    def commit(self) -> None:
        """Put the document in force."""
        for name, commit in self.commits:
            # If a commit fails although it must not, the other parts still go over to the new document, which
            # is in force from here on.
            try:
                commit()
            except Exception:
                log.exception("part failed to commit", extra=fields(part=name))


async def prepare(
    parts: Sequence[Part], old: Document, new: Document, timeout_s: float = PREPARE_TIMEOUT_S
) -> Prepared:
    """Have every part prepare, in order; raises ``PreparationError`` at the first that fails.

    ``timeout_s`` applies to each part.
    """
    commits: list[tuple[str, Commit]] = []
    for part in parts:
        commits.append((part.part, await _prepare_part(part, old, new, timeout_s)))
    return Prepared(new, commits)


@contextmanager
def rejection_on_error(part: str) -> Iterator[None]:
    """Turn every error of a part's preparation into a ``PreparationError``; the router continues with the old
    document."""
    try:
        yield
    except PreparationError:
        raise
    except SettingsRejectedError as err:
        kind = FailureKind.NEEDS_RESTART if err.needs_restart else FailureKind.REJECTED
        raise PreparationError(part, str(err), kind) from None
    except Exception as err:
        log.exception("part failed to prepare", extra=fields(part=part))
        detail = f"{type(err).__name__}: {err}"[:MAX_REASON_CHARACTERS]
        raise PreparationError(part, detail, FailureKind.RAISED) from err


async def _prepare_part(part: Part, old: Document, new: Document, timeout_s: float) -> Commit:
    with rejection_on_error(part.part):
        prepared = part.prepare(old, new)
        if not inspect.isawaitable(prepared):
            return prepared
        try:
            async with asyncio.timeout(timeout_s):
                return await prepared
        except TimeoutError:
            detail = f"not ready after {timeout_s} s"
            raise PreparationError(part.part, detail, FailureKind.TIMED_OUT) from None
