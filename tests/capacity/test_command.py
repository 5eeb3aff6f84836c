"""The command ``lab capacity``: errors for bad input, and a short measurement with a started router."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path


def run_capacity(*arguments: str) -> subprocess.CompletedProcess[str]:
    command = [sys.executable, "-m", "magpieshift", "lab", "capacity", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=120)


class BadInput(unittest.TestCase):
    def test_is_one_line_and_exit_code_2(self) -> None:
        for arguments, message in (
            (("--role", "router: purge"), "--role: found 'router: purge'"),
            (("--seed", "x"), "--seed: found 'x'"),
            (("--quick", "--role", "fan-out: relay"), "--quick: found 'fan-out: relay'"),
            (("--save", "/nowhere/at/all.json"), "--save: found '/nowhere/at/all.json'"),
            (("--router", "/nowhere"), "--router: found '/nowhere'"),
        ):
            with self.subTest(message):
                ended = run_capacity(*arguments)
                self.assertEqual((ended.returncode, ended.stdout), (2, ""))
                (line,) = ended.stderr.splitlines()
                self.assertIn(message, line)
                self.assertIn("expected", line)


class Measurement(unittest.TestCase):
    def test_a_started_router_and_the_decisions(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "result.json"
            roles = ("--role", "router: purges", "--role", "router: decisions")
            ended = run_capacity("--json", "--quick", "--save", str(path), *roles)
            self.assertEqual(ended.returncode, 0, ended.stderr)
            rows = json.loads(ended.stdout.splitlines()[-1])
            self.assertEqual(json.loads(path.read_text())["rows"], rows)
        by_resource = {(row["role"], row["resource"]): row for row in rows}
        sent = by_resource["router: purges", "bytes"]
        # a purge on the wire holds at least an object id of 16 digits and a time of 13 digits
        self.assertGreater(sent["at_target"], sent["target"] * (16 + 13))
        for row in rows:
            self.assertEqual(row["ratio"] is None, row["budget"] is None or row["at_target"] is None)
        self.assertGreater(by_resource["router: decisions", "processor"]["at_target"], 0)
