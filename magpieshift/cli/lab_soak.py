"""The laboratory's command for short lives of routers."""

from __future__ import annotations

import asyncio

import click

from magpieshift.cli import output
from magpieshift.cli.groups import JSON_OPTION
from magpieshift.cli.logs import setup
from magpieshift.cli.parameters import SEED_TYPE, WholeNumber

DEFAULT_SEEDS = 10
MAX_PARALLEL = 8


@click.command(
    "soak",
    epilog="\b\nExamples:\n  magpieshift lab soak --first 1 --seeds 50\n  magpieshift lab soak --only 17",
)
@click.option("--first", default=1, show_default=True, type=SEED_TYPE, help="Seed of the first life.")
@click.option("--seeds", default=DEFAULT_SEEDS, show_default=True, type=WholeNumber(), help="Lives.")
@click.option("--only", default=None, type=SEED_TYPE, help="Play the life of this seed alone.")
@click.option(
    "--parallel", default=1, show_default=True, type=WholeNumber(1, MAX_PARALLEL), help="Lives at a time."
)
@JSON_OPTION
def soak(first: int, seeds: int, only: int | None, parallel: int, as_json: bool) -> None:
    """Play short lives of real routers, full of signals, and judge each to the last request. Exit code 1 if a
    rule was broken; a life is played again by its seed."""
    from magpieshift.lab.soak.life import SoakReport
    from magpieshift.lab.soak.run import play_runs

    setup("pairs", "ERROR")

    def print_findings(report: SoakReport) -> None:
        """Print what a failing life has shown."""
        if report.findings:
            click.echo(f"seed {report.plan.seed}: {report.plan.describe()}", err=True)
            for finding in report.findings:
                click.echo(f"  {finding}", err=True)

    chosen = range(first, first + seeds) if only is None else [only]
    reports = asyncio.run(play_runs(chosen, parallel, on_report=print_findings))
    output.print_rows([report.as_row() for report in reports], as_json)
    raise SystemExit(1 if any(report.findings for report in reports) else 0)
