"""Reads the change log for a source: turns its events into log entries, and tracks how stale the source
is."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Mapping, Sequence
from typing import Any

from magpieshift import clock
from magpieshift.background_task import BackgroundTask
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
"""Interval between checks whether everything received from the change log is read; it adds to the staleness
of all followers."""
DELAY_WINDOW_US = 5_000_000
"""Length of a window of ``DelayWindow``, which covers the last one to two windows. Longer windows would keep
the age of a single late event for longer."""
SMALL_KEY_LENGTH = 64
"""Key length in characters up to which a purge fits a message for certain, so that its size is not
checked."""
HISTORY_END_TOLERANCE_US = 1_000_000
"""A purge that was issued at most this long before the change log's first answer, or later, marks the end of
the log's history."""

AppendEntry = Callable[[Entry], None]
"""Adds an entry to the source's log."""


class DelayWindow:
    """The largest delay of the last one to two windows of ``DELAY_WINDOW_US``."""

    def __init__(self) -> None:
        # number of the present window, its largest delay, and that of the window before
        self._window = 0
        self._largest_us = 0
        self._previous_largest_us = 0

    def record(self, delay_us: int, now_us: int) -> None:
        """Record a delay. A negative one is due to clock differences between machines, and counts as 0."""
        self._advance(now_us)
        self._largest_us = max(self._largest_us, delay_us)

    def largest_us(self, now_us: int) -> int:
        """The largest delay of the last one to two windows; 0 if none was recorded."""
        self._advance(now_us)
        return max(self._largest_us, self._previous_largest_us)

    def _advance(self, now_us: int) -> None:
        window = now_us // DELAY_WINDOW_US
        if window != self._window:
            self._previous_largest_us = self._largest_us if window == self._window + 1 else 0
            self._window = window
            self._largest_us = 0


class RawChangeLog(ChangeLog):
    """Receives the change log in order, and passes endpoint lists on as JSON: only followers interpret the
    names in them."""

    def __init__(self, listener: ChangeLogReader) -> None:
        """``listener`` gets the lists as JSON."""
        super().__init__(NO_NAMES, listener)
        self._reader = listener

    def apply_list(self, raw: Mapping[str, Any], is_initial: bool) -> None:
        """Pass an endpoint list on as JSON."""
        self._reader.list_received(json.dumps(raw, separators=(",", ":")))


class ChangeLogReader:
    """Turns the events of the change log into log entries, and tracks how stale the source is.

    When bytes are read, the source is current up to the last check before them that found everything read:
    the bytes arrived after that check, and everything before them is read too. The largest recent delay
    between the time of a purge and its arrival is added to the age.
    """

    def __init__(self, address: Address, append: AppendEntry, seed: int = 0) -> None:
        """``seed`` seeds the jitter of the change log client."""
        self.address = address
        """Address of the change log."""
        self.history_read = False
        """Whether the history that the change log sends at the start has been read."""
        self.rejected_changes = 0
        """Number of changes that were too large to be sent to followers."""
        self._append = append
        self._staleness = SourceStalenessBound()
        self._delays = DelayWindow()
        self._client = ChangeLogClient(address, RawChangeLog(self), seed)
        self._checking = BackgroundTask("change log check", self._check_loop)
        # time of the last check that found everything read, and the number of chunks read by then
        self._last_all_read_us: int | None = None
        self._last_chunks = 0
        # Unix time of the change log's first answer
        self._answered_us: int | None = None
        # since when nothing has been received
        self._quiet_since_us = 0

    def start(self) -> None:
        """Read the change log until ``stop``."""
        self._client.start()
        self._checking.start()

    def stop(self) -> None:
        """Close the connection."""
        self._client.stop()
        self._checking.cancel()

    def age_us(self, now_us: int) -> int | None:
        """The source's age: it knows everything that the change log had accepted this long ago. None before
        the change log's history is read."""
        age_us = self._staleness.age_us(now_us)
        if age_us is None or not self.history_read:
            return None
        return age_us + self._delays.largest_us(now_us)

    # --- events of the change log

    def list_changed(self, kind: EndpointListKind, version: int, members: Sequence[ListedEndpoint]) -> None:
        """Never called: ``RawChangeLog`` passes lists on as JSON to ``list_received``."""
        raise NotImplementedError

    def list_received(self, list_json: str) -> None:
        """Append an endpoint list, or a change of it, to the log."""
        self._append_entry(EndpointListChange(list_json))

    def purged(self, key: str, group: int, issued_us: int) -> None:
        """Append the purge of an object or a group to the log; ``ValueError`` if it cannot be sent to
        followers."""
        if not 0 <= issued_us <= MAX_UNIX_TIME_US or abs(group) > MAX_GROUP:
            raise ValueError(
                f"purge: found group {group} at {issued_us} us, expected a 64-bit group and 0 to"
                f" {MAX_UNIX_TIME_US} us"
            )
        self._append_entry(Purge(key, group, issued_us))
        now_unix_us = clock.source.unix_us()
        if self.history_read:
            self._delays.record(now_unix_us - issued_us, clock.source.steady_us())
        elif self._answered_us is not None and issued_us >= self._answered_us - HISTORY_END_TOLERANCE_US:
            self._mark_history_read()

    def _append_entry(self, entry: Entry) -> None:
        is_small = isinstance(entry, Purge) and len(entry.key) <= SMALL_KEY_LENGTH
        if is_small or fits_message(entry):
            self._append(entry)
        else:
            self.rejected_changes += 1
            raise ValueError("the change is too large for a message to followers")

    # --- staleness

    async def _check_loop(self) -> None:
        while True:
            self.check(clock.source.steady_us())
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check(self, now_us: int) -> None:
        """Check whether everything that has arrived is read, and update the staleness bound."""
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
        log.info("change log history read", extra=fields(seq=self._client.changes.last_sequence))
