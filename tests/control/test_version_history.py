"""The version history: each rule by itself, and random sequences compared with a model that never forgets."""

import unittest
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from magpieshift.control.version_history import MAX_HISTORY, MAX_REMEMBERED_REJECTIONS, VersionHistory
from magpieshift.control.version_records import (
    TRANSIENT_REASONS,
    OfferOutcome,
    RejectionReason,
    VersionOffer,
    VersionRecord,
    VersionState,
)

START = VersionRecord(3, "c", "start", VersionState.IN_FORCE, 0)


def offer(number: int, digest: str = "x", **fields: Any) -> VersionOffer:
    return VersionOffer(number, digest, "test", **fields)


class Rules(unittest.TestCase):
    def setUp(self) -> None:
        self.versions = VersionHistory(START)

    def rejection_reason(self, version: VersionOffer) -> RejectionReason:
        (answer,) = self.versions.offer(version, 1)
        self.assertFalse(answer.accepted)
        return answer.reason

    def accept(self, version: VersionOffer) -> VersionRecord:
        self.assertEqual(self.versions.offer(version, 1), [])
        self.assertEqual(self.versions.take_next(), version)
        record, answer = self.versions.accept(2)
        self.assertEqual(answer, OfferOutcome(version, True))
        return record

    def test_rules_for_version_numbers(self) -> None:
        self.assertEqual(
            self.versions.offer(offer(3, "c"), 1), [OfferOutcome(offer(3, "c"), True)]
        )  # a repeat
        self.assertIsNone(self.versions.take_next())  # no version is prepared for it
        self.assertEqual(self.rejection_reason(offer(3, "other")), RejectionReason.CONFLICT)
        self.assertEqual(self.rejection_reason(offer(2)), RejectionReason.OUT_OF_ORDER)
        for number in (0, -1, 1 << 63):
            self.assertEqual(self.rejection_reason(offer(number)), RejectionReason.INVALID_NUMBER)
        self.assertEqual(self.accept(offer(4)).skipped_numbers, 0)
        self.assertEqual(self.accept(offer(9)).skipped_numbers, 4)  # the gap is recorded
        self.assertEqual([r.state for r in self.versions.records if r.number == 4], [VersionState.REPLACED])

    def test_a_rejected_version_stays_rejected_unless_the_reason_was_transient(self) -> None:
        for number, reason, is_transient in (
            (5, RejectionReason.INVALID, False),
            (6, RejectionReason.PART_TIMED_OUT, True),
        ):
            self.versions.offer(offer(number), 1)
            self.versions.take_next()
            self.assertEqual(self.versions.reject(reason, "why", 2).detail, "why")
            self.assertEqual(self.versions.in_force, START)
            if is_transient:
                self.assertEqual(self.versions.offer(offer(number), 3), [])
                self.versions.take_next()
            else:
                self.assertEqual(
                    self.versions.offer(offer(number), 3), [OfferOutcome(offer(number), False, reason, "why")]
                )
                self.assertEqual(self.rejection_reason(offer(number, "y")), RejectionReason.CONFLICT)

    def test_of_two_offers_during_a_preparation_the_newer_waits(self) -> None:
        self.versions.offer(offer(4), 1)
        self.versions.take_next()
        self.assertEqual(self.versions.offer(offer(5), 1), [])
        (outcome,) = self.versions.offer(offer(6), 1)
        self.assertEqual((outcome.offer.number, outcome.reason), (5, RejectionReason.SUPERSEDED))
        (outcome,) = self.versions.offer(offer(5), 1)
        self.assertEqual((outcome.offer.number, outcome.reason), (5, RejectionReason.SUPERSEDED))
        self.assertIsNone(self.versions.take_next())
        self.assertEqual(self.rejection_reason(offer(4, "other")), RejectionReason.CONFLICT)
        self.versions.accept(2)
        self.assertEqual(self.versions.take_next(), offer(6))

    def test_an_offer_repeated_during_its_preparation_is_answered_with_the_newest_nonce(self) -> None:
        self.versions.offer(offer(4, nonce="old"), 1)
        self.versions.take_next()
        self.assertEqual(self.versions.offer(offer(4, nonce="new"), 1), [])
        self.assertEqual(self.versions.accept(2)[1].offer.nonce, "new")
        self.assertIsNone(self.versions.take_next())

    def test_many_rejections_are_bounded_and_do_not_displace_the_version_in_force(self) -> None:
        for number in range(4, 4 + 3 * MAX_REMEMBERED_REJECTIONS):
            self.versions.offer(offer(number), 1)
            self.versions.take_next()
            self.versions.reject(RejectionReason.INVALID, "", 1)
        self.assertEqual(len(self.versions._rejections), MAX_REMEMBERED_REJECTIONS)
        self.assertEqual(len(self.versions.records), MAX_HISTORY)
        self.assertIn(START, self.versions.records)
        self.assertEqual(
            self.rejection_reason(offer(5)), RejectionReason.OUT_OF_ORDER
        )  # its rejection is forgotten, but its number still counts as used

    def test_a_restored_history_answers_as_before(self) -> None:
        self.accept(offer(4, "d"))
        self.versions.offer(offer(6), 1)
        self.versions.take_next()
        self.versions.reject(RejectionReason.NEEDS_RESTART, "listen", 2)
        restored = VersionHistory.restored(
            [r for r in self.versions.records if r is not START],
            VersionRecord(0, "", "", VersionState.IN_FORCE, 0),
        )
        self.assertEqual(restored.in_force, self.versions.in_force)
        for offered in (offer(4, "d"), offer(6), offer(6, "z"), offer(2), offer(7)):
            self.assertEqual(restored.offer(offered, 5), self.versions.offer(offered, 5))


