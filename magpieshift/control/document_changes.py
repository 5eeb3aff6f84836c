"""Digests of documents, and the changes that turn one document into another."""

from __future__ import annotations

import copy
import hashlib
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from magpieshift.control.errors import Problem, UnusableDocumentError
from magpieshift.control.sexp import EntryPath, format_rows

DIGEST_BYTES = 16
"""Length of a document's digest; long enough to rule out collisions in practice."""


def document_digest(data: Mapping[str, Any]) -> str:
    """A digest of a document's data, independent of spacing, comments and order of entries."""
    canonical = json.dumps(data, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(canonical.encode(), digest_size=DIGEST_BYTES).hexdigest()


@dataclass(frozen=True)
class Change:
    """One difference: an entry is set or removed."""

    path: EntryPath
    """Path of the entry."""
    value: Any
    """The entry's new value; None if it is removed."""

    def __str__(self) -> str:
        if self.value is None:
            text = "gone"
        else:
            text = " ".join(row.strip() for row in format_rows(self.path[-1], self.value, 0))
        return f"{' '.join(self.path)}: {text}"


def differences(old: Mapping[str, Any], new: Mapping[str, Any], parent_path: EntryPath = ()) -> list[Change]:
    """The changes that turn ``old`` into ``new``, each at the deepest entry that differs; their paths begin
    with ``parent_path``."""
    changes = [Change((*parent_path, name), None) for name in old if name not in new]
    for name, value in new.items():
        path = (*parent_path, name)
        old_value = old.get(name)
        if isinstance(value, Mapping) and isinstance(old_value, Mapping) and value and old_value:
            changes += differences(old_value, value, path)
        elif name not in old or not is_identical(old_value, value):
            changes.append(Change(path, value))
    return changes


def is_identical(one: object, other: object) -> bool:
    """Whether two values are equal and of the same JSON type: ``true`` differs from 1, and 1 from 1.0."""
    return json.dumps(one, sort_keys=True) == json.dumps(other, sort_keys=True)


def apply_changes(old: Mapping[str, Any], changes: Iterable[Change]) -> dict[str, Any]:
    """A copy of ``old`` with the changes applied; ``UnusableDocumentError`` if the path of a change does not
    exist."""
    data: dict[str, Any] = copy.deepcopy(dict(old))
    for change in changes:
        parent = _parent_of(data, change)
        if change.value is None:
            del parent[change.path[-1]]
        else:
            parent[change.path[-1]] = copy.deepcopy(change.value)
    return data


def _parent_of(data: dict[str, Any], change: Change) -> dict[str, Any]:
    """The mapping that contains the changed entry, or that it is added to."""
    parent: Any = data
    for name in change.path[:-1]:
        parent = parent.get(name) if isinstance(parent, dict) else None
    is_removal = change.value is None
    if not change.path or not isinstance(parent, dict) or (is_removal and change.path[-1] not in parent):
        expected = "one in the version it builds on"
        raise UnusableDocumentError([Problem(" ".join(change.path), 0, "no such entry", expected)])
    return parent
