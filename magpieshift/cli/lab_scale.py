"""The command ``lab scale`` and the processes that it starts. Exit codes: 0 no invariant was broken; 1 one
was broken, or a process of the run exited; 2 invalid command line."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING

import click

from magpieshift.cli import output
from magpieshift.cli.groups import JSON_OPTION
from magpieshift.cli.logs import setup
from magpieshift.cli.parameters import (
    SEED_TYPE,
    FiniteNumber,
    LazyChoice,
    WholeNumber,
    WholeNumberList,
    WritableFile,
    WritableFolder,
)

if TYPE_CHECKING:
    from magpieshift.lab.scale.calibration import Calibration
    from magpieshift.lab.scale.run import Plan

CALIBRATE = "calibrate"
TOPOLOGY = "topology"
MIN_LOAD_S = 2.0
"""Shortest duration of the load; a shorter one yields no measurements."""
MAX_LOAD_S = 86_400.0
"""Longest duration of the load: one day."""
ROLES = ("log", "control", "node", "network", "worker")
"""Roles of the processes of a run."""


def scenario_names() -> Iterable[str]:
    """The names accepted as SCENARIO."""
    from magpieshift.lab.scale.scenario import SCENARIOS

    return [*SCENARIOS, CALIBRATE, TOPOLOGY]


def feed_names() -> Iterable[str]:
    """The names accepted by --feed: how routers receive changes."""
    from magpieshift.lab.scale.run import FEEDS

    return FEEDS


@click.command(
    "scale",
    epilog="\b\nExamples:\n  magpieshift lab scale steady --routers 50 --seed 1 --json\n"
    "  magpieshift lab scale calibrate --runs 3 --save docs/capacity/calibration.json",
)
@click.argument("scenario", required=False, type=LazyChoice(scenario_names))
@click.option("--list", "listed", is_flag=True, help="List the scenarios.")
@click.option(
    "--routers", type=WholeNumber(), default=20, show_default=True, help="Number of hollow routers."
)
@click.option(
    "--seed", type=SEED_TYPE, default=1, show_default=True, help="Seed of the load and of the topology."
)
@click.option(
    "--seconds",
    type=FiniteNumber(MIN_LOAD_S, MAX_LOAD_S),
    default=20.0,
    show_default=True,
    help="Duration of the load in seconds.",
)
@click.option(
    "--settle",
    type=FiniteNumber(0.0, MAX_LOAD_S),
    default=15.0,
    show_default=True,
    help="Longest wait in seconds after the load until all routers have caught up.",
)
@click.option(
    "--feed",
    type=LazyChoice(feed_names),
    default="direct",
    show_default=True,
    help="How routers receive changes.",
)
@click.option(
    "--caches",
    type=WholeNumber(),
    default=1000,
    show_default=True,
    help="Number of caches in the endpoint list.",
)
@click.option(
    "--topology", default="", help="Topology file with the locations of the routers; replaces --routers."
)
@click.option(
    "--runs",
    type=WholeNumber(),
    default=3,
    show_default=True,
    help="With calibrate: runs of each size and kind.",
)
@click.option(
    "--sizes",
    type=WholeNumberList(),
    default="1,4,10",
    show_default=True,
    help="With calibrate: numbers of routers.",
)
@click.option(
    "--drop-every",
    type=WholeNumber(0),
    default=0,
    hidden=True,
    help="Fault injection for tests: each router skips every N-th purge; 0: none.",
)
@click.option("--logs", type=WritableFolder(), default="", help="Folder for the log lines of all processes.")
@click.option("--save", type=WritableFile(), default="", help="File to write the whole result to, as JSON.")
@JSON_OPTION
def lab_scale(
    scenario: str | None,
    listed: bool,
    routers: int,
    seed: int,
    seconds: float,
    settle: float,
    feed: str,
    caches: int,
    topology: str,
    runs: int,
    sizes: tuple[int, ...],
    drop_every: int,
    logs: str,
    save: str,
    as_json: bool,
) -> None:
    """Run many hollow routers (only the control plane of real ones) under the load of a large fleet; exit
    code 1 if an invariant was broken. SCENARIO is one of --list; or "calibrate", which compares hollow
    routers with real ones; or "topology", which prints a generated file for --topology."""
    from magpieshift.lab.scale.calibration import Calibration
    from magpieshift.lab.scale.processes import ProcessExitedError
    from magpieshift.lab.scale.run import Plan
    from magpieshift.lab.scale.scenario import SCENARIOS
    from magpieshift.lab.scale.topology import format_topology, generate, read_file

    if listed:
        for known in SCENARIOS.values():
            click.echo(f"{known.name}: {known.summary}")
        return
    if scenario is None:
        raise click.UsageError(f"SCENARIO: found nothing, expected one of {', '.join(scenario_names())}")
    if scenario == TOPOLOGY:
        click.echo(format_topology(generate(routers, seed)), nl=False)
        return
    try:
        if scenario == CALIBRATE:
            _calibrate(Calibration(runs, seed, seconds, caches, sizes), save, as_json)
            return
        places = read_file(topology) if topology else None
        plan = Plan(
            SCENARIOS[scenario],
            len(places.places) if places else routers,
            seed,
            seconds,
            feed,
            caches,
            topology=places,
            settle_s=settle,
            drop_every=drop_every,
            logs=logs,
        )
        Path(logs or ".").mkdir(parents=True, exist_ok=True)
        _run_scenario(plan, save, as_json)
    except ProcessExitedError as err:
        raise click.ClickException(str(err)) from None
    except TimeoutError:
        raise click.ClickException("timeout: the processes of the run were not ready in time") from None


def _run_scenario(plan: Plan, save: str, as_json: bool) -> None:
    """Run a scenario and print its result; exit code 1 if an invariant was broken."""
    from magpieshift.lab.scale.run import Run
    from magpieshift.lab.scale.saved_results import save_result

    progress = ProgressLine()
    result = asyncio.run(Run(plan, progress.show).play())
    progress.clear()
    if save:
        save_result(save, result.as_data(), plan.seed)
    for note in [*result.notes, *(f"invariant broken: {rule}" for rule in result.rules_broken)]:
        click.echo(note, err=True)
    if as_json:
        click.echo(json.dumps(result.as_data()))
    else:
        _print_figures(result.as_data())
    if result.rules_broken:
        raise SystemExit(1)


def _print_figures(figures: dict[str, object]) -> None:
    """Print the figures as a table, one per line."""
    output.print_table(
        ("figure", "value"), [(name, "unknown" if v is None else v) for name, v in figures.items()]
    )


def _calibrate(plan: Calibration, save: str, as_json: bool) -> None:
    """Measure hollow routers and real ones under the same load, and print the comparison."""
    from magpieshift.lab.scale.calibration import calibrate
    from magpieshift.lab.scale.saved_results import save_result

    progress = ProgressLine()
    result = asyncio.run(calibrate(plan, progress.show))
    progress.clear()
    if save:
        save_result(save, result, plan.seed)
    if as_json:
        click.echo(json.dumps(result))
    else:
        output.print_rows(result["rows"], as_json=False)


class ProgressLine:
    """A progress line on standard error that overwrites itself; shown only on a terminal."""

    def __init__(self) -> None:
        self._is_shown = sys.stderr.isatty()

    def show(self, line: str) -> None:
        """Replace the progress line with this one."""
        if self._is_shown:
            click.echo(f"\r\033[K{line}", err=True, nl=False)

    def clear(self) -> None:
        """Remove the progress line."""
        if self._is_shown:
            click.echo("\r\033[K", err=True, nl=False)


@click.command("scale-process", hidden=True)
@click.argument("role", type=LazyChoice(lambda: ROLES))
def scale_process(role: str) -> None:
    """Run one process of ``lab scale``, which exchanges messages with its parent over standard input and
    output."""
    from magpieshift.lab.scale import changelog, controller, network, node, worker

    setup("pairs")  # the same log setup as ``run``: logging is part of a router's cost
    run_by_role = {
        "log": changelog.run,
        "control": controller.run,
        "node": node.run,
        "network": network.run,
        "worker": worker.run,
    }
    asyncio.run(run_by_role[role]())
