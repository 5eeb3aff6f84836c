"""S-expressions as plain data, with the line of each entry, and back; and what differs between two such
trees.

Data is a mapping of names to data, a list of atoms, or an atom (text, number, ``true``/``false``). A form
``(name x)`` is an entry with an atom, ``(name x y)`` one with a list, and ``(name (a 1) (b 2))`` one with a
mapping; ``(name)`` holds an empty list. Reading is sexpdata's; this module bounds it and gives its lists
meaning.
"""

from __future__ import annotations

import bisect
import copy
import hashlib
import json
import re
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import sexpdata

HEAD = "magpieshift"
MOST_TEXT = 4 << 20  # characters; a thousand classes take a tenth of it
MOST_DEPTH = 16  # the documents nest four deep; deeper text only serves to exhaust the stack
Path = tuple[str, ...]
BARE = re.compile(r"[A-Za-z_*/][\w*/.:+-]*", re.ASCII)
LIKE_NUMBERS = re.compile(r"[+-]?(inf|infinity|nan|true|false)", re.I)  # they would be read as something else


@dataclass(frozen=True)
class Problem:
    """One thing that cannot be used: where, what was found, and what was expected."""

    where: str
    line: int  # from 1; 0 where there is none
    found: str
    expected: str

    def __str__(self) -> str:
        place = f"line {self.line}: " if self.line else ""
        return f"{place}{self.where}: found {self.found}, expected {self.expected}"


class Unusable(Exception):
    """A document cannot be used; ``problems`` holds every reason that was found."""

    def __init__(self, problems: Sequence[Problem]) -> None:
        super().__init__("; ".join(map(str, problems)))
        self.problems = tuple(problems)


@dataclass(frozen=True)
class Tree:
    """What a text says: its data, and on which line each entry begins."""

    data: dict[str, Any]
    lines: Mapping[Path, int]


class _TooDeep(Exception):
    """Lists within lists, beyond the bound."""


class _Parser(sexpdata.Parser):  # type: ignore[misc]  # the library is not typed
    """Sexpdata's parser, bounded in depth, noting where each list begins."""

    def __init__(self, text: str) -> None:
        super().__init__(text, nil=None, true="true", false="false")
        self.starts: dict[int, int] = {}  # by identity of the list, all of which the result keeps alive
        self._depth = 0

    def parse_sexp(self, i: int) -> tuple[int, list[Any]]:
        if self._depth > MOST_DEPTH:
            raise _TooDeep(i)
        self._depth += 1
        end, found = super().parse_sexp(i)
        self._depth -= 1
        self.starts[id(found)] = i - 1
        return end, found


def shown(value: object) -> str:
    """A value as an error shows it: short, and on one line."""
    if isinstance(value, Mapping):
        return f"entries {', '.join(map(str, list(value)[:4]))}" if value else "nothing"
    text = repr(str(value)) if isinstance(value, str) else str(value)
    text = text.encode("unicode_escape").decode()
    return text if len(text) <= 60 else text[:57] + "..."


def read(text: str, source: str = "document", wanted_head: str = HEAD) -> Tree:
    """The one form of a text as a tree; ``Unusable`` where it has none, several, or one that makes no
    sense."""
    if len(text) > MOST_TEXT:
        raise Unusable([Problem(source, 0, f"{len(text)} characters", f"at most {MOST_TEXT}")])
    parser = _Parser(text)
    try:
        forms = parser.parse()
    except _TooDeep as err:
        line = text.count("\n", 0, err.args[0]) + 1
        raise Unusable([Problem(source, line, "deep nesting", f"at most {MOST_DEPTH} levels")]) from None
    except Exception as err:  # also where a text or an escape breaks off, for which sexpdata has no error
        line = text.count("\n") + 1
        what = "the end of the text"
        wanted = "every bracket and quote closed"
        if isinstance(err, sexpdata.ExpectNothing):
            line = 0
            what = "a closing bracket too many"
            wanted = "as many as were opened"
        raise Unusable([Problem(source, line, what, wanted)]) from None
    if len(forms) != 1 or not isinstance(forms[0], list) or not forms[0]:
        raise Unusable([Problem(source, 1, f"{len(forms)} forms", "one form (magpieshift ...)")])
    reader = _Meaning(text, parser.starts, source)
    head = reader.name(forms[0], ())
    data = reader.value(forms[0], ())
    if head and head != wanted_head:
        reader.wrong(forms[0], (), shown(head), f"({wanted_head} ...)")
    if not isinstance(data, dict):
        reader.wrong(forms[0], (), shown(data), "entries, each in brackets")
    if reader.problems:
        raise Unusable(reader.problems)
    return Tree(data, reader.lines)


