"""CI tolerates failures of the tests listed in KNOWN-RED.txt, and of no others."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

SCRIPT = Path(__file__).resolve().parents[1] / ".ci" / "known_red.py"
TESTS = """
def test_good(): pass
def test_red(): assert False
def test_fixed(): pass
"""
ENTRY = "test_some.py::{} | pytest -q, seed 3 | reset under load | 99\n"


def run(folder: Path, listed: str | None, tests: str = TESTS) -> subprocess.CompletedProcess[str]:
    (folder / "test_some.py").write_text(tests)
    if listed is not None:
        (folder / "KNOWN-RED.txt").write_text(listed)
    command = [sys.executable, str(SCRIPT)]
    return subprocess.run(command, cwd=folder, capture_output=True, text=True)


def test_a_listed_test_that_fails_is_tolerated_and_reported(tmp_path: Path) -> None:
    done = run(tmp_path, "# a comment\n" + ENTRY.format("test_red") + ENTRY.format("test_fixed"))
    assert done.returncode == 0, done.stdout
    assert "known red, failed this time: test_some.py::test_red: reset under load (issue 99)" in done.stdout
    assert "known red, passed this time: test_some.py::test_fixed" in done.stdout
    assert "1 passed, 2 deselected" in done.stdout


def test_a_failure_that_is_not_listed_fails_the_run(tmp_path: Path) -> None:
    assert run(tmp_path, ENTRY.format("test_fixed")).returncode == 1
    assert run(tmp_path, "").returncode == 1
    assert run(tmp_path, None).returncode == 1


def test_without_the_file_all_tests_run(tmp_path: Path) -> None:
    done = run(tmp_path, None, "def test_good(): pass\n")
    assert (done.returncode, "1 passed" in done.stdout) == (0, True)


def test_an_entry_for_a_missing_test_fails_the_run(tmp_path: Path) -> None:
    done = run(tmp_path, ENTRY.format("test_gone"), "def test_good(): pass\n")
    assert done.returncode == 1
    assert "no such test: test_some.py::test_gone" in done.stderr


def test_an_entry_with_a_column_missing_fails_the_run(tmp_path: Path) -> None:
    done = run(tmp_path, "test_some.py::test_red | seen once\n", "def test_good(): pass\n")
    assert (done.returncode, "line 1: found 2 columns, expected 4" in done.stderr) == (1, True)
