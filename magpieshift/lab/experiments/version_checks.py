"""What a router says of its versions, held against what it was sent."""

from __future__ import annotations

import asyncio

from magpieshift.control.publisher import RouterSubscription
from magpieshift.control.schema import LoadedDocument
from magpieshift.control.session import running_digests
from magpieshift.control.version_records import TRANSIENT_REASONS, RejectionReason
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.expected_settings import expected_settings
from magpieshift.lab.experiments.version_report import Report

MOST_DOCUMENTS = 400  # nothing older can be in force any more
# reasons that say nothing against what cannot be used: it must be turned down for what it is
WRONG_REASONS = TRANSIENT_REASONS - {
    RejectionReason.PART_UNABLE,
    RejectionReason.WRONG_BASE,
    RejectionReason.SUPERSEDED,
}


class VersionChecks:
    """What one router was sent and has answered; what does not fit is noted in the report."""

    def __init__(self, report: Report) -> None:
        self._report = report
        self.acknowledged = 0
        self.open: dict[str, tuple[int, bool]] = {}  # nonce: number, and whether it is usable
        self.malformed_open = 0  # messages without a nonce that are still to be answered
        self.answered = asyncio.Event()  # something was answered, or will not be any more
        self._documents: dict[int, LoadedDocument] = {}  # every usable version sent, and the start as 0

    @property
    def all_answered(self) -> bool:
        return not self.open and not self.malformed_open

    # --- what it is sent

    def know(self, number: int, document: LoadedDocument) -> None:
        """A version that may come into force."""
        self._documents[number] = document
        for old in sorted(self._documents)[:-MOST_DOCUMENTS]:
            if old < self.acknowledged:
                del self._documents[old]

    def await_answer(self, to: RouterSubscription, number: int, usable: bool) -> None:
        """The version last sent to it, if any, is to be answered."""
        if to.nonce:
            self.open[to.nonce] = (number, usable)

    # --- what it says

    def hello(self, hello: wire.Hello, subscriber: RouterSubscription, newest: int) -> None:
        """A new stream: what was open on the old one will not be answered any more."""
        self._report.unanswered += len(self.open) + self.malformed_open
        self.open.clear()
        self.malformed_open = 0
        self.answered.set()
        self._check(hello.in_force, hello.digest, dict(hello.running), "hello")
        if hello.in_force != newest:
            self.await_answer(subscriber, subscriber.sent_number, True)

    def answer(self, answer: wire.Answer, subscriber: RouterSubscription | None) -> None:
        """An answer; ``subscriber`` is the router where its stream stands."""
        where = f"answer to {answer.number}"
        self._check(answer.in_force, answer.in_force_digest, dict(answer.running), where)
        if answer.number == 0:
            self._report.rejected += 1
            self.malformed_open = max(0, self.malformed_open - 1)
        elif answer.accepted:
            self._accepted(answer, where)
        else:
            self._turned_down(answer, where)
        if answer.want_full and subscriber is not None:
            self.await_answer(subscriber, subscriber.sent_number, True)
        self.answered.set()

    def _accepted(self, answer: wire.Answer, where: str) -> None:
        number, usable = self.open.pop(answer.nonce, (0, None))
        self._report.accepted += 1
        self.acknowledged = max(self.acknowledged, answer.in_force)
        if usable is not True or answer.in_force != number:
            self.mismatch(f"{where}: accepted, in force {answer.in_force}, usable {usable}")
        if answer.apply_us:
            self._report.apply_us.record_value(max(1, answer.apply_us))
            self._report.pause_us.record_value(max(1, answer.pause_us))

    def _turned_down(self, answer: wire.Answer, where: str) -> None:
        _, usable = self.open.pop(answer.nonce, (0, None))
        reason = RejectionReason(answer.reason)
        self._report.rejected += 1
        if usable and reason not in TRANSIENT_REASONS:
            self.mismatch(f"{where}: a usable version was turned down: {reason.name} {answer.detail}")
        if usable is False and reason in WRONG_REASONS:
            self.mismatch(f"{where}: turned down for another reason: {reason.name} {answer.detail}")

    def _check(self, number: int, digest: str, running: dict[str, str], where: str) -> None:
        """The version in force is one that was sent, is not behind what was acknowledged, and is whole."""
        loaded = self._documents.get(number)
        if loaded is None or loaded.digest != digest:
            return self.mismatch(f"{where}: in force is {number} {digest[:8]}, which was never sent so")
        if number < self.acknowledged:
            self.mismatch(f"{where}: in force is {number}, acknowledged was {self.acknowledged}")
        self.acknowledged = max(self.acknowledged, number)
        wanted = running_digests(expected_settings(loaded.document))
        wrong = sorted(part for part in wanted if running.get(part) != wanted[part])
        if wrong:
            self._report.half_applied += 1
            self._report.findings.append(f"{where}: version {number} is not what runs in {', '.join(wrong)}")
        return None

    def mismatch(self, text: str) -> None:
        """Note what must not be."""
        self._report.mismatches += 1
        self._report.findings.append(text)
