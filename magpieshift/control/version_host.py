"""What a ``VersionManager`` needs of the router it works for, and what it calls with outcomes."""

from __future__ import annotations

import time
from collections.abc import Mapping
from typing import Protocol

from magpieshift.config import Document
from magpieshift.config_transaction import Prepared, RunningSettings
from magpieshift.control.version_records import OfferOutcome


class VersionHost(Protocol):
    """The router that versions are for."""

    def running(self) -> Mapping[str, RunningSettings]:
        """What each part runs on."""
        ...

    async def prepare(self, document: Document) -> Prepared:
        """Have every part prepare a document; ``PreparationError`` if one cannot."""
        ...

    def commit(self, prepared: Prepared, version: int) -> None:
        """Put in force what was prepared. It must not fail."""
        ...


class OutcomeListener(Protocol):
    """What is called with each outcome."""

    def __call__(self, answer: OfferOutcome, apply_us: int, pause_us: int) -> None:
        """``apply_us``: from the offer's arrival until it was in force; ``pause_us``: for how long the event
        loop was held up at most."""
        ...


class PauseTimer:
    """The longest time for which the event loop was held up."""

    def __init__(self) -> None:
        self.pause_us = 0
        """So far."""
        self._began_s = 0.0

    def __enter__(self) -> None:
        self._began_s = time.perf_counter()

    def __exit__(self, *exception: object) -> None:
        self.pause_us = max(self.pause_us, int(1e6 * (time.perf_counter() - self._began_s)))
