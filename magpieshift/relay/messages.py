"""What passes between a source, its relays and their followers, as plain values.

The wire form is in ``encoding`` and ``decoding``; the state machines (``log``, ``log_state``,
``staleness_bound``, ``fanout``, ``follower``) know only these. Sequence numbers begin at 1 in each epoch;
times are microseconds, ages are durations and never instants, since no two machines share a clock.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True, slots=True)
class Epoch:
    """One run of a source. The later term wins; of two sources that drew the same term, the one with the
    larger instance number."""

    term: int
    """Wall clock at the source's start in milliseconds."""
    instance: int
    """Drawn at random at the start."""


NO_EPOCH = Epoch(0, 0)
"""Of a process that has nothing yet; below every epoch."""


@dataclass(frozen=True, slots=True)
class Purge:
    """An object or a group was purged at the origin."""

    key: str
    """The object's hexadecimal id; empty for a group."""
    group: int
    """The group's number, if ``key`` is empty."""
    issued_us: int
    """Unix time of the purge at the origin."""


@dataclass(frozen=True, slots=True)
class EndpointListChange:
    """A change of the list of endpoints."""

    list_json: str
    """The change log's ``fleet`` value."""


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """A configuration version: a delta to the version before it in the log, or the complete content."""

    number: int
    """The version's number, from 1."""
    digest: str
    """Of the version's content."""
    base_digest: str
    """Of the version that the delta builds on; empty if ``content`` is complete."""
    content: bytes
    """A serialized control.wire Delta, or the settings file as UTF-8."""


Entry = Purge | EndpointListChange | ConfigurationChange
"""What a log holds."""


@dataclass(frozen=True, slots=True)
class Batch:
    """Consecutive entries of one epoch; an empty one is a heartbeat."""

    epoch: Epoch
    """Of the entries."""
    first: int
    """Sequence number of the first entry; of a heartbeat, of the next to come."""
    entries: tuple[Entry, ...]
    """In the log's order."""
    proof: FreshnessProof | None
    """None while the sender has not yet passed on all it has."""
    snapshot_pending: bool = False
    """Of a heartbeat: the receiver needs a snapshot, which follows in its slot."""

    @property
    def last(self) -> int:
        """Sequence number of the last entry; ``first - 1`` in a heartbeat."""
        return self.first + len(self.entries) - 1


@dataclass(frozen=True, slots=True)
class FreshnessProof:
    """How fresh the receiver's knowledge is once it has applied everything up to ``head``: when the sender
    answered the probe, it had all that the source had accepted ``age_us`` before."""

    probe: int
    """Number of the last probe received on this stream."""
    age_us: int
    """Of the sender's knowledge, when it answered."""
    head: int
    """Sequence number up to which the receiver must apply everything."""
    watermark: int
    """Up to here every follower, everywhere, has applied everything, or bounds the age of its copies."""
    source_age_us: int = 0
    """The part of ``age_us`` by which the source lagged its change log; the rest is the way."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that matters of the log up to ``applied``, in place of entries that were dropped."""

    epoch: Epoch
    """Of the log."""
    applied: int
    """Sequence number of the last entry that it covers."""
    endpoint_list_json: str
    """As ``EndpointListChange.list_json``, ``complete`` once a complete list came; empty before any."""
    purges: tuple[Purge, ...]
    """Those that caches may still have to hear."""
    configuration: ConfigurationChange | None
    """The newest version, complete."""


@dataclass(frozen=True, slots=True)
class Join:
    """A follower's first message on a stream: its name and what it has."""

    name: str
    """Of the follower; the same after a restart."""
    boot: str
    """New with each start."""
    epoch: Epoch
    """Of what it has; ``NO_EPOCH`` if it has nothing."""
    applied: int
    """Sequence number up to which it has applied everything."""
    configuration_digest: str
    """Of the version in force."""
    highest_epoch: Epoch = NO_EPOCH
    """The highest it has heard of: a source of a lower one ends."""


@dataclass(frozen=True, slots=True)
class Progress:
    """A follower's acknowledgement and probe."""

    epoch: Epoch
    """Of ``applied``."""
    applied: int
    """Every entry up to here is applied."""
    probe: int
    """Number of this message on its stream, from 1."""
    watermark: int
    """Of a relay: each of its followers has applied everything up to here; else the same as ``applied``."""
    configuration_digest: str
    """Of the version in force."""
    rejected_version: int = 0
    """Number of a version that was rejected; 0 if none was."""
    rejection_reason: str = ""
    """Why it was."""
    wants_full: bool = False
    """The configuration's delta did not fit: send the newest version complete."""
    lagging_names: tuple[str, ...] = ()
    """Of a relay: some followers without the newest version."""
    lagging_count: int = 0
    """Of a relay: how many followers lack the newest version."""
    follower_count: int = 0
    """Of a relay."""
    lease_released: bool = False
    """It holds no lease by what was proven on this stream, and takes none."""


DownstreamMessage = Batch | Snapshot | ConfigurationChange
"""What a follower is sent."""
UpstreamMessage = Join | Progress
"""What a follower sends."""
