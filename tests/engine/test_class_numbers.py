"""Numbers of classes, zones and kinds under arbitrary sequences of documents."""

import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from magpieshift import parse
from magpieshift.engine.class_numbers import initial_class_numbers, renumber_classes
from magpieshift.engine.name_numbers import align_numbers, renumber
from tests.recorded.exchange import config

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
        """At each step requests open in every class; the bits of the second value select those that are
        closed."""
        class_settings = dict(
            zip(
                "abcdef",
                [replace(DOCUMENT.settings.classes[0], priority_weight=w) for w in range(6)],
                strict=True,
            )
        )
        numbering = initial_class_numbers(["a"], [class_settings["a"]])
        open_requests: dict[int, str] = {0: "a"}
        for names, end_bits in steps:
            open_requests = {
                number: name for number, name in open_requests.items() if not end_bits >> number & 1
            }
            order = sorted(names)
            numbering = renumber_classes(
                numbering, order, [class_settings[name] for name in order], open_requests.keys()
            )
            for number, name in open_requests.items():
                self.assertEqual(numbering.classes[number], class_settings[name])
            self.assertEqual(set(numbering.by_name), names)
            self.assertEqual(len(set(numbering.by_name.values())), len(names))
            self.assertLessEqual(len(numbering.classes), 6 + len(open_requests))
            for name, number in numbering.by_name.items():
                self.assertEqual(numbering.classes[number], class_settings[name])
                self.assertIn(open_requests.get(number, name), (name,))
                open_requests[number] = name


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


class InstallationWithoutParents(unittest.TestCase):
    def test_its_document_gets_no_parents_when_kinds_are_renumbered(self) -> None:
        """Guards against a kind of cache that becomes that of the parents by a reload."""
        names = replace(DOCUMENT.names, kinds=("source", "box"))
        new_settings = replace(DOCUMENT.settings, parent_kind=-1, origin_kind=0)
        aligned = align_numbers(DOCUMENT, replace(DOCUMENT, names=names, settings=new_settings))
        self.assertEqual(aligned.names.kinds, ("box", "", "source"))
        self.assertEqual((aligned.settings.parent_kind, aligned.settings.origin_kind), (-1, 2))


if __name__ == "__main__":
    unittest.main()
