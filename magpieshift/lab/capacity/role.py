"""A role of the fleet as the laboratory measures it: its sizes, its resources and their budgets."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Budget:
    """The largest cost allowed at the target size, in the resource's unit, and how it was derived."""

    limit: float
    derivation: str


@dataclass(frozen=True, slots=True)
class Resource:
    """A resource that a role uses. Only resources with a budget are ranked."""

    name: str
    unit: str
    budget: Budget | None = None


@dataclass(frozen=True, slots=True)
class Sample:
    """One measurement of a role at one size: a cost for each of its resources, by name."""

    size: float
    costs: Mapping[str, float]


class Role(Protocol):
    """A part of the fleet whose cost is measured at several sizes."""

    @property
    def name(self) -> str:
        """The role's name in saved results and in ``--role``."""
        ...

    @property
    def quantity(self) -> str:
        """The quantity that grows, such as routers or purges a second; sizes are counted in it."""
        ...

    @property
    def target(self) -> float:
        """The size in the target fleet."""
        ...

    @property
    def sizes(self) -> Sequence[float]:
        """The sizes that a full run measures."""
        ...

    @property
    def quick_sizes(self) -> Sequence[float]:
        """The sizes that a trial measures; empty if even one takes too long for a trial."""
        ...

    @property
    def repeats(self) -> int:
        """How often a full run measures each size."""
        ...

    @property
    def simulated(self) -> bool:
        """Whether the role runs state machines on a simulated clock and network."""
        ...

    @property
    def resources(self) -> Sequence[Resource]:
        """The resources that are measured."""
        ...

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Take one measurement. Times are processor time, never wall time. A role that starts a process
        observes it for ``duration_s`` seconds."""
        ...
