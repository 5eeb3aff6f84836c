"""The version manager of a running router: receives offers, applies one version at a time, and reports the
outcomes.

The guarantees depend on the order of the steps. A version is parsed and validated (in a thread), every part
of the router prepares it, it is written and flushed to disk, it is put in force, and only then acknowledged.
After a crash before the write the router restarts with the old version, after a later crash with the new one;
neither is ever partly in force.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping
from functools import partial
from typing import Any, NamedTuple

from magpieshift.background_task import BackgroundTask
from magpieshift.config_transaction import FailureKind, PreparationError, Prepared, RunningSettings
from magpieshift.control import sexp
from magpieshift.control.errors import VersionStoreError
from magpieshift.control.schema import LoadedDocument
from magpieshift.control.stored_versions import StoredVersion
from magpieshift.control.version_content import ContentRejectedError, FullContent, Overrides, resolve_offer
from magpieshift.control.version_history import VersionHistory
from magpieshift.control.version_interfaces import OutcomeListener, PauseTimer, VersionHost
from magpieshift.control.version_records import (
    OfferOutcome,
    RejectionReason,
    VersionOffer,
    VersionRecord,
    VersionState,
)
from magpieshift.control.version_store import VersionStore
from magpieshift.log import fields

log = logging.getLogger(__name__)

PREPARATION_REASONS = {
    FailureKind.NEEDS_RESTART: RejectionReason.NEEDS_RESTART,
    FailureKind.REJECTED: RejectionReason.PART_UNABLE,
    FailureKind.TIMED_OUT: RejectionReason.PART_TIMED_OUT,
    FailureKind.RAISED: RejectionReason.PART_FAILED,
}
"""The rejection reason for each kind of preparation failure."""
MAX_ERROR_LENGTH = 200
"""Longest reported text of an unexpected exception, in characters."""

Clock = Callable[[], int]
"""Returns the Unix time in microseconds."""


class _RejectionError(Exception):
    """The version being applied is rejected; ``reason`` tells why."""

    def __init__(self, reason: RejectionReason, detail: str) -> None:
        super().__init__(detail)
        self.reason = reason


class _OfferedDocument(NamedTuple):
    """The validated document of an offer, and its text."""

    loaded: LoadedDocument
    """The validated document."""
    text: str
    """Its text as stored on disk."""


def unix_now_us() -> int:
    """The Unix time in microseconds."""
    return time.time_ns() // 1000


class VersionManager:
    """Owns the version history and the version store; every source of versions offers them here."""

    def __init__(
        self,
        host: VersionHost,
        versions: VersionHistory,
        data: Mapping[str, Any],
        store: VersionStore | None = None,
        store_failure: str = "",
        overrides: Overrides | None = None,
        clock: Clock = unix_now_us,
    ) -> None:
        """``data`` is the document in force.

        ``store_failure`` is not empty if a store was configured but cannot be opened: every version is then
        rejected, since it could not survive a restart.
        """
        self.versions = versions
        """The version history."""
        self.listeners: list[OutcomeListener] = []
        """Called with each outcome."""
        self.on_step: Callable[[str], None] = lambda name: None
        """Called with the name of each step of a version; a hook for tests that kill the process there."""
        self._host = host
        self._data = data
        self._store = store
        self._store_failure = store_failure
        self._overrides = overrides or Overrides()
        self._clock = clock
        self._offered = asyncio.Event()
        self._worker = BackgroundTask("version manager", self._apply_offers)
        self._is_stopping = False
        # arrival times of the offers that wait or are being prepared, by number and digest
        self._arrivals_us: dict[tuple[int, str], int] = {}

    def start(self) -> None:
        """Apply offered versions until ``stop``."""
        self._worker.start()

    async def stop(self) -> None:
        """Apply no more versions. A version whose write has begun is completed first; one that is not written
        yet is rejected."""
        self._is_stopping = True
        self._offered.set()
        await self._worker.wait()
        if (waiting := self.versions.waiting) is not None:
            self.versions.waiting = None
            self._report(OfferOutcome(waiting, False, RejectionReason.STOPPING, "the router ends"))
        if self._store is not None:
            self._store.close()

    @property
    def in_force(self) -> VersionRecord:
        """The version that the router runs on."""
        return self.versions.in_force

    def running(self) -> Mapping[str, RunningSettings]:
        """The running settings of each part of the router."""
        return self._host.running()

    # --- offers

    def offer(self, offer: VersionOffer) -> None:
        """Receive an offer; its outcome is reported to the listeners."""
        self.on_step("received")
        self._arrivals_us.setdefault((offer.number, offer.digest), self._clock())
        for outcome in self.versions.offer(offer, self._clock()):
            self._report(outcome)
        self._forget_arrivals()
        self._offered.set()

    def offer_file(self, loaded: LoadedDocument, source: str) -> None:
        """Offer a settings file that an operator has changed.

        A file without a version number gets the next number; a file with the content in force
        is ignored, unless it gives another number.
        """
        if loaded.digest == self.in_force.digest and loaded.version in (0, self.in_force.number):
            log.info("configuration unchanged", extra=fields(version=self.in_force.number, source=source))
            return
        number = loaded.version or max(self.in_force.number, self._highest_offered()) + 1
        payload = FullContent(sexp.format_document(loaded.data))
        self.offer(VersionOffer(number, loaded.digest, source, payload=payload))

    def _open_offers(self) -> list[VersionOffer]:
        """The offers that wait or are being prepared."""
        offers = (self.versions.preparing, self.versions.waiting)
        return [offer for offer in offers if offer is not None]

    def _highest_offered(self) -> int:
        return max((offer.number for offer in self._open_offers()), default=0)

    def _forget_arrivals(self) -> None:
        """Drop the arrival times of offers that neither wait nor are being prepared."""
        open_keys = {(offer.number, offer.digest) for offer in self._open_offers()}
        self._arrivals_us = {key: us for key, us in self._arrivals_us.items() if key in open_keys}

    # --- applying one version at a time

    async def _apply_offers(self) -> None:
        while not self._is_stopping:
            if (offer := self.versions.take_next()) is None:
                self._offered.clear()
                await self._offered.wait()
                continue
            try:
                await self._apply_or_reject(offer)
            except Exception as err:  # a bug must not block all versions until the next start
                log.exception("version application failed", extra=fields(version=offer.number))
                if self.versions.preparing is not None:
                    detail = f"{type(err).__name__}: {err}"[:MAX_ERROR_LENGTH]
                    await self._reject(RejectionReason.PART_FAILED, detail)

    async def _apply_or_reject(self, offer: VersionOffer) -> None:
        try:
            await self._apply(offer)
        except _RejectionError as err:
            await self._reject(err.reason, str(err))

    async def _apply(self, offer: VersionOffer) -> None:
        """Run all steps of one version; ``_RejectionError`` if one of them fails."""
        self.on_step("started")
        document = await self._load_document(offer)
        self.on_step("read")
        pause = PauseTimer()
        with pause:
            prepared = await self._prepare(document.loaded)
        self.on_step("prepared")
        await self._write(offer, document.text)
        self.on_step("stored")
        with pause:
            record, outcome = self.versions.accept(self._clock())
            self._host.commit(prepared, record.number)
            self._data = document.loaded.data
        self.on_step("committed")
        log.info(
            "version in force",
            extra=fields(
                version=record.number,
                digest=record.digest,
                source=record.source,
                skipped=record.skipped_numbers,
                pause_us=pause.pause_us,
            ),
        )
        self._report(outcome, pause.pause_us)
        self.on_step("answered")

    async def _load_document(self, offer: VersionOffer) -> _OfferedDocument:
        call = partial(_read_offer, offer, self._data, self.in_force.digest)
        try:
            return await asyncio.get_running_loop().run_in_executor(None, call)
        except ContentRejectedError as err:
            raise _RejectionError(err.reason, str(err)) from None

    async def _prepare(self, loaded: LoadedDocument) -> Prepared:
        try:
            return await self._host.prepare(self._overrides.apply_to(loaded.document))
        except PreparationError as err:
            raise _RejectionError(PREPARATION_REASONS[err.kind], str(err)) from None

    async def _write(self, offer: VersionOffer, text: str) -> None:
        """Write and flush the version to disk; ``_RejectionError`` if that fails or the router is
        stopping."""
        if self._is_stopping:
            raise _RejectionError(RejectionReason.STOPPING, "the router ends")
        if self._store_failure:
            raise _RejectionError(RejectionReason.NOT_STORED, self._store_failure)
        if self._store is None:
            return
        record = VersionRecord(
            offer.number,
            offer.digest,
            offer.source,
            VersionState.IN_FORCE,
            self._clock(),
            skipped_numbers=offer.number - self.in_force.number - 1,
        )
        try:
            await self._append(StoredVersion(record, text))
        except VersionStoreError as err:
            raise _RejectionError(RejectionReason.NOT_STORED, str(err)) from None

    async def _append(self, version: StoredVersion) -> None:
        assert self._store is not None
        await asyncio.get_running_loop().run_in_executor(None, self._store.append, version)

    async def _reject(self, reason: RejectionReason, detail: str) -> None:
        outcome = self.versions.reject(reason, detail, self._clock())
        self._report(outcome)
        offer = outcome.offer
        if self._store is not None and reason is not RejectionReason.NOT_STORED:
            record = VersionRecord(
                offer.number,
                offer.digest,
                offer.source,
                VersionState.REJECTED,
                self._clock(),
                reason,
                detail,
            )
            try:
                await self._append(StoredVersion(record))
            except VersionStoreError as err:  # it was reported already; only the stored history lacks it
                log.warning("rejection not stored", extra=fields(version=offer.number, reason=err))

    def _report(self, outcome: OfferOutcome, pause_us: int = 0) -> None:
        offer = outcome.offer
        arrived_us = self._arrivals_us.pop((offer.number, offer.digest), None)
        apply_us = self._clock() - arrived_us if arrived_us is not None and outcome.accepted else 0
        if not outcome.accepted:
            log.warning(
                "version rejected",
                extra=fields(
                    version=offer.number,
                    reason=outcome.reason.shown_name,
                    detail=outcome.detail,
                    source=offer.source,
                    in_force=self.in_force.number,
                ),
            )
        for listener in self.listeners:
            listener(outcome, apply_us, pause_us)


def _read_offer(offer: VersionOffer, data: Mapping[str, Any], digest: str) -> _OfferedDocument:
    """Parse and validate an offer; runs in a thread, since it would block the event loop for too long."""
    loaded = resolve_offer(offer, data, digest)
    return _OfferedDocument(loaded, sexp.format_document(loaded.data))
