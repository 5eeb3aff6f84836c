"""Events and actions to protobuf records and back, by the recorded names of classes and fields."""

from __future__ import annotations

import dataclasses
from typing import Any

from magpieshift.capture.policy import Policy
from magpieshift.capture.recorded_names import CURRENT
from magpieshift.capture.wire import capture_pb2 as wire

LOW = (1 << 64) - 1  # the part of an object's number that one protobuf field holds
RecordedAction = tuple[Any, ...]
"""The class's recorded name, then its fields: equal for equal actions of any version."""


class Codec:
    """Reads records into the classes of one policy."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._classes: dict[str, Any] = {}  # by recorded name
        self._own_fields: dict[str, list[str]] = {}
        self._recorded_fields: dict[str, list[str]] = {}
        self._recorded_names: dict[type, str] = {}
        for name in [field.name for m in (wire.Event, wire.Action) for field in m.DESCRIPTOR.fields]:
            cls = policy.named(name)
            if cls is not None:
                own_fields = [field.name for field in dataclasses.fields(cls)]
                self._classes[name] = cls
                self._own_fields[name] = own_fields
                self._recorded_fields[name] = list(policy.names.recorded_fields(cls.__name__, own_fields))
                self._recorded_names[cls] = name

    def event(self, message: wire.Event) -> Any:
        """An event of this policy."""
        name = message.WhichOneof("what")
        found = getattr(message, name)
        named = self._policy.named
        cls = self._classes[name]
        if name == "StoreList":
            state = named("Phase")
            endpoints = tuple(
                named("Entry")(e.store, e.zone, e.kind, e.cell, state(e.phase), e.weight, e.up_since_us)
                for e in found.entries
            )
            return cls(named("ListKind")(found.kind), found.version, endpoints)
        return cls(*(self._value(found, field) for field in self._recorded_fields[name]))

    def _value(self, found: Any, field: str) -> Any:
        """One field of a recorded event, in the policy's type."""
        value = getattr(found, field)
        if field == "key":
            return value | found.key_high << 64
        if field == "outcome":
            return self._policy.named("Outcome")(value)
        return tuple(value) if field == "load" else value

    def plain(self, action: Any) -> RecordedAction:
        """An action of this policy for comparison."""
        name = self._recorded_names.get(type(action))
        if name is None:
            return (type(action).__name__,)
        return (name, *(getattr(action, field) for field in self._own_fields[name]))

    def recorded(self, message: wire.Action) -> RecordedAction:
        """A recorded action for comparison."""
        name = message.WhichOneof("what")
        found = getattr(message, name)
        return (name, *(getattr(found, field) for field in self._recorded_fields[name]))


def _fields_of(item: Any) -> dict[str, Any]:
    """The fields of an event, an action or an endpoint, by their recorded names."""
    kind = type(item).__name__
    values: dict[str, Any] = {}
    for name in item.__slots__:
        recorded = CURRENT.recorded_field(kind, name)
        values[recorded] = getattr(item, name)
    if "key" in values:
        object_key = values["key"]
        values["key"] = object_key & LOW
        values["key_high"] = object_key >> 64
    if "entries" in values:
        values["entries"] = [wire.Entry(**_fields_of(entry)) for entry in values["entries"]]
    return values


def write_event(event: Any) -> wire.Event:
    """An event of this checkout's policy as a record."""
    name = CURRENT.recorded_class(type(event).__name__)
    return wire.Event(**{name: getattr(wire, name)(**_fields_of(event))})


def write_action(action: Any) -> wire.Action:
    """An action of this checkout's policy as a record."""
    name = CURRENT.recorded_class(type(action).__name__)
    return wire.Action(**{name: getattr(wire, name)(**_fields_of(action))})


def is_recorded(item: Any) -> bool:
    """Whether captures have a form for this event or action; messages between routers have none."""
    return CURRENT.recorded_class(type(item).__name__) in _RECORDED


_RECORDED = frozenset(field.name for m in (wire.Event, wire.Action) for field in m.DESCRIPTOR.fields)
