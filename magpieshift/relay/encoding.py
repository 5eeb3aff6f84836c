"""Encodes the messages between a source, its relays and their followers (``control/wire/control.proto``).

A batch is the concatenation of two serialized messages, one with its entries and one with its proof: protobuf
merges concatenated messages, so that the entries are serialized once for all followers that are sent the same
range. The wire field names are used only here and in ``decoding``.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from enum import Enum, auto
from itertools import groupby

from magpieshift.control.wire import control_pb2 as wire
from magpieshift.relay.messages import (
    NO_EPOCH,
    Batch,
    ConfigurationChange,
    DownstreamMessage,
    EndpointListChange,
    Entry,
    Epoch,
    FreshnessProof,
    Join,
    Purge,
    Snapshot,
    UpstreamMessage,
)

OBJECT_ID = re.compile(r"[0-9a-f]{16}")
"""Object keys of this form are sent as 64-bit numbers."""
US_PER_MS = 1000
"""Times on the wire are milliseconds, unless one of them needs microseconds."""


class _RunKind(Enum):
    """Kind of a run: adjacent entries of one kind are grouped into a run."""

    OBJECT_PURGES = auto()
    KEY_PURGES = auto()
    GROUP_PURGES = auto()
    ENDPOINT_LISTS = auto()
    CONFIGURATIONS = auto()


# --- to followers


def encode_downstream(message: DownstreamMessage) -> bytes:
    """Encode a message to a follower."""
    if isinstance(message, Batch):
        entries = encode_entries(message.epoch, message.first, message.entries, message.snapshot_pending)
        return entries if message.proof is None else entries + encode_proof(message.proof)
    if isinstance(message, Snapshot):
        return _encode_snapshot(message)
    return _encode_version(message)


def encode_entries(
    epoch: Epoch, first: int, entries: Sequence[Entry], snapshot_pending: bool = False
) -> bytes:
    """Encode a batch without a proof; the result of ``encode_proof`` may be appended."""
    base_ms = _base_ms(entry for entry in entries if isinstance(entry, Purge))
    runs = []
    for _, run in groupby(entries, _run_kind):
        runs += _runs(list(run), base_ms)
    batch = wire.Batch(
        epoch=_encode_epoch(epoch), first=first, base_ms=base_ms, runs=runs, waiting=snapshot_pending
    )
    return bytes(wire.FromControl(batch=batch).SerializeToString())


def encode_proof(proof: FreshnessProof) -> bytes:
    """Encode a proof, to be appended to the bytes of a batch."""
    message = wire.Proof(
        probe=proof.probe,
        age_us=proof.age_us,
        head=proof.head,
        done=proof.watermark,
        source_age_us=proof.source_age_us,
    )
    return bytes(wire.FromControl(batch=wire.Batch(proof=message)).SerializeToString())


def _encode_snapshot(snapshot: Snapshot) -> bytes:
    base_ms = _base_ms(snapshot.purges)
    purges = [_encode_purges(list(run), base_ms) for _, run in groupby(snapshot.purges, _run_kind)]
    message = wire.Snapshot(
        epoch=_encode_epoch(snapshot.epoch),
        applied=snapshot.applied,
        stores=snapshot.endpoint_list_json,
        base_ms=base_ms,
        purges=purges,
    )
    if snapshot.configuration is not None:
        message.configuration.CopyFrom(_encode_configuration(snapshot.configuration))
    return bytes(wire.FromControl(snapshot=message).SerializeToString())


def _encode_version(change: ConfigurationChange) -> bytes:
    """Encode a version that is sent outside the log, in the form that a control service uses."""
    version = wire.Version(number=change.number, digest=change.digest)
    if change.base_digest:
        version.delta.ParseFromString(change.content)
    else:
        version.full = change.content.decode()
    return bytes(wire.FromControl(version=version).SerializeToString())


def _base_ms(purges: Iterable[Purge]) -> int:
    newest_us = max((purge.issued_us for purge in purges), default=0)
    return -(-newest_us // US_PER_MS)


def _run_kind(entry: Entry) -> _RunKind:
    if isinstance(entry, EndpointListChange):
        return _RunKind.ENDPOINT_LISTS
    if isinstance(entry, ConfigurationChange):
        return _RunKind.CONFIGURATIONS
    if not entry.key:
        return _RunKind.GROUP_PURGES
    return _RunKind.OBJECT_PURGES if OBJECT_ID.fullmatch(entry.key) else _RunKind.KEY_PURGES


def _runs(entries: Sequence[Entry], base_ms: int) -> list[wire.Run]:
    """Encode adjacent entries of one kind: purges as a single run, other entries as one run each."""
    purges = [entry for entry in entries if isinstance(entry, Purge)]
    if purges:
        return [wire.Run(purges=_encode_purges(purges, base_ms))]
    return [
        wire.Run(stores=entry.list_json)
        if isinstance(entry, EndpointListChange)
        else wire.Run(configuration=_encode_configuration(entry))
        for entry in entries
        if not isinstance(entry, Purge)
    ]


def _encode_purges(purges: Sequence[Purge], base_ms: int) -> wire.Purges:
    """Encode purges of one kind. Their times are milliseconds before ``base_ms``, or microseconds if one of
    them is not a whole millisecond."""
    before_us = [base_ms * US_PER_MS - purge.issued_us for purge in purges]
    in_microseconds = any(time_us % US_PER_MS for time_us in before_us)
    before = before_us if in_microseconds else [time_us // US_PER_MS for time_us in before_us]
    message = wire.Purges(micro=in_microseconds, before=before)
    match _run_kind(purges[0]):
        case _RunKind.OBJECT_PURGES:
            message.objects.extend(int(purge.key, 16) for purge in purges)
        case _RunKind.KEY_PURGES:
            message.keys.extend(purge.key for purge in purges)
        case _:
            message.groups.extend(purge.group for purge in purges)
    return message


def _encode_configuration(change: ConfigurationChange) -> wire.ConfigurationVersion:
    return wire.ConfigurationVersion(
        number=change.number, digest=change.digest, base_digest=change.base_digest, content=change.content
    )


def _encode_epoch(epoch: Epoch) -> wire.Epoch | None:
    return None if epoch == NO_EPOCH else wire.Epoch(term=epoch.term, instance=epoch.instance)


# --- from followers


def encode_upstream(message: UpstreamMessage) -> bytes:
    """Encode a message from a follower."""
    if isinstance(message, Join):
        join = wire.Join(
            name=message.name,
            boot=message.boot,
            epoch=_encode_epoch(message.epoch),
            applied=message.applied,
            configuration=message.configuration_digest,
            heard=_encode_epoch(message.highest_epoch),
        )
        return bytes(wire.FromRouter(join=join).SerializeToString())
    progress = wire.Progress(
        epoch=_encode_epoch(message.epoch),
        applied=message.applied,
        probe=message.probe,
        done=message.watermark,
        configuration=message.configuration_digest,
        refused=message.rejected_version,
        refusal=message.rejection_reason,
        want_whole=message.wants_full,
        behind=message.lagging_names,
        behind_count=message.lagging_count,
        followers=message.follower_count,
        released=message.lease_released,
    )
    return bytes(wire.FromRouter(progress=progress).SerializeToString())
