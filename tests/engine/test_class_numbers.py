"""The numbers of classes, zones and kinds over any changes of the document."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from magpieshift import parse
from magpieshift.engine.class_numbers import initial_class_numbers, renumber_classes
from magpieshift.engine.name_numbers import renumber
from tests.real.exchange import config

PORTS = {"cache": "127.0.0.1:1", "origin": "127.0.0.1:2", "log": "127.0.0.1:3"}
DOCUMENT = parse(config(PORTS)).document


class ClassNumbersTest(unittest.TestCase):
    @given(
        st.lists(st.tuples(st.sets(st.sampled_from("abcdef"), min_size=1), st.integers(0, 63)), max_size=12)
    )
    @settings(deadline=None)
    def test_no_number_ever_serves_two_classes_while_requests_are_open(
        self, steps: list[tuple[set[str], int]]
    ) -> None:
        """Requests open under any class at any step, some of which end (the bits of the second figure)."""
        figures = dict(
            zip(
                "abcdef",
                [replace(DOCUMENT.settings.classes[0], priority_weight=w) for w in range(6)],
                strict=True,
            )
        )
        now = initial_class_numbers(["a"], [figures["a"]])
        open_: dict[int, str] = {0: "a"}
        for names, ends in steps:
            open_ = {number: name for number, name in open_.items() if not ends >> number & 1}
            order = sorted(names)
            now = renumber_classes(now, order, [figures[name] for name in order], open_.keys())
            for number, name in open_.items():
                self.assertEqual(now.classes[number], figures[name])
            self.assertEqual(set(now.by_name), names)
            self.assertEqual(len(set(now.by_name.values())), len(names))
            self.assertLessEqual(len(now.classes), 6 + len(open_))
            for name, number in now.by_name.items():
                self.assertEqual(now.classes[number], figures[name])
                self.assertIn(open_.get(number, name), (name,))
                open_[number] = name


class NameNumbersTest(unittest.TestCase):
    @given(st.lists(st.lists(st.sampled_from("abcdef"), unique=True, min_size=1), min_size=1, max_size=10))
    @settings(deadline=None)
    def test_a_name_keeps_its_number_and_a_number_is_empty_for_one_change(
        self, steps: list[list[str]]
    ) -> None:
        old = tuple(steps[0])
        for names in steps[1:]:
            new = renumber(old, names)
            self.assertEqual({name for name in new if name}, set(names))
            self.assertEqual(len([name for name in new if name]), len(names))
            for number, name in enumerate(old):
                if name and number < len(new):
                    self.assertIn(new[number], (name, "") if name not in names else (name,))
            self.assertLessEqual(len(new), 6 + 6)
            old = new


if __name__ == "__main__":
    unittest.main()
