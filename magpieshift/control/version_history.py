"""The version history of one router: the versions that were offered, are being prepared, are in force, or
were rejected.

The log, the command line and the control service all report this state. No I/O and no clock: callers pass the
time. The rules for version numbers, each covered by a test:

- A number above the one in force is accepted for preparation. Numbers skipped in between are recorded as a
  gap and allowed: a control service that publishes faster than routers apply may skip some.
- The number in force with the same content is a repeat: it is acknowledged again and otherwise ignored. With
  different content it is rejected as a conflict.
- A number below the one in force is rejected as out of order: a rollback is a new version with old content.
- A number that was rejected gets the same answer again, unless the reason was transient
  (``TRANSIENT_REASONS``). With different content it is rejected as a conflict.
- While one version is prepared, only the newest of the other offers waits; the ones that it supersedes are
  rejected.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import replace

from magpieshift.control.version_records import (
    NUMBER_REASONS,
    SHOWN_DIGEST_LENGTH,
    TRANSIENT_REASONS,
    OfferOutcome,
    RejectionReason,
    VersionOffer,
    VersionRecord,
    VersionState,
)

MAX_HISTORY = 64
"""Most records in the history; enough for several days of manual changes."""
MAX_REMEMBERED_REJECTIONS = 256
"""Most rejected numbers above the one in force that are remembered, so that a repeated offer gets the same
answer."""
MAX_VERSION_NUMBER = (1 << 63) - 1
"""Largest version number: the maximum of a signed 64-bit integer."""


class VersionHistory:
    """The state of all versions at one router. The caller must report the outcomes that ``offer``, ``accept``
    and ``reject`` return."""

    def __init__(self, in_force: VersionRecord) -> None:
        """Start a history with the version in force."""
        self.in_force = in_force
        """The version that the router runs on."""
        self.records: deque[VersionRecord] = deque([in_force], maxlen=MAX_HISTORY)
        """The history's records, oldest first."""
        self.preparing: VersionOffer | None = None
        """The version that is being prepared; None if none is."""
        self.waiting: VersionOffer | None = None
        """The newest offer received while another version is being prepared; it is prepared next."""
        # rejected versions with numbers above the one in force, by number
        self._rejections: OrderedDict[int, VersionRecord] = OrderedDict()
        # highest rejected number that was dropped from _rejections
        self._forgotten_up_to = 0

    @classmethod
    def restored(cls, records: Iterable[VersionRecord], start: VersionRecord) -> VersionHistory:
        """Rebuild the history from stored records; ``start`` is in force if none of them came into force."""
        stored = list(records)
        in_force = [
            record for record in stored if record.state in (VersionState.IN_FORCE, VersionState.REPLACED)
        ]
        history = cls(replace(in_force[-1], state=VersionState.IN_FORCE) if in_force else start)
        history.records.clear()
        for record in stored:
            history._restore(record)
        if not in_force:
            history.records.appendleft(start)
        return history

    def _restore(self, record: VersionRecord) -> None:
        rejected = record.state is VersionState.REJECTED
        if record.number == self.in_force.number:
            self.records.append(self.in_force)
        else:
            self.records.append(record if rejected else replace(record, state=VersionState.REPLACED))
        if rejected and record.number > self.in_force.number:
            self._remember(record)

    # --- offers

    def offer(self, offer: VersionOffer, now_us: int) -> list[OfferOutcome]:
        """Handle an offer and return the outcomes that are known at once, of this offer or of a superseded
        one.

        An offer without an outcome waits, and is prepared once ``take_next`` returns it.
        """
        outcome = self._decide_by_number(offer)
        if outcome is not None:
            self._record_rejection(outcome, now_us)
            return [outcome]
        if self.preparing is not None and self.preparing.is_same_version(offer):
            self.preparing = offer  # sent again on a new connection: answer its newest nonce
            return []
        waiting = self.waiting
        if waiting is None or waiting.is_same_version(offer):
            self.waiting = offer
            return []
        newer, older = (waiting, offer) if offer.number < waiting.number else (offer, waiting)
        self.waiting = newer
        detail = f"version {newer.number} came"
        return [OfferOutcome(older, False, RejectionReason.SUPERSEDED, detail)]

    def _decide_by_number(self, offer: VersionOffer) -> OfferOutcome | None:
        """The outcome that follows from the offer's number and digest; None if the version must be
        prepared."""
        now = self.in_force
        if not 0 < offer.number <= MAX_VERSION_NUMBER:
            detail = f"found {offer.number}, expected 1 to {MAX_VERSION_NUMBER}"
            return OfferOutcome(offer, False, RejectionReason.INVALID_NUMBER, detail)
        if offer.number == now.number:
            return OfferOutcome(offer, True) if offer.digest == now.digest else _conflict(offer, now.digest)
        if offer.number < now.number:
            return _out_of_order(offer, f"version {now.number} is in force; a roll-back is a new version")
        if self.preparing is not None and offer.number <= self.preparing.number:
            return self._compare_to_preparing(offer, self.preparing)
        if (known := self._rejections.get(offer.number)) is not None:
            if offer.digest != known.digest:
                return _conflict(offer, known.digest)
            return OfferOutcome(offer, False, known.reason, known.detail)
        if offer.number <= self._forgotten_up_to:
            return _out_of_order(offer, f"numbers up to {self._forgotten_up_to} are used up")
        return None

    def _compare_to_preparing(self, offer: VersionOffer, preparing: VersionOffer) -> OfferOutcome | None:
        if offer.number < preparing.number:
            return _out_of_order(offer, f"version {preparing.number} is being prepared")
        return None if offer.digest == preparing.digest else _conflict(offer, preparing.digest)

    # --- preparing

    def take_next(self) -> VersionOffer | None:
        """Start preparing the waiting version and return it; None if none waits or one is being prepared."""
        if self.preparing is not None or self.waiting is None:
            return None
        self.preparing = self.waiting
        self.waiting = None
        return self.preparing

    def accept(self, now_us: int) -> tuple[VersionRecord, OfferOutcome]:
        """Record that the version being prepared is now in force."""
        offer = self._finish_preparing()
        old = self.in_force
        self.in_force = VersionRecord(
            offer.number,
            offer.digest,
            offer.source,
            VersionState.IN_FORCE,
            now_us,
            skipped_numbers=offer.number - old.number - 1,
        )
        self._mark_replaced(old)
        self.records.append(self.in_force)
        for number in [number for number in self._rejections if number <= offer.number]:
            del self._rejections[number]
        return self.in_force, OfferOutcome(offer, True)

    def _mark_replaced(self, old: VersionRecord) -> None:
        replaced = replace(old, state=VersionState.REPLACED)
        if self.records and self.records[-1] is old:
            self.records[-1] = replaced
            return
        for index, record in enumerate(self.records):
            if record is old:
                self.records[index] = replaced

    def reject(self, reason: RejectionReason, detail: str, now_us: int) -> OfferOutcome:
        """Record that the version being prepared is rejected; the version in force does not change."""
        outcome = OfferOutcome(self._finish_preparing(), False, reason, detail)
        self._record_rejection(outcome, now_us)
        return outcome

    def _finish_preparing(self) -> VersionOffer:
        if self.preparing is None:
            raise RuntimeError("no version is being prepared")
        offer = self.preparing
        self.preparing = None
        return offer

    def _record_rejection(self, outcome: OfferOutcome, now_us: int) -> None:
        """Add a record of a rejected version, unless the same rejection is recorded already."""
        offer = outcome.offer
        transient = outcome.reason in TRANSIENT_REASONS
        if outcome.accepted or (offer.number in self._rejections and not transient):
            return
        record = VersionRecord(
            offer.number,
            offer.digest,
            offer.source,
            VersionState.REJECTED,
            now_us,
            outcome.reason,
            outcome.detail,
        )
        self.records.append(record)
        if not transient and offer.number > self.in_force.number:
            self._remember(record)
        if self.in_force not in self.records:  # many rejections must not displace it
            self.records[0] = self.in_force

    def _remember(self, record: VersionRecord) -> None:
        if record.reason in TRANSIENT_REASONS or record.reason in NUMBER_REASONS:
            return
        self._rejections[record.number] = record
        while len(self._rejections) > MAX_REMEMBERED_REJECTIONS:
            number, _ = self._rejections.popitem(last=False)
            self._forgotten_up_to = max(self._forgotten_up_to, number)


def _conflict(offer: VersionOffer, known_digest: str) -> OfferOutcome:
    known = known_digest[:SHOWN_DIGEST_LENGTH]
    offered = offer.digest[:SHOWN_DIGEST_LENGTH]
    detail = f"version {offer.number} is known with other content ({known}, not {offered})"
    return OfferOutcome(offer, False, RejectionReason.CONFLICT, detail)


def _out_of_order(offer: VersionOffer, detail: str) -> OfferOutcome:
    return OfferOutcome(offer, False, RejectionReason.OUT_OF_ORDER, detail)
