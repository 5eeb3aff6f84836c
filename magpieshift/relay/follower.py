"""The following side of the fan-out, the same at a relay and a router: one process over many streams.

A driver sends what ``connect`` and ``progress`` yield, feeds each message of the current stream (never of an
earlier one) to ``receive`` and carries out the effects in order, whatever becomes of the stream meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from magpieshift.relay.currency import Currency
from magpieshift.relay.fanout import Report
from magpieshift.relay.messages import (
    NO_EPOCH,
    ConfigurationChange,
    Entry,
    Epoch,
    Join,
    Progress,
    Snapshot,
    ToFollower,
)


class Reason(Enum):
    """Why a follower ends a stream."""

    GAP = "entries are missing"
    STALE_EPOCH = "the epoch is over"
    NO_SNAPSHOT = "entries of an epoch without its snapshot"
    IMPOSSIBLE = "impossible message"
    SILENCE = "nothing was heard"


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply the entries in order, in one turn; then tell ``Follower.applied_up_to(epoch, last)``."""

    epoch: Epoch
    first: int
    entries: tuple[Entry, ...]

    @property
    def last(self) -> int:
        """Sequence number of the last entry."""
        return self.first + len(self.entries) - 1


@dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Take over what the snapshot says, without forgetting purges; then tell
    ``Follower.applied_up_to(snapshot.epoch, snapshot.applied)``."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class TakeConfiguration:
    """A whole configuration that was asked for."""

    configuration: ConfigurationChange


@dataclass(frozen=True, slots=True)
class EndStream:
    """End the stream and try the next relay; no message of this stream is to be received after it."""

    reason: Reason
    detail: str = ""


Effect = Apply | TakeSnapshot | TakeConfiguration | EndStream


class Follower:
    """One process's place in the log, its lease and what it owes to the relay it follows."""

    def __init__(self, name: str, boot: str) -> None:
        self.currency = Currency()
        self.epoch, self.applied = NO_EPOCH, 0  # up to where everything was applied
        self.heard = NO_EPOCH  # the highest epoch heard of
        self.done = 0  # what the source has called done, of ``heard``
        self.configuration = ""  # digest of the version in force; the driver sets these four
        self.refused, self.refusal = 0, ""
        self.want_whole = False  # until a whole configuration is received
        raise NotImplementedError

    def connect(self, now_us: int) -> Join:
        """A new stream begins: its first message. A progress is due at once."""
        raise NotImplementedError

    def receive(self, message: ToFollower, now_us: int) -> list[Effect]:
        """A message of the current stream, and what is to be done."""
        raise NotImplementedError

    def applied_up_to(self, epoch: Epoch, sequence: int) -> None:
        """The effect with this last number was carried out; only now is it acknowledged."""
        raise NotImplementedError

    def heard_of(self, epoch: Epoch) -> None:
        """Another process knows of this epoch: nothing of a lower one is taken from now on."""
        raise NotImplementedError

    def due_us(self) -> int:
        """When the next progress is due."""
        raise NotImplementedError

    def progress(self, now_us: int, report: Report | None = None) -> Progress | None:
        """The message to send now; None where it is not due. A relay gives its report, fresh."""
        raise NotImplementedError

    def release(self, now_us: int, report: Report | None = None) -> Progress:
        """Give up the lease for good, as the process ends: the last message to send. No copy may be accepted
        after it but with the bound of ``Currency.copy_age_limit``. A relay whose followers may hold leases
        does not release."""
        raise NotImplementedError

    def check(self, now_us: int) -> EndStream | None:
        """Whether the stream has been silent for too long; to be called at every turn, at least each
        ``PROBE_US``."""
        raise NotImplementedError
