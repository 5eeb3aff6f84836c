"""Complete simulated rollouts on a fake clock."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest

from magpieshift.lab.simulated import rollout as lab
from magpieshift.lab.simulated.rollout_fleet import rollout_plan
from magpieshift.lab.simulated.rollout_scenarios import SCENARIOS


class Simulated(unittest.TestCase):
    def test_good_builds_pass_and_bad_ones_are_rolled_back(self) -> None:
        for name in ("same", "same-with-outage", "worse-zone", "late-crash", "mute", "no-start", "leak"):
            with self.subTest(name):
                outcome = lab.play(name, 16, 3)
                self.assertEqual(
                    (outcome.stopped, outcome.concurrent_step_rounds), (SCENARIOS[name].is_bad, 0), outcome
                )
                self.assertLessEqual(outcome.max_unavailable, rollout_plan(16).max_unreachable)

    def test_a_seed_gives_the_same_rollout_in_every_process(self) -> None:
        """Guards against sums that depend on the iteration order of a set of strings, which differs between
        processes."""
        code = "from magpieshift.lab.simulated.rollout import play; print(play('worse-class', 24, 3))"
        found = {
            subprocess.run(
                [sys.executable, "-c", code],
                env=os.environ | {"PYTHONHASHSEED": str(hash_seed)},
                capture_output=True,
                text=True,
                check=True,
            ).stdout
            for hash_seed in range(4)
        }
        self.assertEqual(len(found), 1, found)


if __name__ == "__main__":
    unittest.main()
