"""Configuration versions as log entries: created from published versions, rebuilt from deltas, and offered to
a router."""

from __future__ import annotations

from google.protobuf.message import DecodeError

from magpieshift.control import sexp
from magpieshift.control.document_changes import Change, apply_changes, differences, document_digest
from magpieshift.control.errors import Problem, UnusableDocumentError
from magpieshift.control.publisher import PublishedVersion
from magpieshift.control.router_session import read_changes, write_changes
from magpieshift.control.version_content import DeltaContent, FullContent, without_version
from magpieshift.control.version_records import VersionOffer
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.relay.messages import ConfigurationChange

OFFER_SOURCE = "relay"
"""The ``source`` of version offers from a relay, as recorded in the version history."""


def log_entry(previous: PublishedVersion | None, version: PublishedVersion) -> ConfigurationChange:
    """The log entry for a version: the delta from the previous version, or the complete text if either of
    them could not be parsed as a document."""
    if previous is None or previous.data is None or version.data is None:
        return ConfigurationChange(version.number, version.digest, "", version.text.encode())
    delta = wire.Delta(base=previous.number, base_digest=previous.digest)
    delta.changes.extend(write_changes(differences(previous.data, version.data)))
    content = bytes(delta.SerializeToString())
    return ConfigurationChange(version.number, version.digest, previous.digest, content)


def apply_delta(base: ConfigurationChange | None, change: ConfigurationChange) -> ConfigurationChange | None:
    """Apply a delta to the complete version ``base``; None if the delta does not apply to it."""
    if base is None or base.digest != change.base_digest:
        return None
    try:
        data = apply_changes(
            without_version(sexp.parse(base.content.decode()).data), _changes(change.content)
        )
    except UnusableDocumentError:
        return None
    if document_digest(without_version(data)) != change.digest:
        return None
    return ConfigurationChange(change.number, change.digest, "", sexp.format_document(data).encode())


def version_offer(change: ConfigurationChange) -> VersionOffer:
    """The offer of a version to a router; ``UnusableDocumentError`` if the content cannot be decoded."""
    if not change.base_digest:
        text = change.content.decode(errors="replace")
        return VersionOffer(change.number, change.digest, OFFER_SOURCE, payload=FullContent(text))
    base = change.base_digest
    payload = DeltaContent(base, _changes(change.content))
    return VersionOffer(change.number, change.digest, OFFER_SOURCE, base=base, payload=payload)


def _changes(content: bytes) -> tuple[Change, ...]:
    try:
        return read_changes(wire.Delta.FromString(content))
    except DecodeError as err:
        raise UnusableDocumentError([Problem("delta", 0, f"no delta ({err})", "one")]) from None
