"""Soak runs with fixed seeds, and injected defects that they must detect."""

from __future__ import annotations

import asyncio
import unittest

from magpieshift.lab.soak.defective_router import DEFECTS
from magpieshift.lab.soak.parallel_runs import defective_program, run_seeds
from magpieshift.lab.soak.plan import SoakFault, StartMode, draw_plan

SEEDS = range(1, 11)
PARALLEL = 2
MAX_SEEDS_TO_DETECT = 20
DETECTING_SEEDS = {
    "answers-dropped": 12,
    "listener-closed-early": 1,
    "second-signal-ends": 3,
    "reload-drops-connections": 2,
    "reset-at-close": 4,
}
"""Seeds that are run first, as their plans contain what reveals the defect."""


class Plans(unittest.TestCase):
    def test_a_seed_gives_one_plan_and_all_kinds_are_drawn(self) -> None:
        plans = [draw_plan(seed) for seed in range(200)]
        self.assertEqual(plans, [draw_plan(seed) for seed in range(200)])
        self.assertEqual({plan.start_mode for plan in plans}, set(StartMode))
        self.assertEqual({plan.fault for plan in plans}, set(SoakFault))
        for drawn in (
            [plan.is_replaced for plan in plans],
            [bool(plan.start_signals) for plan in plans],
            [len(plan.end_signals) > 1 for plan in plans],
        ):
            self.assertEqual(set(drawn), {True, False})


class Soak(unittest.TestCase):
    def test_short_runs_lose_no_request_and_exit_with_0(self) -> None:
        """Guards against lost requests under series of signals, many idle clients and faults."""
        reports = asyncio.run(run_seeds(SEEDS, PARALLEL))
        findings = {report.plan.describe(): report.findings for report in reports if report.findings}
        self.assertEqual(findings, {})
        self.assertGreater(min(report.served for report in reports), 10)

    def test_each_injected_defect_is_detected(self) -> None:
        """Guards against a soak that cannot fail: each defect must be detected within twenty seeds."""
        self.assertEqual(set(DETECTING_SEEDS), set(DEFECTS))
        for defect, detecting_seed in DETECTING_SEEDS.items():
            with self.subTest(defect):
                self.assertTrue(self.is_detected(defect, detecting_seed))

    @staticmethod
    def is_detected(defect: str, detecting_seed: int) -> bool:
        """Return whether a run of one of twenty seeds, this one first, has a finding."""
        others = [seed for seed in range(1, MAX_SEEDS_TO_DETECT + 1) if seed != detecting_seed]
        for seed in [detecting_seed, *others]:
            (report,) = asyncio.run(run_seeds([seed], 1, defective_program(defect)))
            if report.findings:
                return True
        return False


if __name__ == "__main__":
    unittest.main()
