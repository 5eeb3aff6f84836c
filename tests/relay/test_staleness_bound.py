"""``StalenessBound`` and ``SourceStalenessBound``: probes, proofs and the lease."""

from __future__ import annotations

import unittest

from magpieshift.relay.limits import CLOCK_DRIFT, FRESHNESS_LEASE_US, MAX_PROBES
from magpieshift.relay.messages import FreshnessProof
from magpieshift.relay.staleness_bound import SourceStalenessBound, StalenessBound
from tests.relay.simulated_peers import EPOCH, LATER, SECOND


class Lease(unittest.TestCase):
    def setUp(self) -> None:
        self.staleness = StalenessBound()
        self.staleness.record_applied(EPOCH, 10)
        for number in (1, 2, 3):
            self.staleness.record_probe(number, number * SECOND)

    def prove(self, probe: int, age_us: int = 0, head: int = 10) -> int | None:
        self.staleness.add_proof(EPOCH, FreshnessProof(probe, age_us, head, 0))
        return self.staleness.current_to_us

    def test_it_was_never_current_before_the_first_proof(self) -> None:
        self.assertIsNone(self.staleness.age_us(0))
        self.assertEqual(self.staleness.copy_age_limit_us(0), FRESHNESS_LEASE_US)

    def test_it_is_current_to_the_sending_of_the_probe_less_the_senders_age(self) -> None:
        self.assertEqual(self.prove(2, age_us=SECOND // 2), 3 * SECOND // 2)
        age_us = self.staleness.age_us(10 * SECOND)
        assert age_us is not None
        self.assertAlmostEqual(age_us, 8.5 * SECOND * (1 + CLOCK_DRIFT), delta=1)

    def test_the_lease_lapses_with_age_and_copies_then_have_an_age_limit(self) -> None:
        self.prove(1)
        lapse_us = SECOND + int(FRESHNESS_LEASE_US / (1 + CLOCK_DRIFT))
        self.assertTrue(self.staleness.lease_held(lapse_us - 2))
        self.assertEqual(self.staleness.copy_age_limit_us(lapse_us - 2), 0)
        self.assertFalse(
            self.staleness.lease_held(lapse_us + 2),
            "the lapse needs no event, so a resumed process notices it",
        )
        self.assertEqual(self.staleness.copy_age_limit_us(lapse_us + 2), FRESHNESS_LEASE_US)
        self.assertEqual(self.staleness.copy_age_limit_us(10**12), FRESHNESS_LEASE_US)

    def test_a_proof_takes_effect_once_its_head_is_applied(self) -> None:
        self.assertIsNone(self.prove(1, head=12))
        self.staleness.record_applied(EPOCH, 11)
        self.assertIsNone(self.staleness.current_to_us)
        self.staleness.record_applied(EPOCH, 12)
        self.assertEqual(self.staleness.current_to_us, SECOND)

    def test_a_proof_of_another_epoch_waits_for_that_epoch(self) -> None:
        self.staleness.add_proof(LATER, FreshnessProof(1, 0, 4, 0))
        self.staleness.record_applied(EPOCH, 100)
        self.assertIsNone(self.staleness.current_to_us)
        self.staleness.record_applied(LATER, 4)
        self.assertEqual(self.staleness.current_to_us, SECOND)
        self.assertEqual(self.prove(3), SECOND, "a proof of the previous epoch is ignored")

    def test_unknown_old_and_repeated_probes_prove_nothing_new(self) -> None:
        self.assertIsNone(self.prove(9))
        self.assertEqual(self.prove(3), 3 * SECOND)
        self.assertEqual(self.prove(3, age_us=SECOND), 3 * SECOND, "the same answer, delayed in a queue")
        self.assertEqual(self.prove(1), 3 * SECOND)

    def test_it_is_kept_over_a_change_of_stream_with_new_probe_numbers(self) -> None:
        self.prove(3)
        self.staleness.record_probe(4, 4 * SECOND)
        self.staleness.begin_stream()
        self.assertEqual(self.prove(4), 3 * SECOND, "the probe belongs to the previous stream")
        self.assertFalse(self.staleness.lease_from_stream)
        self.staleness.record_probe(1, 5 * SECOND)
        self.assertEqual(self.prove(1, age_us=SECOND), 4 * SECOND)
        self.assertTrue(self.staleness.lease_from_stream)

    def test_a_pending_proof_is_dropped_with_its_stream(self) -> None:
        self.prove(3, head=11)
        self.staleness.begin_stream()
        self.staleness.record_applied(EPOCH, 11)
        self.assertIsNone(self.staleness.current_to_us)

    def test_the_age_stated_to_followers_uses_the_present_epoch_only(self) -> None:
        self.prove(3)
        self.staleness.record_applied(LATER, 1)
        self.assertIsNone(self.staleness.epoch_age_us(3 * SECOND), "the new source may have lost entries")
        self.assertTrue(self.staleness.lease_held(3 * SECOND), "this process has applied the lost entries")
        self.staleness.add_proof(LATER, FreshnessProof(3, 0, 1, 0))
        self.assertEqual(self.staleness.epoch_age_us(3 * SECOND), 1)

    def test_the_number_of_remembered_probes_is_limited(self) -> None:
        for number in range(4, 10 * MAX_PROBES):
            self.staleness.record_probe(number, number * SECOND)
        self.assertIsNone(self.prove(3), "the probe is no longer remembered")
        self.assertIsNotNone(self.prove(10 * MAX_PROBES - 1))

    def test_a_released_lease_cannot_be_regained(self) -> None:
        self.prove(3)
        self.staleness.release_lease()
        self.prove(3)
        self.assertEqual(self.staleness.copy_age_limit_us(3 * SECOND), FRESHNESS_LEASE_US)


class Source(unittest.TestCase):
    def test_the_age_of_a_source_counts_from_its_last_read(self) -> None:
        source = SourceStalenessBound()
        self.assertIsNone(source.age_us(0))
        source.record_read(2 * SECOND)
        source.record_read(SECOND)
        age_us = source.age_us(7 * SECOND)
        assert age_us is not None
        self.assertGreaterEqual(age_us, 5 * SECOND)


if __name__ == "__main__":
    unittest.main()
