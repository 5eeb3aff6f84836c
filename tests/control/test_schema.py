"""The reader of settings files: valid documents, the errors about invalid ones, and agreement with the reader
of the platform's JSON."""

import unittest
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from magpieshift.config import ConfigError, parse
from magpieshift.control import schema, sexp
from magpieshift.control.document_changes import apply_changes, differences, document_digest, is_identical
from magpieshift.control.errors import UnusableDocumentError
from tests.recorded.exchange import ROOT, config

PORTS = {"cache": "127.0.0.1:1", "origin": "127.0.0.1:2", "log": "127.0.0.1:3"}
EXAMPLE = ROOT / "deploy" / "magpieshift.sexp"

names = st.text(st.characters(codec="utf-8", exclude_categories=["Cs"]), min_size=1, max_size=12)
atoms = st.one_of(
    st.integers(), st.floats(allow_nan=False, allow_infinity=False), st.booleans(), names, st.just("")
)
values = st.recursive(
    st.one_of(atoms, st.lists(atoms, min_size=2, max_size=4), st.just([])),
    lambda inner: st.dictionaries(names, inner, min_size=1, max_size=4),
    max_leaves=12,
)
trees = st.dictionaries(names, values, min_size=1, max_size=5)


def problems(text: str) -> list[str]:
    try:
        schema.load_text(text)
    except UnusableDocumentError as err:
        return [str(problem) for problem in err.problems]
    return []


class Documents(unittest.TestCase):
    def test_both_readers_give_one_document(self) -> None:
        """The platform's JSON, written as a settings file and read again, gives an equal document."""
        document = parse(config(PORTS)).document
        text = sexp.format_document(schema.to_data(document))
        self.assertEqual(schema.load_text(text).document, document)

    def test_the_example_is_valid(self) -> None:
        loaded = schema.load_file(EXAMPLE)
        self.assertEqual(schema.load_data(schema.to_data(loaded.document)).document, loaded.document)

    def test_all_errors_are_reported_at_once_each_with_its_line(self) -> None:
        text = EXAMPLE.read_text()
        for old, new in (
            ("(sockets 512)", "(sockets many)"),
            ("(aim-ms 500)", "(aim-ms -5)"),
            ("(notes true)", "(notse true)"),
            ("(name shop-1)", ""),
            ("(most 8)", "(most 8 9)"),
        ):
            self.assertIn(old, text)
            text = text.replace(old, new, 1)
        found = problems(text)
        self.assertEqual(len(found), 5, found)
        line = text[: text.index("(sockets many)")].count("\n") + 1
        self.assertIn(f"line {line}: limits sockets: found 'many', expected integer", "\n".join(found))
        self.assertIn("did you mean notes?", "\n".join(found))
        self.assertIn("name: found nothing", "\n".join(found))
        self.assertTrue(
            any("classes picture aim-ms: found -5, expected greater than" in p for p in found), found
        )

    def test_inconsistent_entries_are_reported(self) -> None:
        text = EXAMPLE.read_text()
        for old, new, expected in (
            ("(zone shop)", "(zone moon)", "zone: found 'moon', expected one of the zones"),
            ("(origin-kind origin)", "(origin-kind sun)", "origin-kind: found 'sun'"),
            ("(aim-ms 500)", "(aim-ms 9000)", "at most deadline-ms"),
            ("(listen 127.0.0.1:6565)", "(listen here)", "listen: found 'here', expected host:port"),
            ("(router-index 0)", "(router-index 9)", "less than routers"),
            ("(attached-to hub)", "(attached-to sea)", "attached-to: found 'sea'"),
        ):
            with self.subTest(new):
                self.assertIn(old, text)
                self.assertIn(expected, "\n".join(problems(text.replace(old, new, 1))))

    def test_texts_that_cannot_be_parsed_are_reported(self) -> None:
        for text, expected in (
            ("", "0 forms"),
            ("(magpieshift", "closed"),
            ("(magpieshift))", "too many"),
            ("7", "1 forms"),
            ('(magpieshift (name "x', "closed"),
            ("(other (name x))", "found 'other'"),
            ("(" * 5000, "deep nesting"),
            ("(magpieshift " + "(a " * 400 + ")" * 401, "deep nesting"),
            ("(magpieshift (a 1) (a 2))", "second entry"),
            ("(magpieshift (a 1 (b 2)))", "words beside brackets"),
            ("(magpieshift (a 'b))", "a word"),
            ("(magpieshift (7 8))", "a name as the first word"),
            ("(magpieshift x)", "entries"),
            ("(magpieshift " + "x" * sexp.MAX_TEXT_LENGTH + ")", "at most"),
        ):
            with self.subTest(text[:30]):
                self.assertIn(expected, "\n".join(problems(text)))

    @given(trees)
    @settings(max_examples=60, deadline=None)
    def test_what_is_written_is_read_again(self, data: dict[str, Any]) -> None:
        read = sexp.parse(sexp.format_document(data)).data
        self.assertTrue(is_identical(read, data), (read, data))

    @given(trees, trees)
    @settings(max_examples=60, deadline=None)
    def test_differences_turn_one_document_into_the_other(
        self, old: dict[str, Any], new: dict[str, Any]
    ) -> None:
        changes = differences(old, new)
        self.assertEqual(document_digest(apply_changes(old, changes)), document_digest(new))
        self.assertEqual(bool(changes), document_digest(old) != document_digest(new))

    @given(st.one_of(st.text(), st.binary().map(lambda data: data.decode("latin-1"))))
    @settings(max_examples=200, deadline=None)
    def test_any_text_is_read_or_rejected(self, text: str) -> None:
        problems(text)
        problems(f"(magpieshift {text})")

    def test_a_file_that_cannot_be_read_is_one_plain_line(self) -> None:
        with self.assertRaisesRegex(ConfigError, "cannot be read") as caught:
            schema.load_file(Path("/nowhere/at/all"))
        self.assertNotIn("\n", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
