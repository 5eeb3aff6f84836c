"""Errors of versioned configuration."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from magpieshift.errors import MagpieshiftError


class ControlError(MagpieshiftError):
    """The base of all errors of versioned configuration."""


@dataclass(frozen=True)
class Problem:
    """One thing in a document that cannot be used."""

    where: str
    """The entry's path, in words."""
    line: int
    """From 1; 0 if there is none."""
    found: str
    """What stands there."""
    expected: str
    """What could stand there."""

    def __str__(self) -> str:
        place = f"line {self.line}: " if self.line else ""
        return f"{place}{self.where}: found {self.found}, expected {self.expected}"


class UnusableDocumentError(ControlError):
    """A document cannot be used; ``problems`` holds every reason that was found."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        """The text is that of all problems."""
        super().__init__("; ".join(map(str, problems)))
        self.problems = tuple(problems)


class VersionStoreError(ControlError):
    """Versions cannot be stored, or read; the text says why, in one line."""


class NoSettingsError(ControlError, LookupError):
    """There are neither settings to start with nor a stored version."""


class VersionNumberError(ControlError, ValueError):
    """A version to be published has a number that is not above all others."""


class UnreadableMessageError(ControlError, ValueError):
    """A router's message cannot be read."""
