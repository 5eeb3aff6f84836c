"""What a router starts with: its settings file's version, or the newest usable one that is stored."""

from __future__ import annotations

import logging
from typing import NamedTuple

from magpieshift.config import Document
from magpieshift.control.content import ContentRejectedError, FullContent, resolve_offer
from magpieshift.control.errors import NoSettingsError, VersionStoreError
from magpieshift.control.schema import LoadedDocument, to_data
from magpieshift.control.stored_versions import StoredVersion
from magpieshift.control.version_history import VersionHistory
from magpieshift.control.version_manager import unix_now_us
from magpieshift.control.version_records import VersionOffer, VersionRecord, VersionState
from magpieshift.control.version_store import VersionStore
from magpieshift.log import fields

log = logging.getLogger(__name__)


class _UsableVersion(NamedTuple):
    """A stored version that this program can use."""

    stored: StoredVersion
    """As it stands on disk."""
    loaded: LoadedDocument
    """Its document."""


def open_store(folder: str) -> tuple[VersionStore | None, str]:
    """The store of a folder, or why it is not to be had; a router serves all the same."""
    try:
        return VersionStore(folder), ""
    except VersionStoreError as err:
        log.error("versions not stored", extra=fields(reason=err))
        return None, str(err)


def first_version(
    start: LoadedDocument | None, store: VersionStore | None, source: str
) -> tuple[VersionHistory, LoadedDocument]:
    """What to start with: the newer of the settings file's version (``start``, of the file ``source``) and
    the newest usable one stored. ``NoSettingsError`` if there is neither."""
    stored = store.versions if store is not None else []
    usable = _newest_usable(stored)
    if start is not None and (usable is None or start.version > usable.stored.record.number):
        record = VersionRecord(start.version, start.digest, source, VersionState.IN_FORCE, unix_now_us())
        earlier = [version.record for version in stored if version.record.number < start.version]
        return VersionHistory.restored([*earlier, record], record), start
    if usable is None:
        raise NoSettingsError("no settings: neither a file nor a kept version")
    newest = usable.stored.record
    log.info("stored version loaded", extra=fields(version=newest.number, digest=newest.digest))
    records = [
        version.record
        for version in stored
        if version.record.state is VersionState.REJECTED or version.record.number <= newest.number
    ]
    return VersionHistory.restored(records, newest), usable.loaded


def _newest_usable(stored: list[StoredVersion]) -> _UsableVersion | None:
    """The newest version in force that can be used. One that cannot any more, by a newer program say, is
    passed over in one line."""
    for version in reversed(stored):
        record = version.record
        if record.state is not VersionState.IN_FORCE:
            continue
        offer = VersionOffer(record.number, record.digest, "store", payload=FullContent(version.text))
        try:
            return _UsableVersion(version, resolve_offer(offer, {}, ""))
        except ContentRejectedError as err:
            log.error("stored version not usable", extra=fields(version=offer.number, reason=err))
    return None


def loaded_without_version(document: Document) -> LoadedDocument:
    """The platform's configuration as a version without a number."""
    return LoadedDocument(to_data(document), 0, document)
