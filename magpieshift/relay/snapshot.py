"""What matters of the log up to a point, in place of its entries."""

from __future__ import annotations

from collections.abc import Callable

from magpieshift.relay.limits import MOST_PURGES, PURGES_KEPT_US
from magpieshift.relay.messages import ConfigurationChange, Entry, Epoch, Snapshot

MakeWhole = Callable[[ConfigurationChange | None, ConfigurationChange], ConfigurationChange | None]
"""Builds the whole version from the newest whole one and a delta; None where the delta does not fit."""


class State:
    """Stores, purges that still matter, and the newest configuration: the fold of all entries."""

    def __init__(
        self, make_whole: MakeWhole, kept_us: int = PURGES_KEPT_US, most_purges: int = MOST_PURGES
    ) -> None:
        self.configuration: ConfigurationChange | None = None  # the newest that is known whole
        self.newest_digest = ""  # of the newest version told, whether or not it is known whole
        self.unreadable = 0  # lists of stores that could not be read, and were passed over

    @property
    def want_whole(self) -> bool:
        """Whether the newest version is not known whole, as its delta did not fit."""
        raise NotImplementedError

    def fold(self, entry: Entry, now_us: int) -> None:
        """Take in the log's next entry; constant time for a purge. ``now_us`` is of a monotonic clock."""
        raise NotImplementedError

    def take_configuration(self, whole: ConfigurationChange) -> None:
        """A whole version, as sent on request. An older one than the newest whole one changes nothing."""
        raise NotImplementedError

    def snapshot(self, epoch: Epoch, applied: int, now_us: int) -> Snapshot:
        """The state as it is, which is that after entry ``applied`` of the epoch."""
        raise NotImplementedError

    def restore(self, snapshot: Snapshot, now_us: int) -> None:
        """Take over what the snapshot says. Purges that were known before and still matter are kept: a new
        source may have lost them, and a purge too many does no harm."""
        raise NotImplementedError
