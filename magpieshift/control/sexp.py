"""S-expressions as plain data, with the line of each entry, and back.

Data is a mapping of names to data, a list of atoms, or an atom (text, number, ``true``/``false``). A form
``(name x)`` is an entry with an atom, ``(name x y)`` one with a list, and ``(name (a 1) (b 2))`` one with a
mapping; ``(name)`` holds an empty list. Reading is sexpdata's; this module bounds it and gives its lists
meaning.
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
"""The word with which a settings file begins."""
MAX_TEXT_LENGTH = 4 << 20
"""Characters; a thousand classes take a tenth of it."""
MAX_DEPTH = 16
"""The documents nest four deep; deeper text only serves to exhaust the stack."""
MAX_SHOWN_LENGTH = 60
"""Characters of a value that an error shows."""
MAX_SHOWN_ENTRIES = 4
"""Entries that an error names."""
MAX_FLAT_LENGTH = 100
"""Characters of a mapping that is written on one line."""

EntryPath = tuple[str, ...]
"""The names that lead to an entry."""

BARE_WORD = re.compile(r"[A-Za-z_*/][\w*/.:+-]*", re.ASCII)
"""Texts that are written without quotes."""
NUMBER_LIKE = re.compile(r"[+-]?(inf|infinity|nan|true|false)", re.I)
"""Words that would be read as something else."""


@dataclass(frozen=True)
class ParsedDocument:
    """What a text holds."""

    data: dict[str, Any]
    """Its entries."""
    lines: Mapping[EntryPath, int]
    """On which line each entry begins."""


class _NestingError(Exception):
    """Lists within lists, beyond the bound; holds the position in the text."""


class _BoundedParser(sexpdata.Parser):  # type: ignore[misc]  # the library is not typed
    """Sexpdata's parser, bounded in depth, recording where each list begins."""

    def __init__(self, text: str) -> None:
        super().__init__(text, nil=None, true="true", false="false")
        # by identity of the list, all of which the result keeps alive
        self.starts: dict[int, int] = {}
        self._depth = 0

    def parse_sexp(self, i: int) -> tuple[int, list[Any]]:
        """A list that begins at ``i``, for sexpdata."""
        if self._depth > MAX_DEPTH:
            raise _NestingError(i)
        self._depth += 1
        end, found = super().parse_sexp(i)
        self._depth -= 1
        self.starts[id(found)] = i - 1
        return end, found


def shorten(value: object) -> str:
    """A value as an error shows it: short, and on one line."""
    if isinstance(value, Mapping):
        names = ", ".join(map(str, list(value)[:MAX_SHOWN_ENTRIES]))
        return f"entries {names}" if value else "nothing"
    text = repr(str(value)) if isinstance(value, str) else str(value)
    text = text.encode("unicode_escape").decode()
    return text if len(text) <= MAX_SHOWN_LENGTH else text[: MAX_SHOWN_LENGTH - 3] + "..."


def parse(text: str, source: str = "document", wanted_head: str = DOCUMENT_HEAD) -> ParsedDocument:
    """The one form of a text; ``UnusableDocumentError`` if it has none, several, or one that makes no sense.
    ``source`` names the text in errors."""
    if len(text) > MAX_TEXT_LENGTH:
        raise _unusable(source, 0, f"{len(text)} characters", f"at most {MAX_TEXT_LENGTH}")
    parser = _BoundedParser(text)
    forms = _parse_forms(parser, text, source)
    if len(forms) != 1 or not isinstance(forms[0], list) or not forms[0]:
        raise _unusable(source, 1, f"{len(forms)} forms", "one form (magpieshift ...)")
    reader = _FormReader(text, parser.starts, source)
    head = reader.name(forms[0], ())
    data = reader.value(forms[0], ())
    if head and head != wanted_head:
        reader.report(forms[0], (), shorten(head), f"({wanted_head} ...)")
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
    except Exception:  # a text or an escape that breaks off, for which sexpdata has no error of its own
        line = text.count("\n") + 1
        raise _unusable(source, line, "the end of the text", "every bracket and quote closed") from None
    return forms


def _unusable(where: str, line: int, found: str, expected: str) -> UnusableDocumentError:
    return UnusableDocumentError([Problem(where, line, found, expected)])


class _FormReader:
    """Lists to data, collecting all that is wrong on the way."""

    def __init__(self, text: str, starts: Mapping[int, int], source: str) -> None:
        self.problems: list[Problem] = []
        self.lines: dict[EntryPath, int] = {}
        self._starts = starts
        self._source = source
        self._line_ends = [match.start() for match in re.finditer("\n", text)]

    def line(self, form: list[Any]) -> int:
        """On which a form begins."""
        return bisect.bisect_left(self._line_ends, self._starts.get(id(form), 0)) + 1

    def report(self, form: list[Any], path: EntryPath, found: str, expected: str) -> None:
        """Something in a form cannot be used."""
        self.problems.append(Problem(" ".join(path) or self._source, self.line(form), found, expected))

    def name(self, form: list[Any], above: EntryPath) -> str:
        """A form's first word; empty if it has none."""
        if form and isinstance(form[0], sexpdata.Symbol):
            return str(form[0].value())
        if form and isinstance(form[0], str):  # a name that would be read as a number stands in quotes
            return form[0]
        self.report(form, above, shorten(form[0]) if form else "()", "a name as the first word")
        return ""

    def value(self, form: list[Any], path: EntryPath) -> Any:
        """What stands behind a form's name."""
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
    """The text of a tree; parsed again it gives equal data."""
    return "\n".join(format_rows(head, data, 0)) + "\n"
