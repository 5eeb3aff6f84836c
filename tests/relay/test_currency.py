"""Probes, proofs and the lease."""

from __future__ import annotations

import unittest

from magpieshift.relay.limits import CLOCK_DRIFT, LEASE_US, MOST_PROBES
from magpieshift.relay.messages import Proof
from magpieshift.relay.staleness_bound import SourceStalenessBound, StalenessBound
from tests.relay.pieces import EPOCH, LATER, SECOND


class Lease(unittest.TestCase):
    def setUp(self) -> None:
        self.currency = StalenessBound()
        self.currency.applied(EPOCH, 10)
        for number in (1, 2, 3):
            self.currency.probe_sent(number, number * SECOND)

    def prove(self, probe: int, age_us: int = 0, head: int = 10) -> int | None:
        self.currency.proven(EPOCH, Proof(probe, age_us, head, 0))
        return self.currency.current_to_us

    def test_it_was_never_current_before_the_first_proof(self) -> None:
        self.assertIsNone(self.currency.age_us(0))
        self.assertEqual(self.currency.copy_age_limit(0), LEASE_US)

    def test_it_is_current_to_when_the_probe_was_sent_less_the_senders_age(self) -> None:
        self.assertEqual(self.prove(2, age_us=SECOND // 2), 3 * SECOND // 2)
        age_us = self.currency.age_us(10 * SECOND)
        assert age_us is not None
        self.assertAlmostEqual(age_us, 8.5 * SECOND * (1 + CLOCK_DRIFT), delta=1)

    def test_the_lease_lapses_with_age_and_copies_are_bounded_from_then_on(self) -> None:
        self.prove(1)
        lapse_us = SECOND + int(LEASE_US / (1 + CLOCK_DRIFT))
        self.assertTrue(self.currency.lease_held(lapse_us - 2))
        self.assertEqual(self.currency.copy_age_limit(lapse_us - 2), 0)
        self.assertFalse(self.currency.lease_held(lapse_us + 2), "whoever was paused finds out on waking")
        self.assertEqual(self.currency.copy_age_limit(lapse_us + 2), LEASE_US)
        self.assertEqual(self.currency.copy_age_limit(10**12), LEASE_US)

    def test_a_proof_counts_once_everything_up_to_its_head_is_applied(self) -> None:
        self.assertIsNone(self.prove(1, head=12))
        self.currency.applied(EPOCH, 11)
        self.assertIsNone(self.currency.current_to_us)
        self.currency.applied(EPOCH, 12)
        self.assertEqual(self.currency.current_to_us, SECOND)

    def test_a_proof_of_another_epoch_waits_for_that_epoch(self) -> None:
        self.currency.proven(LATER, Proof(1, 0, 4, 0))
        self.currency.applied(EPOCH, 100)
        self.assertIsNone(self.currency.current_to_us)
        self.currency.applied(LATER, 4)
        self.assertEqual(self.currency.current_to_us, SECOND)
        self.assertEqual(self.prove(3), SECOND, "the epoch before is over")

    def test_unknown_old_and_repeated_probes_prove_nothing_new(self) -> None:
        self.assertIsNone(self.prove(9))
        self.assertEqual(self.prove(3), 3 * SECOND)
        self.assertEqual(self.prove(3, age_us=SECOND), 3 * SECOND, "the same answer, held up in a queue")
        self.assertEqual(self.prove(1), 3 * SECOND)

    def test_it_survives_a_change_of_stream_whose_probes_begin_anew(self) -> None:
        self.prove(3)
        self.currency.probe_sent(4, 4 * SECOND)
        self.currency.new_stream()
        self.assertEqual(self.prove(4), 3 * SECOND, "a number of the stream before")
        self.assertFalse(self.currency.rests_on_stream)
        self.currency.probe_sent(1, 5 * SECOND)
        self.assertEqual(self.prove(1, age_us=SECOND), 4 * SECOND)
        self.assertTrue(self.currency.rests_on_stream)

    def test_a_proof_that_waits_is_forgotten_with_its_stream(self) -> None:
        self.prove(3, head=11)
        self.currency.new_stream()
        self.currency.applied(EPOCH, 11)
        self.assertIsNone(self.currency.current_to_us)

    def test_what_is_passed_on_is_by_the_present_epoch_alone(self) -> None:
        self.prove(3)
        self.currency.applied(LATER, 1)
        self.assertIsNone(self.currency.epoch_age_us(3 * SECOND), "the new source may have lost entries")
        self.assertTrue(self.currency.lease_held(3 * SECOND), "which this process has applied")
        self.currency.proven(LATER, Proof(3, 0, 1, 0))
        self.assertEqual(self.currency.epoch_age_us(3 * SECOND), 1)

    def test_what_it_remembers_is_bounded(self) -> None:
        for number in range(4, 10 * MOST_PROBES):
            self.currency.probe_sent(number, number * SECOND)
        self.assertIsNone(self.prove(3), "its probe is forgotten")
        self.assertIsNotNone(self.prove(10 * MOST_PROBES - 1))

    def test_who_gave_up_the_lease_holds_none_again(self) -> None:
        self.prove(3)
        self.currency.release()
        self.prove(3)
        self.assertEqual(self.currency.copy_age_limit(3 * SECOND), LEASE_US)


class Source(unittest.TestCase):
    def test_a_source_is_as_current_as_its_last_reading(self) -> None:
        source = SourceStalenessBound()
        self.assertIsNone(source.age_us(0))
        source.read_all(2 * SECOND)
        source.read_all(SECOND)
        age_us = source.age_us(7 * SECOND)
        assert age_us is not None
        self.assertGreaterEqual(age_us, 5 * SECOND)


if __name__ == "__main__":
    unittest.main()
