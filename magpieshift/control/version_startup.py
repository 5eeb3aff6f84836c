"""Selects the version that a router starts with: its settings file's, or the newest usable stored one."""

from __future__ import annotations

import logging
from typing import NamedTuple

from magpieshift.config import Document
from magpieshift.control.errors import NoSettingsError, VersionStoreError
from magpieshift.control.schema import LoadedDocument, to_data
from magpieshift.control.stored_versions import StoredVersion
from magpieshift.control.version_content import ContentRejectedError, FullContent, resolve_offer
from magpieshift.control.version_history import VersionHistory
from magpieshift.control.version_manager import unix_now_us
from magpieshift.control.version_records import VersionOffer, VersionRecord, VersionState
from magpieshift.control.version_store import VersionStore
from magpieshift.log import fields

log = logging.getLogger(__name__)


class _UsableVersion(NamedTuple):
    """A stored version that this program version can use."""

    stored: StoredVersion
    """The record on disk."""
    loaded: LoadedDocument
    """The document loaded from it."""


def open_store(folder: str) -> tuple[VersionStore | None, str]:
    """Open a folder's version store. Returns None and the reason if it cannot be opened; the router serves
    without it."""
    try:
        return VersionStore(folder), ""
    except VersionStoreError as err:
        log.error("version store unavailable", extra=fields(reason=err))
        return None, str(err)


def first_version(
    start: LoadedDocument | None, store: VersionStore | None, source: str
) -> tuple[VersionHistory, LoadedDocument]:
    """Select the version to start with, and rebuild the history.

    It is the settings file's version (``start``, read from the file ``source``) if its number is higher than
    that of the newest usable stored version, else the stored one. Raises ``NoSettingsError`` if there is
    neither.
    """
    stored = store.versions if store is not None else []
    usable = _newest_usable(stored)
    if start is not None and (usable is None or start.version > usable.stored.record.number):
        record = VersionRecord(start.version, start.digest, source, VersionState.IN_FORCE, unix_now_us())
        earlier = [version.record for version in stored if version.record.number < start.version]
        return VersionHistory.restored([*earlier, record], record), start
    if usable is None:
        raise NoSettingsError("no settings: there is neither a settings file nor a stored version")
    newest = usable.stored.record
    log.info("stored version loaded", extra=fields(version=newest.number, digest=newest.digest))
    records = [
        version.record
        for version in stored
        if version.record.state is VersionState.REJECTED or version.record.number <= newest.number
    ]
    return VersionHistory.restored(records, newest), usable.loaded


def _newest_usable(stored: list[StoredVersion]) -> _UsableVersion | None:
    """The newest usable version that came into force; None if there is none.

    Versions that cannot be used any more, after an update of the program for example, are logged and skipped.
    """
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
    """A document of the platform's configuration, as a version without a number."""
    return LoadedDocument(to_data(document), 0, document)
