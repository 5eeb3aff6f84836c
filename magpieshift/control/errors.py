"""Errors of versioned configuration."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from magpieshift.errors import MagpieshiftError


class ControlError(MagpieshiftError):
    """The base of all errors of versioned configuration."""


@dataclass(frozen=True)
class Problem:
    """One invalid entry of a document."""

    where: str
    """The entry's path, its names separated by spaces."""
    line: int
    """The entry's line number, from 1; 0 if it has none."""
    found: str
    """What was found."""
    expected: str
    """What would be valid."""

    def __str__(self) -> str:
        place = f"line {self.line}: " if self.line else ""
        return f"{place}{self.where}: found {self.found}, expected {self.expected}"


class UnusableDocumentError(ControlError):
    """A document is invalid; ``problems`` lists every problem that was found."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        """The message joins all problems."""
        super().__init__("; ".join(map(str, problems)))
        self.problems = tuple(problems)


class VersionStoreError(ControlError):
    """Versions cannot be stored or read; the message gives the reason in one line."""


class NoSettingsError(ControlError, LookupError):
    """There is neither a settings file nor a usable stored version to start with."""


class VersionNumberError(ControlError, ValueError):
    """The number of a version to be published is not higher than all published ones."""


class UnreadableMessageError(ControlError, ValueError):
    """A router's message cannot be read."""
