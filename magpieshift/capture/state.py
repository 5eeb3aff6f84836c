"""The module's whole state as bytes, and back: identities, orders, random generator and running means
included.

A snapshot walks the objects that a router leads to. Records (dataclasses) are noted once each and referred to
by number, so that what was one object is one again; dictionaries keep their order. Taking it copies
references only and is for the event loop; ``encode`` makes bytes of it, in any thread. Restoring into another
version of the module goes by the names of classes and fields: what that version has not is left out, what it
has more begins at its default.
"""

from __future__ import annotations

import dataclasses
import json
import operator
from collections.abc import Callable
from enum import Enum
from typing import Any

from magpieshift.capture.policy import Policy
from magpieshift.capture.recorded_names import CURRENT

LEFT_OUT = ("actions", "handlers", "reactions")  # made anew by each batch, and by the constructor
ATOMS = (int, float, str, bool, type(None))


class StateError(Exception):
    """Bytes that are no state; the text says what is wrong."""


Row = tuple[str, tuple[Any, ...]]


@dataclasses.dataclass
class Snapshot:
    """References to all that a state is made of, and copies of what changes in place."""

    root: dict[str, Any]
    rows: list[Row]
    fields: dict[str, list[str]]


class _Walk:
    def __init__(self) -> None:
        self.numbers: dict[int, int] = {}  # by identity
        self.kept: list[Any] = []  # which must not be given to another object meanwhile
        self.rows: list[Row] = []
        self.fields: dict[str, list[str]] = {}
        self._getters: dict[type, Callable[[Any], Any]] = {}
        self._names: dict[type, str] = {}

    def value(self, value: Any) -> Any:
        kind = type(value)
        if kind in ATOMS:
            return value
        if kind is tuple:
            return {"t": [self.value(item) for item in value]}
        if kind is list:
            return {"l": [self.value(item) for item in value]}
        if kind is dict:
            return {"d": [[self.value(key), self.value(item)] for key, item in value.items()]}
        if kind in (set, frozenset):
            return {"s": sorted(value)}
        if isinstance(value, Enum):
            return {"e": [self._recorded_name(kind), value.value]}
        if kind.__name__ == "Random":
            return {"g": value.getstate()[1]}
        return {"r": self.record(value)}

    def _recorded_name(self, kind: type) -> str:
        name = self._names.get(kind)
        if name is None:
            name = self._names[kind] = CURRENT.recorded_class(kind.__name__)
        return name

    def record(self, value: Any) -> int:
        number = self.numbers.get(id(value))
        if number is not None:
            return number
        kind = type(value)
        name = self._recorded_name(kind)
        getter = self._getters.get(kind)
        if getter is None:
            names = [field.name for field in dataclasses.fields(value)]
            # with one name, attrgetter gives the value itself and no tuple
            get = operator.attrgetter(*names)
            getter = self._getters[kind] = get if len(names) > 1 else lambda item: (get(item),)
            self.fields[name] = list(CURRENT.recorded_fields(kind.__name__, names))
        number = self.numbers[id(value)] = len(self.rows)
        self.kept.append(value)
        self.rows.append((name, ()))  # its place, before what it leads to comes round to it
        self.rows[number] = name, tuple(self.value(item) for item in getter(value))
        return number


def snapshot(router: Any) -> Snapshot:
    """What a router's state is made of, right now."""
    walk = _Walk()
    kind = type(router).__name__
    root = {
        CURRENT.recorded_field(kind, name): walk.value(value)
        for name, value in vars(router).items()
        if name not in LEFT_OUT
    }
    return Snapshot(root, walk.rows, walk.fields)


def snapshot_record(record: Any) -> Snapshot:
    """The same for one record, as settings are."""
    walk = _Walk()
    return Snapshot({"record": walk.value(record)}, walk.rows, walk.fields)


def encode(found: Snapshot) -> bytes:
    """A snapshot as bytes; equal states give equal bytes."""
    return json.dumps([found.root, found.rows, found.fields], separators=(",", ":")).encode()


class _Build:
    def __init__(self, policy: Policy, rows: list[Any], fields: dict[str, list[str]]) -> None:
        self._policy = policy
        self._rows = rows
        self._fields = fields
        self._made: list[Any] = [None] * len(rows)

    def value(self, raw: Any) -> Any:
        if not isinstance(raw, dict):
            return raw
        ((kind, inner),) = raw.items()
        if kind == "r":
            return self.record(inner)
        if kind == "t":
            return tuple(self.value(item) for item in inner)
        if kind == "l":
            return [self.value(item) for item in inner]
        if kind == "d":
            return {self.value(key): self.value(item) for key, item in inner}
        if kind == "s":
            return set(inner)
        if kind == "e":
            name, number = inner
            return self._policy.named(name)(number)
        if kind == "g":
            import random

            made = random.Random()
            made.setstate((3, tuple(inner), None))
            return made
        raise StateError(f"found {kind!r}, expected a kind of value")

    def record(self, number: int) -> Any:
        if self._made[number] is None:
            name, values = self._rows[number]
            cls = self._policy.named(name)
            if cls is None:
                raise StateError(f"this module has no {name}")
            made = self._made[number] = cls.__new__(cls)  # there already when its own records lead back to it
            given = dict(zip(self._fields[name], values, strict=True))
            names = self._policy.names
            for field in dataclasses.fields(cls):
                recorded = names.recorded_field(cls.__name__, field.name)
                if recorded in given:
                    value = self.value(given[recorded])
                elif field.default is not dataclasses.MISSING:
                    value = field.default
                elif field.default_factory is not dataclasses.MISSING:
                    value = field.default_factory()
                else:
                    raise StateError(f"{name} lacks {recorded}, which has no default")
                setattr(made, field.name, value)
        return self._made[number]


def _read(data: bytes, policy: Policy) -> tuple[dict[str, Any], _Build]:
    try:
        root, rows, fields = json.loads(data)
        return root, _Build(policy, rows, fields)
    except (ValueError, TypeError, RecursionError) as err:
        raise StateError(f"no state: {err}") from err


def restore(data: bytes, policy: Policy) -> Any:
    """A router of this policy in the state that the bytes hold; ``StateError`` where that cannot be."""
    root, build = _read(data, policy)
    try:
        found = {name: build.value(raw) for name, raw in root.items()}
        router = policy.new_router(found["cfg"], 0)
        for recorded, value in found.items():
            name = policy.names.own_field(type(router).__name__, recorded)
            if hasattr(router, name):
                setattr(router, name, value)
        return router
    except (KeyError, IndexError, TypeError, ValueError, AttributeError, RecursionError) as err:
        raise StateError(f"no state: {type(err).__name__}: {err}") from err


def restore_record(data: bytes, policy: Policy) -> Any:
    """The record of ``snapshot_record``."""
    root, build = _read(data, policy)
    try:
        return build.value(root["record"])
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as err:
        raise StateError(f"no state: {type(err).__name__}: {err}") from err
