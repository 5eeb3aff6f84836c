"""The file of a version store: its records, and reading it however damaged.

Each record is written twice, one behind the other, in one append: a bit that flips in the newest, with
nothing else to fall back on, costs nothing. Reading looks for marks, so one damaged record hides no other.
The keys and words on disk stand here alone, and stay as they are.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from magpieshift.control.checked_records import RECORD_HEADER, encode_record, payload_at
from magpieshift.control.errors import VersionStoreError
from magpieshift.control.version_records import RejectionReason, VersionRecord, VersionState

VERSIONS_FILE = "versions.log"
FILE_HEADER = b"magpieshift versions 1\n"
FORM_LENGTH = 12
"""Bytes of the header by which a file is one of versions, of whatever form."""
MARK = b"\xabMV\x01"
"""With which each record begins; no JSON text holds its first byte."""
MAX_STORED = 64
"""Versions and rejections that stay; the file is rewritten when it holds twice as many."""


@dataclass(frozen=True)
class StoredVersion:
    """A record on disk."""

    record: VersionRecord
    """The version, and what became of it."""
    text: str = ""
    """The complete document of a version that came into force."""


@dataclass(frozen=True)
class StoreContents:
    """What a file holds."""

    versions: tuple[StoredVersion, ...]
    """Oldest first."""
    damaged_stretches: int
    """Stretches of bytes that are no record, apart from a torn tail."""
    torn_bytes: int
    """Bytes after the last complete record."""
    single_copies: int
    """Records of which only one of the two copies is complete."""

    @property
    def in_force(self) -> StoredVersion | None:
        """The version that came into force last."""
        return newest_in_force(self.versions)


EMPTY = StoreContents((), 0, 0, 0)
"""Of a folder without a file."""


def newest_in_force(versions: Sequence[StoredVersion]) -> StoredVersion | None:
    """The last of the versions that came into force, if any did."""
    for version in reversed(versions):
        if version.record.state is VersionState.IN_FORCE:
            return version
    return None


def encode_version(version: StoredVersion) -> bytes:
    """The bytes of both copies of a record."""
    record = version.record
    row = {
        "number": record.number,
        "digest": record.digest,
        "source": record.source,
        "state": record.state.value,
        "at_us": record.since_us,
        "reason": int(record.reason),
        "detail": record.detail,
        "skipped": record.skipped_numbers,
        "text": version.text,
    }
    return encode_record(MARK, json.dumps(row).encode()) * 2


def decode_version(payload: bytes) -> StoredVersion:
    """A record; ``ValueError``, ``KeyError`` or ``TypeError`` if it is none."""
    row: dict[str, Any] = json.loads(payload)
    record = VersionRecord(
        number=row["number"],
        digest=row["digest"],
        source=row["source"],
        state=VersionState(row["state"]),
        since_us=row["at_us"],
        reason=RejectionReason(row["reason"]),
        detail=row["detail"],
        skipped_numbers=row["skipped"],
    )
    return StoredVersion(record, row["text"])


def parse_store(data: bytes) -> StoreContents:
    """The records in a file's bytes, however damaged; ``VersionStoreError`` if it is a file of another
    form."""
    if not data:
        return EMPTY
    if not data.startswith(FILE_HEADER[:FORM_LENGTH]):
        raise VersionStoreError(
            f"{VERSIONS_FILE} begins with {data[:FORM_LENGTH]!r}, expected {FILE_HEADER!r}"
        )
    header = data[: len(FILE_HEADER)]
    if header != FILE_HEADER and len(data) >= len(FILE_HEADER):
        raise VersionStoreError(f"{VERSIONS_FILE} is of the form {header!r}, expected {FILE_HEADER!r}")
    versions: list[StoredVersion] = []
    damaged = 0
    single = 0
    # up to where records were found, and the last payload while its second copy is awaited
    end = min(len(FILE_HEADER), len(data))
    awaited = b""
    for start, payload in _payloads(data, len(FILE_HEADER)):
        if start != end:
            damaged += 1
        end = start + RECORD_HEADER.size + len(payload)
        if payload == awaited:
            awaited = b""
            single -= 1
            continue
        try:
            versions.append(decode_version(payload))
        except (ValueError, KeyError, TypeError):
            damaged += 1  # checksums that match over what is no record: another program wrote it
            continue
        awaited = payload
        single += 1
    return StoreContents(tuple(versions), damaged, len(data) - end, single)


def _payloads(data: bytes, start: int) -> Iterable[tuple[int, bytes]]:
    """Where complete records begin, and their payloads."""
    while (start := data.find(MARK, start)) >= 0:
        payload = payload_at(data, start)
        if payload is None:
            start += 1
            continue
        yield start, payload
        start += RECORD_HEADER.size + len(payload)


def read_store(folder: str | Path) -> StoreContents:
    """What a folder holds, without touching it; nothing if it holds no file yet."""
    try:
        data = (Path(folder) / VERSIONS_FILE).read_bytes()
    except FileNotFoundError:
        if not Path(folder).is_dir():
            raise VersionStoreError(f"{folder} is no folder") from None
        return EMPTY
    except OSError as err:
        raise VersionStoreError(f"{folder}: {err.strerror or err}") from err
    return parse_store(data)


def retained_versions(versions: Sequence[StoredVersion]) -> list[StoredVersion]:
    """The newest that fit the bound; what is in force stays, however many were rejected since."""
    newest = list(versions[-MAX_STORED:])
    in_force = newest_in_force(versions)
    if in_force is not None and in_force not in newest:
        newest[0] = in_force
    return newest


def stored_history(contents: StoreContents) -> list[StoredVersion]:
    """The records as people want them: one of them in force, those before it replaced."""
    in_force = contents.in_force
    return [
        replace(version, record=replace(version.record, state=VersionState.REPLACED))
        if version.record.state is VersionState.IN_FORCE and version is not in_force
        else version
        for version in contents.versions
    ]