class Histories(RuleBasedStateMachine):
    """A model that remembers every rejected version; the history must always agree with it."""

    def __init__(self) -> None:
        super().__init__()
        self.versions = VersionHistory(START)
        self.in_force = (3, "c")
        self.all_in_force = [self.in_force]
        self.rejected: dict[int, tuple[str, RejectionReason]] = {}
        self.open: list[VersionOffer] = []  # offers without an outcome
        self.nonce = 0

    def answered(self, answers: list[OfferOutcome]) -> None:
        for answer in answers:
            if answer.offer in self.open:
                self.open.remove(answer.offer)

    @rule(number=st.integers(-1, 12), digest=st.sampled_from("cd"))
    def offers(self, number: int, digest: str) -> None:
        self.nonce += 1
        offered, before = offer(number, digest, nonce=str(self.nonce)), self.versions.preparing
        answers = self.versions.offer(offered, self.nonce)
        own_answers = [a for a in answers if a.offer is offered]
        accepted = bool(own_answers) and own_answers[0].accepted
        if (number, digest) == self.in_force:
            assert accepted
        else:
            assert not accepted, "only the version in force may be accepted without preparation"
        if number <= self.in_force[0] and (number, digest) != self.in_force:
            assert own_answers, "a version not above the one in force must never be prepared"
        elif number in self.rejected and not (before and before.number == number):
            known, reason = self.rejected[number]
            assert own_answers
            assert own_answers[0].reason == (reason if known == digest else RejectionReason.CONFLICT) or (
                before is not None and number < before.number
            )
        if not own_answers:
            # a version that is offered again gets one answer, with its newest nonce
            self.open = [o for o in self.open if (o.number, o.digest) != (number, digest)]
            self.open.append(offered)
        self.answered(answers)

    @rule()
    def takes(self) -> None:
        preparing, waiting = self.versions.preparing, self.versions.waiting
        next_offer = self.versions.take_next()
        assert next_offer is (None if preparing else waiting)

    @rule()
    def accepts(self) -> None:
        if (preparing := self.versions.preparing) is not None:
            record, answer = self.versions.accept(self.nonce)
            self.answered([answer])
            self.in_force = (preparing.number, preparing.digest)
            assert (record.number, record.digest) == self.in_force
            self.all_in_force.append(self.in_force)
            self.rejected = {n: v for n, v in self.rejected.items() if n > preparing.number}

    @rule(
        reason=st.sampled_from(
            [
                RejectionReason.INVALID,
                RejectionReason.NEEDS_RESTART,
                RejectionReason.PART_TIMED_OUT,
                RejectionReason.NOT_STORED,
            ]
        )
    )
    def rejects(self, reason: RejectionReason) -> None:
        if (preparing := self.versions.preparing) is not None:
            self.answered([self.versions.reject(reason, "", self.nonce)])
            if reason not in TRANSIENT_REASONS:
                self.rejected[preparing.number] = (preparing.digest, reason)

    @invariant()
    def agrees(self) -> None:
        assert (self.versions.in_force.number, self.versions.in_force.digest) == self.in_force
        assert [n for n, _ in self.all_in_force] == sorted({n for n, _ in self.all_in_force}), (
            "numbers must only rise"
        )
        assert [r for r in self.versions.records if r.state is VersionState.IN_FORCE] == [
            self.versions.in_force
        ]
        unanswered = [o for o in (self.versions.preparing, self.versions.waiting) if o is not None]
        assert sorted(o.nonce for o in unanswered) == sorted(o.nonce for o in self.open), (
            "each offer must be answered exactly once"
        )


HistoriesTest = Histories.TestCase
HistoriesTest.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)

if __name__ == "__main__":
    unittest.main()
