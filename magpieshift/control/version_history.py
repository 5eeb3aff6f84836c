"""The history of versions at one router: what was offered, is being prepared, is in force, or was rejected.

It is the one truth that log, command line and control service read. No I/O and no clock: it is given the
time. The rules of numbers, each tested:

- a number above that in force is taken up; those skipped between are a gap, recorded and allowed: a control
  service that publishes faster than routers apply may skip some;
- the number in force with the same content is a repeat: acknowledged again, nothing is done; with other
  content it is a conflict, and rejected;
- a number below that in force is a step back, and rejected: a rollback is a new version with old content;
- a number that was rejected gets the same answer again, unless the reason was of that moment
  (``TRANSIENT_REASONS``), and a conflict if its content differs now;
- of what comes while another is prepared, the newest waits, and what it supersedes is rejected.
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
"""Records that are remembered: some days of changes by hand."""
MAX_REMEMBERED_REJECTIONS = 256
"""Numbers above that in force, each remembered to be answered alike."""
MAX_VERSION_NUMBER = (1 << 63) - 1
"""What a signed field holds."""


class VersionHistory:
    """The state of all versions at one router. What ``offer``, ``accept`` and ``reject`` return must be
    sent."""

    def __init__(self, in_force: VersionRecord) -> None:
        """Begin with a version in force."""
        self.in_force = in_force
        """The version that the router runs on."""
        self.records: deque[VersionRecord] = deque([in_force], maxlen=MAX_HISTORY)
        """What is remembered, oldest first."""
        self.preparing: VersionOffer | None = None
        """The version that is being taken up."""
        self.waiting: VersionOffer | None = None
        """The newest that came meanwhile."""
        # rejected versions with numbers above that in force
        self._rejections: OrderedDict[int, VersionRecord] = OrderedDict()
        # rejected numbers up to here may have been forgotten
        self._forgotten_up_to = 0

    @classmethod
    def restored(cls, records: Iterable[VersionRecord], start: VersionRecord) -> VersionHistory:
        """The history as stored records give it; ``start`` is in force if none of them was."""
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
        """Take in a version. No outcome for it yet means that it is to be taken up with ``take_next``."""
        outcome = self._decide_by_number(offer)
        if outcome is not None:
            self._record_rejection(outcome, now_us)
            return [outcome]
        if self.preparing is not None and self.preparing.is_same_version(offer):
            self.preparing = offer  # sent once more, on a new connection: the answer goes to the newest nonce
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
        """The outcome that the numbers alone decide."""
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

    # --- taking up

    def take_next(self) -> VersionOffer | None:
        """The version to prepare next, if none is being prepared."""
        if self.preparing is not None or self.waiting is None:
            return None
        self.preparing = self.waiting
        self.waiting = None
        return self.preparing

    def accept(self, now_us: int) -> tuple[VersionRecord, OfferOutcome]:
        """The version being prepared is in force from now on."""
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
        """The version being prepared cannot be used; what is in force stays."""
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
        """Remember a version that was rejected; a repeated rejection is nothing new."""
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
        if self.in_force not in self.records:  # a flood of bad versions must not push out what is in force
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
