"""Where the log's entries come from: the change log, and a folder of configuration versions."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Mapping, Sequence
from functools import partial
from typing import Any

from magpieshift import clock
from magpieshift.config import NO_NAMES, Address
from magpieshift.control.publisher import Published, read_folder
from magpieshift.discovery.changes import ChangeLog
from magpieshift.discovery.client import CAUGHT_UP_AFTER_S, ChangeLogClient
from magpieshift.engine.model import ListedEndpoint
from magpieshift.log import fields
from magpieshift.policy.events import EndpointListKind
from magpieshift.relay import configuration
from magpieshift.relay.codec import MOST_GROUP, MOST_TIME_US
from magpieshift.relay.encoder import fits
from magpieshift.relay.messages import ConfigurationChange, Entry, Purge, StoreChange
from magpieshift.relay.staleness_bound import SourceStalenessBound

log = logging.getLogger(__name__)

CHECK_S = 0.1  # between two looks whether all of the change log is read
POLL_S = 0.3  # between two looks into the folder of versions
DELAY_KEPT_US = 5_000_000  # the largest delay is that of the last one to two such stretches
PLAIN_KEY_LENGTH = 64  # a purge with such a key is surely small enough
RECENT_US = 1_000_000  # an event made so long before the log answered, or later, is no history

Append = Callable[[Entry], None]


class Delays:
    """The largest delay seen lately."""

    def __init__(self) -> None:
        self._stretch = 0
        self._largest_us = 0
        self._before_us = 0

    def note(self, delay_us: int, now_us: int) -> None:
        """A delay was seen; one below zero tells of clocks, and counts as none."""
        self._turn(now_us)
        self._largest_us = max(self._largest_us, delay_us)

    def largest_us(self, now_us: int) -> int:
        """The largest of the last one to two stretches; 0 where none was seen."""
        self._turn(now_us)
        return max(self._largest_us, self._before_us)

    def _turn(self, now_us: int) -> None:
        stretch = now_us // DELAY_KEPT_US
        if stretch != self._stretch:
            self._before_us = self._largest_us if stretch == self._stretch + 1 else 0
            self._stretch = stretch
            self._largest_us = 0


class RawChanges(ChangeLog):
    """The change log in its order, with lists of stores as they are: names are the followers' to read."""

    def __init__(self, listener: LogReader) -> None:
        super().__init__(NO_NAMES, listener)
        self._reader = listener

    def apply_list(self, raw: Mapping[str, Any], is_initial: bool) -> None:
        """Hand a list on as JSON."""
        self._reader.list_told(json.dumps(raw, separators=(",", ":")))


