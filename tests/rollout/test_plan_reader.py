"""Reading and checking plan files."""

from __future__ import annotations

import unittest
from pathlib import Path
from typing import Any

from magpieshift.control.errors import UnusableDocumentError
from magpieshift.control.sexp import parse
from magpieshift.rollout.plan import Tolerances
from magpieshift.rollout.plan_form import PLAN_HEAD
from magpieshift.rollout.plan_reader import load_plan, load_plan_file
from tests.rollout.coordinator_harness import PLAN_TEXT, make_plan


class PlanReaderTest(unittest.TestCase):
    def test_stages_grow_and_zones_take_turns(self) -> None:
        plan = make_plan()
        self.assertEqual([len(stage.targets) for stage in plan.stages], [1, 2, 4])
        for earlier, later in zip(plan.stages, plan.stages[1:], strict=False):
            self.assertEqual(later.targets[: len(earlier.targets)], earlier.targets)
        zones = {plan.routers[name].zone for name in plan.stages[1].targets}
        self.assertEqual(zones, {"a", "b"})

    def test_the_documented_example_can_be_used(self) -> None:
        plan = load_plan_file(Path(__file__).resolve().parents[2] / "deploy" / "rollout.sexp")
        self.assertEqual(plan.tolerances, Tolerances())

    def test_all_mistakes_are_reported_with_their_place(self) -> None:
        text = PLAN_TEXT.replace("v7", "v6").replace("{console}", "{unknown}").replace("7007", "7000")
        text = text.replace("(share 0.5)", "(routers 9)").replace("(share 1)", "(zone c)")
        with self.assertRaises(UnusableDocumentError) as raised:
            tree = parse(text, "plan", PLAN_HEAD)
            load_plan(tree.data, tree.lines)
        places = {problem.where for problem in raised.exception.problems}
        expected = {"routers r3 doors", "new label", "new start", "old start", "stages all"}
        expected.add("stages half routers")
        self.assertLessEqual(expected, places)
        self.assertTrue(all(problem.line for problem in raised.exception.problems))
        invalid_changes: list[dict[str, Any]] = [
            {"most-away": 4},
            {"stages": {}},
            {"new": {"label": "x"}},
            {"unknown": 1},
        ]
        for changes in invalid_changes:
            with self.subTest(changes), self.assertRaises(UnusableDocumentError):
                make_plan(**changes)


if __name__ == "__main__":
    unittest.main()
