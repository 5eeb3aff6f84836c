"""Laboratory commands that run one router through an episode of injected faults, and report on it."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from contextlib import AbstractContextManager
from typing import TYPE_CHECKING, Any

import click

from magpieshift.cli import output
from magpieshift.cli.groups import JSON_OPTION
from magpieshift.cli.parameters import SEED_TYPE, FiniteNumber, WritableFile, WritableFolder
from magpieshift.config import ConfigError

if TYPE_CHECKING:
    from magpieshift.lab.experiments.episode import Outcome
    from magpieshift.lab.experiments.scenario import Scenario


def _load_or_draw_scenario(file: str, seconds: float, seed: int, rate: float) -> Scenario:
    """The scenario in a file, or a random one drawn from the seed if no file is given."""
    from magpieshift.control.errors import UnusableDocumentError
    from magpieshift.lab.experiments import scenario

    if not file:
        return scenario.draw_scenario(seconds, seed, rate)
    try:
        return scenario.load_file(file)
    except UnusableDocumentError as err:
        raise ConfigError(f"{file}: {err}") from err


def _progress_bar(seconds: float, is_shown: bool) -> AbstractContextManager[Any]:
    """A progress bar on standard error; a context that yields None if it is not shown."""
    import contextlib
    import sys

    if not is_shown:
        return contextlib.nullcontext(None)
    return click.progressbar(length=int(seconds), label="episode", file=sys.stderr)


@click.command(
    epilog="\b\nExample:\n  magpieshift lab episode --seconds 60 --seed 3 --capture cap/ --report r.html"
)
@click.option("--seconds", default=30.0, show_default=True, type=FiniteNumber(1, 3600))
@click.option("--seed", default=1, show_default=True, type=SEED_TYPE)
@click.option(
    "--rate",
    default=120.0,
    show_default=True,
    type=FiniteNumber(0, 10_000, above_minimum=True),
    help="Requests per second.",
)
@click.option(
    "--scenario",
    "file",
    default="",
    help="Scenario file; without one, a random scenario is drawn from the seed.",
)
@click.option(
    "--capture", "folder", default="", type=WritableFolder(), help="Record a capture in this folder."
)
@click.option("--report", default="", type=WritableFile(), help="Write an HTML report to this file.")
@click.option("--save", default="", type=WritableFile(), help="Save the run to this file, for lab report.")
@JSON_OPTION
def episode(
    seconds: float, seed: int, rate: float, file: str, folder: str, report: str, save: str, as_json: bool
) -> None:
    """Run a real router with emulated endpoints that fail: caches and parent caches die, the endpoint list is
    late, the origin slows down. Exit code 1 if a rule was broken."""
    outcome = _run_episode(
        _load_or_draw_scenario(file, seconds, seed, rate), folder, report, save, not as_json
    )
    if as_json:
        output.print_json(outcome.as_json())
    else:
        output.print_table(("figure", "value"), list(outcome.as_json().items()))
    for text in outcome.examples:
        click.echo(text, err=True)
    raise SystemExit(0 if outcome.good else 1)


def _run_episode(scenario: Scenario, folder: str, report: str, save: str, show_progress: bool) -> Outcome:
    """Run the episode, and write the requested report and saved run."""
    import json
    from pathlib import Path

    from magpieshift.lab.experiments import episode as episodes
    from magpieshift.lab.experiments import episode_report as reports

    with _progress_bar(scenario.seconds, show_progress) as bar:
        shown_s = 0

        def show_elapsed(seconds: float) -> None:
            """Advance the progress bar to this many seconds."""
            nonlocal shown_s
            if bar is not None:
                bar.update(int(seconds) - shown_s)
            shown_s = int(seconds)

        options = ["--capture", folder] if folder else []
        outcome = asyncio.run(episodes.run_episode(scenario, options, show_elapsed))
    text = episodes.to_json(outcome)
    if save:
        Path(save).write_text(text, encoding="utf-8")
    if report:
        reports.write(report, {"this run": json.loads(text)})
    return outcome


@click.command(
    "report", epilog="\b\nExample:\n  magpieshift lab report before.json after.json --out both.html"
)
@click.argument("runs", nargs=-1, required=True)
@click.option("--out", default="report.html", show_default=True, type=WritableFile())
def report_(runs: Iterable[str], out: str) -> None:
    """Compare saved runs side by side in one HTML report."""
    from magpieshift.lab.experiments import episode_report as reports

    reports.write(out, {name: reports.load(name) for name in runs})
    click.echo(out)


@click.command()
@click.option("--seconds", default=20.0, show_default=True, type=FiniteNumber(1, 3600))
@click.option(
    "--out",
    default="demo",
    show_default=True,
    type=WritableFolder(),
    help="Folder for the report and the capture.",
)
def demo(seconds: float, out: str) -> None:
    """Demonstration: start emulated endpoints, a router and load; endpoints fail and recover, and a report is
    written."""
    import shutil
    from pathlib import Path

    folder = Path(out)
    shutil.rmtree(folder / "capture", ignore_errors=True)
    folder.mkdir(parents=True, exist_ok=True)
    scenario = _load_or_draw_scenario("", seconds, 2, 100.0)
    click.echo("Faults to be injected:")
    for failure in scenario.faults:
        click.echo(f"  {failure}")
    outcome = _run_episode(
        scenario, str(folder / "capture"), str(folder / "report.html"), str(folder / "run.json"), True
    )
    output.print_table(("figure", "value"), list(outcome.as_json().items()))
    click.echo(
        f"report: {folder / 'report.html'}\n"
        f"capture: {folder / 'capture'} (magpieshift replay {folder / 'capture'})"
    )
    raise SystemExit(0 if outcome.good else 1)
