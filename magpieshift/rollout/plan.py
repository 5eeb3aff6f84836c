"""A rollout's plan: the new and the old build, the routers, the stages, and how much worse the new side may
be."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

from magpieshift.config import Address


class OnFailure(Enum):
    """What happens when the new side is worse or a step keeps failing; the value is written in plan files."""

    ROLL_BACK = "back"
    HOLD = "hold"


@dataclass(frozen=True)
class RouterPlace:
    """Zone and admin addresses of one router."""

    name: str
    """Name of the router."""
    zone: str
    """Zone of the router; ``-`` if the plan names none."""
    admin_addresses: tuple[Address, Address]
    """Two admin addresses, so that a process and its successor can run at the same time."""


@dataclass(frozen=True)
class Build:
    """The software version that the processes of one side run."""

    label: str
    """Label that a process of this build reports in its counters."""
    start_command: str
    """Command that starts a process; ``plan_form.PLACEHOLDERS`` in braces are filled in."""


@dataclass(frozen=True)
class Stage:
    """The routers that a stage changes, and its bake times."""

    name: str
    """Name of the stage."""
    targets: tuple[str, ...]
    """Routers that run the new build at the end of the stage, including those of earlier stages."""
    bake_s: float
    """Minimum bake time, in seconds, with all targets running the new build."""
    max_bake_s: float
    """Bake time, in seconds, after which an undecided stage is held."""


@dataclass(frozen=True)
class Tolerances:
    """How much worse than the old side the new side may be."""

    success_rate: float = 0.01
    """Allowed drop in the fraction of requests served in time, for each request class."""
    cpu: float = 0.15
    """Allowed increase in processor time per request, as a fraction of the old side's."""
    memory_mb_per_min: float = 0.5
    """Allowed growth of a process's memory beyond the old side's median."""
    false_positive_rate: float = 0.01
    """Upper bound on the probability that the new side is stopped although it is no worse."""


@dataclass(frozen=True)
class Plan:
    """A plan that has passed all checks."""

    name: str
    """Name of the rollout."""
    new: Build
    """Build that is rolled out."""
    old: Build
    """Build that is replaced, and restored by a rollback."""
    routers: Mapping[str, RouterPlace]
    """Routers by name."""
    stages: tuple[Stage, ...]
    """Stages in order; each has more targets than the one before."""
    tolerances: Tolerances
    """How much worse the new side may be."""
    max_unreachable: int
    """Maximum number of routers unavailable at one time, including the one being changed."""
    step_timeout_s: float
    """Time-out in seconds for a process to start serving, and for one to end."""
    on_failure: OnFailure
    """What happens when a stage is found worse or a step keeps failing."""
    digest: str = ""
    """Digest of the plan file's content."""
