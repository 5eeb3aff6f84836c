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


def offer(number: int, digest: str = "x", **more: Any) -> VersionOffer:
    return VersionOffer(number, digest, "test", **more)


class Ledgers(unittest.TestCase):
    def setUp(self) -> None:
        self.versions = VersionHistory(START)

    def refused(self, what: VersionOffer) -> RejectionReason:
        (answer,) = self.versions.offer(what, 1)
        self.assertFalse(answer.accepted)
        return answer.reason

    def accept(self, what: VersionOffer) -> VersionRecord:
        self.assertEqual(self.versions.offer(what, 1), [])
        self.assertEqual(self.versions.take_next(), what)
        record, answer = self.versions.accept(2)
        self.assertEqual(answer, OfferOutcome(what, True))
        return record

    def test_numbers(self) -> None:
        self.assertEqual(
            self.versions.offer(offer(3, "c"), 1), [OfferOutcome(offer(3, "c"), True)]
        )  # a repeat
        self.assertIsNone(self.versions.take_next())  # no version is prepared for it
        self.assertEqual(self.refused(offer(3, "other")), RejectionReason.CONFLICT)
        self.assertEqual(self.refused(offer(2)), RejectionReason.OUT_OF_ORDER)
        for number in (0, -1, 1 << 63):
            self.assertEqual(self.refused(offer(number)), RejectionReason.INVALID_NUMBER)
        self.assertEqual(self.accept(offer(4)).skipped_numbers, 0)
        self.assertEqual(self.accept(offer(9)).skipped_numbers, 4)  # the gap is recorded
        self.assertEqual([r.state for r in self.versions.records if r.number == 4], [VersionState.REPLACED])

    def test_a_rejected_version_stays_rejected_unless_the_reason_was_transient(self) -> None:
        for number, reason, again in (
            (5, RejectionReason.INVALID, False),
            (6, RejectionReason.PART_TIMED_OUT, True),
        ):
            self.versions.offer(offer(number), 1)
            self.versions.take_next()
            self.assertEqual(self.versions.reject(reason, "why", 2).detail, "why")
            self.assertEqual(self.versions.in_force, START)
            if again:
                self.assertEqual(self.versions.offer(offer(number), 3), [])
                self.versions.take_next()
            else:
                self.assertEqual(
                    self.versions.offer(offer(number), 3), [OfferOutcome(offer(number), False, reason, "why")]
                )
                self.assertEqual(self.refused(offer(number, "y")), RejectionReason.CONFLICT)

    def test_two_come_while_one_is_prepared(self) -> None:
        self.versions.offer(offer(4), 1)
        self.versions.take_next()
        self.assertEqual(self.versions.offer(offer(5), 1), [])
        (late,) = self.versions.offer(offer(6), 1)
        self.assertEqual((late.offer.number, late.reason), (5, RejectionReason.SUPERSEDED))
        (late,) = self.versions.offer(offer(5), 1)
        self.assertEqual((late.offer.number, late.reason), (5, RejectionReason.SUPERSEDED))
        self.assertIsNone(self.versions.take_next())
        self.assertEqual(self.refused(offer(4, "other")), RejectionReason.CONFLICT)
        self.versions.accept(2)
        self.assertEqual(self.versions.take_next(), offer(6))

    def test_sent_again_while_prepared_it_is_answered_to_the_newest_nonce(self) -> None:
        self.versions.offer(offer(4, nonce="old"), 1)
        self.versions.take_next()
        self.assertEqual(self.versions.offer(offer(4, nonce="new"), 1), [])
        self.assertEqual(self.versions.accept(2)[1].offer.nonce, "new")
        self.assertIsNone(self.versions.take_next())

    def test_a_flood_of_bad_versions_is_bounded_and_hides_nothing(self) -> None:
        for number in range(4, 4 + 3 * MAX_REMEMBERED_REJECTIONS):
            self.versions.offer(offer(number), 1)
            self.versions.take_next()
            self.versions.reject(RejectionReason.INVALID, "", 1)
        self.assertEqual(len(self.versions._rejections), MAX_REMEMBERED_REJECTIONS)
        self.assertEqual(len(self.versions.records), MAX_HISTORY)
        self.assertIn(START, self.versions.records)
        self.assertEqual(
            self.refused(offer(5)), RejectionReason.OUT_OF_ORDER
        )  # its rejection is forgotten, but its number still counts as used

    def test_restored_it_answers_as_before(self) -> None:
        self.accept(offer(4, "d"))
        self.versions.offer(offer(6), 1)
        self.versions.take_next()
        self.versions.reject(RejectionReason.NEEDS_RESTART, "listen", 2)
        again = VersionHistory.restored(
            [r for r in self.versions.records if r is not START],
            VersionRecord(0, "", "", VersionState.IN_FORCE, 0),
        )
        self.assertEqual(again.in_force, self.versions.in_force)
        for what in (offer(4, "d"), offer(6), offer(6, "z"), offer(2), offer(7)):
            self.assertEqual(again.offer(what, 5), self.versions.offer(what, 5))


