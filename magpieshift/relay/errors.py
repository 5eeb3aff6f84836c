"""Errors of the fan-out tier."""

from __future__ import annotations

from magpieshift.errors import MagpieshiftError
from magpieshift.relay.messages import Epoch


class RelayError(MagpieshiftError):
    """The base of all errors of sources, relays and their followers."""


class MalformedMessageError(RelayError):
    """Bytes are no message that the receiver may be sent."""

    def __init__(self, place: str, found: str, expected: str) -> None:
        """``place`` is the part of the message in which ``found`` stands instead of ``expected``."""
        super().__init__(f"{place}: found {found}, expected {expected}")
        self.place = place
        self.found = found
        self.expected = expected


class MissingEntriesError(RelayError):
    """Entries are missing in a log before those that were to be added."""


class DroppedEntriesError(RelayError):
    """A log has dropped the entries that were asked for: a snapshot is needed."""


class EpochSupersededError(RelayError):
    """A follower has heard of a higher epoch: a source ends, a relay passes the epoch on."""

    def __init__(self, epoch: Epoch) -> None:
        """``epoch`` is the higher one."""
        super().__init__(f"a source with term {epoch.term} is newer")
        self.epoch = epoch


class SourceSupersededError(RelayError):
    """Another source is newer: this one has ended."""


class TooManyFollowersError(RelayError):
    """There are ``MAX_FOLLOWERS`` already."""


class UpstreamStaleError(RelayError):
    """This process has not heard of its source lately: followers do better elsewhere."""


class UnknownStreamError(RelayError):
    """The stream never joined, has ended, or was replaced by a later one of the same process."""


class StreamEndedError(RelayError):
    """The stream to a relay ended, or is to be ended, for the reason in the text."""


class RelayChangedError(StreamEndedError):
    """The stream is ended as the follower returns to a relay that ranks higher."""


class RelayUnreachableError(RelayError):
    """A source or relay gave no status report, for the reason in the text."""
