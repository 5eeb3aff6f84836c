"""The command ``lab soak``: short randomized runs of real routers with signals."""

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
@click.option("--first", default=1, show_default=True, type=SEED_TYPE, help="Seed of the first run.")
@click.option(
    "--seeds",
    default=DEFAULT_SEEDS,
    show_default=True,
    type=WholeNumber(),
    help="Number of runs; the seed is one higher for each.",
)
@click.option("--only", default=None, type=SEED_TYPE, help="Execute only the run with this seed.")
@click.option(
    "--parallel",
    default=1,
    show_default=True,
    type=WholeNumber(1, MAX_PARALLEL),
    help="Number of concurrent runs.",
)
@JSON_OPTION
def soak(first: int, seeds: int, only: int | None, parallel: int, as_json: bool) -> None:
    """Execute short randomized runs of real routers that receive many signals, and check the outcome of every
    request. Exit code 1 if a rule was broken; --only repeats the run with a given seed."""
    from magpieshift.lab.soak.parallel_runs import run_seeds
    from magpieshift.lab.soak.soak_run import SoakReport

    setup("pairs", "ERROR")

    def print_findings(report: SoakReport) -> None:
        """Print the plan and the findings of a run that broke a rule."""
        if report.findings:
            click.echo(f"seed {report.plan.seed}: {report.plan.describe()}", err=True)
            for finding in report.findings:
                click.echo(f"  {finding}", err=True)

    chosen = range(first, first + seeds) if only is None else [only]
    reports = asyncio.run(run_seeds(chosen, parallel, on_report=print_findings))
    output.print_rows([report.as_row() for report in reports], as_json)
    raise SystemExit(1 if any(report.findings for report in reports) else 0)
