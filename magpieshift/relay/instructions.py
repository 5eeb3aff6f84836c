"""What a follower is to do, as its state machine hands it out."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from magpieshift.relay.messages import ConfigurationChange, Entry, Epoch, Snapshot


class EndReason(Enum):
    """Why a follower ends a stream; the value is for the log."""

    GAP = "entries are missing"
    STALE_EPOCH = "the epoch is over"
    NO_SNAPSHOT = "entries of an epoch without its snapshot"
    IMPOSSIBLE = "impossible message"
    SILENCE = "nothing was heard"
    STALE = "the relay tells nothing new of the source"


@dataclass(frozen=True, slots=True)
class ApplyEntries:
    """Apply the entries in order, in one turn; then call ``Follower.acknowledge_applied(epoch, last)``."""

    epoch: Epoch
    """Of the entries."""
    first: int
    """Sequence number of the first entry."""
    entries: tuple[Entry, ...]
    """In the log's order; none was handed out before."""

    @property
    def last(self) -> int:
        """Sequence number of the last entry."""
        return self.first + len(self.entries) - 1


@dataclass(frozen=True, slots=True)
class RestoreSnapshot:
    """Take over what the snapshot holds, without forgetting purges; then call
    ``Follower.acknowledge_applied(snapshot.epoch, snapshot.applied)``."""

    snapshot: Snapshot
    """What was received."""


@dataclass(frozen=True, slots=True)
class ApplyConfiguration:
    """Apply a complete configuration, which was asked for."""

    configuration: ConfigurationChange
    """The complete version."""


@dataclass(frozen=True, slots=True)
class EndStream:
    """End the stream and try the next relay; no message of this stream is to be received after it."""

    reason: EndReason
    """What was wrong."""
    detail: str = ""
    """With which figures."""


Instruction = ApplyEntries | RestoreSnapshot | ApplyConfiguration | EndStream
"""Carried out by the follower's driver, in order."""
