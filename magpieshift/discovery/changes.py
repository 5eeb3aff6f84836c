"""Applies the change log's changes in order: each one once, and none is skipped while the log still has
it."""

from __future__ import annotations

import logging
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from magpieshift.config import Names
from magpieshift.discovery import codec
from magpieshift.discovery.errors import MissingChangesError
from magpieshift.engine.model import ListedEndpoint
from magpieshift.log import fields
from magpieshift.policy.events import EndpointListKind

log = logging.getLogger(__name__)

LOG_INTERVAL_S = 1.0
"""Shortest interval between log lines about purges. Logging each purge would add considerably to its cost;
a longer interval informs operators later."""


class ChangeListener(Protocol):
    """Receives the changes of a change source."""

    def list_changed(self, kind: EndpointListKind, version: int, endpoints: Sequence[ListedEndpoint]) -> None:
        """Endpoints were added, changed or removed; all kinds except ``DELTA`` are complete lists."""
        ...

    def purged(self, key: str, group: int, purged_us: int) -> None:
        """An object was purged, or a group if the key is empty; ``purged_us`` is the Unix time in
        microseconds."""
        ...


class ChangeSource(Protocol):
    """The source of a router's changes: ``discovery.client.ChangeLogClient``, or a replacement that is set as
    ``EdgeRouter.change_source`` before the start.

    It either calls the router as a ``ChangeListener``, or passes events to ``EdgeRouter.changes``, a
    ``ChangeLog``, and calls ``log_if_due`` after each batch. Both happen on the router's event loop.
    """

    def start(self) -> None:
        """Start reading. The changes known from the configuration were applied before. Must not block."""
        ...

    def stop(self) -> None:
        """Stop notifying and release all resources; may be called repeatedly, and without ``start``."""
        ...

    async def caught_up(self, within_s: float) -> bool:
        """Wait at most ``within_s`` seconds until all changes so far are applied; returns whether they are.

        Called when the router replaces another process, before it accepts clients.
        """
        ...


class ChangeLog:
    """Applies the changes of the log in sequence order."""

    def __init__(self, names: Names, listener: ChangeListener) -> None:
        self.names = names
        """The names of zones and endpoint kinds, by number."""
        self._listener = listener
        self.last_sequence = 0
        """The sequence number of the last change applied."""
        self._requested_sequence = 0
        """The last missing sequence number for which the log was read again."""
        self._unlogged_count = 0
        """Changes applied since the last log line."""
        self._log_at_once = False
        """Whether these include an endpoint list, which is logged immediately."""
        self._next_log_s = 0.0
        """When purges may be logged again, in the time passed to ``log_if_due``."""

    def apply_known(self, known: Mapping[str, Any]) -> None:
        """Apply the changes from before the start, which the configuration holds."""
        for content in codec.read_known_changes(known):
            self._apply(content, is_initial=True)
        self.last_sequence = max(self.last_sequence, codec.read_known_sequence(known))
        self.log_applied()

    def receive(self, text: str, event_id: str = "") -> None:
        """Apply an event of the log; one that was already applied is ignored.

        Raises ``MissingChangesError`` if changes before it are missing, unless the log was already read again
        for them.
        """
        try:
            change = codec.read_change(text, event_id)
        except (ValueError, TypeError, KeyError) as err:
            reason = str(err)[: codec.MAX_REASON_CHARACTERS]
            log.warning("unreadable change", extra=fields(reason=reason))
            return
        if change.sequence <= self.last_sequence:
            return
        expected = self.last_sequence + 1
        if change.sequence > expected and self._requested_sequence != expected:
            self._requested_sequence = expected
            raise MissingChangesError(f"change {expected} is missing before {change.sequence}")
        self.last_sequence = change.sequence
        self._apply(change.content)

    def apply_list(self, raw: Mapping[str, Any], is_initial: bool) -> None:
        """Decode an endpoint list and pass it to the listener."""
        endpoints = codec.read_list(raw, is_initial, self.names)
        self._listener.list_changed(endpoints.kind, endpoints.version, endpoints.endpoints)

    def log_if_due(self, now_s: float) -> None:
        """Log the changes applied since the last log line: immediately if they include an endpoint list, else
        at most once per ``LOG_INTERVAL_S``.

        To be called after each batch of events, with the time of a monotonic clock in seconds.
        """
        is_due = self._log_at_once or now_s >= self._next_log_s
        if is_due and self.log_applied():
            self._next_log_s = now_s + LOG_INTERVAL_S

    def log_applied(self) -> bool:
        """Log the changes applied since the last log line, in one line; returns whether there were any."""
        count = self._unlogged_count
        self._unlogged_count = 0
        self._log_at_once = False
        if count:
            log.info("changes applied", extra=fields(seq=self.last_sequence, count=count))
        return count > 0

    def _apply(self, content: Any, is_initial: bool = False) -> None:
        """Pass a change to the listener; one that cannot be decoded is logged and ignored."""
        try:
            if codec.has_list(content):
                self._log_at_once = True
                self.apply_list(codec.raw_list(content), is_initial)
            purge = codec.read_purge(content)
            if purge is not None:
                self._listener.purged(purge.object_key, purge.group, purge.purged_at_us)
        except Exception as err:  # external JSON of any shape must not stop later changes
            log.warning("unreadable change", extra=fields(reason=codec.describe_error(err)))
        else:
            self._unlogged_count += 1
