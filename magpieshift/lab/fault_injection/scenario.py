"""What is to happen to a fleet of processes: an S-expression, with a seed."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field

from magpieshift.config import ConfigError, read_text
from magpieshift.control import sexp
from magpieshift.control.errors import Problem, UnusableDocumentError
from magpieshift.control.validation import Form, Seconds, validate_form
from magpieshift.lab.emulators.emulated import place_names
from magpieshift.lab.fault_injection.network import ANY, CLIENTS, LOG, ROUTERS

HEAD = "fleet-run"
What = Literal[
    "pause",
    "kill",
    "stop",
    "step",
    "rate",
    "cut",
    "lose",
    "delay",
    "double",
    "reset",
    "silence",
    "throttle",
    "drain",
    "die",
    "hang",
    "slow",
    "err",
    "purge",
    "late-list",
]
ON_ROUTERS = ("pause", "kill", "stop", "step", "rate")
ON_LINKS = ("cut", "lose", "delay", "double", "reset", "silence", "throttle")
AT_STORES = ("drain", "die", "hang", "slow", "err")  # purges and late lists are of no store


class FaultForm(Form):
    what: What
    at_s: Seconds
    for_s: Seconds = 0.0
    who: str = ""  # a router or a store's place
    source: str = "*"  # of what happens on a link: routers (all or one), places, log, clients
    target: str = "*"
    # lose, double, err: a share; delay, slow: ms; throttle: KB a second; step: seconds; rate: times true
    by: Annotated[float, Field(ge=-3_600, le=60_000)] = 0.0


class RunForm(Form):
    seconds: Annotated[float, Field(ge=1, le=3_600)]
    seed: Annotated[int, Field(ge=0)] = 1
    routers: Annotated[int, Field(ge=2, le=16)] = 8
    rate: Annotated[float, Field(gt=0, le=1_000)] = 20.0
    alone: Annotated[float, Field(ge=0, le=1)] = 0.5
    boxes: Annotated[int, Field(ge=1, le=8)] = 2
    hubs: Annotated[int, Field(ge=0, le=4)] = 1
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
    boxes: int
    hubs: int
    faults: tuple[Fault, ...]

    @property
    def clocks(self) -> list[str]:
        """The routers whose clocks are set."""
        return sorted({fault.who for fault in self.faults if fault.what in ("step", "rate")})


def load(data: Mapping[str, Any], lines: Mapping[sexp.EntryPath, int] | None = None) -> Run:
    """A checked run; ``UnusableDocumentError`` with all that is wrong."""
    lines = lines or {}
    form = validate_form(RunForm, data, lines)
    names = [f"r{number}" for number in range(form.routers)]
    stores = place_names(form.boxes, form.hubs)
    problems: list[Problem] = []

    def must(name: str, key: str, found: str, wanted: list[str]) -> None:
        if found not in wanted:
            at = lines.get(("faults", name, key), 0)
            problems.append(
                Problem(f"faults {name} {key}", at, sexp.shorten(found), "one of " + ", ".join(wanted))
            )

    for name, fault in form.faults.items():
        if fault.what in ON_LINKS:
            for key, end in (("source", fault.source), ("target", fault.target)):
                must(name, key, end, [ANY, ROUTERS, *names, *stores, LOG, CLIENTS])
        elif fault.what in ON_ROUTERS:
            must(name, "who", fault.who, names)
        elif fault.what in AT_STORES:
            must(name, "who", fault.who, stores)
    if problems:
        raise UnusableDocumentError(problems)
    faults = [
        Fault(n, f.what, f.at_s, f.for_s, f.who, f.source, f.target, f.by) for n, f in form.faults.items()
    ]
    ordered = tuple(sorted(faults, key=lambda fault: fault.at_s))
    return Run(form.seconds, form.seed, form.routers, form.rate, form.alone, form.boxes, form.hubs, ordered)


def written(run: Run) -> str:
    """A run as a file that ``load_file`` reads as the same."""
    faults = {
        f.name: {"what": f.what, "at-s": f.at_s, "for-s": f.for_s, "by": f.by}
        | ({"source": f.source, "target": f.target} if f.what in ON_LINKS else {})
        | ({"who": f.who} if f.who else {})
        for f in run.faults
    }
    data = {
        "seconds": run.seconds,
        "seed": run.seed,
        "routers": run.routers,
        "rate": run.rate,
        "alone": run.alone,
        "boxes": run.boxes,
        "hubs": run.hubs,
    }
    return sexp.format_document(data | ({"faults": faults} if faults else {}), HEAD)


def load_file(path: str) -> Run:
    """A file's; ``ConfigError`` if it cannot be read, ``UnusableDocumentError`` if it cannot be used."""
    tree = sexp.parse(read_text(path), path, HEAD)
    return load(tree.data, tree.lines)


