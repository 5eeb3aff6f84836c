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
from tests.rollout.pieces import SECOND


def figures(
    side: str, asked: int, served: int, up_s: float, life: str = "1", cpu: int = 0, mb: float = 30
) -> ProcessCounters:
    classes = {"picture": RequestCounts(asked, served)}
    return ProcessCounters(side, life, "serving", int(up_s * SECOND), classes, cpu, int(mb * 1024))


class CanaryAnalysisTest(unittest.TestCase):
    """Two routers on each side, observed once a second."""

    def setUp(self) -> None:
        zones = dict.fromkeys(("n0", "n1", "o0", "o1"), "a")
        self.analysis = CanaryAnalysis(Tolerances(), "new", "old", zones, 0)
        self.rand = random.Random(1)
        self.sums: dict[str, list[float]] = {name: [0, 0, 0.0, 30.0] for name in zones}
        self.lives = dict.fromkeys(zones, "1")
        self.now = 0

    def looks(
        self,
        count: int,
        new: float,
        old: float,
        cpu: float = 1.0,
        leak: float = 0.0,
        rate: int = 50,
        gone: tuple[str, ...] = (),
    ) -> Verdict:
        for _ in range(count):
            self.now += SECOND
            answers: dict[str, ProcessCounters | None] = {}
            for name, sums in self.sums.items():
                fresh = name.startswith("n")
                sums[0] += rate
                sums[1] += sum(self.rand.random() < (new if fresh else old) for _ in range(rate))
                sums[2] += rate * 1000 * (cpu if fresh else 1.0) * self.rand.uniform(0.8, 1.2)
                sums[3] += leak / 60 if fresh else 0.0
                side, mb = "new" if fresh else "old", sums[3] + self.rand.uniform(-0.1, 0.1)
                counts = int(sums[0]), int(sums[1])
                told = figures(side, *counts, self.now / SECOND, self.lives[name], int(sums[2]), mb)
                answers[name] = None if name in gone else told
            self.analysis.record_round(self.now, answers)
        return self.analysis.verdict(self.now)

    def test_few_samples_are_no_pass(self) -> None:
        self.assertEqual(self.looks(2, 1.0, 1.0), Verdict.UNDECIDED)
        self.assertIn("needed", self.analysis.reason)

    def test_the_same_passes_and_what_is_worse_does_not(self) -> None:
        self.assertEqual(self.looks(300, 0.97, 0.97), Verdict.NO_WORSE)
        self.setUp()
        self.assertEqual(self.looks(300, 0.94, 0.97), Verdict.WORSE)
        self.assertIn("served in time", self.analysis.reason)

    def test_what_strikes_both_alike_is_not_worse_and_stops_no_pass_for_good(self) -> None:
        self.looks(60, 0.97, 0.97)
        self.assertEqual(self.looks(20, 0.4, 0.4), Verdict.COMMON_FAULT)
        self.assertEqual(self.looks(300, 0.97, 0.97), Verdict.NO_WORSE)

    def test_processor_time_memory_and_idleness(self) -> None:
        self.assertEqual(self.looks(120, 0.97, 0.97, cpu=1.4), Verdict.WORSE)
        self.assertIn("processor", self.analysis.reason)
        self.setUp()
        self.assertEqual(self.looks(150, 0.97, 0.97, leak=1.5), Verdict.WORSE)
        self.assertIn("memory", self.analysis.reason)

    def test_one_lost_process_may_be_chance_two_are_not_and_a_side_without_any_is_waited_for(self) -> None:
        self.looks(40, 0.97, 0.97)
        self.lives["n0"] = "2"  # restarted by itself
        self.assertNotEqual(self.looks(1, 0.97, 0.97), Verdict.WORSE)
        for life in "3456789abc":
            self.lives["n0"] = life
            self.looks(1, 0.97, 0.97)
        self.assertEqual(self.analysis.verdict(self.now), Verdict.WORSE)
        self.setUp()
        self.looks(20, 0.97, 0.97)
        both = ("n0", "n1")
        self.assertNotEqual(
            self.looks(UNREACHABLE_AFTER_US // SECOND + 1, 0.97, 0.97, gone=both[:1]), Verdict.WORSE
        )
        self.assertEqual(self.looks(ALL_LOST_AFTER_US // SECOND + 1, 0.97, 0.97, gone=both), Verdict.WORSE)

    def test_a_restart_is_never_a_gain(self) -> None:
        before, after = figures("new", 100, 90, 50), figures("new", 10, 9, 5, life="2")
        self.assertEqual(
            (counter_delta(before, after).requests, counter_delta(before, after).same_process), (10, False)
        )
        self.assertEqual(counter_delta(before, figures("new", 130, 100, 60)).classes["picture"].served, 10)

    def test_figures_of_other_versions_and_odd_ones(self) -> None:
        line = '{"label":"x","incarnation":"1","up_us":5,"classes":{"a":{"asked":3,"later":9}},"new":[1]}'
        self.assertEqual(parse_counters(line).classes["a"], RequestCounts(3, 0))
        half = '{"label":"x","incarnation":"1","up_us":"y","classes":{}}'
        for odd in ("", "ERR no", "[]", '{"label":1}', half):
            with self.subTest(odd), self.assertRaises(UnreadableCountersError):
                parse_counters(odd)

    def test_looking_all_the_time_does_not_make_it_lie(self) -> None:
        """Equal sides whose interval is evaluated after each of 400 rounds: at most 5% of 300 such runs may
        ever exclude a difference of 0."""
        wrong = 0
        for seed in range(300):
            rand, sums = random.Random(seed), WeightedDifference()
            for _ in range(400):
                rows = [sum(rand.random() < 0.95 for _ in range(10)) for _ in range(2)]
                sums.add(10, rows[0], 10, rows[1])
                least, most = sums.confidence_interval(0.05)
                if least > 0 or most < 0:
                    wrong += 1
                    break
        self.assertLessEqual(wrong, 300 * 0.05)


if __name__ == "__main__":
    unittest.main()
