"""The wire form of what passes between a source, its relays and their followers
(``control/wire/control.proto``), and back.

A batch is put together from two pieces, its entries and its proof: protobuf merges messages that are
concatenated, so that the entries are serialized once for all followers that are sent the same range.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence
from itertools import groupby
from typing import Any

from google.protobuf.message import DecodeError

from magpieshift.control.session import MOST_BYTES
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.relay.messages import (
    NO_EPOCH,
    Batch,
    ConfigurationChange,
    Entry,
    Epoch,
    FromFollower,
    Join,
    Progress,
    Proof,
    Purge,
    Snapshot,
    StoreChange,
    ToFollower,
)

PLAIN_KEY = re.compile(r"[0-9a-f]{16}")  # sent as eight bytes
MS_US = 1000
MOST_SNAPSHOT_BYTES = 4 * MOST_BYTES  # the purges of a long burst alone come near to MOST_BYTES
MOST_NAME = 256  # characters of a follower's name: who serves keeps it
MOST_TIME_US = (1 << 62) - 1  # of Unix times on the wire
MOST_GROUP = (1 << 63) - 1


class Malformed(Exception):
    """Bytes that are no message: where that shows, what was found there, and what was expected."""

    def __init__(self, place: str, found: str, expected: str) -> None:
        super().__init__(f"{place}: found {found}, expected {expected}")
        self.place = place
        self.found = found
        self.expected = expected


# --- to followers


def encode(message: ToFollower) -> bytes:
    """The bytes of a message to a follower."""
    if isinstance(message, Batch):
        entries = encode_entries(message.epoch, message.first, message.entries, message.waiting)
        return entries if message.proof is None else entries + encode_proof(message.proof)
    if isinstance(message, Snapshot):
        return _snapshot(message)
    return _version(message)


def encode_entries(epoch: Epoch, first: int, entries: Sequence[Entry], waiting: bool = False) -> bytes:
    """A batch without a proof; ``encode_proof`` may be appended."""
    base_ms = _base_ms(entry for entry in entries if isinstance(entry, Purge))
    runs = []
    for _, run in groupby(entries, _kind):
        runs += _runs(list(run), base_ms)
    batch = wire.Batch(epoch=_epoch(epoch), first=first, base_ms=base_ms, runs=runs, waiting=waiting)
    return bytes(wire.FromControl(batch=batch).SerializeToString())


def encode_proof(proof: Proof) -> bytes:
    """What is appended to the bytes of a batch to give it this proof."""
    said = wire.Proof(
        probe=proof.probe,
        age_us=proof.age_us,
        head=proof.head,
        done=proof.done,
        source_age_us=proof.source_age_us,
    )
    return bytes(wire.FromControl(batch=wire.Batch(proof=said)).SerializeToString())


def _snapshot(snapshot: Snapshot) -> bytes:
    base_ms = _base_ms(snapshot.purges)
    purges = [_purges(list(run), base_ms) for _, run in groupby(snapshot.purges, _kind)]
    message = wire.Snapshot(
        epoch=_epoch(snapshot.epoch),
        applied=snapshot.applied,
        stores=snapshot.stores,
        base_ms=base_ms,
        purges=purges,
    )
    if snapshot.configuration is not None:
        message.configuration.CopyFrom(_configuration(snapshot.configuration))
    return bytes(wire.FromControl(snapshot=message).SerializeToString())


def _version(change: ConfigurationChange) -> bytes:
    """A version outside the log, in the form in which a control service sends it."""
    version = wire.Version(number=change.number, digest=change.digest)
    if change.base_digest:
        version.delta.ParseFromString(change.content)
    else:
        version.full = change.content.decode()
    return bytes(wire.FromControl(version=version).SerializeToString())


def _base_ms(purges: Iterable[Purge]) -> int:
    newest_us = max((purge.made_us for purge in purges), default=0)
    return -(-newest_us // MS_US)


def _kind(entry: Entry) -> str:
    """Entries of one kind, next to each other, go into one run."""
    if not isinstance(entry, Purge):
        return type(entry).__name__
    if not entry.key:
        return "groups"
    return "objects" if PLAIN_KEY.fullmatch(entry.key) else "keys"


def _runs(entries: Sequence[Entry], base_ms: int) -> list[wire.Run]:
    """A run of one kind: purges go together, all else one by one."""
    purges = [entry for entry in entries if isinstance(entry, Purge)]
    if purges:
        return [wire.Run(purges=_purges(purges, base_ms))]
    return [
        wire.Run(stores=entry.fleet)
        if isinstance(entry, StoreChange)
        else wire.Run(configuration=_configuration(entry))
        for entry in entries
        if not isinstance(entry, Purge)
    ]


def _purges(purges: Sequence[Purge], base_ms: int) -> wire.Purges:
    before_us = [base_ms * MS_US - purge.made_us for purge in purges]
    micro = any(time_us % MS_US for time_us in before_us)
    message = wire.Purges(micro=micro, before=before_us if micro else [us // MS_US for us in before_us])
    match _kind(purges[0]):
        case "objects":
            message.objects.extend(int(purge.key, 16) for purge in purges)
        case "keys":
            message.keys.extend(purge.key for purge in purges)
        case _:
            message.groups.extend(purge.group for purge in purges)
    return message


def _configuration(change: ConfigurationChange) -> wire.ConfigurationVersion:
    return wire.ConfigurationVersion(
        number=change.number, digest=change.digest, base_digest=change.base_digest, content=change.content
    )


def _epoch(epoch: Epoch) -> wire.Epoch | None:
    return None if epoch == NO_EPOCH else wire.Epoch(term=epoch.term, instance=epoch.instance)


def decode(data: bytes) -> ToFollower:
    """A message to a follower; ``Malformed`` where it is none."""
    message = wire.FromControl()
    said = _parsed(message, data)
    match said:
        case "batch":
            return _read_batch(message.batch)
        case "snapshot":
            return _read_snapshot(message.snapshot)
        case "version":
            return _read_version(message.version)
    raise Malformed("message", "nothing", "a batch, a snapshot or a version")


def _parsed(message: Any, data: bytes) -> str | None:
    """Parse into a message; the name of what it says."""
    if len(data) > MOST_SNAPSHOT_BYTES:
        raise Malformed("message", f"{len(data)} bytes", f"at most {MOST_SNAPSHOT_BYTES}")
    try:
        message.ParseFromString(data)
    except DecodeError as err:
        raise Malformed("message", f"{len(data)} bytes that cannot be read ({err})", "a message") from None
    said: str | None = message.WhichOneof("said")
    if len(data) > MOST_BYTES and said != "snapshot":
        raise Malformed(said or "message", f"{len(data)} bytes", f"at most {MOST_BYTES}")
    return said


def _read_batch(batch: wire.Batch) -> Batch:
    if batch.first < 1:
        raise Malformed("batch first", str(batch.first), "a sequence number from 1")
    entries: list[Entry] = []
    for index, run in enumerate(batch.runs):
        entries += _read_run(run, batch.base_ms, f"batch runs[{index}]")
    proof = None
    if batch.HasField("proof"):
        said = batch.proof
        proof = Proof(said.probe, said.age_us, said.head, said.done, said.source_age_us)
    epoch = _read_given_epoch(batch, "batch epoch")
    return Batch(epoch, batch.first, tuple(entries), proof, batch.waiting)


def _read_run(run: wire.Run, base_ms: int, place: str) -> list[Entry]:
    match run.WhichOneof("entries"):
        case "purges":
            return list(_read_purges(run.purges, base_ms, f"{place} purges"))
        case "stores":
            return [StoreChange(run.stores)]
        case "configuration":
            return [_read_configuration(run.configuration, f"{place} configuration")]
    raise Malformed(place, "nothing", "purges, stores or a configuration")


def _read_purges(purges: wire.Purges, base_ms: int, place: str) -> list[Purge]:
    times = _read_times(purges, base_ms, f"{place} before")
    given = [name for name in ("objects", "keys", "groups") if len(getattr(purges, name))]
    if len(given) != 1:
        raise Malformed(place, " and ".join(given) or "nothing", "one of objects, keys and groups")
    what = getattr(purges, given[0])
    if len(what) != len(times):
        raise Malformed(f"{place} before", f"{len(times)} times", f"{len(what)}, one for each purge")
    if given[0] == "objects":
        return [Purge(f"{key:016x}", 0, made_us) for key, made_us in zip(what, times, strict=True)]
    if given[0] == "groups":
        return [Purge("", group, made_us) for group, made_us in zip(what, times, strict=True)]
    for key in what:
        _check_key(key, f"{place} keys")
    return [Purge(key, 0, made_us) for key, made_us in zip(what, times, strict=True)]


def _read_times(purges: wire.Purges, base_ms: int, place: str) -> list[int]:
    unit_us = 1 if purges.micro else MS_US
    base_us = base_ms * MS_US
    times = [base_us - before * unit_us for before in purges.before]
    if times and not 0 <= min(times) <= max(times) <= MOST_TIME_US:
        raise Malformed(place, f"a time of {min(times)} us", f"0 to {MOST_TIME_US}")
    return times


def _check_key(key: str, place: str) -> None:
    try:
        int(key, 16)
    except ValueError:
        raise Malformed(place, repr(key)[:60], "a hexadecimal key") from None


def _read_configuration(version: wire.ConfigurationVersion, place: str) -> ConfigurationChange:
    if not version.number or not version.digest:
        raise Malformed(place, "a version without number or digest", "both")
    return ConfigurationChange(version.number, version.digest, version.base_digest, version.content)


def _read_snapshot(snapshot: wire.Snapshot) -> Snapshot:
    purges: list[Purge] = []
    for index, run in enumerate(snapshot.purges):
        purges += _read_purges(run, snapshot.base_ms, f"snapshot purges[{index}]")
    configuration = None
    if snapshot.HasField("configuration"):
        configuration = _read_configuration(snapshot.configuration, "snapshot configuration")
    epoch = _read_given_epoch(snapshot, "snapshot epoch")
    return Snapshot(epoch, snapshot.applied, snapshot.stores, tuple(purges), configuration)


def _read_version(version: wire.Version) -> ConfigurationChange:
    if not version.number or not version.digest:
        raise Malformed("version", "one without number or digest", "both")
    match version.WhichOneof("content"):
        case "full":
            return ConfigurationChange(version.number, version.digest, "", version.full.encode())
        case "delta":
            delta = version.delta
            content = bytes(delta.SerializeToString())
            return ConfigurationChange(version.number, version.digest, delta.base_digest, content)
    raise Malformed("version", "no content", "a settings file or a delta")


def _read_given_epoch(message: Any, place: str) -> Epoch:
    """The epoch of a message that must have one."""
    epoch = _read_epoch(message.epoch)
    if epoch == NO_EPOCH:
        raise Malformed(place, "none", "one")
    return epoch


def _read_epoch(epoch: wire.Epoch) -> Epoch:
    return Epoch(epoch.term, epoch.instance)


# --- from followers


def encode_from(message: FromFollower) -> bytes:
    """The bytes of a message from a follower."""
    if isinstance(message, Join):
        join = wire.Join(
            name=message.name,
            boot=message.boot,
            epoch=_epoch(message.epoch),
            applied=message.applied,
            configuration=message.configuration,
            heard=_epoch(message.heard),
        )
        return bytes(wire.FromRouter(join=join).SerializeToString())
    progress = wire.Progress(
        epoch=_epoch(message.epoch),
        applied=message.applied,
        probe=message.probe,
        done=message.done,
        configuration=message.configuration,
        refused=message.refused,
        refusal=message.refusal,
        want_whole=message.want_whole,
        behind=message.behind,
        behind_count=message.behind_count,
        followers=message.followers,
        released=message.released,
    )
    return bytes(wire.FromRouter(progress=progress).SerializeToString())


def decode_from(data: bytes) -> FromFollower:
    """A message from a follower; ``Malformed`` where it is none."""
    message = wire.FromRouter()
    said = _parsed(message, data)
    if said == "join":
        join = message.join
        for what, text, least in (("name", join.name, 1), ("boot", join.boot, 0)):
            if not least <= len(text) <= MOST_NAME:
                raise Malformed(f"join {what}", f"{len(text)} characters", f"{least} to {MOST_NAME}")
        epoch = _read_epoch(join.epoch)
        heard = _read_epoch(join.heard)
        return Join(join.name, join.boot, epoch, join.applied, join.configuration, heard)
    if said == "progress":
        told = message.progress
        return Progress(
            _read_epoch(told.epoch),
            told.applied,
            told.probe,
            told.done,
            told.configuration,
            told.refused,
            told.refusal,
            told.want_whole,
            tuple(told.behind),
            told.behind_count,
            told.followers,
            told.released,
        )
    raise Malformed("message", said or "nothing", "join or progress")