def named(name: str) -> Run:
    """One of ``KNOWN`` or else a file's; ``ConfigError`` if it is neither, ``UnusableDocumentError`` if it
    cannot be used."""
    if name in KNOWN:
        return load(KNOWN[name])
    if not Path(name).exists():
        raise ConfigError(f"{name}: found no such file, expected one or one of {', '.join(KNOWN)}")
    return load_file(name)


def altered(run: Run, routers: int, seed: int) -> Run:
    """The run with another size and seed; ``UnusableDocumentError`` where its faults do not fit that size."""
    changed = replace(run, routers=routers, seed=seed)
    load(sexp.parse(written(changed), HEAD, HEAD).data)
    return changed


KNOWN: dict[str, dict[str, Any]] = {
    "quiet": {"seconds": 10},
    "paused": {
        "seconds": 25,
        "faults": {
            "one": {"what": "pause", "who": "r1", "at-s": 2, "for-s": 5},
            "two": {"what": "pause", "who": "r2", "at-s": 10, "for-s": 5},
            "three": {"what": "pause", "who": "r3", "at-s": 10, "for-s": 5},
        },
    },
    "deaf-and-mute": {
        "seconds": 30,
        "faults": {
            "deaf": {"what": "cut", "source": "routers", "target": "r1", "at-s": 2, "for-s": 12},
            "mute": {"what": "cut", "source": "r2", "target": "routers", "at-s": 2, "for-s": 12},
        },
    },
    "lossy": {
        "seconds": 25,
        "faults": {
            "all": {"what": "lose", "by": 0.3, "at-s": 1, "for-s": 20},
            "one": {"what": "lose", "source": "r1", "by": 0.6, "at-s": 1, "for-s": 20},
        },
    },
    "killed": {
        "seconds": 30,
        "faults": {f"k{i}": {"what": "kill", "who": f"r{i}", "at-s": 2, "for-s": 2} for i in range(1, 6)},
    },
    "stores": {
        "seconds": 25,
        "faults": {
            "drained": {"what": "drain", "who": "box1", "at-s": 3, "for-s": 2},
            "dead": {"what": "die", "who": "hub1", "at-s": 5, "for-s": 3},
            "purged": {"what": "purge", "at-s": 6},
            "late": {"what": "late-list", "at-s": 9, "for-s": 3},
            "again": {"what": "purge", "at-s": 10},
            "gone": {"what": "die", "who": "box2", "at-s": 10, "for-s": 3},
        },
    },
    "streams": {
        "seconds": 25,
        "faults": {
            "reset": {"what": "reset", "source": "r1", "target": "box1", "at-s": 2, "for-s": 3},
            "silent": {"what": "silence", "source": "r2", "target": "box2", "at-s": 3, "for-s": 5},
            "one-way": {"what": "cut", "source": "hub1", "target": "r0", "at-s": 4, "for-s": 5},
            "deaf": {"what": "cut", "source": "log", "target": "r3", "at-s": 4, "for-s": 8},
            "drained": {"what": "drain", "who": "box1", "at-s": 6, "for-s": 2},
            "thin": {"what": "throttle", "source": "*", "target": "origin", "by": 20, "at-s": 10, "for-s": 4},
        },
    },
    "overload": {
        "seconds": 40,
        "faults": {
            "slow": {"what": "slow", "who": "origin", "by": 400, "at-s": 3, "for-s": 8},
            "dead": {"what": "die", "who": "hub1", "at-s": 14, "for-s": 4},
            "errs": {"what": "err", "who": "box1", "by": 0.5, "at-s": 21, "for-s": 6},
            "paused": {"what": "pause", "who": "r1", "at-s": 24, "for-s": 5},
            "killed": {"what": "kill", "who": "r2", "at-s": 29, "for-s": 2},
            "too": {"what": "kill", "who": "r3", "at-s": 29, "for-s": 2},
        },
    },
    "clocks": {
        "seconds": 25,
        "faults": {
            "back": {"what": "step", "who": "r1", "by": -30, "at-s": 2, "for-s": 8},
            "ahead": {"what": "step", "who": "r2", "by": 30, "at-s": 3, "for-s": 8},
            "fast": {"what": "rate", "who": "r3", "by": 1.01, "at-s": 1, "for-s": 20},
            "slow": {"what": "rate", "who": "r0", "by": 0.99, "at-s": 1, "for-s": 20},
        },
    },
}
"""Runs that need no file."""
