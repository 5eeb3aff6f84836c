"""The file format of the version store: encoding of records, and recovery from damaged files.

Each append writes two consecutive copies of a record, so that a flipped bit does not lose the newest record,
for which there is no other source. Reading searches for record marks, so a damaged record does not hide the
ones after it. Only this module knows the keys and words on disk; they must not change.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

from magpieshift.control.checksummed_records import RECORD_HEADER, encode_record, payload_at
from magpieshift.control.errors import VersionStoreError
from magpieshift.control.version_records import RejectionReason, VersionRecord, VersionState

VERSIONS_FILE = "versions.log"
FILE_HEADER = b"magpieshift versions 1\n"
HEADER_PREFIX_LENGTH = 12
"""Length in bytes of the header's prefix that marks a version file of any format version."""
MARK = b"\xabMV\x01"
"""First bytes of each record. Payloads are ASCII JSON, which does not contain the first byte."""
MAX_STORED = 64
"""Records (versions and rejections) that are retained; the file is rewritten when it holds twice as many."""


@dataclass(frozen=True)
class StoredVersion:
    """A record on disk."""

    record: VersionRecord
    """The version and its state."""
    text: str = ""
    """The complete document of a version that came into force; empty for a rejected one."""


@dataclass(frozen=True)
class StoreContents:
    """The content of a version file."""

    versions: tuple[StoredVersion, ...]
    """The intact records, oldest first."""
    damaged_ranges: int
    """Byte ranges that are not valid records, except for the bytes after the last record."""
    torn_bytes: int
    """Bytes after the last complete record."""
    single_copies: int
    """Records of which only one of the two copies is intact."""

    @property
    def in_force(self) -> StoredVersion | None:
        """The version that came into force last; None if none did."""
        return newest_in_force(self.versions)


EMPTY = StoreContents((), 0, 0, 0)
"""Content of a folder without a version file."""


def newest_in_force(versions: Sequence[StoredVersion]) -> StoredVersion | None:
    """The last version that came into force; None if none did."""
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
    """Decode a record; ``ValueError``, ``KeyError`` or ``TypeError`` if the payload is not a version."""
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
    """Decode the intact records of a file that may be damaged; ``VersionStoreError`` if the file has another
    format."""
    if not data:
        return EMPTY
    if not data.startswith(FILE_HEADER[:HEADER_PREFIX_LENGTH]):
        raise VersionStoreError(
            f"{VERSIONS_FILE} begins with {data[:HEADER_PREFIX_LENGTH]!r}, expected {FILE_HEADER!r}"
        )
    header = data[: len(FILE_HEADER)]
    if header != FILE_HEADER and len(data) >= len(FILE_HEADER):
        raise VersionStoreError(f"{VERSIONS_FILE} is of the form {header!r}, expected {FILE_HEADER!r}")
    versions: list[StoredVersion] = []
    damaged = 0
    single = 0
    # end of the last record found, and the payload whose second copy is expected next
    end = min(len(FILE_HEADER), len(data))
    expected_copy = b""
    for start, payload in _payloads(data, len(FILE_HEADER)):
        if start != end:
            damaged += 1
        end = start + RECORD_HEADER.size + len(payload)
        if payload == expected_copy:
            expected_copy = b""
            single -= 1
            continue
        try:
            versions.append(decode_version(payload))
        except (ValueError, KeyError, TypeError):
            damaged += 1  # the checksum matches, but the payload is not a version: another program wrote it
            continue
        expected_copy = payload
        single += 1
    return StoreContents(tuple(versions), damaged, len(data) - end, single)


def _payloads(data: bytes, start: int) -> Iterable[tuple[int, bytes]]:
    """The positions of the intact records and their payloads."""
    while (start := data.find(MARK, start)) >= 0:
        payload = payload_at(data, start)
        if payload is None:
            start += 1
            continue
        yield start, payload
        start += RECORD_HEADER.size + len(payload)


def read_store(folder: str | Path) -> StoreContents:
    """Read a folder's version file without changing it; returns ``EMPTY`` if there is none yet."""
    try:
        data = (Path(folder) / VERSIONS_FILE).read_bytes()
    except FileNotFoundError:
        if not Path(folder).is_dir():
            raise VersionStoreError(f"{folder} is not a folder") from None
        return EMPTY
    except OSError as err:
        raise VersionStoreError(f"{folder}: {err.strerror or err}") from err
    return parse_store(data)


def retained_versions(versions: Sequence[StoredVersion]) -> list[StoredVersion]:
    """The newest ``MAX_STORED`` records, always including the version in force, however many rejections
    followed it."""
    newest = list(versions[-MAX_STORED:])
    in_force = newest_in_force(versions)
    if in_force is not None and in_force not in newest:
        newest[0] = in_force
    return newest


def stored_history(contents: StoreContents) -> list[StoredVersion]:
    """The records as shown to operators: the last version that came into force is in force, earlier ones are
    replaced."""
    in_force = contents.in_force
    return [
        replace(version, record=replace(version.record, state=VersionState.REPLACED))
        if version.record.state is VersionState.IN_FORCE and version is not in_force
        else version
        for version in contents.versions
    ]
