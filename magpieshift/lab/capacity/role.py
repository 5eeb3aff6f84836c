"""A role of the fleet as the laboratory sees it: its size, its costs and their budgets."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Budget:
    """What a resource may cost at the target, in the resource's unit, and how that was derived."""

    limit: float
    derivation: str


@dataclass(frozen=True, slots=True)
class Resource:
    """A cost of a role. Only those with a budget are ranked."""

    name: str
    unit: str
    budget: Budget | None = None


@dataclass(frozen=True, slots=True)
class Sample:
    """One measurement of a role at one size: a cost for each of its resources, by name."""

    size: float
    costs: Mapping[str, float]


class Role(Protocol):
    """A role as the laboratory measures it."""

    @property
    def name(self) -> str:
        """The role's name, as in saved results and ``--role``."""
        ...

    @property
    def quantity(self) -> str:
        """What grows: the unit of sizes."""
        ...

    @property
    def target(self) -> float:
        """What the target fleet has of it."""
        ...

    @property
    def sizes(self) -> Sequence[float]:
        """The sizes measured."""
        ...

    @property
    def quick_sizes(self) -> Sequence[float]:
        """The sizes of a trial; empty where even one takes long."""
        ...

    @property
    def repeats(self) -> int:
        """Measurements of each size."""
        ...

    @property
    def simulated(self) -> bool:
        """Whether state machines run on a simulated clock and network."""
        ...

    @property
    def resources(self) -> Sequence[Resource]:
        """The costs that are measured."""
        ...

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """One measurement; processor times, never wall times. A started process is watched ``for_s``
        seconds."""
        ...
