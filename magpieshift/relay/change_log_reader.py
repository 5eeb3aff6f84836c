"""A source's reading of the change log: its events as entries of the log, and how stale the source is."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from magpieshift import clock
from magpieshift.config import NO_NAMES, Address
from magpieshift.discovery.changes import ChangeLog
from magpieshift.discovery.client import CAUGHT_UP_AFTER_S, ChangeLogClient
from magpieshift.engine.model import ListedEndpoint
from magpieshift.log import fields
from magpieshift.policy.events import EndpointListKind
from magpieshift.relay.decoding import MAX_GROUP, MAX_UNIX_TIME_US
from magpieshift.relay.message_cache import fits_message
from magpieshift.relay.messages import EndpointListChange, Entry, Purge
from magpieshift.relay.staleness_bound import SourceStalenessBound

log = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.1
"""Between two looks whether all of the change log is read: it adds to the staleness of all followers."""
DELAY_WINDOW_US = 5_000_000
"""The largest delay is that of the last one to two such windows; longer ones keep one late event's age."""
SMALL_KEY_LENGTH = 64
"""A purge with a key of no more characters surely fits a message."""
RECENT_US = 1_000_000
"""An event made no longer before the log answered is no history."""

AppendEntry = Callable[[Entry], None]
"""Adds an entry to the source's log."""


class DelayWindow:
    """The largest delay seen lately."""

    def __init__(self) -> None:
        # number of the present window, its largest delay, and that of the window before
        self._window = 0
        self._largest_us = 0
        self._previous_largest_us = 0

    def record(self, delay_us: int, now_us: int) -> None:
        """A delay was seen; one below zero comes of clocks that differ, and counts as none."""
        self._advance(now_us)
        self._largest_us = max(self._largest_us, delay_us)

    def largest_us(self, now_us: int) -> int:
        """The largest of the last one to two windows; 0 if none was seen."""
        self._advance(now_us)
        return max(self._largest_us, self._previous_largest_us)

    def _advance(self, now_us: int) -> None:
        window = now_us // DELAY_WINDOW_US
        if window != self._window:
            self._previous_largest_us = self._largest_us if window == self._window + 1 else 0
            self._window = window
            self._largest_us = 0


class RawChangeLog(ChangeLog):
    """The change log in its order, with endpoint lists as they are: names are the followers' to read."""

    def __init__(self, listener: ChangeLogReader) -> None:
        """``listener`` gets the lists as JSON."""
        super().__init__(NO_NAMES, listener)
        self._reader = listener

    def apply_list(self, raw: Mapping[str, Any], is_initial: bool) -> None:
        """Pass a list on as JSON."""
        self._reader.list_received(json.dumps(raw, separators=(",", ":")))


class ChangeLogReader:
    """Reads the change log into entries, and knows how stale that makes the source.

    The source is current to the last check that found all read, before bytes came: those bytes left the log
    after that check, and everything before them is read too. To this the largest delay seen lately is added,
    between the time of an event and its arrival.
    """

    def __init__(self, address: Address, append: AppendEntry, seed: int = 0) -> None:
        """``seed`` of the client's jitter."""
        self.address = address
        """Of the change log."""
        self.history_read = False
        """Whether the log's history at the start has been read."""
        self.rejected_changes = 0
        """Changes that were too large to be passed on."""
        self._append = append
        self._staleness = SourceStalenessBound()
        self._delays = DelayWindow()
        self._client = ChangeLogClient(address, RawChangeLog(self), seed)
        self._checker: asyncio.Task[None] | None = None
        # the last check that found all read, and how much had been read then
        self._last_all_read_us: int | None = None
        self._last_chunks = 0
        # Unix time of the log's first answer
        self._answered_us: int | None = None
        # since when nothing came
        self._quiet_since_us = 0

    def start(self) -> None:
        """Read, until ``stop``."""
        self._client.start()
        self._checker = asyncio.ensure_future(self._check_loop())

    def stop(self) -> None:
        """Close the connection."""
        self._client.stop()
        if self._checker is not None:
            self._checker.cancel()

    def age_us(self, now_us: int) -> int | None:
        """How long ago the moment is up to which everything that the log accepted is known here; None before
        the log's history is read."""
        age_us = self._staleness.age_us(now_us)
        if age_us is None or not self.history_read:
            return None
        return age_us + self._delays.largest_us(now_us)

    # --- events of the change log

    def list_changed(self, kind: EndpointListKind, version: int, members: Sequence[ListedEndpoint]) -> None:
        """Not called: lists are passed on as they are."""
        raise NotImplementedError

    def list_received(self, list_json: str) -> None:
        """An endpoint list, or a change of it."""
        self._pass_on(EndpointListChange(list_json))

    def purged(self, key: str, group: int, issued_us: int) -> None:
        """An object or a group was purged; ``ValueError`` if that cannot be passed on."""
        if not 0 <= issued_us <= MAX_UNIX_TIME_US or abs(group) > MAX_GROUP:
            raise ValueError(f"purge of group {group} at {issued_us} us")
        self._pass_on(Purge(key, group, issued_us))
        now_unix_us = clock.source.unix_us()
        if self.history_read:
            self._delays.record(now_unix_us - issued_us, clock.source.steady_us())
        elif self._answered_us is not None and issued_us >= self._answered_us - RECENT_US:
            self._mark_history_read()

    def _pass_on(self, entry: Entry) -> None:
        is_small = isinstance(entry, Purge) and len(entry.key) <= SMALL_KEY_LENGTH
        if is_small or fits_message(entry):
            self._append(entry)
        else:
            self.rejected_changes += 1
            raise ValueError("a change that is too large for followers")

    # --- staleness

    async def _check_loop(self) -> None:
        while True:
            self.check(clock.source.steady_us())
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self, now_us: int) -> None:
        """Look whether all that has arrived is read."""
        if self._client.has_answered and self._answered_us is None:
            self._answered_us = clock.source.unix_us()
            self._quiet_since_us = now_us
        if not self._client.has_read_all():
            return
        if self._client.chunks_read != self._last_chunks:
            if self._last_all_read_us is not None:
                self._staleness.record_read(self._last_all_read_us)
            self._last_chunks = self._client.chunks_read
            self._quiet_since_us = now_us
        elif (
            self._client.has_answered
            and not self.history_read
            and now_us - self._quiet_since_us >= CAUGHT_UP_AFTER_S * 1e6
        ):
            self._mark_history_read()
        self._last_all_read_us = now_us

    def _mark_history_read(self) -> None:
        self.history_read = True
        log.info("change log read", extra=fields(seq=self._client.changes.last_sequence))
