"""Reads a folder of configuration versions for a source."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from functools import partial

from magpieshift.background_task import BackgroundTask
from magpieshift.control.publisher import PublishedVersion, read_version_folder
from magpieshift.log import fields
from magpieshift.relay.configuration import log_entry
from magpieshift.relay.message_cache import fits_message
from magpieshift.relay.messages import ConfigurationChange

log = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.3
"""Poll interval of the folder; short compared with the seconds that a version takes to come into force."""


class VersionReader:
    """Reads a folder of versions: the newest one at first, then each new one."""

    def __init__(self, folder: str, append: Callable[[ConfigurationChange], None]) -> None:
        """``append`` adds an entry to the source's log."""
        self._folder = folder
        self._append = append
        # number of the last version that was read; -1 before the first
        self._newest_number = -1
        # the last version that was added to the log
        self._previous: PublishedVersion | None = None
        self._polling = BackgroundTask("version folder reader", self._run)

    def start(self) -> None:
        """Poll the folder until ``stop``."""
        self._polling.start()

    def stop(self) -> None:
        """Stop polling."""
        self._polling.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                versions = await loop.run_in_executor(None, self._read_new)
            except OSError as err:
                log.warning("version folder not readable", extra=fields(folder=self._folder, reason=err))
                versions = []
            for version in versions:
                entry = await loop.run_in_executor(None, partial(log_entry, self._previous, version))
                self._add_to_log(version, entry)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _read_new(self) -> list[PublishedVersion]:
        versions = read_version_folder(self._folder, self._newest_number)
        return versions if self._newest_number >= 0 else versions[-1:]

    def _add_to_log(self, version: PublishedVersion, entry: ConfigurationChange) -> None:
        self._newest_number = version.number
        if not version.number or not fits_message(entry):
            reason = (
                "its number is 0, expected 1 or higher" if not version.number else "too large for a message"
            )
            log.error("version not added to log", extra=fields(version=version.number, reason=reason))
            return
        self._previous = version
        self._append(entry)
        content = "delta" if entry.base_digest else "whole"
        log.info(
            "version added to log",
            extra=fields(
                version=version.number,
                digest=version.digest,
                content=content,
                bytes=len(entry.content),
            ),
        )
