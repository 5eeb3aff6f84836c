"""The command ``lab floods``: memory of a router under floods of requests that are over at once."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from magpieshift.cli import output
from magpieshift.cli.groups import JSON_OPTION
from magpieshift.cli.parameters import WholeNumber

DEFAULT_SECONDS = 10
MAX_SECONDS = 600
KINDS = ("cancelled", "duplicate", "served", "rejected", "bodies")


@click.command(
    "floods",
    epilog="\b\nExamples:\n  magpieshift lab floods\n  magpieshift lab floods --kind served --seconds 60",
)
@click.option(
    "--kind", "kinds", multiple=True, type=click.Choice(KINDS), help="Kind of flood; all kinds without it."
)
@click.option(
    "--seconds",
    default=DEFAULT_SECONDS,
    show_default=True,
    type=WholeNumber(1, MAX_SECONDS),
    help="Duration of each flood.",
)
@click.option(
    "--against",
    default=None,
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Folder of a checkout whose router is flooded, in place of this version's.",
)
@JSON_OPTION
def floods(kinds: tuple[str, ...], seconds: int, against: Path | None, as_json: bool) -> None:
    """Measure a router's own memory and processor time while six clients send requests that end at once:
    taken back, failed for an id in use, served, rejected, or writes with a body. Exit code 1 if a router has
    ended."""
    from magpieshift.lab.experiments import floods as experiment

    chosen = [experiment.FloodKind(kind) for kind in kinds or KINDS]
    program = experiment.OWN_PROGRAM if against is None else experiment.program_of(against)
    results = asyncio.run(experiment.run_floods(chosen, seconds, program))
    output.print_rows([result.as_row() for result in results], as_json)
    raise SystemExit(1 if any(result.has_ended for result in results) else 0)
