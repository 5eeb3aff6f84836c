"""Reads plan files, which are S-expressions, and checks them."""

from __future__ import annotations

import hashlib
import math
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from magpieshift.config import Address, ConfigError, parse_address, read_text
from magpieshift.control import sexp
from magpieshift.control.document_changes import document_digest
from magpieshift.control.errors import Problem, UnusableDocumentError
from magpieshift.control.validation import Lines, nearest_line, validate_form
from magpieshift.rollout.plan import Build, OnFailure, Plan, RouterPlace, Stage, Tolerances
from magpieshift.rollout.plan_form import PLACEHOLDERS, PLAN_HEAD, BuildForm, PlanForm, StageForm


def load_plan(data: Mapping[str, Any], lines: Lines | None = None) -> Plan:
    """Check a plan file's data and return the plan. ``lines`` gives the line of each entry.

    Raises ``UnusableDocumentError`` with every problem found.
    """
    lines = lines or {}
    form = validate_form(PlanForm, data, lines)
    checker = _PlanChecker(form, lines)
    routers = checker.routers()
    checker.check_builds()
    stages = checker.stages()
    if form.most_away >= len(form.routers):
        checker.add_problem(
            ("most-away",), form.most_away, f"fewer than the {len(form.routers)} routers of the plan"
        )
    if checker.problems:
        raise UnusableDocumentError(checker.problems)
    worse_by = form.worse_by
    return Plan(
        name=form.name,
        new=Build(form.new.label, form.new.start),
        old=Build(form.old.label, form.old.start),
        routers=routers,
        stages=stages,
        tolerances=Tolerances(
            worse_by.served, worse_by.processor, worse_by.memory_mb_per_min, worse_by.wrongly
        ),
        max_unreachable=form.most_away,
        step_timeout_s=form.step_s,
        on_failure=OnFailure(form.on_stop),
        digest=document_digest(data),
    )


def load_plan_file(path: str | Path) -> Plan:
    """Read and check a plan file.

    Raises ``ConfigError`` if the file cannot be read, ``UnusableDocumentError`` if its content is invalid.
    """
    tree = sexp.parse(read_text(path), str(path), PLAN_HEAD)
    return load_plan(tree.data, tree.lines)


class _PlanChecker:
    """Builds a plan's routers and stages from a form, and collects inconsistencies between its entries."""

    def __init__(self, form: PlanForm, lines: Lines) -> None:
        self.problems: list[Problem] = []
        self._form = form
        self._lines = lines
        self._zones = {name: row.zone for name, row in form.routers.items()}

    def add_problem(self, path: tuple[str, ...], found: object, expected: str) -> None:
        """Add a problem with an entry. Its line is that of the nearest enclosing entry with a known line, the
        entry itself included."""
        line = nearest_line(path, self._lines)
        self.problems.append(Problem(" ".join(path), line, sexp.shorten(found), expected))

    def routers(self) -> dict[str, RouterPlace]:
        """The routers by name; an address that is used twice is reported as a problem."""
        routers: dict[str, RouterPlace] = {}
        owners: dict[Address, str] = {}
        for name, row in self._form.routers.items():
            addresses = self._addresses(name, row.doors, owners)
            if len(addresses) == 2:
                routers[name] = RouterPlace(name, row.zone, (addresses[0], addresses[1]))
        return routers

    def _addresses(self, name: str, texts: list[str], owners: dict[Address, str]) -> list[Address]:
        path = ("routers", name, "doors")
        addresses: list[Address] = []
        for text in texts:
            try:
                found = parse_address(text, "doors")
            except ConfigError:
                self.add_problem(path, text, "two addresses as host:port")
                continue
            addresses.append(found)
            owner = owners.setdefault(found, name)
            if owner != name or addresses.count(found) > 1:
                self.add_problem(path, text, f"an address not yet used by {owner}")
        return addresses

    def check_builds(self) -> None:
        """Check that the labels differ and that the start commands use only known placeholders."""
        form = self._form
        if form.new.label == form.old.label:
            self.add_problem(("new", "label"), form.new.label, "a label other than that of the old build")
        self._check_command("new", form.new)
        self._check_command("old", form.old)

    def _check_command(self, side: str, build: BuildForm) -> None:
        try:
            build.start.format(**dict.fromkeys(PLACEHOLDERS, "x"))
        except (KeyError, IndexError, ValueError):
            expected = "only " + ", ".join(f"{{{placeholder}}}" for placeholder in PLACEHOLDERS)
            self.add_problem((side, "start"), build.start, f"{expected} as placeholders")

    def stages(self) -> tuple[Stage, ...]:
        """The stages in order; each must add routers to those of the stages before it."""
        order = _change_order(list(self._form.routers), self._zones, self._form.name)
        targets: list[str] = []
        stages: list[Stage] = []
        for name, form in self._form.stages.items():
            eligible = self._eligible(form, order)
            count = self._router_count(name, form, eligible)
            if count is None:
                continue
            before = len(targets)
            missing = max(0, count - sum(router in targets for router in eligible))
            targets += [router for router in eligible if router not in targets][:missing]
            if len(targets) == before:
                self.add_problem(
                    ("stages", name), f"{count} routers", "more routers than in the stages before it"
                )
            stages.append(Stage(name, tuple(targets), form.soak_s, form.most_s))
        return tuple(stages)

    def _eligible(self, form: StageForm, order: list[str]) -> list[str]:
        """The routers that the stage may change (those of its zone, if it has one), in change order."""
        return [router for router in order if form.zone is None or self._zones[router] == form.zone]

    def _router_count(self, name: str, form: StageForm, eligible: list[str]) -> int | None:
        """Number of eligible routers that run the new build in the stage; None, with a problem added, if the
        form is invalid."""
        path = ("stages", name)
        if (form.share is None) == (form.routers is None):
            found = "both share and routers" if form.share else "neither share nor routers"
            self.add_problem(path, found, "either share or routers")
            return None
        zones = set(self._zones.values())
        if form.zone is not None and form.zone not in zones:
            self.add_problem((*path, "zone"), form.zone, "one of " + ", ".join(sorted(zones)))
            return None
        count = form.routers if form.routers is not None else math.ceil((form.share or 0) * len(eligible))
        if count > len(eligible):
            self.add_problem((*path, "routers"), count, f"at most the {len(eligible)} eligible routers")
            return None
        return count


def _change_order(names: list[str], zones: Mapping[str, str], seed: str) -> list[str]:
    """The order in which routers are changed.

    Zones take turns, so that each zone has old and new routers to compare for as long as possible. Within a
    zone the order is by a hash seeded with the plan's name, so that different plans start with different
    routers.
    """
    by_zone: dict[str, list[str]] = {}
    for name in sorted(names, key=lambda n: hashlib.blake2b(f"{seed} {n}".encode()).digest()):
        by_zone.setdefault(zones[name], []).append(name)
    order: list[str] = []
    while any(by_zone.values()):
        for zone in sorted(by_zone):
            if by_zone[zone]:
                order.append(by_zone[zone].pop(0))
    return order
