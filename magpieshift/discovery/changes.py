"""The change log's order: each change is applied once, and none is skipped while it can still be had."""

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
"""Purges are logged together, since a line for each costs a good part of what a purge costs.
Longer tells operators later."""


class ChangeListener(Protocol):
    """Is notified of changes."""

    def list_changed(self, kind: EndpointListKind, version: int, endpoints: Sequence[ListedEndpoint]) -> None:
        """Endpoints have come, changed or gone; all but a ``DELTA`` is the complete list."""
        ...

    def purged(self, key: str, group: int, purged_us: int) -> None:
        """An object, or a group where the key is empty, was purged at this Unix time."""
        ...


class ChangeSource(Protocol):
    """Where a router has its changes from: ``discovery.client.ChangeLogClient``, or what is put in its place
    as ``EdgeRouter.change_source`` before the start. It notifies, on the router's event loop, the router as a
    ``ChangeListener``, or hands events to ``EdgeRouter.changes``, a ``ChangeLog``, with ``log_if_due`` after
    each batch."""

    def start(self) -> None:
        """Begin; what the configuration knows was applied before. Must not wait."""
        ...

    def stop(self) -> None:
        """Notify no more and give back all that is held; may be called again, and without a start."""
        ...

    async def caught_up(self, within_s: float) -> bool:
        """Wait, so many seconds at most, until all changes so far are applied; whether they are. Called where
        the router replaces another process, before it accepts clients."""
        ...


class ChangeLog:
    """Applies the changes of the log in their order."""

    def __init__(self, names: Names, listener: ChangeListener) -> None:
        self.names = names
        """The names of zones and kinds, by number."""
        self._listener = listener
        self.last_sequence = 0
        """The number of the last change applied."""
        self._requested_sequence = 0
        """The last number that was missing, and for which the log was read again."""
        self._unlogged_count = 0
        """Changes applied since the last log line."""
        self._log_at_once = False
        """Whether a list of endpoints is among them."""
        self._next_log_s = 0.0
        """When purges may be logged again, on the clock of ``log_if_due``."""

    def apply_known(self, known: Mapping[str, Any]) -> None:
        """Apply what the configuration knows of the time before the start."""
        for content in codec.read_known_changes(known):
            self._apply(content, is_initial=True)
        self.last_sequence = max(self.last_sequence, codec.read_known_sequence(known))
        self.log_applied()

    def receive(self, text: str, event_id: str = "") -> None:
        """Apply an event of the log. One that was applied is dropped; ``MissingChangesError`` where some
        before it are missing, unless the log was read again for them already."""
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
        """Notify the listener of a list of endpoints, as the log has it."""
        endpoints = codec.read_list(raw, is_initial, self.names)
        self._listener.list_changed(endpoints.kind, endpoints.version, endpoints.endpoints)

    def log_if_due(self, now_s: float) -> None:
        """Log what was applied since the last line, in one line: at once where the list of endpoints has
        changed, purges once in ``LOG_INTERVAL_S``. To be called after each batch of events, with the time of
        a clock that never goes back, in seconds."""
        is_due = self._log_at_once or now_s >= self._next_log_s
        if is_due and self.log_applied():
            self._next_log_s = now_s + LOG_INTERVAL_S

    def log_applied(self) -> bool:
        """Log what was applied since the last line, in one line; whether there was anything."""
        count = self._unlogged_count
        self._unlogged_count = 0
        self._log_at_once = False
        if count:
            log.info("change applied", extra=fields(seq=self.last_sequence, count=count))
        return count > 0

    def _apply(self, content: Any, is_initial: bool = False) -> None:
        """Notify the listener; what cannot be read is logged in one line and changes nothing."""
        try:
            if codec.has_list(content):
                self._log_at_once = True
                self.apply_list(codec.raw_list(content), is_initial)
            purge = codec.read_purge(content)
            if purge is not None:
                self._listener.purged(purge.object_key, purge.group, purge.purged_at_us)
        except Exception as err:  # JSON of any shape from outside; the log's other changes count all the same
            log.warning("unreadable change", extra=fields(reason=codec.describe_error(err)))
        else:
            self._unlogged_count += 1
