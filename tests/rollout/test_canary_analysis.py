"""The canary analysis: success rates, processor time, memory and lost processes of two sides."""

from __future__ import annotations

import random
import unittest

from magpieshift.rollout.canary_analysis import CanaryAnalysis
from magpieshift.rollout.errors import UnreadableCountersError
from magpieshift.rollout.plan import Tolerances
from magpieshift.rollout.process_counters import (
    ProcessCounters,
    RequestCounts,
    counter_delta,
    parse_counters,
)
from magpieshift.rollout.process_losses import ALL_LOST_AFTER_US, UNREACHABLE_AFTER_US
from magpieshift.rollout.verdict import Verdict
from magpieshift.rollout.weighted_difference import WeightedDifference
from tests.rollout.coordinator_harness import SECOND_US


def make_counters(
    side: str, requests: int, served: int, up_s: float, incarnation: str = "1", cpu: int = 0, mb: float = 30
) -> ProcessCounters:
    classes = {"picture": RequestCounts(requests, served)}
    return ProcessCounters(side, incarnation, "serving", int(up_s * SECOND_US), classes, cpu, int(mb * 1024))


class CanaryAnalysisTest(unittest.TestCase):
    """Two routers on each side, observed once a second."""

    def setUp(self) -> None:
        zones = dict.fromkeys(("n0", "n1", "o0", "o1"), "a")
        self.analysis = CanaryAnalysis(Tolerances(), "new", "old", zones, 0)
        self.rand = random.Random(1)
        self.sums: dict[str, list[float]] = {name: [0, 0, 0.0, 30.0] for name in zones}
        self.incarnations = dict.fromkeys(zones, "1")
        self.now_us = 0

    def run_rounds(
        self,
        count: int,
        new: float,
        old: float,
        cpu: float = 1.0,
        leak: float = 0.0,
        rate: int = 50,
        unreachable: tuple[str, ...] = (),
    ) -> Verdict:
        for _ in range(count):
            self.now_us += SECOND_US
            answers: dict[str, ProcessCounters | None] = {}
            for name, sums in self.sums.items():
                is_new = name.startswith("n")
                sums[0] += rate
                sums[1] += sum(self.rand.random() < (new if is_new else old) for _ in range(rate))
                sums[2] += rate * 1000 * (cpu if is_new else 1.0) * self.rand.uniform(0.8, 1.2)
                sums[3] += leak / 60 if is_new else 0.0
                side, mb = "new" if is_new else "old", sums[3] + self.rand.uniform(-0.1, 0.1)
                counts = int(sums[0]), int(sums[1])
                counters = make_counters(
                    side, *counts, self.now_us / SECOND_US, self.incarnations[name], int(sums[2]), mb
                )
                answers[name] = None if name in unreachable else counters
            self.analysis.record_round(self.now_us, answers)
        return self.analysis.verdict(self.now_us)

    def test_few_samples_leave_the_verdict_undecided(self) -> None:
        self.assertEqual(self.run_rounds(2, 1.0, 1.0), Verdict.UNDECIDED)
        self.assertIn("needed", self.analysis.reason)

    def test_equal_sides_pass_and_a_worse_new_side_does_not(self) -> None:
        self.assertEqual(self.run_rounds(300, 0.97, 0.97), Verdict.NO_WORSE)
        self.setUp()
        self.assertEqual(self.run_rounds(300, 0.94, 0.97), Verdict.WORSE)
        self.assertIn("served in time", self.analysis.reason)

    def test_a_common_fault_is_not_worse_and_only_delays_a_pass(self) -> None:
        self.run_rounds(60, 0.97, 0.97)
        self.assertEqual(self.run_rounds(20, 0.4, 0.4), Verdict.COMMON_FAULT)
        self.assertEqual(self.run_rounds(300, 0.97, 0.97), Verdict.NO_WORSE)

    def test_higher_processor_time_and_memory_growth_are_worse(self) -> None:
        self.assertEqual(self.run_rounds(120, 0.97, 0.97, cpu=1.4), Verdict.WORSE)
        self.assertIn("processor", self.analysis.reason)
        self.setUp()
        self.assertEqual(self.run_rounds(150, 0.97, 0.97, leak=1.5), Verdict.WORSE)
        self.assertIn("memory", self.analysis.reason)

    def test_repeated_losses_and_the_loss_of_a_whole_side_are_worse_but_one_loss_is_not(self) -> None:
        self.run_rounds(40, 0.97, 0.97)
        self.incarnations["n0"] = "2"  # restarted by itself
        self.assertNotEqual(self.run_rounds(1, 0.97, 0.97), Verdict.WORSE)
        for incarnation in "3456789abc":
            self.incarnations["n0"] = incarnation
            self.run_rounds(1, 0.97, 0.97)
        self.assertEqual(self.analysis.verdict(self.now_us), Verdict.WORSE)
        self.setUp()
        self.run_rounds(20, 0.97, 0.97)
        both = ("n0", "n1")
        self.assertNotEqual(
            self.run_rounds(UNREACHABLE_AFTER_US // SECOND_US + 1, 0.97, 0.97, unreachable=both[:1]),
            Verdict.WORSE,
        )
        self.assertEqual(
            self.run_rounds(ALL_LOST_AFTER_US // SECOND_US + 1, 0.97, 0.97, unreachable=both), Verdict.WORSE
        )

    def test_a_restarted_process_counts_from_zero(self) -> None:
        before, after = make_counters("new", 100, 90, 50), make_counters("new", 10, 9, 5, incarnation="2")
        self.assertEqual(
            (counter_delta(before, after).requests, counter_delta(before, after).same_process), (10, False)
        )
        self.assertEqual(
            counter_delta(before, make_counters("new", 130, 100, 60)).classes["picture"].served, 10
        )

    def test_counters_of_other_versions_are_read_and_malformed_ones_rejected(self) -> None:
        line = '{"label":"x","incarnation":"1","up_us":5,"classes":{"a":{"asked":3,"later":9}},"new":[1]}'
        self.assertEqual(parse_counters(line).classes["a"], RequestCounts(3, 0))
        invalid_number = '{"label":"x","incarnation":"1","up_us":"y","classes":{}}'
        for malformed in ("", "ERR no", "[]", '{"label":1}', invalid_number):
            with self.subTest(malformed), self.assertRaises(UnreadableCountersError):
                parse_counters(malformed)

    def test_the_interval_stays_valid_when_evaluated_every_round(self) -> None:
        """Equal sides whose interval is evaluated after each of 400 rounds: at most 5% of 300 such runs may
        ever exclude a difference of 0."""
        false_positives = 0
        for seed in range(300):
            rand, sums = random.Random(seed), WeightedDifference()
            for _ in range(400):
                rows = [sum(rand.random() < 0.95 for _ in range(10)) for _ in range(2)]
                sums.add(10, rows[0], 10, rows[1])
                lowest, highest = sums.confidence_interval(0.05)
                if lowest > 0 or highest < 0:
                    false_positives += 1
                    break
        self.assertLessEqual(false_positives, 300 * 0.05)


if __name__ == "__main__":
    unittest.main()
