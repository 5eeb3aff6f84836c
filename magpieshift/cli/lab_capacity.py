"""The command ``lab capacity``: measures how the cost of each role grows with the size of the fleet."""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING

import click

from magpieshift.cli import output
from magpieshift.cli.groups import JSON_OPTION
from magpieshift.cli.parameters import SEED_TYPE, LazyChoice, WritableFile
from magpieshift.config import ConfigError

if TYPE_CHECKING:
    from magpieshift.lab.capacity.role import Role

EXAMPLES = """\b
Examples:
  magpieshift lab capacity --quick
  magpieshift lab capacity --json --role 'router: purges'
  magpieshift lab capacity --json --save docs/capacity/after.json
"""
PRINTED_COLUMNS = (
    "role",
    "resource",
    "by",
    "unit",
    "measured_to",
    "at_half",
    "at_target",
    "at_twice",
    "budget",
    "ratio",
    "exponent",
    "interval",
    "prediction_error",
    "how",
)


def _role_names() -> list[str]:
    """The names accepted by --role: roles and groups of roles. Looked up only when --role is given, because
    the lookup imports the laboratory's libraries."""
    from magpieshift.lab.capacity.roles import every_role

    names = {role.name for role in every_role()}
    return sorted(names | {_group(name) for name in names})


def _group(name: str) -> str:
    """The group of a role: the part of its name before the colon, or the whole name without a colon."""
    return name.partition(":")[0]


@click.command(epilog=EXAMPLES)
@click.option(
    "--role",
    "names",
    multiple=True,
    type=LazyChoice(_role_names),
    help="Measure only this role, or all roles of this group (the name before the colon); may be repeated.",
)
@click.option("--list", "listing", is_flag=True, help="List the roles without measuring.")
@click.option(
    "--quick",
    is_flag=True,
    help="Trial run, not a valid result: fewer sizes, each measured once, without sources and relays.",
)
@click.option(
    "--seed",
    default=1,
    show_default=True,
    type=SEED_TYPE,
    help="Seed of the measurement order and of the generated changes.",
)
@click.option("--router", "folder", default="", help="Folder of another checkout; its router is measured.")
@click.option("--save", default="", type=WritableFile(), help="File to write the result to, as JSON.")
@click.option(
    "--page", "make_page", is_flag=True, help="Regenerate the tables of docs/CAPACITY.md from saved results."
)
@JSON_OPTION
def capacity(
    names: tuple[str, ...],
    listing: bool,
    quick: bool,
    seed: int,
    folder: str,
    save: str,
    make_page: bool,
    as_json: bool,
) -> None:
    """Measure how the cost of each role grows with the fleet, fit a curve, and compare the cost at the target
    size with its budget."""
    from magpieshift.lab.capacity import measure, page, results
    from magpieshift.lab.capacity.roles import every_role
    from magpieshift.lab.capacity.routers import REPOSITORY_ROOT

    if make_page:
        click.echo("regenerated" if page.rewrite() else "unchanged")
        return
    if folder and not (Path(folder) / "magpieshift" / "__main__.py").is_file():
        raise ConfigError(
            f"--router: found {folder!r}, expected the folder of a checkout with magpieshift/__main__.py"
        )
    roles = every_role(folder or REPOSITORY_ROOT)
    if listing:
        output.print_rows(
            [{"role": role.name, "by": role.quantity, "target": role.target} for role in roles], as_json
        )
        return
    chosen = _choose_roles(roles, names, quick)
    started_s = time.monotonic()
    turns = measure.measure_roles(chosen, seed, quick, measure.show_progress)
    measure.show_progress("")
    rows = [row for index, role in enumerate(chosen) for row in measure.rows(role, turns.samples[index])]
    if save:
        command = _command_line(names, seed, quick, folder)
        duration_s = time.monotonic() - started_s
        origin = results.origin(command, folder or REPOSITORY_ROOT, seed, duration_s, turns.failures)
        results.save(results.Result(origin, tuple(rows)), save)
    if as_json:
        click.echo(json.dumps([asdict(row) for row in rows]))
    else:
        ranked = [asdict(row) for row in results.ranked(rows)]
        output.print_rows([{name: row[name] for name in PRINTED_COLUMNS} for row in ranked], as_json=False)
    for failure in turns.failures:
        click.echo(f"failed: {failure}", err=True)
    if turns.failures:
        raise SystemExit(1)


def _choose_roles(roles: Sequence[Role], names: tuple[str, ...], quick: bool) -> list[Role]:
    """The roles of these names or groups, or all roles if no name is given. ``ConfigError`` if ``quick`` is
    set and a named role has no sizes for a trial run."""
    chosen = [role for role in roles if not names or {role.name, _group(role.name)} & set(names)]
    without_trial = [role.name for role in chosen if not role.quick_sizes]
    if quick and names and without_trial:
        raise ConfigError(
            f"--quick: found {without_trial[0]!r}, expected a role that has sizes for a trial run"
        )
    return chosen


def _command_line(names: tuple[str, ...], seed: int, quick: bool, folder: str) -> str:
    """The command line recorded in a saved result. Folders differ between machines and are replaced by a
    placeholder."""
    words = ["magpieshift lab capacity --json", *(f"--role {name!r}" for name in names), f"--seed {seed}"]
    if quick:
        words.append("--quick")
    if folder:
        words.append("--router FOLDER")
    return " ".join(words)
