"""Generation of random scenarios, and shrinking of a failing one."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

from magpieshift.lab.fault_injection import random_runs, scenario
from magpieshift.lab.fault_injection.scenario import ENDPOINT_FAULTS, ROUTER_FAULTS, Scenario


class Drawn(unittest.TestCase):
    def test_each_is_a_run_that_is_read_from_its_file_as_the_same(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "scenario.sexp"
            for seed in range(40):
                run = random_runs.draw(seed)
                self.assertEqual(run, random_runs.draw(seed))
                path.write_text(scenario.format_scenario(run))
                self.assertEqual(scenario.load_file(str(path)), run)

    def test_they_end_in_time_leave_enough_and_meet_each_others_recovery(self) -> None:
        kinds: set[str] = set()
        close = 0
        for seed in range(300):
            run = random_runs.draw(seed)
            kinds |= {fault.kind for fault in run.faults}
            for fault in run.faults:
                self.assertLessEqual(
                    fault.start_s + fault.duration_s, random_runs.FAULTY_SHARE * run.duration_s + 0.1
                )
                beside = [o for o in run.faults if o is not fault and random_runs._overlaps(fault, o)]
                if fault.kind in ROUTER_FAULTS:
                    self.assertNotIn(
                        fault.component, [o.component for o in beside if o.kind in ROUTER_FAULTS]
                    )
                if fault.kind in ENDPOINT_FAULTS:
                    same = [o for o in beside if o.kind == fault.kind and o.component == fault.component]
                    self.assertEqual(same, [])
                close += any(
                    0 <= fault.start_s - o.start_s - o.duration_s <= random_runs.MAX_OVERLAP_DELAY_S
                    for o in run.faults
                )
        self.assertEqual(kinds, set(random_runs.FAULT_DRAWS))
        self.assertGreater(close, 300)


class Shrunk(unittest.TestCase):
    def test_what_fails_by_two_faults_together_is_cut_down_to_those(self) -> None:
        for seed in range(20):
            run = random_runs.draw(seed, faults=12)
            first, last = run.faults[1].name, run.faults[-2].name

            async def fails(candidate: Scenario, both: frozenset[str] = frozenset((first, last))) -> bool:
                return both <= {fault.name for fault in candidate.faults}

            found = asyncio.run(random_runs.shrink(run, fails))
            self.assertEqual({fault.name for fault in found.faults}, {first, last})

    def test_it_ends_however_often_it_would_fail(self) -> None:
        played = 0

        async def fails(candidate: Scenario) -> bool:
            nonlocal played
            played += 1
            return played % 3 == 0

        asyncio.run(random_runs.shrink(random_runs.draw(1, faults=12), fails, max_runs=25))
        self.assertLessEqual(played, 25)


if __name__ == "__main__":
    unittest.main()
