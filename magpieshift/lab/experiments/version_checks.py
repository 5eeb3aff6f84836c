"""Checks the versions that a router reports against those that were sent to it."""

from __future__ import annotations

import asyncio

from magpieshift.control.publisher import RouterSubscription
from magpieshift.control.router_session import running_digests
from magpieshift.control.schema import LoadedDocument
from magpieshift.control.version_records import TRANSIENT_REASONS, RejectionReason
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.expected_settings import expected_settings
from magpieshift.lab.experiments.version_report import Report

MAX_DOCUMENTS = 400  # documents kept for comparison; an older one cannot be in force any more
# For an unusable version: it must be rejected for what is wrong with it, not for a transient reason.
UNEXPECTED_REASONS = TRANSIENT_REASONS - {
    RejectionReason.PART_UNABLE,
    RejectionReason.WRONG_BASE,
    RejectionReason.SUPERSEDED,
}


class VersionChecks:
    """The versions sent to one router and its answers. Mismatches are recorded in the report."""

    def __init__(self, report: Report) -> None:
        self._report = report
        self.acknowledged = 0
        """The newest version that it has reported to be in force."""
        self.unanswered: dict[str, tuple[int, bool]] = {}
        """Version number, and whether the version is usable, by nonce."""
        self.malformed_unanswered = 0
        """Number of malformed messages, which have no nonce, without an answer."""
        self.answered = asyncio.Event()
        """Set by each answer, and by each hello: answers missing from the old stream cannot come any more."""
        self._documents: dict[int, LoadedDocument] = {}
        """Usable versions sent, by number; 0 is the settings file."""

    @property
    def all_answered(self) -> bool:
        """Whether every message sent has been answered."""
        return not self.unanswered and not self.malformed_unanswered

    # --- sent

    def add_document(self, number: int, document: LoadedDocument) -> None:
        """Remember a version that may come into force. Number 0 is the router's settings file."""
        self._documents[number] = document
        for old in sorted(self._documents)[:-MAX_DOCUMENTS]:
            if old < self.acknowledged:
                del self._documents[old]

    def await_answer(self, subscriber: RouterSubscription, number: int, usable: bool) -> None:
        """Expect an answer to the version last sent to this router, if any."""
        if subscriber.nonce:
            self.unanswered[subscriber.nonce] = (number, usable)

    # --- received

    def hello_received(self, hello: wire.Hello, subscriber: RouterSubscription, newest: int) -> None:
        """Handle the hello of a new stream. Versions unanswered on the old stream will not be answered."""
        self._report.unanswered += len(self.unanswered) + self.malformed_unanswered
        self.unanswered.clear()
        self.malformed_unanswered = 0
        self.answered.set()
        self._check_running(hello.in_force, hello.digest, dict(hello.running), "hello")
        if hello.in_force != newest:
            self.await_answer(subscriber, subscriber.sent_number, True)

    def answer_received(self, answer: wire.Answer, subscriber: RouterSubscription | None) -> None:
        """Handle an answer. ``subscriber`` is the router's subscription, or None if it has no stream now."""
        where = f"answer to {answer.number}"
        self._check_running(answer.in_force, answer.in_force_digest, dict(answer.running), where)
        if answer.number == 0:
            self._report.rejected += 1
            self.malformed_unanswered = max(0, self.malformed_unanswered - 1)
        elif answer.accepted:
            self._acceptance_received(answer, where)
        else:
            self._rejection_received(answer, where)
        if answer.want_full and subscriber is not None:
            self.await_answer(subscriber, subscriber.sent_number, True)
        self.answered.set()

    def _acceptance_received(self, answer: wire.Answer, where: str) -> None:
        number, usable = self.unanswered.pop(answer.nonce, (0, None))
        self._report.accepted += 1
        self.acknowledged = max(self.acknowledged, answer.in_force)
        if usable is not True or answer.in_force != number:
            self.record_mismatch(
                f"{where}: accepted, with version {answer.in_force} in force; the answered version was "
                f"{number} (usable: {usable})"
            )
        if answer.apply_us:
            self._report.apply_us.record_value(max(1, answer.apply_us))
            self._report.pause_us.record_value(max(1, answer.pause_us))

    def _rejection_received(self, answer: wire.Answer, where: str) -> None:
        _, usable = self.unanswered.pop(answer.nonce, (0, None))
        reason = RejectionReason(answer.reason)
        self._report.rejected += 1
        if usable and reason not in TRANSIENT_REASONS:
            self.record_mismatch(f"{where}: a usable version was rejected: {reason.name} {answer.detail}")
        if usable is False and reason in UNEXPECTED_REASONS:
            self.record_mismatch(
                f"{where}: an unusable version was rejected for an unexpected reason: "
                f"{reason.name} {answer.detail}"
            )

    def _check_running(self, number: int, digest: str, running: dict[str, str], where: str) -> None:
        """Check that the version in force was sent and is not older than the acknowledged one.

        All parts must run with its settings.
        """
        loaded = self._documents.get(number)
        if loaded is None or loaded.digest != digest:
            return self.record_mismatch(
                f"{where}: version {number} with digest {digest[:8]} is in force, but no version "
                "was sent with this number and digest"
            )
        if number < self.acknowledged:
            self.record_mismatch(
                f"{where}: version {number} is in force, expected at least {self.acknowledged}, which was "
                "acknowledged"
            )
        self.acknowledged = max(self.acknowledged, number)
        expected = running_digests(expected_settings(loaded.document))
        differing_parts = sorted(part for part in expected if running.get(part) != expected[part])
        if differing_parts:
            self._report.half_applied += 1
            self._report.findings.append(
                f"{where}: version {number} is not what runs in {', '.join(differing_parts)}"
            )
        return None

    def record_mismatch(self, text: str) -> None:
        """Record a violated rule in the report."""
        self._report.mismatches += 1
        self._report.findings.append(text)
