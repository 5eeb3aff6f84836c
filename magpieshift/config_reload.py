"""Reloads the platform's configuration file while the router runs; the file has no version number."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from magpieshift.background_task import BackgroundTask
from magpieshift.config import Config, ConfigError, Document
from magpieshift.config_transaction import PreparationError, Prepared
from magpieshift.log import fields

log = logging.getLogger(__name__)


class Reloadable(Protocol):
    """A router that can be reconfigured while it runs."""

    version: int

    async def prepare(self, document: Document, /) -> Prepared:
        """Have all parts prepare a document; raises ``PreparationError`` if one rejects it."""
        ...

    def commit(self, prepared: Prepared, version: int, /) -> None:
        """Put a prepared document in force."""
        ...


class FileReload:
    """Reads the configuration file on request and puts its document in force, one reload at a time."""

    def __init__(self, router: Reloadable, read: Callable[[], Config]) -> None:
        self._router = router
        self._read = read
        self._documents: asyncio.Queue[Document] = asyncio.Queue()
        self._applying = BackgroundTask("configuration reload", self.run)

    def start(self) -> None:
        """Apply queued documents until ``stop``, whatever one of them raises."""
        self._applying.start()

    def stop(self) -> None:
        """Apply no further document."""
        self._applying.cancel()

    def request(self) -> None:
        """Read the file now and queue its document; if the file is invalid, log the reason and change
        nothing."""
        try:
            self._documents.put_nowait(self._read().document)
        except ConfigError as err:
            log.error("configuration not reloaded", extra=fields(reason=err))

    async def run(self) -> None:
        """Apply queued documents until cancelled; an error other than a rejection is raised."""
        while True:
            document = await self._documents.get()
            try:
                self._router.commit(await self._router.prepare(document), self._router.version)
            except PreparationError as err:
                log.error("configuration not reloaded", extra=fields(reason=err))
            else:
                host, port = document.change_log_address
                log.info("configuration reloaded", extra=fields(changelog=f"{host}:{port}"))