class LogReader:
    """Reads the change log into entries, and knows how current that is.

    The source is current to the last look that found all read, before bytes came: those bytes left the log
    after that look, and everything before them is read too. To this the largest delay seen lately is added,
    between the time of an event and its arrival.
    """

    def __init__(self, address: Address, append: Append, seed: int = 0) -> None:
        self._append = append
        self.address = address
        self._currency = SourceStalenessBound()
        self._delays = Delays()
        self._feed = ChangeLogClient(address, RawChanges(self), seed)
        self._looking: asyncio.Task[None] | None = None
        self._all_read_us: int | None = None  # the last look that found all read
        self._chunks_then = 0
        self._answered_us: int | None = None  # Unix time
        self._quiet_since_us = 0
        self.told = False  # whether the log has told what it had to tell at the start
        self.too_large = 0  # changes that could not be passed on

    def start(self) -> None:
        """Read, until ``stop``."""
        self._feed.start()
        self._looking = asyncio.ensure_future(self._look())

    def stop(self) -> None:
        """Close the connection."""
        self._feed.stop()
        if self._looking is not None:
            self._looking.cancel()

    def age_us(self, now_us: int) -> int | None:
        """How long ago the moment is up to which everything that the log accepted is known here; None as long
        as the log has not told its history."""
        age_us = self._currency.age_us(now_us)
        if age_us is None or not self.told:
            return None
        return age_us + self._delays.largest_us(now_us)

    # --- what the change log tells

    def list_changed(self, kind: EndpointListKind, version: int, members: Sequence[ListedEndpoint]) -> None:
        """Not called: lists are handed on as they are."""
        raise NotImplementedError

    def list_told(self, fleet: str) -> None:
        """A list of stores, or a change of it."""
        self._pass_on(StoreChange(fleet))

    def purged(self, key: str, group: int, made_us: int) -> None:
        """An object or a group was purged."""
        if not 0 <= made_us <= MOST_TIME_US or abs(group) > MOST_GROUP:
            raise ValueError(f"purge of group {group} at {made_us} us")
        self._pass_on(Purge(key, group, made_us))
        now_unix_us = clock.source.unix_us()
        if self.told:
            self._delays.note(now_unix_us - made_us, clock.source.steady_us())
        elif self._answered_us is not None and made_us >= self._answered_us - RECENT_US:
            self._history_told()

    def _pass_on(self, entry: Entry) -> None:
        plain = isinstance(entry, Purge) and len(entry.key) <= PLAIN_KEY_LENGTH
        if plain or fits(entry):
            self._append(entry)
        else:
            self.too_large += 1
            raise ValueError("a change that is too large for followers")

    # --- how current it is

    async def _look(self) -> None:
        while True:
            self.look(clock.source.steady_us())
            await asyncio.sleep(CHECK_S)

    def look(self, now_us: int) -> None:
        """Look whether all that has arrived is read."""
        if self._feed.has_answered and self._answered_us is None:
            self._answered_us = clock.source.unix_us()
            self._quiet_since_us = now_us
        if not self._feed.has_read_all():
            return
        if self._feed.chunks_read != self._chunks_then:
            if self._all_read_us is not None:
                self._currency.read_all(self._all_read_us)
            self._chunks_then = self._feed.chunks_read
            self._quiet_since_us = now_us
        elif (
            self._feed.has_answered
            and not self.told
            and now_us - self._quiet_since_us >= CAUGHT_UP_AFTER_S * 1e6
        ):
            self._history_told()
        self._all_read_us = now_us

    def _history_told(self) -> None:
        self.told = True
        log.info("change log told", extra=fields(seq=self._feed.changes.last_sequence))


class VersionReader:
    """Reads a folder of versions: the newest of them at first, then each that comes."""

    def __init__(self, folder: str, append: Append) -> None:
        self._folder = folder
        self._append = append
        self._newest = -1  # number of the last that was read
        self._previous: Published | None = None  # the last that was passed on
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Read, until ``stop``."""
        self._task = asyncio.ensure_future(self._run())

    def stop(self) -> None:
        """Read no more."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                found = await loop.run_in_executor(None, self._newer)
            except OSError as err:
                log.warning("versions not read", extra=fields(folder=self._folder, reason=err))
                found = []
            for version in found:
                entry = await loop.run_in_executor(
                    None, partial(configuration.entry, self._previous, version)
                )
                self._pass_on(version, entry)
            await asyncio.sleep(POLL_S)

    def _newer(self) -> list[Published]:
        found = read_folder(self._folder, self._newest)
        return found if self._newest >= 0 else found[-1:]

    def _pass_on(self, version: Published, entry: ConfigurationChange) -> None:
        self._newest = version.number
        if not version.number or not fits(entry):
            log.error(
                "version not passed on",
                extra=fields(
                    version=version.number,
                    reason="it has no number" if not version.number else "too large",
                ),
            )
            return
        self._previous = version
        self._append(entry)
        kind = "delta" if entry.base_digest else "whole"
        log.info(
            "version passed on",
            extra=fields(
                version=version.number,
                digest=version.digest,
                content=kind,
                bytes=len(entry.content),
            ),
        )
