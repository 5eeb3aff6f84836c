"""Serializes the policy's whole state and restores it, including object identities, dictionary orders, the
random generator and running means.

A snapshot contains all objects reachable from a router. Each record (dataclass instance) is stored once and
referred to by number, so that shared references are restored as shared; dictionaries keep their order. The
event loop takes the snapshot, which copies references only; ``encode`` can then serialize it in any thread.
Classes and fields are restored by their recorded names. In another version of the policy, fields that it does
not have are ignored, and its additional fields get their defaults.
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

UNRECORDED_ATTRIBUTES = ("actions", "handlers", "reactions")
"""Attributes of a router that are not recorded: each batch or the constructor sets them anew."""
JSON_SCALAR_TYPES = (int, float, str, bool, type(None))
"""Types that JSON represents directly."""
RANDOM_STATE_VERSION = 3
"""Version of the state of ``random.Random.getstate``, the same in all supported Python versions."""

Row = tuple[str, tuple[Any, ...]]
"""A record: the recorded name of its class, and the values of its fields."""


@dataclasses.dataclass
class Snapshot:
    """A state: references to its immutable values, and copies of its mutable containers and records."""

    root: dict[str, Any]
    """The attributes of the router by recorded name, or one entry ``record`` (``snapshot_record``)."""
    rows: list[Row]
    """The records; a record's number is its index."""
    fields: dict[str, list[str]]
    """By recorded class name: the recorded names of the fields, in the order of a row's values."""


class _SnapshotBuilder:
    """Converts values to JSON: each compound value becomes an object with one key, its kind."""

    def __init__(self) -> None:
        self.rows: list[Row] = []
        self.fields: dict[str, list[str]] = {}
        self._numbers: dict[int, int] = {}
        """Numbers of the records visited, by ``id()``."""
        self._alive: list[Any] = []
        """The records visited, kept alive so that no other object gets the ``id()`` of one of them."""
        self._getters: dict[type, Callable[[Any], Any]] = {}
        self._names: dict[type, str] = {}

    def value(self, value: Any) -> Any:
        """Convert one value; a record becomes a reference to its row."""
        kind = type(value)
        if kind in JSON_SCALAR_TYPES:
            return value
        if kind is tuple:
            return {"t": [self.value(item) for item in value]}
        if kind is list:
            return {"l": [self.value(item) for item in value]}
        if kind is dict:
            return {"d": [[self.value(key), self.value(item)] for key, item in value.items()]}
        return self._other_kind(kind, value)

    def _other_kind(self, kind: type, value: Any) -> Any:
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
        self.rows.append((name, ()))  # reserves the number, as the record's values may refer back to it
        self.rows[number] = name, tuple(self.value(item) for item in getter(value))
        return number


def _fields_getter(names: list[str]) -> Callable[[Any], Any]:
    """A function that returns all fields as a tuple; ``attrgetter`` of one name returns the value alone."""
    get = operator.attrgetter(*names)
    return get if len(names) > 1 else lambda item: (get(item),)


def snapshot(router: Any) -> Snapshot:
    """Take a snapshot of a router's state."""
    builder = _SnapshotBuilder()
    class_name = type(router).__name__
    root = {
        CURRENT.recorded_field(class_name, name): builder.value(value)
        for name, value in vars(router).items()
        if name not in UNRECORDED_ATTRIBUTES
    }
    return Snapshot(root, builder.rows, builder.fields)


def snapshot_record(record: Any) -> Snapshot:
    """Take a snapshot of one record, such as the settings."""
    builder = _SnapshotBuilder()
    return Snapshot({"record": builder.value(record)}, builder.rows, builder.fields)


def encode(found: Snapshot) -> bytes:
    """Serialize a snapshot; equal states give equal bytes."""
    return json.dumps([found.root, found.rows, found.fields], separators=(",", ":")).encode()


class _Restoration:
    """Creates a policy's objects from a snapshot's rows; each record once, at the first reference to it."""

    def __init__(
        self, policy: Policy, rows: list[Any], fields: dict[str, list[str]], is_strict: bool
    ) -> None:
        self._policy = policy
        self._rows = rows
        self._fields = fields
        self._is_strict = is_strict
        self._restored: list[Any] = [None] * len(rows)

    def value(self, raw: Any) -> Any:
        """Restore one value of a snapshot."""
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
        return self._other_kind(kind, inner)

    def _other_kind(self, kind: str, inner: Any) -> Any:
        match kind:
            case "s":
                return set(inner)
            case "e":
                name, number = inner
                return self._class(name)(number)
            case "g":
                restored = random.Random()
                restored.setstate((RANDOM_STATE_VERSION, tuple(inner), None))
                return restored
        raise StateError(f"found the kind of value {kind!r}, expected one of r, t, l, d, s, e, g")

    def check_known(self, owner: str, found: Iterable[str], known: Iterable[str]) -> None:
        """Reject unknown names in a strict restoration.

        If a field was renamed without an entry in ``recorded_names``, it would silently get its default, and
        the replay would differ only much later.
        """
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
        if self._restored[number] is not None:
            return self._restored[number]
        name, values = self._rows[number]
        cls = self._class(name)
        # registered first, as its values may refer back to it
        restored = self._restored[number] = cls.__new__(cls)
        values_by_name = dict(zip(self._fields[name], values, strict=True))
        fields = dataclasses.fields(cls)
        recorded_names = self._policy.names.recorded_fields(cls.__name__, [field.name for field in fields])
        self.check_known(name, values_by_name, recorded_names)
        for field, recorded in zip(fields, recorded_names, strict=True):
            if recorded in values_by_name:
                setattr(restored, field.name, self.value(values_by_name[recorded]))
            else:
                setattr(restored, field.name, _default(name, recorded, field))
        return restored


def _default(class_name: str, recorded: str, field: dataclasses.Field[Any]) -> Any:
    """The default of a field that a snapshot does not contain."""
    if field.default is not dataclasses.MISSING:
        return field.default
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    raise StateError(f"{class_name} lacks {recorded}, which has no default")


def _parse(data: bytes, policy: Policy, is_strict: bool) -> tuple[dict[str, Any], _Restoration]:
    try:
        root, rows, fields = json.loads(data)
        return root, _Restoration(policy, rows, fields, is_strict)
    except (ValueError, TypeError, RecursionError) as err:
        raise StateError(f"not a recorded state: {err}") from err


def restore(data: bytes, policy: Policy, is_strict: bool = False) -> Any:
    """Create a router of this policy with a serialized state; ``StateError`` if it cannot be restored.

    ``is_strict``: names that the policy does not know are an error instead of being ignored.
    """
    root, restoration = _parse(data, policy, is_strict)
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
        raise StateError(f"not a recorded state: {type(err).__name__}: {err}") from err


def restore_record(data: bytes, policy: Policy, is_strict: bool = False) -> Any:
    """Restore a record that was serialized with ``snapshot_record``."""
    root, restoration = _parse(data, policy, is_strict)
    try:
        return restoration.value(root["record"])
    except (KeyError, IndexError, TypeError, ValueError, AttributeError) as err:
        raise StateError(f"not a recorded state: {type(err).__name__}: {err}") from err