class Histories(RuleBasedStateMachine):
    """A model that remembers every rejected version; the history must always agree with it."""

    def __init__(self) -> None:
        super().__init__()
        self.versions = VersionHistory(START)
        self.force = (3, "c")
        self.forces = [self.force]
        self.judged: dict[int, tuple[str, RejectionReason]] = {}
        self.open: list[VersionOffer] = []  # offers without an outcome
        self.nonce = 0

    def answered(self, answers: list[OfferOutcome]) -> None:
        for answer in answers:
            if answer.offer in self.open:
                self.open.remove(answer.offer)

    @rule(number=st.integers(-1, 12), digest=st.sampled_from("cd"))
    def offers(self, number: int, digest: str) -> None:
        self.nonce += 1
        what, before = offer(number, digest, nonce=str(self.nonce)), self.versions.preparing
        answers = self.versions.offer(what, self.nonce)
        mine = [a for a in answers if a.offer is what]
        accepted = bool(mine) and mine[0].accepted
        if (number, digest) == self.force:
            assert accepted
        else:
            assert not accepted, "only the version in force may be accepted without preparation"
        if number <= self.force[0] and (number, digest) != self.force:
            assert mine, "a version not above the one in force must never be prepared"
        elif number in self.judged and not (before and before.number == number):
            known, reason = self.judged[number]
            assert mine
            assert mine[0].reason == (reason if known == digest else RejectionReason.CONFLICT) or (
                before is not None and number < before.number
            )
        if not mine:
            # a version that is offered again gets one answer, with its newest nonce
            self.open = [o for o in self.open if (o.number, o.digest) != (number, digest)]
            self.open.append(what)
        self.answered(answers)

    @rule()
    def takes(self) -> None:
        busy, waiting = self.versions.preparing, self.versions.waiting
        taken = self.versions.take_next()
        assert taken is (None if busy else waiting)

    @rule()
    def accepts(self) -> None:
        if (taken := self.versions.preparing) is not None:
            record, answer = self.versions.accept(self.nonce)
            self.answered([answer])
            self.force = (taken.number, taken.digest)
            assert (record.number, record.digest) == self.force
            self.forces.append(self.force)
            self.judged = {n: v for n, v in self.judged.items() if n > taken.number}

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
    def turns_down(self, reason: RejectionReason) -> None:
        if (taken := self.versions.preparing) is not None:
            self.answered([self.versions.reject(reason, "", self.nonce)])
            if reason not in TRANSIENT_REASONS:
                self.judged[taken.number] = (taken.digest, reason)

    @invariant()
    def agrees(self) -> None:
        assert (self.versions.in_force.number, self.versions.in_force.digest) == self.force
        assert [n for n, _ in self.forces] == sorted({n for n, _ in self.forces}), "numbers must only rise"
        assert [r for r in self.versions.records if r.state is VersionState.IN_FORCE] == [
            self.versions.in_force
        ]
        held = [o for o in (self.versions.preparing, self.versions.waiting) if o is not None]
        assert sorted(o.nonce for o in held) == sorted(o.nonce for o in self.open), (
            "each offer must be answered exactly once"
        )


HistoriesTest = Histories.TestCase
HistoriesTest.settings = settings(max_examples=150, stateful_step_count=40, deadline=None)

if __name__ == "__main__":
    unittest.main()
