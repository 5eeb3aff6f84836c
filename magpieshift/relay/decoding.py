"""Decodes and validates the messages between a source, its relays and their followers."""

from __future__ import annotations

from typing import Any

from google.protobuf.message import DecodeError

from magpieshift.control.router_session import MAX_MESSAGE_BYTES
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.relay.encoding import US_PER_MS
from magpieshift.relay.errors import MalformedMessageError
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
    Progress,
    Purge,
    Snapshot,
    UpstreamMessage,
)

MAX_SNAPSHOT_BYTES = 4 * MAX_MESSAGE_BYTES
"""Maximum size of a snapshot. Other messages are limited to ``MAX_MESSAGE_BYTES``, which the purges of a long
burst alone nearly reach."""
MAX_NAME_LENGTH = 256
"""Maximum characters of a follower's name and boot id, which the server keeps in memory."""
MAX_UNIX_TIME_US = (1 << 62) - 1
"""The largest accepted Unix time; a signed 64-bit field holds the sum of two."""
MAX_GROUP = (1 << 63) - 1
"""The largest accepted group number: the maximum of a signed 64-bit field."""

# --- to followers


def decode_downstream(data: bytes) -> DownstreamMessage:
    """Decode a message to a follower; ``MalformedMessageError`` if it is not a valid one."""
    message = wire.FromControl()
    match _parse(message, data):
        case "batch":
            return _decode_batch(message.batch)
        case "snapshot":
            return _decode_snapshot(message.snapshot)
        case "version":
            return _decode_version(message.version)
    raise MalformedMessageError("message", "nothing", "a batch, a snapshot or a version")


def _parse(message: Any, data: bytes) -> str | None:
    """Parse bytes into ``message``; returns the name of the field that is set in its oneof."""
    if len(data) > MAX_SNAPSHOT_BYTES:
        raise MalformedMessageError("message", f"{len(data)} bytes", f"at most {MAX_SNAPSHOT_BYTES}")
    try:
        message.ParseFromString(data)
    except DecodeError as err:
        raise MalformedMessageError(
            "message", f"{len(data)} bytes that cannot be read ({err})", "a message"
        ) from None
    content: str | None = message.WhichOneof("said")
    if len(data) > MAX_MESSAGE_BYTES and content != "snapshot":
        raise MalformedMessageError(
            content or "message", f"{len(data)} bytes", f"at most {MAX_MESSAGE_BYTES}"
        )
    return content


def _decode_batch(batch: wire.Batch) -> Batch:
    if batch.first < 1:
        raise MalformedMessageError("batch first", str(batch.first), "a sequence number from 1")
    entries: list[Entry] = []
    for index, run in enumerate(batch.runs):
        entries += _decode_run(run, batch.base_ms, f"batch runs[{index}]")
    proof = None
    if batch.HasField("proof"):
        message = batch.proof
        proof = FreshnessProof(
            message.probe, message.age_us, message.head, message.done, message.source_age_us
        )
    epoch = _decode_given_epoch(batch, "batch epoch")
    return Batch(epoch, batch.first, tuple(entries), proof, batch.waiting)


def _decode_run(run: wire.Run, base_ms: int, place: str) -> list[Entry]:
    match run.WhichOneof("entries"):
        case "purges":
            return list(_decode_purges(run.purges, base_ms, f"{place} purges"))
        case "stores":
            return [EndpointListChange(run.stores)]
        case "configuration":
            return [_decode_configuration(run.configuration, f"{place} configuration")]
    raise MalformedMessageError(place, "nothing", "purges, stores or a configuration")


def _decode_purges(purges: wire.Purges, base_ms: int, place: str) -> list[Purge]:
    times = _decode_times(purges, base_ms, f"{place} before")
    given_fields = [name for name in ("objects", "keys", "groups") if len(getattr(purges, name))]
    if len(given_fields) != 1:
        raise MalformedMessageError(
            place, " and ".join(given_fields) or "nothing", "one of objects, keys and groups"
        )
    ids = getattr(purges, given_fields[0])
    if len(ids) != len(times):
        raise MalformedMessageError(
            f"{place} before", f"{len(times)} times", f"{len(ids)}, one for each purge"
        )
    if given_fields[0] == "objects":
        return [Purge(f"{key:016x}", 0, purged_us) for key, purged_us in zip(ids, times, strict=True)]
    if given_fields[0] == "groups":
        return [Purge("", group, purged_us) for group, purged_us in zip(ids, times, strict=True)]
    for key in ids:
        _check_key(key, f"{place} keys")
    return [Purge(key, 0, purged_us) for key, purged_us in zip(ids, times, strict=True)]


