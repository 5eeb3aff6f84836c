"""The interface by which optional parts join a router."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from magpieshift.config import Document


class Extension(Protocol):
    """An optional part of a router.

    Its owner is the ``Installation``, which starts it before clients come and stops it after the last answer.
    """

    @property
    def name(self) -> str:
        """Its name, for log lines."""
        ...

    def start(self) -> None:
        """The router is about to serve; what needs it serving watches its lifecycle."""
        ...

    def configuration_changed(self, document: Document, version: int) -> None:
        """A document has come into force.

        Called in the turn of the event loop in which it does; must neither block nor fail.
        """
        ...

    def commands(self) -> Mapping[str, Callable[[], str]]:
        """Its admin commands; each returns one line or raises ``lifecycle.InvalidStateError``."""
        ...

    def commands_with_argument(self) -> Mapping[str, Callable[[str], str]]:
        """Its admin commands that take the rest of the line."""
        ...

    async def stop(self) -> None:
        """Release all that it holds."""
        ...


class BaseExtension:
    """An extension that does nothing; others inherit what they do not need."""

    name = "plain"

    def start(self) -> None:
        """Nothing to start."""

    def configuration_changed(self, document: Document, version: int) -> None:
        """Nothing depends on the configuration."""

    def commands(self) -> Mapping[str, Callable[[], str]]:
        """No admin commands."""
        return {}

    def commands_with_argument(self) -> Mapping[str, Callable[[str], str]]:
        """No admin commands."""
        return {}

    async def stop(self) -> None:
        """Nothing to release."""
