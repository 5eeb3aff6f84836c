"""Generation of random scenarios, and shrinking of a failing one."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from magpieshift.lab.fault_injection import random_runs, scenario
from magpieshift.lab.fault_injection.scenario import ENDPOINT_FAULTS, ROUTER_FAULTS, Scenario


class RandomScenarioTest(unittest.TestCase):
    def test_a_random_scenario_is_unchanged_after_writing_and_reading(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "scenario.sexp"
            for seed in range(40):
                run = random_runs.draw(seed)
                self.assertEqual(run, random_runs.draw(seed))
                path.write_text(scenario.format_scenario(run))
                self.assertEqual(scenario.load_file(str(path)), run)

    def test_faults_end_in_time_do_not_clash_and_some_hit_the_recovery_from_others(self) -> None:
        kinds: set[str] = set()
        soon_after_another = 0
        for seed in range(300):
            run = random_runs.draw(seed)
            kinds |= {fault.kind for fault in run.faults}
            for fault in run.faults:
                self.assertLessEqual(
                    fault.start_s + fault.duration_s, random_runs.FAULT_PERIOD_FRACTION * run.duration_s + 0.1
                )
                overlapping = [o for o in run.faults if o is not fault and random_runs._overlaps(fault, o)]
                if fault.kind in ROUTER_FAULTS:
                    self.assertNotIn(
                        fault.component, [o.component for o in overlapping if o.kind in ROUTER_FAULTS]
                    )
                if fault.kind in ENDPOINT_FAULTS:
                    same = [o for o in overlapping if o.kind == fault.kind and o.component == fault.component]
                    self.assertEqual(same, [])
                soon_after_another += any(
                    0 <= fault.start_s - o.start_s - o.duration_s <= random_runs.MAX_OVERLAP_DELAY_S
                    for o in run.faults
                )
        self.assertEqual(kinds, set(random_runs.FAULT_DRAWS))
        self.assertGreater(soon_after_another, 300)


class ShrinkingTest(unittest.TestCase):
    def test_a_failure_caused_by_two_faults_is_shrunk_to_those_two(self) -> None:
        for seed in range(20):
            run = random_runs.draw(seed, faults=12)
            first, last = run.faults[1].name, run.faults[-2].name

            async def fails(candidate: Scenario, both: frozenset[str] = frozenset((first, last))) -> bool:
                return both <= {fault.name for fault in candidate.faults}

            found = asyncio.run(random_runs.shrink(run, fails))
            self.assertEqual({fault.name for fault in found.faults}, {first, last})

    def test_shrinking_ends_after_the_maximum_number_of_runs(self) -> None:
        run_count = 0

        async def fails(candidate: Scenario) -> bool:
            nonlocal run_count
            run_count += 1
            return run_count % 3 == 0

        asyncio.run(random_runs.shrink(random_runs.draw(1, faults=12), fails, max_runs=25))
        self.assertLessEqual(run_count, 25)


if __name__ == "__main__":
    unittest.main()
