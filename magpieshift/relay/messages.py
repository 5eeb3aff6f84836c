"""The messages between a source, its relays and their followers, as plain values.

The wire form is in ``encoding`` and ``decoding``; the state machines (``log``, ``log_state``,
``staleness_bound``, ``fanout``, ``follower``) know only these. Sequence numbers begin at 1 in each epoch;
times are in microseconds. Ages are durations, never instants, since machines do not share a clock.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, order=True, slots=True)
class Epoch:
    """Identifies one run of a source. The epoch with the later term supersedes the other; of two with the
    same term, the one with the larger instance number does."""

    term: int
    """Unix time of the source's start in milliseconds."""
    instance: int
    """Random number, drawn at the source's start."""


NO_EPOCH = Epoch(0, 0)
"""Epoch of a process that has no entries yet; lower than every other epoch."""


@dataclass(frozen=True, slots=True)
class Purge:
    """The purge of an object or a group at the origin."""

    key: str
    """The object's hexadecimal id; empty for a group."""
    group: int
    """The group's number, if ``key`` is empty."""
    issued_us: int
    """Unix time of the purge at the origin."""


@dataclass(frozen=True, slots=True)
class EndpointListChange:
    """A change of the endpoint list."""

    list_json: str
    """The change log's ``fleet`` value."""


@dataclass(frozen=True, slots=True)
class ConfigurationChange:
    """A configuration version, as the delta from the previous version in the log or as the complete
    content."""

    number: int
    """The version's number, from 1."""
    digest: str
    """Digest of the version's complete content."""
    base_digest: str
    """Digest of the version that the delta applies to; empty if ``content`` is complete."""
    content: bytes
    """A serialized ``control.wire`` ``Delta``, or the settings file as UTF-8."""


Entry = Purge | EndpointListChange | ConfigurationChange
"""An entry of a log."""


@dataclass(frozen=True, slots=True)
class Batch:
    """Consecutive entries of one epoch; an empty one is a heartbeat."""

    epoch: Epoch
    """Epoch of the entries."""
    first: int
    """Sequence number of the first entry; in a heartbeat, of the next entry to be sent."""
    entries: tuple[Entry, ...]
    """The entries in log order."""
    proof: FreshnessProof | None
    """Freshness proof; None if the follower may not be given one yet, such as while visible entries remain to
    be sent."""
    snapshot_pending: bool = False
    """Whether the receiver needs a snapshot, which is sent when its slot is reached; set in heartbeats
    only."""

    @property
    def last(self) -> int:
        """Sequence number of the last entry; ``first - 1`` in a heartbeat."""
        return self.first + len(self.entries) - 1


@dataclass(frozen=True, slots=True)
class FreshnessProof:
    """States how fresh the receiver's knowledge is once it has applied everything up to ``head``: when the
    sender answered the probe, it knew everything that the change log had accepted ``age_us`` earlier."""

    probe: int
    """Number of the last probe received on this stream."""
    age_us: int
    """Age of the sender's knowledge when it answered."""
    head: int
    """Sequence number up to which the receiver must apply everything."""
    watermark: int
    """Sequence number up to which every follower of the whole tier has applied everything, or else limits the
    age of the copies it accepts."""
    source_age_us: int = 0
    """The part of ``age_us`` by which the source lagged behind its change log; the rest arose on the way from
    the source."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state that results from the log up to ``applied``; sent to followers that lack dropped entries."""

    epoch: Epoch
    """Epoch of the log."""
    applied: int
    """Sequence number of the last entry that it covers."""
    endpoint_list_json: str
    """The endpoint list, as in ``EndpointListChange.list_json``; ``complete`` if the sender has received a
    complete list, empty if it has received none."""
    purges: tuple[Purge, ...]
    """Recent purges, which some caches may not have applied yet."""
    configuration: ConfigurationChange | None
    """The newest version of which the sender knows the complete content; None if there is none."""


@dataclass(frozen=True, slots=True)
class Join:
    """A follower's first message on a stream: its name and its position in the log."""

    name: str
    """Name of the follower; the same after a restart."""
    boot: str
    """Identifies the run of the process; new with each start."""
    epoch: Epoch
    """Epoch of ``applied``; ``NO_EPOCH`` if the follower has no entries."""
    applied: int
    """Sequence number up to which the follower has applied everything."""
    configuration_digest: str
    """Digest of the configuration version in force."""
    highest_epoch: Epoch = NO_EPOCH
    """The highest epoch that the follower knows of; a source with a lower epoch ends."""


@dataclass(frozen=True, slots=True)
class Progress:
    """A follower's acknowledgement and probe."""

    epoch: Epoch
    """Epoch of ``applied``."""
    applied: int
    """Sequence number up to which the follower has applied everything."""
    probe: int
    """Number of this message on its stream, from 1."""
    watermark: int
    """From a relay, the sequence number up to which it and its followers have applied everything; otherwise
    equal to ``applied``."""
    configuration_digest: str
    """Digest of the configuration version in force."""
    rejected_version: int = 0
    """Number of a configuration version that was rejected; 0 if none was."""
    rejection_reason: str = ""
    """Why that version was rejected."""
    wants_full: bool = False
    """Whether the complete newest version is requested, because a delta did not apply."""
    lagging_names: tuple[str, ...] = ()
    """From a relay, names of some followers without the newest version."""
    lagging_count: int = 0
    """From a relay, the number of followers without the newest version."""
    follower_count: int = 0
    """From a relay, the number of its followers, including those of relays below it."""
    lease_released: bool = False
    """Whether the follower holds no lease from proofs of this stream, and will accept none."""


DownstreamMessage = Batch | Snapshot | ConfigurationChange
"""A message to a follower."""
UpstreamMessage = Join | Progress
"""A message from a follower."""
