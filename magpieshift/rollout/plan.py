"""A rollout's plan: what is to change, where, in which stages, and what must not get worse by it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from magpieshift.config import Address


class OnFailure(Enum):
    """What follows when a stage does worse; the value is the plan file's word."""

    ROLL_BACK = "back"
    HOLD = "hold"


@dataclass(frozen=True)
class RouterPlace:
    """Where one router runs."""

    name: str
    """Of the router."""
    zone: str
    """In which it stands; ``-`` if the plan names none."""
    admin_addresses: tuple[Address, Address]
    """A process and its successor each have one."""


@dataclass(frozen=True)
class Build:
    """What the processes of one side run."""

    label: str
    """Which they report of themselves."""
    start_command: str
    """Starts one; names in braces are filled in."""


@dataclass(frozen=True)
class Stage:
    """How far a stage goes."""

    name: str
    """Of the stage."""
    targets: tuple[str, ...]
    """The routers that are new at its end, those of earlier stages included."""
    bake_s: float
    """At least so long with all of them new."""
    max_bake_s: float
    """And then at most so long until it is known whether they do worse."""


@dataclass(frozen=True)
class Tolerances:
    """By how much the new side may be worse."""

    success_rate: float = 0.01
    """Fraction of requests served in time, of any class."""
    cpu: float = 0.15
    """Processor time a request, as a fraction of the old side's."""
    memory_mb_per_min: float = 0.5
    """Growth of a process's memory."""
    false_positive_rate: float = 0.01
    """How often, at most, a side that is no worse may be stopped."""


@dataclass(frozen=True)
class Plan:
    """A checked plan."""

    name: str
    """Of the rollout."""
    new: Build
    """What is rolled out."""
    old: Build
    """What ran before."""
    routers: Mapping[str, RouterPlace]
    """By name."""
    stages: tuple[Stage, ...]
    """In order, each larger than the one before."""
    tolerances: Tolerances
    """What must not get worse by more."""
    max_unreachable: int
    """Routers that may be away at one time, the one to be changed included."""
    step_timeout_s: float
    """For the start and for the end of a process."""
    on_failure: OnFailure
    """What follows when a stage does worse."""
    digest: str = ""
    """Of the plan file's content."""
