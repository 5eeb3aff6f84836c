"""The policy's whole state as bytes, and back: identities, orders, random generator and running means
included.

A snapshot walks the objects that a router leads to. Records (dataclasses) are written once each and
referred to by number, so that what was one object is one again; dictionaries keep their order. Taking it
copies references only and is for the event loop; ``encode`` makes bytes of it, in any thread. Restoring
goes by the recorded names of classes and fields; in another version of the policy, what that has not is
left out, and what it has more begins at its default.
"""

from __future__ import annotations

import dataclasses
import json
import operator
import random
from collections.abc import Callable, Iterable
from enum import Enum
from typing import Any

from magpieshift.capture.errors import StateError
from magpieshift.capture.policy import Policy
from magpieshift.capture.recorded_names import CURRENT

NOT_STATE = ("actions", "handlers", "reactions")
"""Attributes of a router that each batch or its constructor makes anew."""
ATOMS = (int, float, str, bool, type(None))
"""Types that JSON holds as they are."""
RANDOM_STATE_VERSION = 3
"""Of ``random.Random.getstate``, in all Python versions that are supported."""

Row = tuple[str, tuple[Any, ...]]
"""A record: its class's recorded name, and its fields' values."""


@dataclasses.dataclass
class Snapshot:
    """References to all that a state is made of, and copies of what changes in place."""

    root: dict[str, Any]
    """The router's attributes, by recorded name."""
    rows: list[Row]
    """The records, by number."""
    fields: dict[str, list[str]]
    """By recorded class name, the recorded names of its fields."""


class _Walk:
    """Turns values into what JSON holds: each compound value is an object of one key, its kind."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.fields: dict[str, list[str]] = {}
        self._numbers: dict[int, int] = {}
        """Numbers of the records seen, by identity."""
        self._alive: list[Any] = []
        """The records seen, so that none is freed and its identity given to another meanwhile."""
        self._getters: dict[type, Callable[[Any], Any]] = {}
        self._names: dict[type, str] = {}

    def value(self, value: Any) -> Any:
        """One value; a record as a reference to its row."""
        kind = type(value)
        if kind in ATOMS:
            return value
        if kind is tuple:
            return {"t": [self.value(item) for item in value]}
        if kind is list:
            return {"l": [self.value(item) for item in value]}
        if kind is dict:
            return {"d": [[self.value(key), self.value(item)] for key, item in value.items()]}
        return self._other(kind, value)

    def _other(self, kind: type, value: Any) -> Any:
        if kind in (set, frozenset):
            return {"s": sorted(value)}
        if isinstance(value, Enum):
            return {"e": [self._recorded_name(kind), value.value]}
        if kind.__name__ == "Random":
            return {"g": value.getstate()[1]}
        return {"r": self._record(value)}

    def _recorded_name(self, kind: type) -> str:
        name = self._names.get(kind)
        if name is None:
            name = self._names[kind] = CURRENT.recorded_class(kind.__name__)
        return name

    def _record(self, value: Any) -> int:
        number = self._numbers.get(id(value))
        if number is not None:
            return number
        kind = type(value)
        name = self._recorded_name(kind)
        getter = self._getters.get(kind)
        if getter is None:
            names = [field.name for field in dataclasses.fields(value)]
            getter = self._getters[kind] = _fields_getter(names)
            self.fields[name] = list(CURRENT.recorded_fields(kind.__name__, names))
        number = self._numbers[id(value)] = len(self.rows)
        self._alive.append(value)
        self.rows.append((name, ()))  # its place, before what it leads to comes round to it
        self.rows[number] = name, tuple(self.value(item) for item in getter(value))
        return number


def _fields_getter(names: list[str]) -> Callable[[Any], Any]:
    """A function that gives all the fields; with one name ``attrgetter`` gives the value and no tuple."""
    get = operator.attrgetter(*names)
    return get if len(names) > 1 else lambda item: (get(item),)


def snapshot(router: Any) -> Snapshot:
    """What a router's state is made of, right now."""
    walk = _Walk()
    class_name = type(router).__name__
    root = {
        CURRENT.recorded_field(class_name, name): walk.value(value)
        for name, value in vars(router).items()
        if name not in NOT_STATE
    }
    return Snapshot(root, walk.rows, walk.fields)


def snapshot_record(record: Any) -> Snapshot:
    """The same for one record, as settings are."""
    walk = _Walk()
    return Snapshot({"record": walk.value(record)}, walk.rows, walk.fields)


