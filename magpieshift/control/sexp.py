"""Reads S-expressions as plain data with the line number of each entry, and writes data as S-expressions.

Data is a mapping of names to data, a list of atoms, or an atom (text, number, ``true``/``false``). A form
``(name x)`` is an entry with an atom, ``(name x y)`` one with a list, and ``(name (a 1) (b 2))`` one with a
mapping; ``(name)`` holds an empty list. The parser is
sexpdata's; this module bounds it, and converts its nested lists to data.
"""

from __future__ import annotations

import bisect
import re
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from typing import Any

import sexpdata

from magpieshift.control.errors import Problem, UnusableDocumentError

DOCUMENT_HEAD = "magpieshift"
"""The first word of a settings file's form."""
MAX_TEXT_LENGTH = 4 << 20
"""Longest text, in characters; ten times the length of a document with 1000 request classes."""
MAX_DEPTH = 16
"""Deepest nesting of lists. Valid documents nest four levels deep; the limit keeps deeper texts from
exhausting the stack."""
MAX_SHOWN_LENGTH = 60
"""Longest value that an error shows, in characters."""
MAX_SHOWN_ENTRIES = 4
"""Most entries that an error names."""
MAX_FLAT_LENGTH = 100
"""Longest mapping that is written on one line, in characters."""

EntryPath = tuple[str, ...]
"""The names on the path from the document to an entry, that of the entry last."""

BARE_WORD = re.compile(r"[A-Za-z_*/][\w*/.:+-]*", re.ASCII)
"""Texts that may be written without quotes, unless they match ``NUMBER_LIKE``."""
NUMBER_LIKE = re.compile(r"[+-]?(inf|infinity|nan|true|false)", re.I)
"""Words that must be quoted, as they would be read as a number or a truth value."""


@dataclass(frozen=True)
class ParsedDocument:
    """The content of a parsed text."""

    data: dict[str, Any]
    """Its entries."""
    lines: Mapping[EntryPath, int]
    """The line number on which each entry begins, from 1."""


class _NestingError(Exception):
    """Lists are nested deeper than ``MAX_DEPTH``; the argument is the position in the text."""


class _BoundedParser(sexpdata.Parser):  # type: ignore[misc]  # the library is not typed
    """The parser of sexpdata with a depth limit; records the position at which each list begins."""

    def __init__(self, text: str) -> None:
        super().__init__(text, nil=None, true="true", false="false")
        # by id() of the list; the parse result keeps all lists alive, so no id is reused
        self.starts: dict[int, int] = {}
        self._depth = 0

    def parse_sexp(self, i: int) -> tuple[int, list[Any]]:
        """Called by sexpdata: parses the list that begins at ``i``."""
        if self._depth > MAX_DEPTH:
            raise _NestingError(i)
        self._depth += 1
        end, found = super().parse_sexp(i)
        self._depth -= 1
        self.starts[id(found)] = i - 1
        return end, found


def shorten(value: object) -> str:
    """A value as error messages show it: on one line, and cut to ``MAX_SHOWN_LENGTH``."""
    if isinstance(value, Mapping):
        names = ", ".join(map(str, list(value)[:MAX_SHOWN_ENTRIES]))
        return f"entries {names}" if value else "nothing"
    text = repr(str(value)) if isinstance(value, str) else str(value)
    text = text.encode("unicode_escape").decode()
    return text if len(text) <= MAX_SHOWN_LENGTH else text[: MAX_SHOWN_LENGTH - 3] + "..."


def parse(text: str, source: str = "document", expected_head: str = DOCUMENT_HEAD) -> ParsedDocument:
    """Parse a text that consists of one form ``(expected_head ...)``.

    Raises ``UnusableDocumentError`` if it holds no form, several forms or an invalid one. ``source`` names
    the text in errors.
    """
    if len(text) > MAX_TEXT_LENGTH:
        raise _unusable(source, 0, f"{len(text)} characters", f"at most {MAX_TEXT_LENGTH}")
    parser = _BoundedParser(text)
    forms = _parse_forms(parser, text, source)
    if len(forms) != 1 or not isinstance(forms[0], list) or not forms[0]:
        raise _unusable(source, 1, f"{len(forms)} forms", "one form (magpieshift ...)")
    reader = _FormReader(text, parser.starts, source)
    head = reader.name(forms[0], ())
    data = reader.value(forms[0], ())
    if head and head != expected_head:
        reader.report(forms[0], (), shorten(head), f"({expected_head} ...)")
    if not isinstance(data, dict):
        reader.report(forms[0], (), shorten(data), "entries, each in brackets")
    if reader.problems:
        raise UnusableDocumentError(reader.problems)
    return ParsedDocument(data, reader.lines)


