"""The manager of a running router's versions: takes offers in, carries one after the other out, tells the
outcome.

The order of a version's steps is what its promises rest on: it is read and checked (in a thread), every part
of the router prepares it, it is written through to the disk, it is put in force, and only then acknowledged.
A crash before the writing leaves the old version, one after it the new; neither is ever half in force.
"""

from __future__ import annotations

import asyncio
import logging
import time
from collections.abc import Callable, Mapping
from dataclasses import replace
from functools import partial
from typing import Any, Protocol

from magpieshift.config import Document
from magpieshift.config_transaction import PreparationError, Prepared, RunningSettings
from magpieshift.control import sexp
from magpieshift.control.content import Full, Overrides, Refused, resolve
from magpieshift.control.schema import Loaded, to_data
from magpieshift.control.store import Kept, Store, StoreError
from magpieshift.control.version_history import Answer, Offer, Reason, Record, State, VersionHistory
from magpieshift.log import fields

log = logging.getLogger(__name__)

KINDS = {"start": Reason.AT_START, "part": Reason.PART, "late": Reason.LATE, "raised": Reason.RAISED}
Clock = Callable[[], int]


class Host(Protocol):
    """The router that versions are for."""

    def running(self) -> Mapping[str, RunningSettings]: ...

    async def prepare(self, document: Document) -> Prepared: ...

    def commit(self, prepared: Prepared, version: int) -> None: ...


class Listener(Protocol):
    """Who wants to hear of outcomes."""

    def __call__(self, answer: Answer, apply_us: int, pause_us: int) -> None: ...


def now_us() -> int:
    return time.time_ns() // 1000


class VersionManager:
    """Owner of the history and of the store; everything that offers versions does it here."""

    def __init__(
        self,
        host: Host,
        versions: VersionHistory,
        data: Mapping[str, Any],
        store: Store | None = None,
        store_trouble: str = "",
        overrides: Overrides | None = None,
        clock: Clock = now_us,
    ) -> None:
        self._host = host
        self.versions = versions
        self._data = data
        self._store = store
        self._store_trouble = (
            store_trouble  # a store was wanted and is not to be had: nothing can be promised
        )
        self._overrides = overrides or Overrides()
        self._clock = clock
        self._wanted = asyncio.Event()
        self._worker: asyncio.Task[None] | None = None
        self._arrived: dict[tuple[int, str], int] = {}  # of what waits or is prepared: when it came
        self.listeners: list[Listener] = []
        self.step: Callable[[str], None] = lambda name: None  # for tests that end the process at each

    def start(self) -> None:
        self._worker = asyncio.ensure_future(self._work())

    async def stop(self) -> None:
        """Take up nothing more. A version not yet on its way to the disk is turned down; one that is comes to
        its end first."""
        worker = self._worker
        self._worker = None
        if worker is not None:
            self._wanted.set()
            await worker
        if (waiting := self.versions.waiting) is not None:
            self.versions.waiting = None
            self._tell(Answer(waiting, False, Reason.STOPPING, "the router ends"))
        if self._store is not None:
            self._store.close()

    @property
    def in_force(self) -> Record:
        return self.versions.in_force

    def running(self) -> Mapping[str, RunningSettings]:
        return self._host.running()

    def offer(self, offer: Offer) -> None:
        """Take in a version; the outcome goes to the listeners."""
        self.step("received")
        self._arrived.setdefault((offer.number, offer.digest), self._clock())
        for answer in self.versions.offer(offer, self._clock()):
            self._tell(answer)
        self._forget_arrivals()
        self._wanted.set()

    def offer_file(self, loaded: Loaded, source: str) -> None:
        """Settings that a person has changed: a version of its own, the next one where the file gives
        none."""
        if loaded.digest == self.in_force.digest and loaded.version in (0, self.in_force.number):
            log.info("configuration unchanged", extra=fields(version=self.in_force.number, source=source))
            return
        number = loaded.version or max(self.in_force.number, self._taken_up()) + 1
        self.offer(Offer(number, loaded.digest, source, payload=Full(sexp.write(loaded.data))))

    def _taken_up(self) -> int:
        offers = (self.versions.preparing, self.versions.waiting)
        return max((offer.number for offer in offers if offer is not None), default=0)

    def _forget_arrivals(self) -> None:
        """Only what waits or is prepared has a time of arrival."""
        held = (self.versions.preparing, self.versions.waiting)
        kept = {(offer.number, offer.digest) for offer in held if offer is not None}
        self._arrived = {key: at for key, at in self._arrived.items() if key in kept}

    async def _work(self) -> None:
        while self._worker is not None:
            if (offer := self.versions.take()) is None:
                self._wanted.clear()
                await self._wanted.wait()
                continue
            try:
                await self._carry_out(offer)
            except Exception as err:  # a fault of ours must not end all changes until the next start
                log.exception("version failed", extra=fields(version=offer.number))
                if self.versions.preparing is not None:
                    await self._turn_down(Reason.RAISED, f"{type(err).__name__}: {err}"[:200])

    async def _carry_out(self, offer: Offer) -> None:
        loop = asyncio.get_running_loop()
        self.step("taken")
        call = partial(_read, offer, self._data, self.in_force.digest)
        try:
            loaded, text = await loop.run_in_executor(None, call)
        except Refused as err:
            return await self._turn_down(err.reason, str(err))
        self.step("read")
        held = time.perf_counter()
        try:
            prepared = await self._host.prepare(self._overrides.on(loaded.document))
        except PreparationError as err:
            return await self._turn_down(KINDS[err.kind], str(err))
        pause_us = int(1e6 * (time.perf_counter() - held))
        self.step("prepared")
        if self._worker is None:
            return await self._turn_down(Reason.STOPPING, "the router ends")
        if self._store_trouble:
            return await self._turn_down(Reason.NOT_KEPT, self._store_trouble)
        if self._store is not None:
            record = Record(offer.number, offer.digest, offer.source, State.IN_FORCE, self._clock())
            kept = Kept(
                replace(record, skipped=offer.number - self.in_force.number - 1), sexp.write(loaded.data)
            )
            try:
                await loop.run_in_executor(None, self._store.append, kept)
            except StoreError as err:
                return await self._turn_down(Reason.NOT_KEPT, str(err))
        self.step("kept")
        held = time.perf_counter()
        record, answer = self.versions.accept(self._clock())
        self._host.commit(prepared, record.number)
        self._data = loaded.data
        pause_us = max(pause_us, int(1e6 * (time.perf_counter() - held)))
        self.step("committed")
        log.info(
            "version in force",
            extra=fields(
                version=record.number,
                digest=record.digest,
                source=record.source,
                skipped=record.skipped,
                pause_us=pause_us,
            ),
        )
        self._tell(answer, pause_us)
        self.step("answered")
        return None

    async def _turn_down(self, reason: Reason, detail: str) -> None:
        answer = self.versions.turn_down(reason, detail, self._clock())
        self._tell(answer)
        offer = answer.offer
        if self._store is not None and reason is not Reason.NOT_KEPT:
            record = Record(
                offer.number, offer.digest, offer.source, State.TURNED_DOWN, self._clock(), reason, detail
            )
            try:
                await asyncio.get_running_loop().run_in_executor(None, self._store.append, Kept(record))
            except StoreError as err:  # it is told and logged; only the history lacks it
                log.warning("refusal not kept", extra=fields(version=offer.number, reason=err))

    def _tell(self, answer: Answer, pause_us: int = 0) -> None:
        offer = answer.offer
        arrived = self._arrived.pop((offer.number, offer.digest), None)
        apply_us = self._clock() - arrived if arrived is not None and answer.accepted else 0
        if not answer.accepted:
            log.warning(
                "version turned down",
                extra=fields(
                    version=offer.number,
                    reason=answer.reason.name.lower(),
                    detail=answer.detail,
                    source=offer.source,
                    in_force=self.in_force.number,
                ),
            )
        for listener in self.listeners:
            listener(answer, apply_us, pause_us)


