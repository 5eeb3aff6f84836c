"""What is to change, where, in which stages, and what is not to get worse by it: an S-expression."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field

from magpieshift.config import Address, ConfigError, parse_address, read_text
from magpieshift.control import sexp
from magpieshift.control.sexp import Problem, Unusable
from magpieshift.control.validation import Form, Lines, Seconds, checked

HEAD = "rollout"
Word = Annotated[str, Field(pattern=r"^[!-~]{1,64}$")]
Share = Annotated[float, Field(gt=0, le=1)]
MOST_ROUTERS = 2000
MOST_STAGES = 32
PLACES = ("name", "label", "term", "console")  # what a start command may name in braces


class SideForm(Form):
    label: Word
    start: Annotated[str, Field(min_length=1, max_length=4096)]


class RouterForm(Form):
    doors: Annotated[list[str], Field(min_length=2, max_length=2)]
    zone: Word = "-"


class StageForm(Form):
    share: Share | None = None
    routers: Annotated[int, Field(ge=1)] | None = None
    zone: Word | None = None
    soak_s: Seconds = 60.0
    most_s: Annotated[float, Field(gt=0, le=86_400)] = 1_800.0


class WorseForm(Form):
    served: Annotated[float, Field(gt=0, lt=1)] = 0.01
    processor: Annotated[float, Field(gt=0, le=10)] = 0.15
    memory_mb_per_min: Annotated[float, Field(gt=0, le=1e6)] = 0.5
    wrongly: Annotated[float, Field(gt=0, lt=0.5)] = 0.01


class PlanForm(Form):
    name: Word
    new: SideForm
    old: SideForm
    routers: Annotated[dict[Word, RouterForm], Field(min_length=2, max_length=MOST_ROUTERS)]
    stages: Annotated[dict[Word, StageForm], Field(min_length=1, max_length=MOST_STAGES)]
    worse_by: WorseForm = WorseForm()
    most_away: Annotated[int, Field(ge=1)] = 1
    step_s: Annotated[float, Field(gt=0, le=3_600)] = 30.0
    on_stop: Literal["back", "hold"] = "back"


@dataclass(frozen=True)
class Router:
    """One router's place: its two doors, of which a process and its successor each have one."""

    name: str
    zone: str
    doors: tuple[Address, Address]


@dataclass(frozen=True)
class Side:
    """What processes of one side are called, and the command that starts one."""

    label: str
    start: str


@dataclass(frozen=True)
class Stage:
    """How far a stage goes: the routers that are new at its end, those of earlier stages included."""

    name: str
    targets: tuple[str, ...]
    soak_s: float  # at least so long with all of them new
    most_s: float  # and then at most so long until it is known whether they do worse


@dataclass(frozen=True)
class Worse:
    """By how much the new side may be worse: share served in time of any class, processor time a request,
    memory's growth; and how often, at most, a side that is no worse may be stopped."""

    served: float = 0.01
    processor: float = 0.15
    memory_mb_per_min: float = 0.5
    wrongly: float = 0.01


@dataclass(frozen=True)
class Plan:
    """A rollout as it was asked for."""

    name: str
    new: Side
    old: Side
    routers: Mapping[str, Router]
    stages: tuple[Stage, ...]
    worse: Worse
    most_away: int
    step_s: float
    on_stop: str
    digest: str = ""


def _spread(names: list[str], zones: Mapping[str, str], seed: str) -> list[str]:
    """The order in which routers are changed: zone by turn, so that each zone has old and new beside each
    other for as long as that can be; within a zone by a hash, so that no plan prefers the same ones."""
    by_zone: dict[str, list[str]] = {}
    for name in sorted(names, key=lambda n: hashlib.blake2b(f"{seed} {n}".encode()).digest()):
        by_zone.setdefault(zones[name], []).append(name)
    order: list[str] = []
    while any(by_zone.values()):
        for zone in sorted(by_zone):
            if by_zone[zone]:
                order.append(by_zone[zone].pop(0))
    return order


def load(data: Mapping[str, Any], lines: Lines | None = None) -> Plan:
    """A checked plan; ``Unusable`` with all that is wrong in it."""
    lines = lines or {}
    form = checked(PlanForm, data, lines)
    problems: list[Problem] = []

    def wrong(path: tuple[str, ...], found: object, expected: str) -> None:
        at = next((lines[path[:to]] for to in range(len(path), 0, -1) if path[:to] in lines), 0)
        problems.append(Problem(" ".join(path), at, sexp.shown(found), expected))

    routers: dict[str, Router] = {}
    taken: dict[Address, str] = {}
    for name, row in form.routers.items():
        doors: list[Address] = []
        for text in row.doors:
            try:
                doors.append(parse_address(text, "doors"))
            except ConfigError:
                wrong(("routers", name, "doors"), text, "two of host:port")
                continue
            if (other := taken.setdefault(doors[-1], name)) != name or doors.count(doors[-1]) > 1:
                wrong(("routers", name, "doors"), text, f"an address that {other} does not have")
        if len(doors) == 2:
            routers[name] = Router(name, row.zone, (doors[0], doors[1]))
    if form.new.label == form.old.label:
        wrong(("new", "label"), form.new.label, "another than that of old")
    for side, told in (("new", form.new), ("old", form.old)):
        try:
            told.start.format(**dict.fromkeys(PLACES, "x"))
        except (KeyError, IndexError, ValueError):
            expected = "only " + ", ".join(f"{{{place}}}" for place in PLACES)
            wrong((side, "start"), told.start, f"{expected} in braces")
    zones = {name: row.zone for name, row in form.routers.items()}
    order = _spread(list(form.routers), zones, form.name)
    done: list[str] = []
    stages: list[Stage] = []
    for name, stage in form.stages.items():
        if (stage.share is None) == (stage.routers is None):
            wrong(("stages", name), "share and routers" if stage.share else "neither", "share or routers")
            continue
        if stage.zone is not None and stage.zone not in zones.values():
            wrong(("stages", name, "zone"), stage.zone, "one of " + ", ".join(sorted(set(zones.values()))))
            continue
        there = [n for n in order if stage.zone is None or zones[n] == stage.zone]
        count = stage.routers if stage.routers is not None else math.ceil((stage.share or 0) * len(there))
        if count > len(there):
            wrong(("stages", name, "routers"), count, f"at most {len(there)}")
            continue
        before = len(done)
        done += [n for n in there if n not in done][: max(0, count - sum(n in done for n in there))]
        if len(done) == before:
            wrong(("stages", name), f"{count} routers", "more than the stages before it")
        stages.append(Stage(name, tuple(done), stage.soak_s, stage.most_s))
    if form.most_away >= len(form.routers):
        wrong(("most-away",), form.most_away, f"less than the {len(form.routers)} routers")
    if problems:
        raise Unusable(problems)
    w = form.worse_by
    return Plan(
        form.name,
        Side(form.new.label, form.new.start),
        Side(form.old.label, form.old.start),
        routers,
        tuple(stages),
        Worse(w.served, w.processor, w.memory_mb_per_min, w.wrongly),
        form.most_away,
        form.step_s,
        form.on_stop,
        sexp.digest(data),
    )


def load_file(path: str | Path) -> Plan:
    """Read a plan; ``ConfigError`` where it cannot be read, ``Unusable`` where it cannot be used."""
    tree = sexp.read(read_text(path), str(path), HEAD)
    return load(tree.data, tree.lines)
