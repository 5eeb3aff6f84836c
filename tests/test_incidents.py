"""Each postmortem page is in the index, and the tests that it names exist."""

from __future__ import annotations

import ast
import re
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
FOLDER = ROOT / "docs" / "incidents"
TEST_REFERENCE = re.compile(r"`(tests/[\w/]+\.py)`(?: \(([^)]*)\))?")
"""Matches a test file in backquotes, optionally followed by class or function names in parentheses."""


def named_tests(text: str) -> list[tuple[str, str]]:
    """Pairs of test file and class or function name on a page; the name is empty if the page gives none."""
    found = []
    for path, names in TEST_REFERENCE.findall(text):
        found += [(path, name) for name in re.findall(r"\w+", names)] or [(path, "")]
    return found


def exists(path: str, name: str) -> bool:
    """Whether the test file exists and defines this class or function."""
    file = ROOT / path
    if not file.exists():
        return False
    nodes = ast.walk(ast.parse(file.read_text(encoding="utf-8")))
    defined = {
        node.name for node in nodes if isinstance(node, ast.ClassDef | ast.FunctionDef | ast.AsyncFunctionDef)
    }
    return not name or name in defined


class Incidents(unittest.TestCase):
    def test_every_page_names_a_test_and_all_that_it_names_exist(self) -> None:
        pages = [page for page in FOLDER.glob("*.md") if page.name != "README.md"]
        self.assertTrue(pages)
        for page in pages:
            with self.subTest(page.name):
                named = named_tests(page.read_text(encoding="utf-8"))
                self.assertTrue(named, "names no test")
                self.assertEqual([each for each in named if not exists(*each)], [])

    def test_every_page_is_in_the_index(self) -> None:
        index = (FOLDER / "README.md").read_text(encoding="utf-8")
        pages = {page.name for page in FOLDER.glob("*.md")} - {"README.md"}
        self.assertEqual(pages, set(re.findall(r"\]\(([\w-]+\.md)\)", index)))

    def test_a_missing_test_is_detected(self) -> None:
        text = "`tests/test_incidents.py` (Incidents, Nothing), `tests/test_none.py`"
        wrong = [each for each in named_tests(text) if not exists(*each)]
        self.assertEqual(wrong, [("tests/test_incidents.py", "Nothing"), ("tests/test_none.py", "")])


if __name__ == "__main__":
    unittest.main()