def _decode_times(purges: wire.Purges, base_ms: int, place: str) -> list[int]:
    unit_us = 1 if purges.micro else US_PER_MS
    base_us = base_ms * US_PER_MS
    times = [base_us - before * unit_us for before in purges.before]
    if times and not 0 <= min(times) <= max(times) <= MAX_UNIX_TIME_US:
        raise MalformedMessageError(place, f"a time of {min(times)} us", f"0 to {MAX_UNIX_TIME_US}")
    return times


def _check_key(key: str, place: str) -> None:
    try:
        int(key, 16)
    except ValueError:
        raise MalformedMessageError(place, repr(key)[:60], "a hexadecimal key") from None


def _decode_configuration(version: wire.ConfigurationVersion, place: str) -> ConfigurationChange:
    if not version.number or not version.digest:
        raise MalformedMessageError(place, "a version without number or digest", "a version with both")
    return ConfigurationChange(version.number, version.digest, version.base_digest, version.content)


def _decode_snapshot(snapshot: wire.Snapshot) -> Snapshot:
    purges: list[Purge] = []
    for index, run in enumerate(snapshot.purges):
        purges += _decode_purges(run, snapshot.base_ms, f"snapshot purges[{index}]")
    configuration = None
    if snapshot.HasField("configuration"):
        configuration = _decode_configuration(snapshot.configuration, "snapshot configuration")
    epoch = _decode_given_epoch(snapshot, "snapshot epoch")
    return Snapshot(epoch, snapshot.applied, snapshot.stores, tuple(purges), configuration)


def _decode_version(version: wire.Version) -> ConfigurationChange:
    if not version.number or not version.digest:
        raise MalformedMessageError("version", "one without number or digest", "one with both")
    match version.WhichOneof("content"):
        case "full":
            return ConfigurationChange(version.number, version.digest, "", version.full.encode())
        case "delta":
            delta = version.delta
            content = bytes(delta.SerializeToString())
            return ConfigurationChange(version.number, version.digest, delta.base_digest, content)
    raise MalformedMessageError("version", "no content", "a settings file or a delta")


def _decode_given_epoch(message: Any, place: str) -> Epoch:
    """Decode the epoch of a message, which is required; ``MalformedMessageError`` if it is missing."""
    epoch = _decode_epoch(message.epoch)
    if epoch == NO_EPOCH:
        raise MalformedMessageError(place, "none", "an epoch")
    return epoch


def _decode_epoch(epoch: wire.Epoch) -> Epoch:
    return Epoch(epoch.term, epoch.instance)


# --- from followers


def decode_upstream(data: bytes) -> UpstreamMessage:
    """Decode a message from a follower; ``MalformedMessageError`` if it is not a valid one."""
    message = wire.FromRouter()
    content = _parse(message, data)
    if content == "join":
        join = message.join
        for part, text, min_length in (("name", join.name, 1), ("boot", join.boot, 0)):
            if not min_length <= len(text) <= MAX_NAME_LENGTH:
                expected = f"{min_length} to {MAX_NAME_LENGTH}"
                raise MalformedMessageError(f"join {part}", f"{len(text)} characters", expected)
        epoch = _decode_epoch(join.epoch)
        highest_epoch = _decode_epoch(join.heard)
        return Join(join.name, join.boot, epoch, join.applied, join.configuration, highest_epoch)
    if content == "progress":
        progress = message.progress
        return Progress(
            epoch=_decode_epoch(progress.epoch),
            applied=progress.applied,
            probe=progress.probe,
            watermark=progress.done,
            configuration_digest=progress.configuration,
            rejected_version=progress.refused,
            rejection_reason=progress.refusal,
            wants_full=progress.want_whole,
            lagging_names=tuple(progress.behind),
            lagging_count=progress.behind_count,
            follower_count=progress.followers,
            lease_released=progress.released,
        )
    raise MalformedMessageError("message", content or "nothing", "join or progress")
