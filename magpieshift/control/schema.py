"""Parses and validates settings files: returns a ``Document``, or reports all errors at once."""

from __future__ import annotations

import difflib
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from pydantic import ValidationError

from magpieshift.config import Document, read_text
from magpieshift.control import sexp
from magpieshift.control.document_changes import document_digest
from magpieshift.control.document_consistency import inconsistencies
from magpieshift.control.document_form import DocumentForm, known_entries
from magpieshift.control.document_from_form import document_of
from magpieshift.control.document_to_data import to_data
from magpieshift.control.errors import Problem, UnusableDocumentError
from magpieshift.control.validation import Lines, nearest_line

__all__ = ("LoadedDocument", "load_data", "load_file", "load_text", "to_data")

INTERNAL_LOCATION_PARTS = ("[key]", "ZoneForm", "list[any]")
"""Parts of pydantic's error locations that are not names of entries."""


@dataclass(frozen=True)
class LoadedDocument:
    """A valid settings file."""

    data: Mapping[str, Any]
    """Its data as written, without the version number."""
    version: int
    """Its version number; 0 if it has none."""
    document: Document
    """The typed document that the router runs on."""

    @property
    def digest(self) -> str:
        """Digest of the content."""
        return document_digest(self.data)


def load_text(text: str, source: str = "document") -> LoadedDocument:
    """Parse and validate a settings text; ``UnusableDocumentError`` lists all errors in it."""
    parsed = sexp.parse(text, source)
    return load_data(parsed.data, parsed.lines)


def load_file(path: str | Path) -> LoadedDocument:
    """Read a settings file; ``ConfigError`` if it cannot be read, ``UnusableDocumentError`` if it is
    invalid."""
    return load_text(read_text(path), str(path))


def load_data(data: Mapping[str, Any], lines: Lines | None = None) -> LoadedDocument:
    """Validate data and convert it to a document; ``UnusableDocumentError`` lists all errors in it.

    ``lines`` gives the line numbers of entries, for the errors.
    """
    lines = lines or {}
    try:
        form = DocumentForm.model_validate(data)
    except ValidationError as err:
        problems = [_problem(error, data, lines) for error in err.errors(include_url=False)]
        raise UnusableDocumentError(problems) from None
    problems = [
        Problem(" ".join(found.path), nearest_line(found.path, lines), found.found, found.expected)
        for found in inconsistencies(form)
    ]
    if problems:
        raise UnusableDocumentError(problems)
    unversioned_data = {name: value for name, value in data.items() if name != "version"}
    return LoadedDocument(unversioned_data, form.version, document_of(form))


def _problem(error: Any, data: Any, lines: Lines) -> Problem:
    """Convert one of pydantic's errors to a problem in the terms of settings files."""
    path = tuple(str(part) for part in error["loc"] if part not in INTERNAL_LOCATION_PARTS)
    where = " ".join(path) or "document"
    line = nearest_line(path, lines)
    if error["type"] == "missing":
        return Problem(where, line, "nothing", "a value: it must be given")
    if error["type"] == "extra_forbidden":
        known = known_entries(path[:-1])
        close = difflib.get_close_matches(path[-1], known, 1)
        hint = f"another; did you mean {close[0]}?" if close else f"one of {', '.join(sorted(known))}"
        return Problem(where, line, f"unknown entry {path[-1]!r}", hint)
    expected = str(error["msg"]).removeprefix("Input should be ").removeprefix("a valid ")
    if error["type"] == "string_pattern_mismatch":
        expected = "a word of at most 64 printable characters without comma or space"
    elif error["type"] in ("model_type", "dict_type"):
        expected = "entries, each in brackets"
    return Problem(where, line, sexp.shorten(error["input"]), expected)
