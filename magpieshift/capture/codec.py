"""Events and actions to protobuf records and back, by the names of classes and fields."""

from __future__ import annotations

import dataclasses
from typing import Any

from magpieshift.capture.policy import Policy
from magpieshift.capture.wire import capture_pb2 as wire

LOW = (1 << 64) - 1
Plain = tuple[Any, ...]  # the class's name, then its fields: equal for equal actions of any version


class Codec:
    """Reads records into the classes of one policy."""

    def __init__(self, policy: Policy) -> None:
        self._policy = policy
        self._fields: dict[str, tuple[Any, list[str]]] = {}
        for name in [f.name for m in (wire.Event, wire.Action) for f in m.DESCRIPTOR.fields]:
            cls = policy.named(name)
            if cls is not None:
                self._fields[name] = cls, [field.name for field in dataclasses.fields(cls)]

    def event(self, message: wire.Event) -> Any:
        name = message.WhichOneof("what")
        found = getattr(message, name)
        if name == "Request":
            return self._policy.interface.Request(
                found.id, found.cls, found.tenant, found.key | found.key_high << 64,
                found.patience_us, found.size_kb, found.group, found.part, found.repeat, found.write,
            )  # fmt: skip
        if name == "Ended":
            interface = self._policy.interface
            return interface.Ended(
                found.id, interface.Outcome(found.outcome), found.latency_us, found.fill_wait_us,
                found.closed, found.note, found.store, found.attempt, tuple(found.load),
            )  # fmt: skip
        if name == "Purged":
            key = found.key | found.key_high << 64
            return self._policy.interface.Purged(key, found.group, found.age_us)
        if name == "StoreList":
            interface = self._policy.interface
            entries = tuple(
                interface.Entry(
                    e.store, e.zone, e.kind, e.cell, interface.Phase(e.phase), e.weight, e.up_since_us
                )
                for e in found.entries
            )
            return interface.StoreList(interface.ListKind(found.kind), found.version, entries)
        cls, fields = self._fields[name]
        values = [getattr(found, field) for field in fields]
        if name == "Probed":
            values[1], values[3] = self._policy.interface.Outcome(found.outcome), tuple(found.load)
        return cls(*values)

    def plain(self, action: Any) -> Plain:
        """An action of this policy for comparison."""
        name = type(action).__name__
        known = self._fields.get(name)
        return (name, *(getattr(action, field) for field in known[1])) if known else (name,)

    def recorded(self, message: wire.Action) -> Plain:
        """A recorded action for comparison."""
        name = message.WhichOneof("what")
        found = getattr(message, name)
        return (name, *(getattr(found, field) for field in self._fields[name][1]))


def write_event(event: Any) -> wire.Event:
    name = type(event).__name__
    if name == "Request":
        return wire.Event(
            Request=wire.Request(
                id=event.id, cls=event.cls, tenant=event.tenant,
                key=event.key & LOW, key_high=event.key >> 64,
                patience_us=event.patience_us, size_kb=event.size_kb, group=event.group, part=event.part,
                repeat=event.repeat, write=event.write,
            )
        )  # fmt: skip
    if name == "Purged":
        return wire.Event(
            Purged=wire.Purged(
                key=event.key & LOW, key_high=event.key >> 64, group=event.group, age_us=event.age_us
            )
        )
    if name == "StoreList":
        entries = [wire.Entry(**{f: getattr(e, f) for f in e.__slots__}) for e in event.entries]
        return wire.Event(StoreList=wire.StoreList(kind=event.kind, version=event.version, entries=entries))
    return wire.Event(**{name: getattr(wire, name)(**{f: getattr(event, f) for f in event.__slots__})})


def write_action(action: Any) -> wire.Action:
    name = type(action).__name__
    return wire.Action(**{name: getattr(wire, name)(**{f: getattr(action, f) for f in action.__slots__})})


KNOWN = frozenset(f.name for m in (wire.Event, wire.Action) for f in m.DESCRIPTOR.fields)
"""Other events and actions have no form on these sockets: messages between routers."""
