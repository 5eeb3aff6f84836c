"""Settings files: their text to a checked ``Document``, or all that is wrong in it."""

from __future__ import annotations

import difflib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from pathlib import Path as FilePath
from typing import Any

from pydantic import ValidationError

from magpieshift.config import ConfigError, Document, parse_address, read_text
from magpieshift.control import sexp
from magpieshift.control.document_form import DocumentForm, MembersForm, ZoneForm, known_entries
from magpieshift.control.document_reading import document_of
from magpieshift.control.document_writing import to_data
from magpieshift.control.sexp import Path, Problem, Unusable

__all__ = ("Loaded", "load_data", "load_file", "load_text", "to_data")


@dataclass(frozen=True)
class Loaded:
    """A settings file that can be used."""

    data: Mapping[str, Any]  # as it was written, without its version
    version: int  # 0 where the file names none
    document: Document

    @property
    def digest(self) -> str:
        return sexp.digest(self.data)


def load_text(text: str, source: str = "document") -> Loaded:
    """Read a settings text; ``Unusable`` with all that is wrong in it."""
    tree = sexp.read(text, source)
    return load_data(tree.data, tree.lines)


def load_file(path: str | FilePath) -> Loaded:
    """Read a settings file; ``ConfigError`` where it cannot be read, ``Unusable`` where it cannot be used."""
    return load_text(read_text(path), str(path))


def load_data(data: Mapping[str, Any], lines: Mapping[Path, int] | None = None) -> Loaded:
    """Check data and turn it into a document; ``Unusable`` with all that is wrong in it."""
    lines = lines or {}
    try:
        form = DocumentForm.model_validate(data)
    except ValidationError as err:
        raise Unusable([_problem(error, data, lines) for error in err.errors(include_url=False)]) from None
    problems = [Problem(" ".join(path), _line(path, lines), *words) for path, *words in _at_odds(form)]
    if problems:
        raise Unusable(problems)
    bare = {name: value for name, value in data.items() if name != "version"}
    return Loaded(bare, form.version, document_of(form))


def _line(path: Path, lines: Mapping[Path, int]) -> int:
    """The line of an entry, or of the nearest one round it."""
    return next((lines[path[:to]] for to in range(len(path), 0, -1) if path[:to] in lines), 0)


def _problem(error: Any, data: Any, lines: Mapping[Path, int]) -> Problem:
    """One of pydantic's errors, in our words."""
    path = tuple(str(part) for part in error["loc"] if part not in ("[key]", "ZoneForm", "list[any]"))
    where = " ".join(path) or "document"
    line = _line(path, lines)
    if error["type"] == "missing":
        return Problem(where, line, "nothing", "a value: it must be given")
    if error["type"] == "extra_forbidden":
        at = data
        for name in path[:-1]:
            at = at.get(name, {}) if isinstance(at, Mapping) else {}
        known = known_entries(path[:-1])
        close = difflib.get_close_matches(path[-1], known, 1)
        hint = f"another; did you mean {close[0]}?" if close else f"one of {', '.join(sorted(known))}"
        return Problem(where, line, f"unknown entry {path[-1]!r}", hint)
    wanted = str(error["msg"]).removeprefix("Input should be ").removeprefix("a valid ")
    if error["type"] == "string_pattern_mismatch":
        wanted = "a word of at most 64 printable characters without comma or space"
    elif error["type"] in ("model_type", "dict_type"):
        wanted = "entries, each in brackets"
    return Problem(where, line, sexp.shown(error["input"]), wanted)


Misfit = tuple[Path, str, str]
"""An entry that does not fit another: its path, what was found, what was expected."""


def _at_odds(form: DocumentForm) -> Iterator[Misfit]:
    """Entries that are sound by themselves and do not fit each other."""
    yield from _bad_addresses(form)
    if form.members is not None:
        yield from _bad_members(form.members)
    yield from _bad_zones(form)
    yield from _bad_kinds(form)
    if form.router_index >= form.routers:
        yield ("router-index",), str(form.router_index), f"less than routers, {form.routers}"
    yield from _bad_classes(form)


def _bad_addresses(form: DocumentForm) -> Iterator[Misfit]:
    addresses = {"listen": form.listen, "console": form.console or form.listen, "change-log": form.change_log}
    for name, text in addresses.items():
        if not _is_address(text):
            yield (name,), sexp.shown(text), "host:port"


def _is_address(text: str) -> bool:
    try:
        parse_address(text, "it")
    except ConfigError:
        return False
    return True


def _bad_members(members: MembersForm) -> Iterator[Misfit]:
    told = [("listen", members.listen), ("advertise", members.advertise or members.listen)]
    for key, text in [*told, *(("seeds", seed) for seed in members.seeds)]:
        if not _is_address(text):
            yield ("members", key), sexp.shown(text), "host:port"
    if members.hand_over and not members.digests:
        yield ("members", "hand-over"), "yes", "no, or digests yes: it goes by what neighbours say"
    if members.alone < 1.0 and len(members.council) % 2 == 0:
        found = f"{len(members.council)} names"
        yield ("members", "council"), found, "an odd number of routers' names, as alone is less than 1"


def _bad_zones(form: DocumentForm) -> Iterator[Misfit]:
    one_of = f"one of the zones: {', '.join(list(form.zones)[:8])}"
    if form.zone not in form.zones:
        yield ("zone",), sexp.shown(form.zone), one_of
    for name, zone in form.zones.items():
        if isinstance(zone, list) and zone:
            yield ("zones", name), sexp.shown(zone), "entries, each in brackets"
        hub = zone.attached_to if isinstance(zone, ZoneForm) else None
        if hub is not None and hub not in form.zones:
            yield ("zones", name, "attached-to"), sexp.shown(hub), one_of


def _bad_kinds(form: DocumentForm) -> Iterator[Misfit]:
    kinds = form.kinds
    if len(set(kinds)) < len(kinds):
        yield ("kinds",), " ".join(kinds), "each kind once"
    for key, kind in (("parent-kind", form.parent_kind), ("origin-kind", form.origin_kind)):
        if kind not in kinds:
            yield (key,), sexp.shown(kind), f"one of the kinds: {', '.join(kinds[:8])}"
    if form.parent_kind == form.origin_kind:
        yield ("parent-kind",), sexp.shown(form.parent_kind), "another kind than origin-kind"


def _bad_classes(form: DocumentForm) -> Iterator[Misfit]:
    for name, cls in form.classes.items():
        if cls.aim_ms > cls.deadline_ms:
            yield ("classes", name, "aim-ms"), str(cls.aim_ms), f"at most deadline-ms, {cls.deadline_ms}"
        if cls.effect == "keyed" and not cls.dedup_ms:
            yield ("classes", name, "dedup-ms"), "0", "how long stores know a key, as its effect is keyed"
