"""The tables of the capacity page match the saved results, and saved results are read back unchanged."""

from __future__ import annotations

import re
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from magpieshift.config import ConfigError
from magpieshift.lab.capacity import page, results
from magpieshift.lab.capacity.measure import Row
from magpieshift.lab.capacity.results import Result
from magpieshift.lab.capacity.roles import every_role


def with_higher_cost(row: Row) -> Row:
    """A copy of a row with a higher cost at the target and a larger measured size."""
    return replace(row, at_target=(row.at_target or 0.0) * 1.1 + 1, measured_to=row.measured_to + 1)


class Page(unittest.TestCase):
    def setUp(self) -> None:
        self.text = page.PAGE.read_text(encoding="utf-8")
        self.loaded = dict(page.load_results())

    def test_the_page_matches_the_saved_results(self) -> None:
        self.assertEqual(page.regenerate(self.text, self.loaded), self.text)

    def test_a_changed_digit_in_any_table_is_detected(self) -> None:
        for match in page.SECTION_PATTERN.finditer(self.text):
            digit = re.search(r"\d", match[3])
            if digit is None:
                continue
            at = match.start(3) + digit.start()
            changed = self.text[:at] + str((int(digit[0]) + 1) % 10) + self.text[at + 1 :]
            with self.subTest(match[2]):
                self.assertNotEqual(page.regenerate(changed, self.loaded), changed)

    def test_a_changed_row_in_any_result_changes_the_page(self) -> None:
        for name, result in self.loaded.items():
            for index, row in enumerate(result.rows):
                rows = (*result.rows[:index], with_higher_cost(row), *result.rows[index + 1 :])
                changed = self.loaded | {name: Result(result.origin, rows)}
                with self.subTest(name, role=row.role, resource=row.resource):
                    self.assertNotEqual(page.regenerate(self.text, changed), self.text)

    def test_missing_unknown_and_repeated_sections_are_rejected(self) -> None:
        for text in (self.text.replace("capacity ranking", "capacity rankings"), self.text + self.text):
            with self.assertRaises(ConfigError):
                page.regenerate(text, self.loaded)

    def test_every_role_is_in_exactly_one_section(self) -> None:
        placed = [name for names in page.ROLE_SECTIONS.values() for name in names]
        self.assertEqual(sorted(placed), sorted({role.name for role in every_role()}))


class Saved(unittest.TestCase):
    def test_results_are_read_as_they_were_written(self) -> None:
        for result in page.load_results().values():
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "result.json"
                results.save(result, str(path))
                self.assertEqual(results.load(path), result)

    def test_an_invalid_or_missing_result_file_raises_a_config_error(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "before.json"
            for text in ("", "[]", '{"origin": {}, "rows": []}', '{"origin": {}, "rows": [{"role": "x"}]}'):
                path.write_text(text)
                with self.subTest(text), self.assertRaisesRegex(ConfigError, "before.json: found"):
                    page.load_results(Path(folder))
            path.unlink()
            with self.assertRaisesRegex(ConfigError, "found no results"):
                page.load_results(Path(folder))
