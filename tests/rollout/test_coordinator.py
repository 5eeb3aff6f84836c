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
from tests.rollout.coordinator_harness import CoordinatorHarness, make_plan


class CoordinatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = CoordinatorHarness(make_plan())

    def test_a_rollout_that_is_no_worse_passes_all_stages(self) -> None:
        self.harness.start_coordinator()
        self.harness.run()
        self.assertEqual(set(self.harness.labels.values()), {"v7"})
        passed = [record.stage for record in self.harness.records if isinstance(record, StagePassed)]
        self.assertEqual(passed, ["one", "half", "all"])
        self.assertEqual(self.harness.max_unavailable, 1)

    def test_a_worse_rollout_is_rolled_back_and_an_undecided_one_is_held(self) -> None:
        self.harness.start_coordinator()
        for _ in range(5):
            self.harness.run_second(Verdict.UNDECIDED)
        self.assertIn("v7", self.harness.labels.values())
        self.harness.run(Verdict.WORSE)
        self.assertEqual(set(self.harness.labels.values()), {"v6"})
        self.assertEqual(replay(self.harness.records).phase, RolloutPhase.ENDED)
        self.harness = CoordinatorHarness(make_plan(stages={"one": {"routers": 1, "soak-s": 1, "most-s": 5}}))
        self.harness.start_coordinator()
        self.harness.run(Verdict.UNDECIDED)
        self.assertEqual(replay(self.harness.records).phase, RolloutPhase.HELD)
        self.harness.start_coordinator()  # resuming a held rollout lets it advance
        self.assertEqual(self.harness.coordinator.state.phase, RolloutPhase.ADVANCING)

    def test_a_coordinator_killed_before_any_record_reaches_the_same_end_when_resumed(self) -> None:
        for verdict, label in ((Verdict.NO_WORSE, "v7"), (Verdict.WORSE, "v6")):
            uninterrupted = CoordinatorHarness(make_plan())
            uninterrupted.start_coordinator()
            for _ in range(4):
                uninterrupted.run_second()
            uninterrupted.run(verdict)
            for killed_at in range(1, len(uninterrupted.records)):
                with self.subTest(verdict=verdict, killed_at=killed_at):
                    harness = CoordinatorHarness(make_plan())
                    harness.writes_left = killed_at
                    harness.start_coordinator()
                    alive = all(harness.run_second() for _ in range(4)) and harness.run(verdict)
                    harness.writes_left = 1 << 30
                    if not alive:
                        harness.start_coordinator()
                        harness.run(verdict)
                    self.assertEqual(set(harness.labels.values()), {label})
                    self.assertLessEqual(harness.max_unavailable, 1)

    def test_an_unreachable_router_counts_and_gets_the_right_build_when_it_returns(self) -> None:
        self.harness = CoordinatorHarness(make_plan(**{"most-away": 2}))
        self.harness.start_coordinator()
        first = self.harness.plan.stages[0].targets[0]
        self.harness.unreachable = set(list(self.harness.labels)[:2])
        for _ in range(30):
            self.harness.run_second()
        self.assertEqual(set(self.harness.labels.values()), {"v6"})
        self.assertIn("away", self.harness.coordinator.waiting_reason)
        self.harness.unreachable = set()
        self.harness.run()
        self.assertEqual(set(self.harness.labels.values()), {"v7"})
        self.harness.labels[first] = "v6"  # its process crashed and was restarted with the old build
        self.harness.start_coordinator()
        self.assertTrue(self.harness.coordinator.is_over)

    def test_a_router_that_cannot_be_changed_causes_a_rollback(self) -> None:
        self.harness.failing = {self.harness.plan.stages[0].targets[0]}
        self.harness.start_coordinator()
        self.harness.run()
        self.assertEqual(set(self.harness.labels.values()), {"v6"})
        self.assertIn("could not be changed 3 times", replay(self.harness.records).reason)

    def test_pause_and_common_fault_delay_steps_and_stop_rolls_back(self) -> None:
        self.harness.start_coordinator()
        self.harness.execute(self.harness.coordinator.pause(True))
        for _ in range(20):
            self.harness.run_second()
        self.assertEqual(set(self.harness.labels.values()), {"v6"})
        self.harness.execute(self.harness.coordinator.pause(False))
        for _ in range(20):
            self.harness.run_second(Verdict.COMMON_FAULT)
        self.assertEqual(set(self.harness.labels.values()), {"v6"})
        for _ in range(5):
            self.harness.run_second()
        self.harness.execute(self.harness.coordinator.stop("enough", roll_back=True))
        self.harness.run()
        self.assertEqual(set(self.harness.labels.values()), {"v6"})

    def test_an_older_term_or_another_plan_is_rejected(self) -> None:
        self.harness.start_coordinator()
        with self.assertRaises(ValueError):
            Coordinator(self.harness.plan, 1, 0, self.harness.records)
        with self.assertRaises(ValueError):
            Coordinator(make_plan(name="other"), 2, 0, self.harness.records)


class ShortHistories(unittest.TestCase):
    """All histories of five events with three routers and concurrent coordinators: crashes, takeovers, an
    unreachable router, older coordinators that resume."""

    def test_all_histories_keep_terms_in_order_limit_unavailable_routers_and_end(self) -> None:
        plan = make_plan(
            routers={f"r{i}": {"doors": [f"127.0.0.1:{i + 1}", f"127.0.0.1:{i + 101}"]} for i in range(3)},
            stages={"one": {"routers": 1, "soak-s": 1}, "all": {"share": 1, "soak-s": 1}},
        )
        seen: set[object] = set()
        ends = rejected_steps = 0
        for history in self.histories():
            harness = CoordinatorHarness(plan)
            harness.start_coordinator()
            older: list[tuple[Coordinator, list[ReplaceProcess]]] = []
            for event in history:
                match event:
                    case "crash":
                        harness.start_coordinator()
                    case "takeover":
                        # another coordinator takes over while the first is paused with a step in flight
                        older.append((harness.coordinator, harness.pending))
                        harness.start_coordinator()
                    case "unreachable":
                        harness.unreachable = {"r0"} if not harness.unreachable else set()
                    case "resume":
                        for coordinator, pending in older:
                            for step in pending:
                                harness.carry_out(coordinator, step)
                                rejected_steps += coordinator.superseded
                        older = []
                    case "worse":
                        harness.run_second(Verdict.WORSE)
                    case _:
                        harness.run_second()
                state = harness.coordinator.state
                seen.add(
                    (
                        event,
                        state.phase,
                        state.stage_index,
                        tuple(sorted(harness.labels.items())),
                        bool(older),
                    )
                )
                self.assertEqual(
                    harness.acting_terms,
                    sorted(harness.acting_terms),
                    "an older term changed a router after a later term had",
                )
                self.assertLessEqual(harness.max_unavailable, plan.max_unreachable + len(harness.unreachable))
            harness.unreachable = set()
            harness.run()
            ends += 1
            self.assertEqual(len(set(harness.labels.values())), 1)
        self.assertEqual(ends, 6**5)
        self.assertGreater(rejected_steps, 100)
        self.assertGreater(len(seen), 50)

    @staticmethod
    def histories() -> Iterator[tuple[str, ...]]:
        yield from itertools.product(
            ("step", "crash", "takeover", "unreachable", "resume", "worse"), repeat=5
        )


if __name__ == "__main__":
    unittest.main()
