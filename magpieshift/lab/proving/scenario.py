"""What is to happen to a fleet of processes: an S-expression, with a seed."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field

from magpieshift.control import sexp
from magpieshift.control.sexp import Problem, Unusable
from magpieshift.lab.forms import Form, Seconds, checked

HEAD = "fleet-run"
What = Literal["pause", "kill", "stop", "cut", "lose", "delay", "double"]
ON_WAYS = ("cut", "lose", "delay", "double")


class FaultForm(Form):
    what: What
    at_s: Seconds
    for_s: Seconds = 0.0
    who: str = ""  # of pause, kill, stop
    source: str = "*"  # of what happens on a way
    target: str = "*"
    by: Annotated[float, Field(ge=0, le=60_000)] = 0.0  # lose, double: a share; delay: ms


class RunForm(Form):
    seconds: Annotated[float, Field(ge=1, le=3_600)]
    seed: Annotated[int, Field(ge=0)] = 1
    routers: Annotated[int, Field(ge=2, le=16)] = 8
    rate: Annotated[float, Field(gt=0, le=1_000)] = 20.0
    alone: Annotated[float, Field(ge=0, le=1)] = 0.5
    faults: dict[str, FaultForm] = {}


@dataclass(frozen=True)
class Fault:
    """One fault, from when and for how long."""

    name: str
    what: str
    at_s: float
    for_s: float
    who: str
    source: str
    target: str
    by: float


@dataclass(frozen=True)
class Run:
    """A fleet, its load, and what goes wrong, by time."""

    seconds: float
    seed: int
    routers: int
    rate: float
    alone: float
    faults: tuple[Fault, ...]


def load(data: Mapping[str, Any], lines: Mapping[sexp.Path, int] | None = None) -> Run:
    """A checked run; ``Unusable`` with all that is wrong."""
    lines = lines or {}
    form = checked(RunForm, data, lines)
    names = [f"r{number}" for number in range(form.routers)]
    problems = []
    for name, fault in form.faults.items():
        if fault.what in ON_WAYS:
            for key, end in (("source", fault.source), ("target", fault.target)):
                if end not in (*names, "*"):
                    at = lines.get(("faults", name, key), 0)
                    wanted = f"* or {names[0]} to {names[-1]}"
                    problems.append(Problem(f"faults {name} {key}", at, sexp.shown(end), wanted))
        elif fault.who not in names:
            at, wanted = lines.get(("faults", name, "who"), 0), f"{names[0]} to {names[-1]}"
            problems.append(Problem(f"faults {name} who", at, sexp.shown(fault.who), wanted))
    if problems:
        raise Unusable(problems)
    faults = [
        Fault(n, f.what, f.at_s, f.for_s, f.who, f.source, f.target, f.by) for n, f in form.faults.items()
    ]
    ordered = tuple(sorted(faults, key=lambda fault: fault.at_s))
    return Run(form.seconds, form.seed, form.routers, form.rate, form.alone, ordered)


def load_file(path: str) -> Run:
    tree = sexp.read(Path(path).read_text(encoding="utf-8"), path, HEAD)
    return load(tree.data, tree.lines)


KNOWN: dict[str, dict[str, Any]] = {
    "quiet": {"seconds": 10},
    "paused": {"seconds": 25, "faults": {
        "one": {"what": "pause", "who": "r1", "at-s": 2, "for-s": 5},
        "two": {"what": "pause", "who": "r2", "at-s": 10, "for-s": 5},
        "three": {"what": "pause", "who": "r3", "at-s": 10, "for-s": 5},
    }},
    "deaf-and-mute": {"seconds": 30, "faults": {
        "deaf": {"what": "cut", "target": "r1", "at-s": 2, "for-s": 12},
        "mute": {"what": "cut", "source": "r2", "at-s": 2, "for-s": 12},
    }},
    "lossy": {"seconds": 25, "faults": {
        "all": {"what": "lose", "by": 0.3, "at-s": 1, "for-s": 20},
        "one": {"what": "lose", "source": "r1", "by": 0.6, "at-s": 1, "for-s": 20},
    }},
    "killed": {"seconds": 30, "faults": {
        f"k{i}": {"what": "kill", "who": f"r{i}", "at-s": 2, "for-s": 2} for i in range(1, 6)
    }},
}  # fmt: skip
"""Runs that need no file."""