def encode(found: Snapshot) -> bytes:
    """A snapshot as bytes; equal states give equal bytes."""
    return json.dumps([found.root, found.rows, found.fields], separators=(",", ":")).encode()


class _Restoration:
    """Makes a policy's objects of a snapshot's rows; each record once, when it is first referred to."""

    def __init__(
        self, policy: Policy, rows: list[Any], fields: dict[str, list[str]], is_strict: bool
    ) -> None:
        self._policy = policy
        self._rows = rows
        self._fields = fields
        self._is_strict = is_strict
        self._made: list[Any] = [None] * len(rows)

    def value(self, raw: Any) -> Any:
        """One value of a snapshot."""
        if not isinstance(raw, dict):
            return raw
        ((kind, inner),) = raw.items()
        match kind:
            case "r":
                return self._record(inner)
            case "t":
                return tuple(self.value(item) for item in inner)
            case "l":
                return [self.value(item) for item in inner]
            case "d":
                return {self.value(key): self.value(item) for key, item in inner}
        return self._other(kind, inner)

    def _other(self, kind: str, inner: Any) -> Any:
        match kind:
            case "s":
                return set(inner)
            case "e":
                name, number = inner
                return self._class(name)(number)
            case "g":
                made = random.Random()
                made.setstate((RANDOM_STATE_VERSION, tuple(inner), None))
                return made
        raise StateError(f"found {kind!r}, expected a kind of value")

    def check_known(self, owner: str, found: Iterable[str], known: Iterable[str]) -> None:
        """A strict restoration's guard: a field that was renamed without an entry in the table of recorded
        names would begin at its default, and the replay would differ long after."""
        unknown = set(found) - set(known)
        if unknown and self._is_strict:
            names = ", ".join(sorted(unknown))
            raise StateError(f"found {names} in {owner}, expected only names that this version knows")

    def _class(self, name: str) -> Any:
        cls = self._policy.class_named(name)
        if cls is None:
            raise StateError(f"found a record {name}, expected only names that this version knows")
        return cls

    def _record(self, number: int) -> Any:
        if self._made[number] is not None:
            return self._made[number]
        name, values = self._rows[number]
        cls = self._class(name)
        made = self._made[number] = cls.__new__(cls)  # there already when its own records lead back to it
        given = dict(zip(self._fields[name], values, strict=True))
        fields = dataclasses.fields(cls)
        recorded_names = self._policy.names.recorded_fields(cls.__name__, [field.name for field in fields])
        self.check_known(name, given, recorded_names)
        for field, recorded in zip(fields, recorded_names, strict=True):
            if recorded in given:
                setattr(made, field.name, self.value(given[recorded]))
            else:
                setattr(made, field.name, _default(name, recorded, field))
        return made


def _default(class_name: str, recorded: str, field: dataclasses.Field[Any]) -> Any:
    """What a field begins with that a snapshot lacks."""
    if field.default is not dataclasses.MISSING:
        return field.default
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    raise StateError(f"{class_name} lacks {recorded}, which has no default")


def _read(data: bytes, policy: Policy, is_strict: bool) -> tuple[dict[str, Any], _Restoration]:
    try:
        root, rows, fields = json.loads(data)
        return root, _Restoration(policy, rows, fields, is_strict)
    except (ValueError, TypeError, RecursionError) as err:
        raise StateError(f"no state: {err}") from err


def restore(data: bytes, policy: Policy, is_strict: bool = False) -> Any:
    """A router of this policy in the state that the bytes hold; ``StateError`` where that cannot be.

    ``is_strict``: names that the policy does not know are an error, and not left out.
    """
    root, restoration = _read(data, policy, is_strict)
    try:
        found = {recorded: restoration.value(raw) for recorded, raw in root.items()}
        router = policy.new_router(found["cfg"], 0)
        class_name = type(router).__name__
        known = [policy.names.recorded_field(class_name, name) for name in vars(router)]
        restoration.check_known("the router", found, known)
        for recorded, value in found.items():
            name = policy.names.own_field(class_name, recorded)
            if hasattr(router, name):
                setattr(router, name, value)
        return router
    except (KeyError, IndexError, TypeError, ValueError, AttributeError, RecursionError) as err:
        raise StateError(f"no state: {type(err).__name__}: {err}") from err


def restore_record(data: bytes, policy: Policy, is_strict: bool = False) -> Any:
    """The record of ``snapshot_record``."""
    root, restoration = _read(data, policy, is_strict)
    try:
        return restoration.value(root["record"])
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as err:
        raise StateError(f"no state: {type(err).__name__}: {err}") from err
