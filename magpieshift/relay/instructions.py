"""Instructions that a follower's state machine returns to its driver."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from magpieshift.relay.messages import ConfigurationChange, Entry, Epoch, Snapshot


class EndReason(Enum):
    """Why a follower ends a stream; the value is the text that is logged."""

    GAP = "entries are missing"
    STALE_EPOCH = "the epoch is superseded"
    NO_SNAPSHOT = "entries or a proof of a new epoch came before its snapshot"
    INVALID_MESSAGE = "invalid message"
    SILENCE = "no message was received"
    STALE = "no newer proof or data of the source was received"


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Apply the entries in order, in one turn of the event loop; then call
    ``Follower.acknowledge_applied(epoch, last)``."""

    epoch: Epoch
    """Epoch of the entries."""
    first: int
    """Sequence number of the first entry."""
    entries: tuple[Entry, ...]
    """Entries in log order; none of them has been handed out before."""

    @property
    def last(self) -> int:
        """Sequence number of the last entry."""
        return self.first + len(self.entries) - 1


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Replace the state by the snapshot's, without forgetting purges; then call
    ``Follower.acknowledge_applied(snapshot.epoch, snapshot.applied)``."""

    snapshot: Snapshot
    """The received snapshot."""


@dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Apply a complete configuration, which the follower requested."""

    configuration: ConfigurationChange
    """The complete configuration version."""


@dataclass(frozen=True, slots=True)
class EndStream:
    """End the stream and try the next relay; no message of this stream is to be received after it."""

    reason: EndReason
    """Why the stream is ended."""
    detail: str = ""
    """Details for the log, such as the numbers involved."""


Instruction = ApplyEntries | RestoreSnapshot | ApplyConfiguration | EndStream
"""An instruction; the driver carries them out in order."""
