"""Converts events and actions to protobuf messages and back, by the recorded names of classes and fields."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from dataclasses import field as dataclass_field
from operator import attrgetter
from typing import Any

from magpieshift.capture.policy import Policy
from magpieshift.capture.recorded_names import CURRENT
from magpieshift.capture.wire import capture_pb2 as wire

LOW_BITS = (1 << 64) - 1
"""Mask of the bits of an object's number that the field ``key`` holds; ``key_high`` holds the rest."""


FieldReader = Callable[[Any], Any]
"""Reads one field of a protobuf message."""


def _object_key(found: Any) -> int:
    return int(found.key | found.key_high << 64)


def _load(found: Any) -> tuple[float, ...]:
    return tuple(found.load)


@dataclass(frozen=True, slots=True)
class RecordedAction:
    """An action under its recorded names, so that actions of two versions of the policy can be compared."""

    name: str
    """Recorded name of the action's class, or the name of an error that the policy raised."""
    fields: Mapping[str, Any] = dataclass_field(default_factory=dict)

    @property
    def request_id(self) -> int:
        """Number of the request that the action is about; 0 for none."""
        return int(self.fields.get("id", 0))


class Codec:
    """Converts recorded messages to the classes of one policy."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._classes: dict[str, Any] = {}
        """The policy's classes, by recorded name."""
        self._fields: dict[str, list[tuple[str, str]]] = {}
        """By recorded class name: the recorded name and the policy's own name of each field."""
        self._readers: dict[str, list[FieldReader]] = {}
        """By recorded class name: a reader for each field, chosen once because a replay reads many events."""
        self._recorded_names: dict[type, str] = {}
        for name in sorted(_RECORDED):
            cls = policy.class_named(name)
            if cls is not None:
                own_names = [each.name for each in dataclasses.fields(cls)]
                recorded = policy.names.recorded_fields(cls.__name__, own_names)
                self._classes[name] = cls
                self._fields[name] = list(zip(recorded, own_names, strict=True))
                self._readers[name] = [self._reader(each) for each in recorded]
                self._recorded_names[cls] = name

    def read_event(self, message: wire.Event) -> Any:
        """Convert a recorded event to one of this policy."""
        name = str(message.WhichOneof("what"))
        found = getattr(message, name)
        if name == "StoreList":
            return self._endpoint_list(found)
        return self._classes[name](*[read(found) for read in self._readers[name]])

    def _endpoint_list(self, found: wire.StoreList) -> Any:
        class_named = self._policy.class_named
        endpoint = class_named("Entry")
        endpoint_state = class_named("Phase")
        endpoints = tuple(
            endpoint(e.store, e.zone, e.kind, e.cell, endpoint_state(e.phase), e.weight, e.up_since_us)
            for e in found.entries
        )
        return self._classes["StoreList"](class_named("ListKind")(found.kind), found.version, endpoints)

    def _reader(self, recorded_field: str) -> FieldReader:
        """Return the function that reads a field of a recorded event and converts it to the policy's type."""
        if recorded_field == "key":
            return _object_key
        if recorded_field == "load":
            return _load
        if recorded_field == "outcome":
            outcome = self._policy.class_named("Outcome")
            return lambda found: outcome(found.outcome)
        return attrgetter(recorded_field)

    def convert_action(self, action: Any) -> RecordedAction:
        """Convert an action of this policy for comparison."""
        name = self._recorded_names.get(type(action))
        if name is None:  # this kind of action is not recorded
            return RecordedAction(type(action).__name__)
        return RecordedAction(name, {recorded: getattr(action, own) for recorded, own in self._fields[name]})

    def read_action(self, message: wire.Action) -> RecordedAction:
        """Convert a recorded action for comparison."""
        name = str(message.WhichOneof("what"))
        found = getattr(message, name)
        return RecordedAction(
            name, {recorded: getattr(found, recorded) for recorded, _ in self._fields[name]}
        )


def _recorded_fields(item: Any) -> dict[str, Any]:
    """The fields of an event, action or endpoint of this checkout's policy, by their recorded names."""
    class_name = type(item).__name__
    values = {CURRENT.recorded_field(class_name, name): getattr(item, name) for name in item.__slots__}
    if "key" in values:
        object_key = values["key"]
        values["key"] = object_key & LOW_BITS
        values["key_high"] = object_key >> 64
    if "entries" in values:
        values["entries"] = [wire.Entry(**_recorded_fields(endpoint)) for endpoint in values["entries"]]
    return values


def write_event(event: Any) -> wire.Event:
    """Convert an event of this checkout's policy to its recorded form."""
    name = CURRENT.recorded_class(type(event).__name__)
    return wire.Event(**{name: getattr(wire, name)(**_recorded_fields(event))})


def write_action(action: Any) -> wire.Action:
    """Convert an action of this checkout's policy to its recorded form."""
    name = CURRENT.recorded_class(type(action).__name__)
    return wire.Action(**{name: getattr(wire, name)(**_recorded_fields(action))})


def is_recorded(item: Any) -> bool:
    """Whether captures contain this kind of event or action; messages between routers are not recorded."""
    return CURRENT.recorded_class(type(item).__name__) in _RECORDED


_RECORDED = frozenset(
    field.name for message in (wire.Event, wire.Action) for field in message.DESCRIPTOR.fields
)
"""The recorded names of the classes of events and actions that captures contain."""
