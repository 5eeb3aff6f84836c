"""Immutable numbered states of fan-out processes, for exploration. Equal states get the same number, and the
result of an event in a state is computed once and cached."""

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

ATOMIC_TYPES = (
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
)  # types whose values are immutable and compared by their own equality

Event = Callable[[Process], list[Output]]


def canonical(value: Any, visited: dict[int, int] | None = None) -> Hashable:
    """A hashable value that is equal for objects with equal state. The order of dictionaries counts, because
    a process may depend on it."""
    if isinstance(value, ATOMIC_TYPES):
        return value
    if isinstance(value, tuple | list | deque):
        return tuple(canonical(item, visited) for item in value)
    if isinstance(value, set | frozenset):
        return tuple(sorted(value))
    visited = {} if visited is None else visited
    if isinstance(value, dict):
        return tuple((canonical(key, visited), canonical(value, visited)) for key, value in value.items())
    if callable(value):
        return getattr(value, "__qualname__", "")
    if id(value) in visited:
        return "again", visited[id(value)]
    visited[id(value)] = len(visited)
    names = getattr(type(value), "__slots__", None) or sorted(vars(value))
    return type(value).__name__, tuple(canonical(getattr(value, name), visited) for name in names)


class ImmutableStates:
    """The states of processes by number, with cached results of events and queries."""

    def __init__(self) -> None:
        self._pickled: list[bytes] = []
        self._numbers: dict[Hashable, int] = {}
        self._step_results: dict[tuple[int, Hashable, int], tuple[int, tuple[Output, ...]]] = {}
        self._query_results: dict[tuple[int, str, int], Any] = {}

    def __len__(self) -> int:
        return len(self._pickled)

    def number_of(self, process: Process) -> int:
        """The number of a process's current state."""
        number = self._numbers.setdefault(canonical(process), len(self._pickled))
        if number == len(self._pickled):
            self._pickled.append(pickle.dumps(process, pickle.HIGHEST_PROTOCOL))
        return number

    def mutable_copy(self, number: int) -> Process:
        """A copy of the process in the state with this number, on which an event can be carried out."""
        process: Process = pickle.loads(self._pickled[number])
        return process

    def step(self, number: int, label: Hashable, now_us: int, event: Event) -> tuple[int, tuple[Output, ...]]:
        """The number of the state after an event, and the outputs of the process. ``label`` identifies the
        event in the cache."""
        key = number, label, now_us
        if (result := self._step_results.get(key)) is None:
            process = self.mutable_copy(number)
            outputs = tuple(event(process))
            result = self._step_results[key] = self.number_of(process), outputs
        return result

    def query(self, number: int, label: str, now_us: int, question: Callable[[Process], Any]) -> Any:
        """The answer to a question about a process; its state stays the same. ``label`` identifies the
        question in the cache."""
        key = number, label, now_us
        if key not in self._query_results:
            self._query_results[key] = question(self.mutable_copy(number))
        return self._query_results[key]
