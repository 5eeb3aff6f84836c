"""The interfaces of ``VersionManager``: to the router that it manages, and to the listeners of outcomes."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Protocol

from magpieshift.config import Document
from magpieshift.config_transaction import Prepared, RunningSettings
from magpieshift.control.version_records import OfferOutcome


class VersionHost(Protocol):
    """The router whose versions are managed."""

    def running(self) -> Mapping[str, RunningSettings]:
        """The running settings of each part of the router."""
        ...

    async def prepare(self, document: Document) -> Prepared:
        """Let every part of the router prepare a document; ``PreparationError`` if one fails or rejects
        it."""
        ...

    def commit(self, prepared: Prepared, version: int) -> None:
        """Put a prepared document in force. Must not fail."""
        ...


class OutcomeListener(Protocol):
    """A callback for the outcomes of offers."""

    def __call__(self, answer: OfferOutcome, apply_us: int, pause_us: int) -> None:
        """Handle an outcome.

        ``apply_us`` is the time from the offer's arrival until it was in force, ``pause_us`` the longest time
        for which applying it blocked the event loop.
        """
        ...


class PauseTimer:
    """Measures the longest of the timed steps, each of which may block the event loop."""

    def __init__(self) -> None:
        self.pause_us = 0
        """Longest time so far, in microseconds."""
        self._began_s = 0.0

    def __enter__(self) -> None:
        self._began_s = time.perf_counter()

    def __exit__(self, *exception: object) -> None:
        self.pause_us = max(self.pause_us, int(1e6 * (time.perf_counter() - self._began_s)))
