"""The state that results from all log entries up to a point; snapshots are made from it."""

from __future__ import annotations

import json
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from magpieshift.relay.limits import MAX_RECENT_PURGES, PURGE_RETENTION_US
from magpieshift.relay.messages import (
    ConfigurationChange,
    EndpointListChange,
    Entry,
    Epoch,
    Purge,
    Snapshot,
)

ApplyDelta = Callable[[ConfigurationChange | None, ConfigurationChange], ConfigurationChange | None]
"""Builds a complete version from the newest complete one and a delta; None if the delta does not apply."""


class EndpointList:
    """The endpoint list, merged from the change log's ``fleet`` values."""

    def __init__(self) -> None:
        # each endpoint's row as received, by id
        self._endpoints: dict[str, dict[str, Any]] = {}
        # whether a complete list has been received
        self._complete = False
        self._revision = 0
        # the list as JSON; empty if it has to be built again
        self._cached_json = ""

    def merge(self, list_json: str) -> None:
        """Merge a ``fleet`` value; ``ValueError``, with nothing changed, if it is malformed."""
        try:
            value = json.loads(list_json)
            members = {str(member["id"]): dict(member) for member in value["members"]}
            revision = int(value.get("revision", 0))
            complete = bool(value.get("complete"))
        except (ValueError, TypeError, KeyError, AttributeError) as err:
            raise ValueError(f"malformed endpoint list: {type(err).__name__}: {err}"[:200]) from err
        self._cached_json = ""
        self._revision = revision
        if complete:
            self._endpoints = {}
            self._complete = True
        for name, member in members.items():
            # a follower without a complete list may know the endpoint from elsewhere, and needs its deletion
            if member.get("phase") == "DELETED" and self._complete:
                self._endpoints.pop(name, None)
            else:
                self._endpoints[name] = member

    def as_json(self) -> str:
        """The whole list as one ``fleet`` value; empty if none was received."""
        if not self._cached_json and (self._endpoints or self._complete):
            value = {
                "revision": self._revision,
                "complete": self._complete,
                "members": list(self._endpoints.values()),
            }
            self._cached_json = json.dumps(value, separators=(",", ":"))
        return self._cached_json


class RecentPurges:
    """The purges received within a retention time, each object and group once. Adding takes constant time: a
    repeated purge moves to the end, so that the oldest stay first."""

    def __init__(self, retention_us: int, max_purges: int) -> None:
        """Purges are kept for ``retention_us``; at most the newest ``max_purges`` are kept."""
        self._retention_us = retention_us
        self._max_purges = max_purges
        # by key and group: time of receipt, and the purge. An OrderedDict, since finding the first entry of a
        # plain dict scans all deleted slots before it each time
        self._purges: OrderedDict[tuple[str, int], tuple[int, Purge]] = OrderedDict()

    def add(self, purge: Purge, now_us: int) -> None:
        """Add a purge; a repeated one keeps the later of its two times of issue."""
        key = (purge.key, purge.group)
        known = self._purges.pop(key, None)
        if known is not None and known[1].issued_us > purge.issued_us:
            purge = known[1]
        self._purges[key] = (now_us, purge)
        self._drop_expired(now_us)

    def retained(self, now_us: int) -> tuple[Purge, ...]:
        """The purges within the retention time, in order of receipt."""
        self._drop_expired(now_us)
        return tuple(purge for _, purge in self._purges.values())

    def _drop_expired(self, now_us: int) -> None:
        while self._purges:
            received_us, _ = self._purges[next(iter(self._purges))]
            if len(self._purges) <= self._max_purges and now_us - received_us <= self._retention_us:
                return
            self._purges.popitem(last=False)


class LogState:
    """The accumulated state of all entries: endpoint list, recent purges and the newest configuration."""

    def __init__(
        self,
        apply_delta: ApplyDelta,
        retention_us: int = PURGE_RETENTION_US,
        max_purges: int = MAX_RECENT_PURGES,
    ) -> None:
        """``apply_delta`` applies configuration deltas, so that a complete version can be sent. Purges are
        kept for ``retention_us``, at most ``max_purges`` of them."""
        self.configuration: ConfigurationChange | None = None
        """The newest configuration version of which the complete content is known."""
        self.newest_digest = ""
        """Digest of the newest version received, whether or not its complete content is known."""
        self.unreadable_lists = 0
        """Number of endpoint lists that were malformed and therefore skipped."""
        self._apply_delta = apply_delta
        self._endpoints = EndpointList()
        self._purges = RecentPurges(retention_us, max_purges)
        self._newest_number = 0

    @property
    def needs_full(self) -> bool:
        """Whether the complete content of the newest version is missing, because its delta did not apply."""
        return self.newest_digest != (self.configuration.digest if self.configuration else "")

    def apply_entry(self, entry: Entry, now_us: int) -> None:
        """Apply the log's next entry; constant time for a purge. ``now_us`` is of the monotonic clock."""
        match entry:
            case Purge():
                self._purges.add(entry, now_us)
            case EndpointListChange():
                self._merge_endpoints(entry.list_json)
            case ConfigurationChange():
                self._apply_configuration(entry)

    def apply_full_configuration(self, full: ConfigurationChange) -> None:
        """Apply a complete version that was sent on request; ignored if older than the newest complete
        one."""
        if self.configuration is not None and full.number < self.configuration.number:
            return
        self.configuration = full
        if full.number >= self._newest_number:  # otherwise a newer one was received already
            self._newest_number = full.number
            self.newest_digest = full.digest

    def snapshot(self, epoch: Epoch, applied: int, now_us: int) -> Snapshot:
        """A snapshot of the current state, which must be that after entry ``applied`` of the epoch."""
        return Snapshot(
            epoch, applied, self._endpoints.as_json(), self._purges.retained(now_us), self.configuration
        )

    def restore(self, snapshot: Snapshot, now_us: int) -> None:
        """Replace the state by the snapshot's. Recent purges that were known before are retained: a new
        source may have lost them, and repeating a purge does no harm."""
        self._endpoints = EndpointList()
        if snapshot.endpoint_list_json:
            self._merge_endpoints(snapshot.endpoint_list_json)
        for purge in snapshot.purges:
            self._purges.add(purge, now_us)
        full = snapshot.configuration
        self.configuration = full
        self._newest_number = full.number if full is not None else 0
        self.newest_digest = full.digest if full is not None else ""

    def _merge_endpoints(self, list_json: str) -> None:
        try:
            self._endpoints.merge(list_json)
        except ValueError:
            self.unreadable_lists += 1

    def _apply_configuration(self, change: ConfigurationChange) -> None:
        self._newest_number = change.number
        self.newest_digest = change.digest
        full = change if not change.base_digest else self._apply_delta(self.configuration, change)
        if full is not None:
            self.configuration = full
