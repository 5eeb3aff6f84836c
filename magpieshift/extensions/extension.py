"""The one interface by which optional parts join a router: what is told to each, and what each may say."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Protocol

from magpieshift.config import Document


class Extension(Protocol):
    """An optional part of an installation's router. Its owner is the ``Installation``, which starts it before
    clients come and ends it after the last answer."""

    @property
    def name(self) -> str:
        """Its name, for log lines."""
        ...

    def start(self) -> None:
        """The router is about to serve; what needs it serving watches its lifecycle."""
        ...

    def configuration_changed(self, document: Document, version: int) -> None:
        """A document has come into force. Called in the turn of the event loop in which it does: must not
        wait, and must not fail."""
        ...

    def commands(self) -> Mapping[str, Callable[[], str]]:
        """What operators may ask of it at the door: one line each, or ``lifecycle.NotNow``."""
        ...

    def commands_with_argument(self) -> Mapping[str, Callable[[str], str]]:
        """The same, of calls that take the rest of the line."""
        ...

    async def stop(self) -> None:
        """Give back all it holds."""
        ...


class BaseExtension:
    """A fitting that heeds nothing; others take from it what they do not need."""

    name = "plain"

    def start(self) -> None:
        pass

    def configuration_changed(self, document: Document, version: int) -> None:
        pass

    def commands(self) -> Mapping[str, Callable[[], str]]:
        return {}

    def commands_with_argument(self) -> Mapping[str, Callable[[str], str]]:
        return {}

    async def stop(self) -> None:
        pass
