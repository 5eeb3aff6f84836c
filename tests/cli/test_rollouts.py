"""Tests of the output of the rollout commands."""

import contextlib
import io
import json
import unittest

from magpieshift.cli.main import run
from tests.recorded.exchange import ROOT


class RolloutCheck(unittest.TestCase):
    def test_a_plan_is_shown_stage_by_stage(self) -> None:
        """Guards against a rename of a stage's fields that does not reach the command: it then raised
        AttributeError."""
        out = io.StringIO()
        with contextlib.redirect_stdout(out):
            self.assertEqual(run(["rollout", "check", str(ROOT / "deploy" / "rollout.sexp"), "--json"]), 0)
        rows = json.loads(out.getvalue())
        self.assertTrue(rows)
        for row in rows:
            self.assertEqual(list(row), ["stage", "new", "of", "soak_s", "most_s", "changes"])


if __name__ == "__main__":
    unittest.main()
