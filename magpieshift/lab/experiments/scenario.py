"""Scenario of an episode: its faults and load, from a file of S-expressions or drawn from a seed."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Annotated, Any, Literal

import numpy as np
from pydantic import Field

from magpieshift.config import read_text
from magpieshift.control import sexp
from magpieshift.control.errors import Problem, UnusableDocumentError
from magpieshift.control.validation import Form, Seconds, validate_form
from magpieshift.lab.emulators.emulated_installation import place_names

HEAD = "scenario"  # first word of the file's expression
PLACELESS_FAULTS = ("late-list", "purge")  # faults of the change log, not of an endpoint
FaultWord = Literal["die", "pause", "late-list", "slow", "lose", "reset", "drain", "purge"]


class FaultForm(Form):
    """Form of a fault in the file."""

    what: FaultWord
    at_s: Seconds
    for_s: Seconds = 0.0
    who: str = ""  # the endpoint's place, such as box1, hub2 or origin
    by: Annotated[float, Field(ge=0, le=60_000)] = 0.0  # slow: delay in ms; lose: share of answers


class ScenarioForm(Form):
    """Form of a scenario in the file."""

    seconds: Annotated[float, Field(ge=1, le=86_400)]
    seed: Annotated[int, Field(ge=0)] = 1
    rate: Annotated[float, Field(gt=0, le=10_000)] = 120.0
    boxes: Annotated[int, Field(ge=1, le=64)] = 4
    hubs: Annotated[int, Field(ge=0, le=16)] = 2
    objects: Annotated[int, Field(ge=1, le=1_000_000)] = 2_000
    failures: dict[str, FaultForm] = {}


@dataclass(frozen=True)
class Fault:
    """One fault, its place and its duration."""

    name: str
    what: FaultWord
    place: str
    """Place of the endpoint; empty for a fault of the change log."""
    start_s: float
    """Start of the fault, in seconds since the load began."""
    duration_s: float
    amount: float
    """Delay in milliseconds, or the share of answers that are lost, depending on the fault."""

    def __str__(self) -> str:
        words = [self.what, self.place] if self.place else [self.what]
        duration = f" for {self.duration_s:g} s" if self.duration_s else ""
        return " ".join(words) + f" at {self.start_s:g} s" + duration


@dataclass(frozen=True)
class Scenario:
    """An installation, its load, and its faults in the order of their start."""

    seconds: float
    """Duration of the load in seconds."""
    seed: int
    rate: float
    """Requests for parts of objects per second."""
    boxes: int
    """Number of caches."""
    hubs: int
    """Number of parent caches."""
    objects: int
    """Number of different objects that clients request."""
    faults: tuple[Fault, ...]

    @property
    def place_names(self) -> list[str]:
        """Names of the places of all endpoints in the installation."""
        return place_names(self.boxes, self.hubs)


def load(data: Mapping[str, Any], lines: Mapping[sexp.EntryPath, int] | None = None) -> Scenario:
    """Validate a scenario's data. Raises ``UnusableDocumentError`` with all problems found."""
    form = validate_form(ScenarioForm, data, lines or {})
    faults = [Fault(name, f.what, f.who, f.at_s, f.for_s, f.by) for name, f in form.failures.items()]
    scenario = Scenario(
        form.seconds,
        form.seed,
        form.rate,
        form.boxes,
        form.hubs,
        form.objects,
        tuple(sorted(faults, key=lambda f: f.start_s)),
    )
    problems = [
        Problem(
            f"failures {f.name} who", 0, sexp.shorten(f.place), "one of " + ", ".join(scenario.place_names)
        )
        for f in faults
        if f.what not in PLACELESS_FAULTS and f.place not in scenario.place_names
    ]
    if problems:
        raise UnusableDocumentError(problems)
    return scenario


def load_file(path: str) -> Scenario:
    """Load a scenario file. Raises ``ConfigError`` if it cannot be read, ``UnusableDocumentError`` if it is
    not a valid scenario."""
    tree = sexp.parse(read_text(path), path, HEAD)
    return load(tree.data, tree.lines)


def draw_scenario(seconds: float, seed: int, rate: float = 120.0) -> Scenario:
    """Draw a scenario with successive groups of concurrent faults: a cache and a parent cache die, the
    endpoint list is late, the origin is slow, and others.

    The pauses between groups are at least 3 s, as shorter ones leave no time for recovery.
    """
    rand = np.random.default_rng(seed)
    failures: dict[str, Any] = {}
    start_s = min(3.0, seconds / 6)
    number = 0
    while start_s < seconds * 0.85:
        duration_s = float(rand.uniform(3.0, 6.0))
        number += 1
        box = f"box{rand.integers(1, 5)}"
        hub = f"hub{rand.integers(1, 3)}"
        group: list[dict[str, Any]] = [
            {"what": "late-list", "for-s": float(rand.uniform(1.0, 3.0))},
            {"what": "die", "who": box, "for-s": duration_s},
            {"what": "slow", "who": "origin", "for-s": duration_s, "by": float(rand.uniform(80, 300))},
        ]
        if rand.random() < 0.5:
            group.append({"what": "die", "who": hub, "for-s": duration_s})
        other = f"box{rand.integers(1, 5)}"
        if other != box:
            what = str(rand.choice(["pause", "reset", "lose", "drain"]))
            group.append({"what": what, "who": other, "for-s": float(rand.uniform(0.5, 2.0)), "by": 0.1})
        group.append({"what": "purge"})
        for i, fault in enumerate(group):
            fault_start_s = start_s + float(rand.uniform(0.0, 0.4))
            failures[f"f{number}-{i}"] = fault | {
                "at-s": round(fault_start_s, 3),
                "for-s": round(fault.get("for-s", 0.0), 3),
            }
        start_s += duration_s + float(rand.uniform(3.0, 9.0))
    return load({"seconds": seconds, "seed": seed, "rate": rate, "failures": failures})
