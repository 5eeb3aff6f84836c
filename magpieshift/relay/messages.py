"""What passes between a source, its relays and their followers, as plain values.

The wire form is in ``codec``; the state machines (``log``, ``snapshot``, ``currency``, ``fanout``,
``follower``) know only these. Sequence numbers begin at 1 in each epoch; times are microseconds, ages are
durations and never instants, since no two machines share a clock.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True, slots=True)
class Epoch:
    """One life of a source. The later term wins; of two sources that drew the same term, the one with the
    larger instance number."""

    term: int  # wall clock at the source's start in milliseconds, above every term it has heard of
    instance: int  # drawn at random at the start


NO_EPOCH = Epoch(0, 0)


@dataclass(frozen=True, slots=True)
class Purge:
    """An object or a group was purged at the origin."""

    key: str  # the object's hexadecimal id; empty for a group
    group: int
    made_us: int  # Unix time


@dataclass(frozen=True, slots=True)
class StoreChange:
    """A change of the list of stores: the change log's ``fleet`` value as JSON text."""

    fleet: str


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """A configuration version: a delta to the version before it in the log, or the whole content."""

    number: int
    digest: str
    base_digest: str  # of the version that the delta builds on; empty where ``content`` is whole
    content: bytes  # a serialized control.wire Delta, or the settings file as UTF-8


Entry = Purge | StoreChange | ConfigurationChange


@dataclass(frozen=True, slots=True)
class Batch:
    """Consecutive entries of one epoch; an empty one is a heartbeat."""

    epoch: Epoch
    first: int  # sequence number of the first entry; where there is none, of the next to come
    entries: tuple[Entry, ...]
    proof: Proof | None  # absent while the sender has not yet passed on all it has
    waiting: bool = False  # of a heartbeat: a snapshot is needed, and follows when it is its turn

    @property
    def last(self) -> int:
        """Sequence number of the last entry; ``first - 1`` where there is none."""
        return self.first + len(self.entries) - 1


@dataclass(frozen=True, slots=True)
class Proof:
    """How current the receiver is once it has applied everything up to ``head``: at the moment in which the
    sender answered probe ``probe``, the sender had all that the source had accepted ``age_us`` before."""

    probe: int  # the last probe heard on this stream
    age_us: int
    head: int
    done: int  # every follower, everywhere, has applied everything up to here (or bounds its copies)
    source_age_us: int = (
        0  # the part of ``age_us`` by which the source lagged its change log; the rest is the way
    )


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that matters of the log up to ``applied``, in place of entries that were dropped."""

    epoch: Epoch
    applied: int
    stores: str  # as ``StoreChange.fleet``, ``complete`` once a complete list was told; empty if nothing was
    purges: tuple[Purge, ...]
    configuration: ConfigurationChange | None  # whole


@dataclass(frozen=True, slots=True)
class Join:
    """A follower's first message on a stream: who it is and what it has."""

    name: str
    boot: str  # new with each start
    epoch: Epoch  # NO_EPOCH where it has nothing
    applied: int
    configuration: str  # digest of the version in force
    heard: Epoch = NO_EPOCH  # the highest it has heard of: a source of a lower one ends


@dataclass(frozen=True, slots=True)
class Progress:
    """A follower's acknowledgement and probe."""

    epoch: Epoch
    applied: int  # every entry up to here is applied
    probe: int  # number of this message on its stream, from 1
    done: int  # of a relay: every follower of its has applied everything up to here; else as ``applied``
    configuration: str  # digest of the version in force
    refused: int = 0  # number of a version that was turned down
    refusal: str = ""  # why
    want_whole: bool = False  # the configuration's delta did not fit: send the newest version whole
    behind: tuple[str, ...] = ()  # of a relay: names of some followers without the newest version
    behind_count: int = 0
    followers: int = 0  # of a relay
    released: bool = (
        False  # it holds no lease by what was proven on this stream, and takes none: it counts no more
    )


ToFollower = Batch | Snapshot | ConfigurationChange
FromFollower = Join | Progress
