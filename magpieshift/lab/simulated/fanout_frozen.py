"""Processes of the fan-out tier as numbers, for exploration: states that look alike get the same number, and
what a process does in a state upon an event is worked out once."""

from __future__ import annotations

import pickle
from collections import deque
from collections.abc import Callable, Hashable
from enum import Enum
from typing import Any

from magpieshift.lab.simulated.fanout_outputs import Output
from magpieshift.lab.simulated.fanout_processes import Process
from magpieshift.relay.messages import (
    Batch,
    ConfigurationChange,
    EndpointListChange,
    Epoch,
    FreshnessProof,
    Join,
    Progress,
    Purge,
    Snapshot,
)

VALUES = (
    int,
    str,
    bytes,
    float,
    type(None),
    Enum,
    Batch,
    ConfigurationChange,
    Epoch,
    Join,
    Progress,
    FreshnessProof,
    Purge,
    Snapshot,
    EndpointListChange,
)  # compared as they are

Event = Callable[[Process], list[Output]]


def canonical(thing: Any, seen: dict[int, int] | None = None) -> Hashable:
    """A value that is equal for objects that look alike. Orders of dictionaries count, as they may matter."""
    if isinstance(thing, VALUES):
        return thing
    if isinstance(thing, tuple | list | deque):
        return tuple(canonical(item, seen) for item in thing)
    if isinstance(thing, set | frozenset):
        return tuple(sorted(thing))
    seen = {} if seen is None else seen
    if isinstance(thing, dict):
        return tuple((canonical(key, seen), canonical(value, seen)) for key, value in thing.items())
    if callable(thing):
        return getattr(thing, "__qualname__", "")
    if id(thing) in seen:
        return "again", seen[id(thing)]
    seen[id(thing)] = len(seen)
    names = getattr(type(thing), "__slots__", None) or sorted(vars(thing))
    return type(thing).__name__, tuple(canonical(getattr(thing, name), seen) for name in names)


class Frozen:
    """Processes by numbers, and the memory of what they did."""

    def __init__(self) -> None:
        self._pickled: list[bytes] = []
        self._numbers: dict[Hashable, int] = {}
        self._done: dict[tuple[int, Hashable, int], tuple[int, tuple[Output, ...]]] = {}
        self._asked: dict[tuple[int, str, int], Any] = {}

    def __len__(self) -> int:
        return len(self._pickled)

    def freeze(self, process: Process) -> int:
        """The number of a process as it is."""
        number = self._numbers.setdefault(canonical(process), len(self._pickled))
        if number == len(self._pickled):
            self._pickled.append(pickle.dumps(process, pickle.HIGHEST_PROTOCOL))
        return number

    def thaw(self, number: int) -> Process:
        """A copy of the process, which may be changed."""
        process: Process = pickle.loads(self._pickled[number])
        return process

    def step(self, number: int, what: Hashable, now_us: int, event: Event) -> tuple[int, tuple[Output, ...]]:
        """What a process is after an event, and what it wants done. ``what`` names the event."""
        key = number, what, now_us
        if (known := self._done.get(key)) is None:
            process = self.thaw(number)
            outputs = tuple(event(process))
            known = self._done[key] = self.freeze(process), outputs
        return known

    def ask(self, number: int, what: str, now_us: int, question: Callable[[Process], Any]) -> Any:
        """Something about a process, which is not changed by the asking."""
        key = number, what, now_us
        if key not in self._asked:
            self._asked[key] = question(self.thaw(number))
        return self._asked[key]
