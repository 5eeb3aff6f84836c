"""Errors of the fan-out tier."""

from __future__ import annotations

from magpieshift.errors import MagpieshiftError
from magpieshift.relay.messages import Epoch


class RelayError(MagpieshiftError):
    """The base of all errors of sources, relays and their followers."""


class MalformedMessageError(RelayError):
    """The received bytes are not a valid message for the receiver."""

    def __init__(self, place: str, found: str, expected: str) -> None:
        """``place`` is the part of the message that holds ``found`` instead of ``expected``."""
        super().__init__(f"{place}: found {found}, expected {expected}")
        self.place = place
        self.found = found
        self.expected = expected


class MissingEntriesError(RelayError):
    """Entries cannot be added to a log, because entries before them are missing."""


class DroppedEntriesError(RelayError):
    """The requested entries have been dropped from the log; a snapshot is needed instead."""


class EpochSupersededError(RelayError):
    """A follower knows a higher epoch: a source must end, a relay passes the epoch on."""

    def __init__(self, epoch: Epoch) -> None:
        """``epoch`` is the higher one."""
        super().__init__(f"a source with term {epoch.term} is newer")
        self.epoch = epoch


class SourceSupersededError(RelayError):
    """This source has ended because a newer source exists."""


class TooManyFollowersError(RelayError):
    """The limit of ``MAX_FOLLOWERS`` followers is reached."""


class UpstreamStaleError(RelayError):
    """This process has lost contact with its source for too long; followers should use another relay."""


class UnknownStreamError(RelayError):
    """The stream has not joined, has ended, or was replaced by a later stream of the same process."""


class StreamEndedError(RelayError):
    """The stream to a relay ended, or has to be ended; the message gives the reason."""


class RelayChangedError(StreamEndedError):
    """The stream is ended because the follower returns to a relay that ranks higher."""


class RelayUnreachableError(RelayError):
    """No status report could be fetched from a source or relay; the message gives the reason."""