def _read(offer: Offer, data: Mapping[str, Any], digest: str) -> tuple[Loaded, str]:
    """The document of an offer, and its text as it is kept; both take too long for the event loop."""
    loaded = resolve(offer, data, digest)
    return loaded, sexp.write(loaded.data)


def opened(folder: str) -> tuple[Store | None, str]:
    """The store of a folder, or why it is not to be had; a router serves all the same."""
    try:
        return Store(folder), ""
    except StoreError as err:
        log.error("versions cannot be kept", extra=fields(reason=err))
        return None, str(err)


def first_version(start: Loaded | None, store: Store | None, source: str) -> tuple[VersionHistory, Loaded]:
    """What to start with: the newest of the start file's version and the last good one kept. One that was
    kept and cannot be used any more, by a newer program say, is passed over in one line; ``LookupError``
    where nothing is left."""
    usable: tuple[Kept, Loaded] | None = None
    for kept in reversed(store.kept if store is not None else []):
        if kept.record.state is State.IN_FORCE:
            offer = Offer(kept.record.number, kept.record.digest, "store", payload=Full(kept.text))
            try:
                usable = kept, resolve(offer, {}, "")
            except Refused as err:
                log.error("kept version cannot be used", extra=fields(version=offer.number, reason=err))
                continue
            break
    if start is not None and (usable is None or start.version > usable[0].record.number):
        record = Record(start.version, start.digest, source, State.IN_FORCE, now_us())
        records = [
            kept.record for kept in (store.kept if store else []) if kept.record.number < start.version
        ]
        return VersionHistory.restored([*records, record], record), start
    if usable is None:
        raise LookupError("no settings: neither a file nor a kept version")
    upto = usable[0].record
    log.info("kept version taken up", extra=fields(version=upto.number, digest=upto.digest))
    records = [
        kept.record
        for kept in (store.kept if store else [])
        if kept.record.state is State.TURNED_DOWN or kept.record.number <= upto.number
    ]
    return VersionHistory.restored(records, upto), usable[1]


def as_loaded(document: Document) -> Loaded:
    """The platform's configuration as a version without a number."""
    return Loaded(to_data(document), 0, document)
