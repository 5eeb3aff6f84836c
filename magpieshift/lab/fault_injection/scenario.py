"""Scenarios: what is to happen to a fleet of processes, read from an S-expression, with a seed."""

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
from magpieshift.lab.fault_injection.built_in_scenarios import BUILT_IN_SCENARIOS
from magpieshift.lab.fault_injection.network import ANY_END, ANY_ROUTER, CHANGE_LOG, CLIENTS

DOCUMENT_HEAD = "fleet-run"
"""First word of a scenario's document."""
FaultKind = Literal[
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
"""All kinds of faults; purges and late lists concern neither a router nor a link nor an endpoint."""
ROUTER_FAULTS = ("pause", "kill", "stop", "step", "rate")
"""Kinds that happen to one router."""
LINK_FAULTS = ("cut", "lose", "delay", "double", "reset", "silence", "throttle")
"""Kinds that happen on one direction of links."""
ENDPOINT_FAULTS = ("drain", "die", "hang", "slow", "err")
"""Kinds that happen to one endpoint."""


class FaultForm(Form):
    """A fault as a document has it; ``Fault`` names its fields in words."""

    what: FaultKind
    at_s: Seconds
    for_s: Seconds = 0.0
    who: str = ""
    """A router or an endpoint's place."""
    source: str = "*"
    """Of a fault on links: routers (all or one), places, log, clients."""
    target: str = "*"
    by: Annotated[float, Field(ge=-3_600, le=60_000)] = 0.0
    """See ``Fault.magnitude``."""


class RunForm(Form):
    """A scenario as a document has it; ``Scenario`` names its fields in words."""

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
    kind: str
    """One of ``FaultKind``."""
    start_s: float
    """Seconds from the scenario's beginning."""
    duration_s: float
    """Seconds that it lasts; a drain lasts that long (at least ``emulated.MIN_DRAIN_S``), and then the place
    is empty for as long again."""
    component: str
    """The router or the endpoint's place that it happens to; empty for a fault on links."""
    source: str
    """The end of a link from which what is faulted comes."""
    target: str
    """The end of a link to which it goes."""
    magnitude: float
    """How strong it is: lose, double, err: a share; delay, slow: milliseconds; throttle: kilobytes a second;
    step: seconds; rate: times the true rate."""


@dataclass(frozen=True)
class Scenario:
    """A fleet, its load, and the faults that are injected, by time."""

    duration_s: float
    """Seconds that the load lasts at least."""
    seed: int
    """Seed of the load, of datagrams' faults and of the endpoints."""
    routers: int
    """Number of routers."""
    requests_per_s: float
    """Rate of the clients at each router."""
    solo_quota: float
    """The members' setting ``alone``: the quota of a router that knows of no other, a share of the whole."""
    boxes: int
    """Number of caches."""
    hubs: int
    """Number of parents."""
    faults: tuple[Fault, ...]
    """In order of their beginning."""

    @property
    def clocks(self) -> list[str]:
        """The routers whose clocks are set."""
        return sorted({fault.component for fault in self.faults if fault.kind in ("step", "rate")})


def _find_problems(form: RunForm, lines: Mapping[sexp.EntryPath, int]) -> list[Problem]:
    """The ends and components of faults that a fleet of this size does not have."""
    routers = [f"r{number}" for number in range(form.routers)]
    endpoints = place_names(form.boxes, form.hubs)
    problems: list[Problem] = []

    def require(name: str, key: str, found: str, expected: list[str]) -> None:
        if found not in expected:
            line = lines.get(("faults", name, key), 0)
            problems.append(
                Problem(f"faults {name} {key}", line, sexp.shorten(found), "one of " + ", ".join(expected))
            )

    for name, fault in form.faults.items():
        if fault.what in LINK_FAULTS:
            for key, end in (("source", fault.source), ("target", fault.target)):
                require(name, key, end, [ANY_END, ANY_ROUTER, *routers, *endpoints, CHANGE_LOG, CLIENTS])
        elif fault.what in ROUTER_FAULTS:
            require(name, "who", fault.who, routers)
        elif fault.what in ENDPOINT_FAULTS:
            require(name, "who", fault.who, endpoints)
    return problems


def load(data: Mapping[str, Any], lines: Mapping[sexp.EntryPath, int] | None = None) -> Scenario:
    """Return a checked scenario; ``UnusableDocumentError`` with all that is wrong."""
    lines = lines or {}
    form = validate_form(RunForm, data, lines)
    if problems := _find_problems(form, lines):
        raise UnusableDocumentError(problems)
    faults = [
        Fault(
            name,
            fault.what,
            fault.at_s,
            fault.for_s,
            fault.who,
            fault.source,
            fault.target,
            fault.by,
        )
        for name, fault in form.faults.items()
    ]
    return Scenario(
        duration_s=form.seconds,
        seed=form.seed,
        routers=form.routers,
        requests_per_s=form.rate,
        solo_quota=form.alone,
        boxes=form.boxes,
        hubs=form.hubs,
        faults=tuple(sorted(faults, key=lambda fault: fault.start_s)),
    )


def format_scenario(scenario: Scenario) -> str:
    """Return a scenario's document, which ``load_file`` reads as the same."""
    faults = {
        fault.name: {
            "what": fault.kind,
            "at-s": fault.start_s,
            "for-s": fault.duration_s,
            "by": fault.magnitude,
        }
        | ({"source": fault.source, "target": fault.target} if fault.kind in LINK_FAULTS else {})
        | ({"who": fault.component} if fault.component else {})
        for fault in scenario.faults
    }
    data = _size_to_json(scenario)
    return sexp.format_document(data | ({"faults": faults} if faults else {}), DOCUMENT_HEAD)


def _size_to_json(scenario: Scenario) -> dict[str, Any]:
    """All of a scenario but its faults, by the keys of documents and saved files."""
    return {
        "seconds": scenario.duration_s,
        "seed": scenario.seed,
        "routers": scenario.routers,
        "rate": scenario.requests_per_s,
        "alone": scenario.solo_quota,
        "boxes": scenario.boxes,
        "hubs": scenario.hubs,
    }


def to_json(scenario: Scenario) -> dict[str, Any]:
    """Return a scenario by the keys of the ``scenario.json`` that a run leaves behind."""
    faults = [
        {
            "name": fault.name,
            "what": fault.kind,
            "at_s": fault.start_s,
            "for_s": fault.duration_s,
            "who": fault.component,
            "source": fault.source,
            "target": fault.target,
            "by": fault.magnitude,
        }
        for fault in scenario.faults
    ]
    return _size_to_json(scenario) | {"faults": faults}


def load_file(path: str) -> Scenario:
    """Return a file's scenario.

    Raises ``ConfigError`` if the file cannot be read, ``UnusableDocumentError`` if it cannot be used.
    """
    tree = sexp.parse(read_text(path), path, DOCUMENT_HEAD)
    return load(tree.data, tree.lines)


def find_scenario(name: str) -> Scenario:
    """Return one of ``BUILT_IN_SCENARIOS`` or else a file's.

    Raises ``ConfigError`` if it is neither, ``UnusableDocumentError`` if it cannot be used.
    """
    if name in BUILT_IN_SCENARIOS:
        return load(BUILT_IN_SCENARIOS[name])
    if not Path(name).exists():
        known = ", ".join(BUILT_IN_SCENARIOS)
        raise ConfigError(f"{name}: found no such file, expected one or one of {known}")
    return load_file(name)


def resized(scenario: Scenario, routers: int, seed: int) -> Scenario:
    """Return the scenario with another size and seed.

    Raises ``UnusableDocumentError`` where its faults do not fit that size.
    """
    changed = replace(scenario, routers=routers, seed=seed)
    load(sexp.parse(format_scenario(changed), DOCUMENT_HEAD, DOCUMENT_HEAD).data)
    return changed
