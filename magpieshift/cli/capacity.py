"""The command that measures what each role costs by what grows."""

from __future__ import annotations

import json
import time
from dataclasses import asdict
from pathlib import Path

import click

from magpieshift.cli.hinting import JSON
from magpieshift.cli.parameters import SEED, NewFile, OneOf
from magpieshift.config import ConfigError

EPILOG = """\b
Examples:
  magpieshift lab capacity --quick
  magpieshift lab capacity --json --role 'router: purges'
  magpieshift lab capacity --json --save docs/capacity/after.json
"""
SHOWN = (
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
    """Looked up only when a role is named: it takes the laboratory's libraries."""
    from magpieshift.lab.capacity.roles import every_role

    names = {role.name for role in every_role()}
    return sorted(names | {_group(name) for name in names})


def _group(name: str) -> str:
    """What stands before the colon, or the whole name."""
    return name.partition(":")[0]


@click.command(epilog=EPILOG)
@click.option(
    "--role",
    "names",
    multiple=True,
    type=OneOf(_role_names),
    help="Only this role, or all with this before the colon; may be given again.",
)
@click.option("--list", "listing", is_flag=True, help="Name the roles, and measure nothing.")
@click.option(
    "--quick",
    is_flag=True,
    help="A trial, not a result: fewer sizes, once each, without sources and relays.",
)
@click.option(
    "--seed", default=1, show_default=True, type=SEED, help="Of the order of turns and of what is told."
)
@click.option("--router", "folder", default="", help="Folder of another checkout, whose router is started.")
@click.option("--save", default="", type=NewFile(), help="File for the result.")
@click.option("--page", "make_page", is_flag=True, help="Make docs/CAPACITY.md's tables from saved results.")
@JSON
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
    """Measure what each role costs by what grows with the fleet, fit it, and hold it against its budget."""
    from magpieshift.cli import show
    from magpieshift.lab.capacity import measure, page, results
    from magpieshift.lab.capacity.roles import every_role
    from magpieshift.lab.capacity.routers import HERE

    if make_page:
        return click.echo("made anew" if page.rewrite() else "unchanged")
    if folder and not (Path(folder) / "magpieshift" / "__main__.py").is_file():
        raise ConfigError(f"--router: found {folder!r}, expected the folder of a checkout")
    roles = every_role(folder or HERE)
    if listing:
        return show.rows([{"role": r.name, "by": r.by, "target": r.target} for r in roles], as_json)
    chosen = [role for role in roles if not names or {role.name, _group(role.name)} & set(names)]
    if quick and names and (without := [role.name for role in chosen if not role.quick_sizes]):
        raise ConfigError(f"--quick: found {without[0]!r}, expected a role that has a trial; leave it out")
    began = time.monotonic()
    turns = measure.take_turns(chosen, seed, quick, measure.on_terminal)
    measure.on_terminal("")
    rows = [row for place, role in enumerate(chosen) for row in measure.rows(role, turns.samples[place])]
    command = " ".join(["magpieshift lab capacity --json", *(f"--role {n!r}" for n in names)])
    command += f" --seed {seed}" + (" --quick" if quick else "") + (" --router FOLDER" if folder else "")
    if save:
        result = results.Result(
            results.origin(command, folder or HERE, seed, time.monotonic() - began, turns.failures),
            tuple(rows),
        )
        results.save(result, save)
    if as_json:
        click.echo(json.dumps([asdict(row) for row in rows]))
    else:
        show.rows([{name: asdict(row)[name] for name in SHOWN} for row in results.ranked(rows)], False)
    for failure in turns.failures:
        click.echo(f"failed: {failure}", err=True)
    if turns.failures:
        raise SystemExit(1)
