"""What matters of the log up to a point, in place of its entries."""

from __future__ import annotations

import json
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from magpieshift.relay.limits import MOST_PURGES, PURGES_KEPT_US
from magpieshift.relay.messages import (
    ConfigurationChange,
    Entry,
    Epoch,
    Purge,
    Snapshot,
    StoreChange,
)

MakeWhole = Callable[[ConfigurationChange | None, ConfigurationChange], ConfigurationChange | None]
"""Builds the whole version from the newest whole one and a delta; None where the delta does not fit."""


class StoreList:
    """The stores by their ids, as the change log's ``fleet`` values told them."""

    def __init__(self) -> None:
        self._stores: dict[str, dict[str, Any]] = {}
        self._complete = False
        self._revision = 0
        self._text = ""  # of the list as it is; empty where it has to be written anew

    def merge(self, fleet: str) -> None:
        """Take in a ``fleet`` value as JSON; ``ValueError``, with nothing changed, if it is unreadable."""
        try:
            value = json.loads(fleet)
            members = {str(member["id"]): dict(member) for member in value["members"]}
            revision = int(value.get("revision", 0))
            complete = bool(value.get("complete"))
        except (ValueError, TypeError, KeyError, AttributeError) as err:
            raise ValueError(f"no list of stores: {type(err).__name__}: {err}"[:200]) from err
        self._text = ""
        self._revision = revision
        if complete:
            self._stores = {}
            self._complete = True
        for ident, member in members.items():
            # who has no complete list yet may know a store from elsewhere, and must hear that it is gone
            if member.get("phase") == "DELETED" and self._complete:
                self._stores.pop(ident, None)
            else:
                self._stores[ident] = member

    def text(self) -> str:
        """All of it as one ``fleet`` value; empty if nothing was told."""
        if not self._text and (self._stores or self._complete):
            value = {
                "revision": self._revision,
                "complete": self._complete,
                "members": list(self._stores.values()),
            }
            self._text = json.dumps(value, separators=(",", ":"))
        return self._text


class RecentPurges:
    """The purges heard within ``kept_us``, each object and group once. Constant time each: what is heard
    again moves to the end, so the oldest come first."""

    def __init__(self, kept_us: int, most: int) -> None:
        self._kept_us = kept_us
        self._most = most
        # ordered, as a plain dict looks through all gaps before its first entry each time
        self._purges: OrderedDict[tuple[str, int], tuple[int, Purge]] = OrderedDict()  # when it was heard

    def add(self, purge: Purge, now_us: int) -> None:
        """A purge was heard."""
        what = (purge.key, purge.group)
        known = self._purges.pop(what, None)
        if known is not None and known[1].made_us > purge.made_us:
            purge = known[1]
        self._purges[what] = now_us, purge
        self._forget(now_us)

    def all(self, now_us: int) -> tuple[Purge, ...]:
        """Those that still matter, in the order in which they were heard."""
        self._forget(now_us)
        return tuple(purge for _, purge in self._purges.values())

    def _forget(self, now_us: int) -> None:
        while self._purges:
            heard_us, _ = self._purges[next(iter(self._purges))]
            if len(self._purges) <= self._most and now_us - heard_us <= self._kept_us:
                return
            self._purges.popitem(last=False)


class State:
    """Stores, purges that still matter, and the newest configuration: the fold of all entries.

    Deltas of the configuration are put together by ``make_whole``, so that a whole version can be handed out.
    """

    def __init__(
        self, make_whole: MakeWhole, kept_us: int = PURGES_KEPT_US, most_purges: int = MOST_PURGES
    ) -> None:
        self._make_whole = make_whole
        self._stores = StoreList()
        self._purges = RecentPurges(kept_us, most_purges)
        self.configuration: ConfigurationChange | None = None  # the newest that is known whole
        self.newest_digest = ""  # of the newest version told, whether or not it is known whole
        self._newest_number = 0
        self.unreadable = 0  # lists of stores that could not be read, and were passed over

    @property
    def want_whole(self) -> bool:
        """Whether the newest version is not known whole, as its delta did not fit."""
        return self.newest_digest != (self.configuration.digest if self.configuration else "")

    def fold(self, entry: Entry, now_us: int) -> None:
        """Take in the log's next entry; constant time for a purge. ``now_us`` is of a monotonic clock."""
        match entry:
            case Purge():
                self._purges.add(entry, now_us)
            case StoreChange():
                self._merge_stores(entry.fleet)
            case ConfigurationChange():
                self._configure(entry)

    def take_configuration(self, whole: ConfigurationChange) -> None:
        """A whole version, as sent on request. An older one than the newest whole one changes nothing."""
        if self.configuration is not None and whole.number < self.configuration.number:
            return
        self.configuration = whole
        if whole.number >= self._newest_number:  # else the log has told a newer one already
            self._newest_number = whole.number
            self.newest_digest = whole.digest

    def snapshot(self, epoch: Epoch, applied: int, now_us: int) -> Snapshot:
        """The state as it is, which is that after entry ``applied`` of the epoch."""
        return Snapshot(epoch, applied, self._stores.text(), self._purges.all(now_us), self.configuration)

    def restore(self, snapshot: Snapshot, now_us: int) -> None:
        """Take over what the snapshot says. Purges that were known before and still matter are kept: a new
        source may have lost them, and a purge too many does no harm."""
        self._stores = StoreList()
        if snapshot.stores:
            self._merge_stores(snapshot.stores)
        for purge in snapshot.purges:
            self._purges.add(purge, now_us)
        self.configuration = whole = snapshot.configuration
        self._newest_number, self.newest_digest = (whole.number, whole.digest) if whole else (0, "")

    def _merge_stores(self, fleet: str) -> None:
        try:
            self._stores.merge(fleet)
        except ValueError:
            self.unreadable += 1

    def _configure(self, change: ConfigurationChange) -> None:
        self._newest_number = change.number
        self.newest_digest = change.digest
        whole = change if not change.base_digest else self._make_whole(self.configuration, change)
        if whole is not None:
            self.configuration = whole
