"""The interface of a router's optional parts."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from magpieshift.config import Document


class Extension(Protocol):
    """An optional part of a router.

    Its owner, the ``Installation``, starts it before the router accepts clients and stops it after the last
    answer.
    """

    @property
    def name(self) -> str:
        """The name of the extension."""
        ...

    def start(self) -> None:
        """Start, shortly before the router serves.

        Work that needs a serving router begins in a listener on its lifecycle instead.
        """
        ...

    def configuration_changed(self, document: Document, version: int) -> None:
        """A document has come into force.

        Called in the same iteration of the event loop; must neither block nor fail.
        """
        ...

    def commands(self) -> Mapping[str, Callable[[], str]]:
        """The extension's admin commands; each returns one line or raises ``lifecycle.InvalidStateError``."""
        ...

    def commands_with_argument(self) -> Mapping[str, Callable[[str], str]]:
        """The extension's admin commands whose argument is the rest of the line."""
        ...

    async def stop(self) -> None:
        """Stop, and release all resources."""
        ...


class BaseExtension:
    """An extension that does nothing; others override what they need."""

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
