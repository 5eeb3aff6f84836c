"""Reloads of the platform's configuration file while the router runs; the file has no versions."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import Protocol

from magpieshift.config import Config, ConfigError, Document
from magpieshift.config_transaction import PreparationError, Prepared
from magpieshift.log import fields

log = logging.getLogger(__name__)


class Reloadable(Protocol):
    """A router that goes over to new documents."""

    version: int

    async def prepare(self, document: Document, /) -> Prepared:
        """Have all parts make ready; ``PreparationError`` where one rejects the document."""
        ...

    def commit(self, prepared: Prepared, version: int, /) -> None:
        """Put a prepared document in force."""
        ...


class FileReload:
    """Reads the file when asked to, and puts what it holds in force, one reload after another."""

    def __init__(self, router: Reloadable, read: Callable[[], Config]) -> None:
        self._router = router
        self._read = read
        self._documents: asyncio.Queue[Document] = asyncio.Queue()

    def request(self) -> None:
        """Read the file now and queue its document; one that cannot be used is logged and left."""
        try:
            self._documents.put_nowait(self._read().document)
        except ConfigError as err:
            log.error("configuration not reloaded", extra=fields(reason=err))

    async def run(self) -> None:
        """Apply the queued documents, until cancelled."""
        while True:
            document = await self._documents.get()
            try:
                self._router.commit(await self._router.prepare(document), self._router.version)
            except PreparationError as err:
                log.error("configuration not reloaded", extra=fields(reason=err))
            else:
                host, port = document.change_log_address
                log.info("configuration reloaded", extra=fields(changelog=f"{host}:{port}"))
