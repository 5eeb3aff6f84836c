"""What a role declares of itself: what it grows by, what it costs, and what it may cost."""

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
    """A cost of a role. One without a budget is shown and not ranked."""

    name: str
    unit: str
    budget: Budget | None = None


@dataclass(frozen=True, slots=True)
class Sample:
    """One measurement of a role at one size: a cost for each of its resources, by name."""

    size: float
    costs: Mapping[str, float]


class Role(Protocol):
    """A role as the laboratory measures it.

    ``name`` is the role's, ``by`` the quantity that grows, ``target`` what the target fleet has of it.
    ``simulated`` is set where state machines run on a simulated clock and network. ``repeats`` counts the
    measurements of each size. ``quick_sizes`` are those of a trial; none where even that takes long.
    """

    @property
    def name(self) -> str: ...

    @property
    def by(self) -> str: ...

    @property
    def target(self) -> float: ...

    @property
    def sizes(self) -> Sequence[float]: ...

    @property
    def quick_sizes(self) -> Sequence[float]: ...

    @property
    def repeats(self) -> int: ...

    @property
    def simulated(self) -> bool: ...

    @property
    def resources(self) -> Sequence[Resource]: ...

    def measure(self, size: float, seed: int, for_s: float) -> Sample:
        """One measurement; processor times, never wall times. A started process is watched ``for_s``
        seconds."""
        ...
