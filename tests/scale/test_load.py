"""The load generator: rates, bursts, and reproducible schedules."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from magpieshift.lab.scale.load import DAY_S, Burst, Kind, Rates, arrivals, poisson


class Schedules(unittest.TestCase):
    def test_each_kind_arrives_at_its_rate(self) -> None:
        rates = Rates()
        seconds = 3600.0
        counts = Counter(arrival.kind for arrival in arrivals(rates, seconds, seed=7))
        for kind in (Kind.PURGE, Kind.VERSION, Kind.LIST_CHANGE):
            mean = rates.per_second(kind) * seconds
            self.assertLess(abs(counts[kind] - mean), 5 * mean**0.5, kind)

    def test_default_rates_are_those_of_the_target(self) -> None:
        rates = Rates()
        self.assertEqual(
            (rates.purges_per_s, rates.versions_per_day, rates.restarts_per_day), (110, 20_000, 420)
        )
        self.assertAlmostEqual(rates.per_second(Kind.VERSION) * DAY_S, 20_000)

    def test_a_seed_gives_one_schedule_and_another_seed_another(self) -> None:
        first = arrivals(Rates(), 30.0, seed=3)
        self.assertEqual(first, arrivals(Rates(), 30.0, seed=3))
        self.assertNotEqual(first, arrivals(Rates(), 30.0, seed=4))
        self.assertEqual(sorted(arrival.at_s for arrival in first), [arrival.at_s for arrival in first])

    def test_intervals_are_those_of_a_poisson_process(self) -> None:
        times = list(poisson(100.0, 400.0, random.Random(1)))
        gaps = [after - before for before, after in zip(times, times[1:], strict=False)]
        mean = sum(gaps) / len(gaps)
        deviation = (sum((gap - mean) ** 2 for gap in gaps) / len(gaps)) ** 0.5
        self.assertAlmostEqual(mean, 0.01, delta=0.0005)
        self.assertAlmostEqual(deviation / mean, 1.0, delta=0.05)

    def test_a_burst_is_ten_times_the_mean_for_five_seconds_and_only_purges(self) -> None:
        burst = Burst(begin_s=10.0)
        found = arrivals(Rates(), 20.0, seed=1, bursts=[burst])
        purges = [arrival.at_s for arrival in found if arrival.kind is Kind.PURGE]
        within = sum(10.0 <= at < 15.0 for at in purges)
        outside = len(purges) - within
        self.assertLess(abs(within - 5500), 5 * 5500**0.5)
        self.assertLess(abs(outside - 1650), 5 * 1650**0.5)
        versions = [arrival for arrival in found if arrival.kind is Kind.VERSION]
        quiet = [a for a in arrivals(Rates(), 20.0, seed=1) if a.kind is Kind.VERSION]
        self.assertEqual(versions, quiet)

    def test_a_burst_beyond_the_end_is_cut_there(self) -> None:
        times = list(poisson(10.0, 12.0, random.Random(2), [Burst(begin_s=10.0)]))
        self.assertLess(max(times), 12.0)
        self.assertGreater(sum(at >= 10.0 for at in times), 100)

    def test_there_are_no_arrivals_at_rate_zero(self) -> None:
        self.assertEqual(list(poisson(0.0, 100.0, random.Random(1))), [])


if __name__ == "__main__":
    unittest.main()
