"""Short lives of real routers on fixed seeds, and defects that they must find."""

from __future__ import annotations

import asyncio
import unittest

from magpieshift.lab.soak.defective_router import DEFECTS
from magpieshift.lab.soak.plan import LifeFault, RouterForm, draw_plan
from magpieshift.lab.soak.run import defective_program, play_lives

SEEDS = range(1, 11)
PARALLEL = 2
MAX_SEEDS_TO_FIND = 20
SHOWING_SEEDS = {
    "answers-dropped": 12,
    "listener-closed-early": 1,
    "second-signal-ends": 3,
    "reload-drops-connections": 2,
    "reset-at-close": 4,
}
"""Played first, as these lives have what shows the defect."""


class Plans(unittest.TestCase):
    def test_a_seed_gives_one_life_and_all_kinds_are_drawn(self) -> None:
        plans = [draw_plan(seed) for seed in range(200)]
        self.assertEqual(plans, [draw_plan(seed) for seed in range(200)])
        self.assertEqual({plan.form for plan in plans}, set(RouterForm))
        self.assertEqual({plan.fault for plan in plans}, set(LifeFault))
        for has in (
            [plan.is_replaced for plan in plans],
            [bool(plan.start_signals) for plan in plans],
            [len(plan.end_signals) > 1 for plan in plans],
        ):
            self.assertEqual(set(has), {True, False})


class Soak(unittest.TestCase):
    def test_short_lives_lose_nothing_and_end_with_0(self) -> None:
        """Guards against losses under signals in series, crowds and faults."""
        reports = asyncio.run(play_lives(SEEDS, PARALLEL))
        findings = {report.plan.describe(): report.findings for report in reports if report.findings}
        self.assertEqual(findings, {})
        self.assertGreater(min(report.served for report in reports), 10)

    def test_each_planted_defect_is_found(self) -> None:
        """The soak can fail: each defect is found within twenty seeds."""
        self.assertEqual(set(SHOWING_SEEDS), set(DEFECTS))
        for defect, showing_seed in SHOWING_SEEDS.items():
            with self.subTest(defect):
                self.assertTrue(self.is_found(defect, showing_seed))

    @staticmethod
    def is_found(defect: str, showing_seed: int) -> bool:
        """Whether a life of one of twenty seeds, this one first, has a finding."""
        others = [seed for seed in range(1, MAX_SEEDS_TO_FIND + 1) if seed != showing_seed]
        for seed in [showing_seed, *others]:
            (report,) = asyncio.run(play_lives([seed], 1, defective_program(defect)))
            if report.findings:
                return True
        return False


if __name__ == "__main__":
    unittest.main()
