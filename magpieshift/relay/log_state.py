"""What matters of the log up to a point, in place of its entries: a snapshot is made of it."""

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
"""Builds a complete version from the newest complete one and a delta; None if the delta does not fit."""


class EndpointList:
    """The endpoints by their ids, from the change log's ``fleet`` values."""

    def __init__(self) -> None:
        # each endpoint's row as it came
        self._endpoints: dict[str, dict[str, Any]] = {}
        # whether a complete list came
        self._complete = False
        self._revision = 0
        # the list as JSON; empty after a change
        self._cached_json = ""

    def merge(self, list_json: str) -> None:
        """Take in a ``fleet`` value; ``ValueError``, with nothing changed, if it is unreadable."""
        try:
            value = json.loads(list_json)
            members = {str(member["id"]): dict(member) for member in value["members"]}
            revision = int(value.get("revision", 0))
            complete = bool(value.get("complete"))
        except (ValueError, TypeError, KeyError, AttributeError) as err:
            raise ValueError(f"no list of endpoints: {type(err).__name__}: {err}"[:200]) from err
        self._cached_json = ""
        self._revision = revision
        if complete:
            self._endpoints = {}
            self._complete = True
        for name, member in members.items():
            # a follower without a complete list may know an endpoint from elsewhere, and must hear it is gone
            if member.get("phase") == "DELETED" and self._complete:
                self._endpoints.pop(name, None)
            else:
                self._endpoints[name] = member

    def as_json(self) -> str:
        """All of it as one ``fleet`` value; empty if none came."""
        if not self._cached_json and (self._endpoints or self._complete):
            value = {
                "revision": self._revision,
                "complete": self._complete,
                "members": list(self._endpoints.values()),
            }
            self._cached_json = json.dumps(value, separators=(",", ":"))
        return self._cached_json


class RecentPurges:
    """The purges that came within a retention time, each object and group once. Constant time each: a purge
    that comes once more moves to the end, so the oldest come first."""

    def __init__(self, retention_us: int, max_purges: int) -> None:
        """No more than ``max_purges``, the newest."""
        self._retention_us = retention_us
        self._max_purges = max_purges
        # by key and group: when it came, and the purge. An ordered one, as a plain dict looks through all
        # gaps before its first entry each time
        self._purges: OrderedDict[tuple[str, int], tuple[int, Purge]] = OrderedDict()

    def add(self, purge: Purge, now_us: int) -> None:
        """A purge came."""
        key = (purge.key, purge.group)
        known = self._purges.pop(key, None)
        if known is not None and known[1].issued_us > purge.issued_us:
            purge = known[1]
        self._purges[key] = (now_us, purge)
        self._drop_expired(now_us)

    def retained(self, now_us: int) -> tuple[Purge, ...]:
        """Those that still matter, in the order in which they came."""
        self._drop_expired(now_us)
        return tuple(purge for _, purge in self._purges.values())

    def _drop_expired(self, now_us: int) -> None:
        while self._purges:
            received_us, _ = self._purges[next(iter(self._purges))]
            if len(self._purges) <= self._max_purges and now_us - received_us <= self._retention_us:
                return
            self._purges.popitem(last=False)


class LogState:
    """Endpoints, purges that still matter, and the newest configuration: the fold of all entries."""

    def __init__(
        self,
        apply_delta: ApplyDelta,
        retention_us: int = PURGE_RETENTION_US,
        max_purges: int = MAX_RECENT_PURGES,
    ) -> None:
        """``apply_delta`` puts deltas of the configuration together, so that a complete version can be handed
        out; purges stay for ``retention_us``, and no more than ``max_purges`` of them."""
        self.configuration: ConfigurationChange | None = None
        """The newest version that is known completely."""
        self.newest_digest = ""
        """Of the newest version that came, whether or not it is known completely."""
        self.unreadable_lists = 0
        """Lists of endpoints that could not be read, and were passed over."""
        self._apply_delta = apply_delta
        self._endpoints = EndpointList()
        self._purges = RecentPurges(retention_us, max_purges)
        self._newest_number = 0

    @property
    def needs_full(self) -> bool:
        """Whether the newest version is not known completely, as its delta did not fit."""
        return self.newest_digest != (self.configuration.digest if self.configuration else "")

    def apply_entry(self, entry: Entry, now_us: int) -> None:
        """Take in the log's next entry; constant time for a purge. ``now_us`` is of the monotonic clock."""
        match entry:
            case Purge():
                self._purges.add(entry, now_us)
            case EndpointListChange():
                self._merge_endpoints(entry.list_json)
            case ConfigurationChange():
                self._apply_configuration(entry)

    def apply_full_configuration(self, full: ConfigurationChange) -> None:
        """A complete version, as sent on request. One older than the newest complete one changes nothing."""
        if self.configuration is not None and full.number < self.configuration.number:
            return
        self.configuration = full
        if full.number >= self._newest_number:  # else a newer one has come already
            self._newest_number = full.number
            self.newest_digest = full.digest

    def snapshot(self, epoch: Epoch, applied: int, now_us: int) -> Snapshot:
        """The state as it is, which is that after entry ``applied`` of the epoch."""
        return Snapshot(
            epoch, applied, self._endpoints.as_json(), self._purges.retained(now_us), self.configuration
        )

    def restore(self, snapshot: Snapshot, now_us: int) -> None:
        """Take over what the snapshot holds. Purges that were known before and still matter are retained: a
        new source may have lost them, and a purge too many does no harm."""
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
