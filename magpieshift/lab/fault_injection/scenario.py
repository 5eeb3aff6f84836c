"""Scenarios: the size, load and faults of a cluster, read from an S-expression."""

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
from magpieshift.lab.emulators.emulated_installation import place_names
from magpieshift.lab.fault_injection.built_in_scenarios import BUILT_IN_SCENARIOS
from magpieshift.lab.fault_injection.link_faults import ANY_END, ANY_ROUTER, CHANGE_LOG, CLIENTS

DOCUMENT_HEAD = "fleet-run"
"""First symbol of a scenario document."""
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
"""All kinds of faults. ``purge`` and ``late-list`` affect no single router, link or endpoint."""
ROUTER_FAULTS = ("pause", "kill", "stop", "step", "rate")
"""Kinds of faults that affect one router."""
LINK_FAULTS = ("cut", "lose", "delay", "double", "reset", "silence", "throttle")
"""Kinds of faults that affect one direction of links."""
ENDPOINT_FAULTS = ("drain", "die", "hang", "slow", "err")
"""Kinds of faults that affect one endpoint."""


class FaultForm(Form):
    """A fault in a scenario document; the fields of ``Fault`` explain it."""

    what: FaultKind
    at_s: Seconds
    for_s: Seconds = 0.0
    who: str = ""
    """The affected router or endpoint's place."""
    source: str = "*"
    """Sending end of a faulty link: a router, ``routers`` for all, a place, ``log``, ``clients`` or ``*``."""
    target: str = "*"
    by: Annotated[float, Field(ge=-3_600, le=60_000)] = 0.0
    """See ``Fault.magnitude``."""


class ScenarioForm(Form):
    """A scenario document; the fields of ``Scenario`` explain it."""

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
    """One fault, with its start and duration."""

    name: str
    kind: str
    """One of ``FaultKind``."""
    start_s: float
    """Start in seconds after the scenario's start."""
    duration_s: float
    """Duration in seconds. A drain takes this long, but at least ``emulated_installation.MIN_DRAIN_S``, and
    then the endpoint is down for the same duration."""
    component: str
    """The affected router or endpoint's place; empty for a fault on links."""
    source: str
    """Sending end of the faulty direction of a link."""
    target: str
    """Receiving end of the faulty direction of a link."""
    magnitude: float
    """Strength by kind of fault: ``lose``, ``double``, ``err``: share; ``delay``, ``slow``: milliseconds;
    ``throttle``: kilobytes per second; ``step``: seconds; ``rate``: factor on the clock's rate."""


@dataclass(frozen=True)
class Scenario:
    """The size of a cluster, its load, and the faults to inject."""

    duration_s: float
    """Shortest duration of the load in seconds; it continues until all faults have ended."""
    seed: int
    """Seed of the load, of the faults on datagrams and of the endpoints."""
    routers: int
    """Number of routers."""
    requests_per_s: float
    """Request rate of the clients of each router, per second."""
    solo_quota: float
    """The setting ``alone``: the quota of a router that knows no other member, as a share of the whole."""
    boxes: int
    """Number of caches."""
    hubs: int
    """Number of parents."""
    faults: tuple[Fault, ...]
    """Faults, ordered by start."""

    @property
    def clocks(self) -> list[str]:
        """Return the routers whose clocks are changed by faults."""
        return sorted({fault.component for fault in self.faults if fault.kind in ("step", "rate")})


def _find_problems(form: ScenarioForm, lines: Mapping[sexp.EntryPath, int]) -> list[Problem]:
    """Return a problem for each fault that names a router or endpoint which the cluster does not have."""
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
    """Return a validated scenario. Raises ``UnusableDocumentError`` with all problems found."""
    lines = lines or {}
    form = validate_form(ScenarioForm, data, lines)
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
    """Return a scenario's document, from which ``load_file`` reads the same scenario."""
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
    """Return a scenario without its faults, by the keys of documents and saved files."""
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
    """Return a scenario by the keys of the file ``scenario.json`` that a run saves."""
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
    """Return the scenario of a file.

    Raises ``ConfigError`` if the file cannot be read, ``UnusableDocumentError`` if its content is invalid.
    """
    tree = sexp.parse(read_text(path), path, DOCUMENT_HEAD)
    return load(tree.data, tree.lines)


def find_scenario(name: str) -> Scenario:
    """Return the built-in scenario of this name, or else the scenario of the file at this path.

    Raises ``ConfigError`` if there is neither, ``UnusableDocumentError`` if the file's content is invalid.
    """
    if name in BUILT_IN_SCENARIOS:
        return load(BUILT_IN_SCENARIOS[name])
    if not Path(name).exists():
        known = ", ".join(BUILT_IN_SCENARIOS)
        raise ConfigError(f"{name}: found no such file, expected a scenario file or one of {known}")
    return load_file(name)


def resized(scenario: Scenario, routers: int, seed: int) -> Scenario:
    """Return the scenario with another number of routers and another seed.

    Raises ``UnusableDocumentError`` if its faults name routers that it then does not have.
    """
    changed = replace(scenario, routers=routers, seed=seed)
    load(sexp.parse(format_scenario(changed), DOCUMENT_HEAD, DOCUMENT_HEAD).data)
    return changed
