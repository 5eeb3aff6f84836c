"""The coordinator: its stages, a kill before any record, and all short histories with two coordinators."""

from __future__ import annotations

import itertools
import unittest
from collections.abc import Iterator

from magpieshift.rollout.coordinator import Coordinator
from magpieshift.rollout.instructions import ReplaceProcess
from magpieshift.rollout.records import RolloutPhase, StagePassed
from magpieshift.rollout.rollout_state import replay
from magpieshift.rollout.verdict import Verdict
from tests.rollout.pieces import Bench, a_plan


class Coordinators(unittest.TestCase):
    def setUp(self) -> None:
        self.bench = Bench(a_plan())

    def test_a_good_one_goes_through_its_stages(self) -> None:
        self.bench.start()
        self.bench.run()
        self.assertEqual(set(self.bench.labels.values()), {"v7"})
        passed = [record.stage for record in self.bench.records if isinstance(record, StagePassed)]
        self.assertEqual(passed, ["one", "half", "all"])
        self.assertEqual(self.bench.most_away, 1)

    def test_a_worse_one_is_rolled_back_and_an_undecided_one_is_held(self) -> None:
        self.bench.start()
        for _ in range(5):
            self.bench.step(Verdict.UNDECIDED)
        self.assertIn("v7", self.bench.labels.values())
        self.bench.run(Verdict.WORSE)
        self.assertEqual(set(self.bench.labels.values()), {"v6"})
        self.assertEqual(replay(self.bench.records).phase, RolloutPhase.ENDED)
        self.bench = Bench(a_plan(stages={"one": {"routers": 1, "soak-s": 1, "most-s": 5}}))
        self.bench.start()
        self.bench.run(Verdict.UNDECIDED)
        self.assertEqual(replay(self.bench.records).phase, RolloutPhase.HELD)
        self.bench.start()  # resuming a held rollout lets it advance
        self.assertEqual(self.bench.coordinator.state.phase, RolloutPhase.ADVANCING)

    def test_killed_before_any_record_and_resumed_it_comes_to_the_same_end(self) -> None:
        for verdict, label in ((Verdict.NO_WORSE, "v7"), (Verdict.WORSE, "v6")):
            whole = Bench(a_plan())
            whole.start()
            for _ in range(4):
                whole.step()
            whole.run(verdict)
            for killed_at in range(1, len(whole.records)):
                with self.subTest(verdict=verdict, killed_at=killed_at):
                    bench = Bench(a_plan())
                    bench.writes_left = killed_at
                    bench.start()
                    alive = all(bench.step() for _ in range(4)) and bench.run(verdict)
                    bench.writes_left = 1 << 30
                    if not alive:
                        bench.start()
                        bench.run(verdict)
                    self.assertEqual(set(bench.labels.values()), {label})
                    self.assertLessEqual(bench.most_away, 1)

    def test_an_unreachable_router_counts_and_gets_the_right_build_when_it_returns(self) -> None:
        self.bench = Bench(a_plan(**{"most-away": 2}))
        self.bench.start()
        first = self.bench.plan.stages[0].targets[0]
        self.bench.dark = set(list(self.bench.labels)[:2])
        for _ in range(30):
            self.bench.step()
        self.assertEqual(set(self.bench.labels.values()), {"v6"})
        self.assertIn("unreachable", self.bench.coordinator.waiting_reason)
        self.bench.dark = set()
        self.bench.run()
        self.assertEqual(set(self.bench.labels.values()), {"v7"})
        self.bench.labels[first] = "v6"  # its process crashed and was restarted with the old build
        self.bench.start()
        self.assertTrue(self.bench.coordinator.is_over)

    def test_a_router_that_cannot_be_changed_stops_it(self) -> None:
        self.bench.fails = {self.bench.plan.stages[0].targets[0]}
        self.bench.start()
        self.bench.run()
        self.assertEqual(set(self.bench.labels.values()), {"v6"})
        self.assertIn("replacing the process failed 3 times", replay(self.bench.records).reason)

    def test_pause_stop_and_trouble(self) -> None:
        self.bench.start()
        self.bench.do(self.bench.coordinator.pause(True))
        for _ in range(20):
            self.bench.step()
        self.assertEqual(set(self.bench.labels.values()), {"v6"})
        self.bench.do(self.bench.coordinator.pause(False))
        for _ in range(20):
            self.bench.step(Verdict.COMMON_FAULT)
        self.assertEqual(set(self.bench.labels.values()), {"v6"})
        for _ in range(5):
            self.bench.step()
        self.bench.do(self.bench.coordinator.stop("enough", roll_back=True))
        self.bench.run()
        self.assertEqual(set(self.bench.labels.values()), {"v6"})

    def test_an_older_term_or_another_plan_does_not_begin(self) -> None:
        self.bench.start()
        with self.assertRaises(ValueError):
            Coordinator(self.bench.plan, 1, 0, self.bench.records)
        with self.assertRaises(ValueError):
            Coordinator(a_plan(name="other"), 2, 0, self.bench.records)


class Explored(unittest.TestCase):
    """All histories of five events with three routers and concurrent coordinators: crashes, takeovers, an
    unreachable router, older coordinators that resume."""

    def test_never_two_terms_act_never_too_many_away_and_always_an_end(self) -> None:
        small = a_plan(
            routers={f"r{i}": {"doors": [f"127.0.0.1:{i + 1}", f"127.0.0.1:{i + 101}"]} for i in range(3)},
            stages={"one": {"routers": 1, "soak-s": 1}, "all": {"share": 1, "soak-s": 1}},
        )
        seen: set[object] = set()
        ends = turned_down = 0
        for history in self.histories():
            bench = Bench(small)
            bench.start()
            older: list[tuple[Coordinator, list[ReplaceProcess]]] = []
            for event in history:
                match event:
                    case "crash":
                        bench.start()
                    case "second":
                        # another coordinator takes over while the first is paused with a step in flight
                        older.append((bench.coordinator, bench.pending))
                        bench.start()
                    case "dark":
                        bench.dark = {"r0"} if not bench.dark else set()
                    case "wake":
                        for coordinator, pending in older:
                            for step in pending:
                                bench.carry_out(coordinator, step)
                                turned_down += coordinator.superseded
                        older = []
                    case "worse":
                        bench.step(Verdict.WORSE)
                    case _:
                        bench.step()
                state = bench.coordinator.state
                seen.add(
                    (event, state.phase, state.stage_index, tuple(sorted(bench.labels.items())), bool(older))
                )
                self.assertEqual(
                    bench.acts, sorted(bench.acts), "an older term changed a router after a later term had"
                )
                self.assertLessEqual(bench.most_away, small.max_unreachable + len(bench.dark))
            bench.dark = set()
            bench.run()
            ends += 1
            self.assertEqual(len(set(bench.labels.values())), 1)
        self.assertEqual(ends, 6**5)
        self.assertGreater(turned_down, 100)
        self.assertGreater(len(seen), 50)

    @staticmethod
    def histories() -> Iterator[tuple[str, ...]]:
        yield from itertools.product(("step", "crash", "second", "dark", "wake", "worse"), repeat=5)


if __name__ == "__main__":
    unittest.main()