class _Meaning:
    """Lists to data, collecting all that is wrong on the way."""

    def __init__(self, text: str, starts: Mapping[int, int], source: str) -> None:
        self._starts = starts
        self._source = source
        self.problems = list[Problem]()
        self.lines = dict[Path, int]()
        self._ends = [match.start() for match in re.finditer("\n", text)]

    def line(self, form: list[Any]) -> int:
        return bisect.bisect_left(self._ends, self._starts.get(id(form), 0)) + 1

    def wrong(self, form: list[Any], path: Path, found: str, expected: str) -> None:
        self.problems.append(Problem(" ".join(path) or self._source, self.line(form), found, expected))

    def name(self, form: list[Any], above: Path) -> str:
        if form and isinstance(form[0], sexpdata.Symbol):
            return str(form[0].value())
        if form and isinstance(form[0], str):  # a name that would be read as a number stands in quotes
            return form[0]
        self.wrong(form, above, shown(form[0]) if form else "()", "a name as the first word")
        return ""

    def value(self, form: list[Any], path: Path) -> Any:
        """What stands behind a form's name."""
        rest = form[1:]
        nested = [item for item in rest if isinstance(item, list)]
        if not nested:
            atoms = [self._atom(form, item, path) for item in rest]
            return atoms[0] if len(atoms) == 1 else atoms
        if len(nested) != len(rest):
            self.wrong(form, path, "words beside brackets", "either words or entries")
            return []
        data: dict[str, Any] = {}
        for item in nested:
            inner = (*path, self.name(item, path))
            if inner[-1] in data:
                self.wrong(item, inner, "a second entry", f"one, as on line {self.lines[inner]}")
            elif inner[-1]:
                self.lines[inner] = self.line(item)
                data[inner[-1]] = self.value(item, inner)
        return data

    def _atom(self, form: list[Any], item: Any, path: Path) -> Any:
        if isinstance(item, sexpdata.Symbol):
            return str(item.value())
        if isinstance(item, str | int | float):
            return item
        self.wrong(form, path, shown(item), "a word, a text or a number")
        return ""


def _spell(value: object) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, int | float):
        return repr(value)
    text = str(value)
    if BARE.fullmatch(text) and not LIKE_NUMBERS.fullmatch(text):
        return text
    return str(sexpdata.dumps(text))


def _rows(name: str, value: Any, indent: int) -> Iterator[str]:
    pad = "  " * indent
    if isinstance(value, Mapping) and value:
        flat = f"{pad}({_spell(name)} " + " ".join(
            row.strip() for k, v in value.items() for row in _rows(k, v, 0)
        )
        if len(flat) < 100 and not any(isinstance(v, Mapping) for v in value.values()):
            yield flat + ")"
            return
        yield f"{pad}({_spell(name)}"
        rows = [row for key, inner in value.items() for row in _rows(key, inner, indent + 1)]
        yield from rows[:-1]
        yield rows[-1] + ")"
    else:
        atoms = value if isinstance(value, list) else [] if isinstance(value, Mapping) else [value]
        yield pad + "(" + " ".join([_spell(name), *map(_spell, atoms)]) + ")"


def write(data: Mapping[str, Any], head: str = HEAD) -> str:
    """The text of a tree; read again it gives equal data."""
    return "\n".join(_rows(head, data, 0)) + "\n"


def digest(data: Mapping[str, Any]) -> str:
    """A digest of what a document says, whatever its spacing, comments and order of entries."""
    said = json.dumps(data, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(said.encode(), digest_size=16).hexdigest()


@dataclass(frozen=True)
class Change:
    """One difference: the entry at a path has a value, or is gone (``value`` is None)."""

    path: Path
    value: Any

    def __str__(self) -> str:
        text = (
            "gone"
            if self.value is None
            else " ".join(row.strip() for row in _rows(self.path[-1], self.value, 0))
        )
        return f"{' '.join(self.path)}: {text}"


def differences(old: Mapping[str, Any], new: Mapping[str, Any], above: Path = ()) -> list[Change]:
    """The changes that make ``new`` of ``old``, each as deep in the tree as it goes."""
    found = [Change((*above, name), None) for name in old if name not in new]
    for name, value in new.items():
        path = (*above, name)
        before = old.get(name)
        if isinstance(value, Mapping) and isinstance(before, Mapping) and value and before:
            found += differences(before, value, path)
        elif name not in old or not same(before, value):
            found.append(Change(path, value))
    return found


def same(one: object, other: object) -> bool:
    """Equal, and written alike: ``true`` is not 1, and 1 is not 1.0."""
    return json.dumps(one, sort_keys=True) == json.dumps(other, sort_keys=True)


def apply(old: Mapping[str, Any], changes: Iterable[Change]) -> dict[str, Any]:
    """A new tree with the changes; ``Unusable`` where one leads through what is not there."""
    data: dict[str, Any] = copy.deepcopy(dict(old))
    for change in changes:
        at: Any = data
        for name in change.path[:-1]:
            at = at.get(name) if isinstance(at, dict) else None
        if (
            not change.path
            or not isinstance(at, dict)
            or (change.value is None and change.path[-1] not in at)
        ):
            raise Unusable(
                [Problem(" ".join(change.path), 0, "no such entry", "one in the version it builds on")]
            )
        if change.value is None:
            del at[change.path[-1]]
        else:
            at[change.path[-1]] = copy.deepcopy(change.value)
    return data