def _parse_forms(parser: _BoundedParser, text: str, source: str) -> list[Any]:
    try:
        forms: list[Any] = parser.parse()
    except _NestingError as err:
        line = text.count("\n", 0, err.args[0]) + 1
        raise _unusable(source, line, "deep nesting", f"at most {MAX_DEPTH} levels") from None
    except sexpdata.ExpectNothing:
        raise _unusable(source, 0, "a closing bracket too many", "as many as were opened") from None
    except Exception:  # sexpdata has no own error for a text that ends early
        line = text.count("\n") + 1
        raise _unusable(source, line, "the end of the text", "every bracket and quote closed") from None
    return forms


def _unusable(where: str, line: int, found: str, expected: str) -> UnusableDocumentError:
    return UnusableDocumentError([Problem(where, line, found, expected)])


class _FormReader:
    """Converts sexpdata's lists to data and collects all problems."""

    def __init__(self, text: str, starts: Mapping[int, int], source: str) -> None:
        self.problems: list[Problem] = []
        self.lines: dict[EntryPath, int] = {}
        self._starts = starts
        self._source = source
        self._line_ends = [match.start() for match in re.finditer("\n", text)]

    def line(self, form: list[Any]) -> int:
        """The line number on which a form begins."""
        return bisect.bisect_left(self._line_ends, self._starts.get(id(form), 0)) + 1

    def report(self, form: list[Any], path: EntryPath, found: str, expected: str) -> None:
        """Add a problem at a form."""
        self.problems.append(Problem(" ".join(path) or self._source, self.line(form), found, expected))

    def name(self, form: list[Any], parent_path: EntryPath) -> str:
        """A form's name, its first word; reports a problem and returns an empty string if it has none."""
        if form and isinstance(form[0], sexpdata.Symbol):
            return str(form[0].value())
        if form and isinstance(form[0], str):  # a name that looks like a number is written in quotes
            return form[0]
        self.report(form, parent_path, shorten(form[0]) if form else "()", "a name as the first word")
        return ""

    def value(self, form: list[Any], path: EntryPath) -> Any:
        """The value of a form: all that follows its name."""
        rest = form[1:]
        nested = [item for item in rest if isinstance(item, list)]
        if not nested:
            atoms = [self._atom(form, item, path) for item in rest]
            return atoms[0] if len(atoms) == 1 else atoms
        if len(nested) != len(rest):
            self.report(form, path, "words beside brackets", "either words or entries")
            return []
        data: dict[str, Any] = {}
        for item in nested:
            inner = (*path, self.name(item, path))
            if inner[-1] in data:
                self.report(item, inner, "a second entry", f"one, as on line {self.lines[inner]}")
            elif inner[-1]:
                self.lines[inner] = self.line(item)
                data[inner[-1]] = self.value(item, inner)
        return data

    def _atom(self, form: list[Any], item: Any, path: EntryPath) -> Any:
        if isinstance(item, sexpdata.Symbol):
            return str(item.value())
        if isinstance(item, str | int | float):
            return item
        self.report(form, path, shorten(item), "a word, a text or a number")
        return ""


# --- writing


def _format_atom(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    text = str(value)
    if BARE_WORD.fullmatch(text) and not NUMBER_LIKE.fullmatch(text):
        return text
    return str(sexpdata.dumps(text))


def format_rows(name: str, value: Any, indent: int) -> Iterator[str]:
    """The lines of an entry, ``indent`` levels deep."""
    pad = "  " * indent
    if isinstance(value, Mapping) and value:
        entries = " ".join(row.strip() for k, v in value.items() for row in format_rows(k, v, 0))
        flat = f"{pad}({_format_atom(name)} {entries}"
        if len(flat) < MAX_FLAT_LENGTH and not any(isinstance(v, Mapping) for v in value.values()):
            yield flat + ")"
            return
        yield f"{pad}({_format_atom(name)}"
        rows = [row for key, inner in value.items() for row in format_rows(key, inner, indent + 1)]
        yield from rows[:-1]
        yield rows[-1] + ")"
    else:
        atoms = value if isinstance(value, list) else [] if isinstance(value, Mapping) else [value]
        yield pad + "(" + " ".join([_format_atom(name), *map(_format_atom, atoms)]) + ")"


def format_document(data: Mapping[str, Any], head: str = DOCUMENT_HEAD) -> str:
    """Write data as text; parsing the text gives equal data."""
    return "\n".join(format_rows(head, data, 0)) + "\n"
