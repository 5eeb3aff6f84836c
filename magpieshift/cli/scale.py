"""The sub-commands of the laboratory of scale. Exit codes: 0 all rules held; 1 one broke, or a process of the
run ended; 2 the call cannot be used."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Iterable
from pathlib import Path
from typing import TYPE_CHECKING

import click

from magpieshift.cli.hinting import JSON
from magpieshift.cli.logs import setup
from magpieshift.cli.parameters import SEED, NewFile, NewFolder, Number, OneOf, Sizes, Whole

if TYPE_CHECKING:
    from magpieshift.lab.scale.calibration import Calibration
    from magpieshift.lab.scale.run import Plan

CALIBRATE = "calibrate"
TOPOLOGY = "topology"
LEAST_SECONDS = 2.0
DAY_S = 86_400.0
ROLES = ("log", "control", "node", "network", "worker")


def scenarios() -> Iterable[str]:
    """What can be named as SCENARIO."""
    from magpieshift.lab.scale.scenario import SCENARIOS

    return [*SCENARIOS, CALIBRATE, TOPOLOGY]


def feeds() -> Iterable[str]:
    """The ways to feed a router."""
    from magpieshift.lab.scale.run import FEEDS

    return FEEDS


@click.command(
    "scale",
    epilog="\b\nExamples:\n  magpieshift lab scale steady --routers 50 --seed 1 --json\n"
    "  magpieshift lab scale calibrate --runs 3 --save docs/capacity/calibration.json",
)
@click.argument("scenario", required=False, type=OneOf(scenarios))
@click.option("--list", "listed", is_flag=True, help="The scenarios.")
@click.option("--routers", type=Whole(), default=20, show_default=True, help="Hollow routers.")
@click.option("--seed", type=SEED, default=1, show_default=True, help="Of the load and of the topology.")
@click.option(
    "--seconds",
    type=Number(LEAST_SECONDS, DAY_S),
    default=20.0,
    show_default=True,
    help="Length of the load.",
)
@click.option(
    "--settle",
    type=Number(0.0, DAY_S),
    default=15.0,
    show_default=True,
    help="Seconds after it for all to catch up.",
)
@click.option("--feed", type=OneOf(feeds), default="direct", show_default=True, help="How routers are fed.")
@click.option("--caches", type=Whole(), default=1000, show_default=True, help="Caches in the list.")
@click.option("--topology", default="", help="File with the places of routers, in place of --routers.")
@click.option(
    "--runs", type=Whole(), default=3, show_default=True, help="Of each size and kind, with calibrate."
)
@click.option(
    "--sizes", type=Sizes(), default="1,4,10", show_default=True, help="Numbers of routers, with calibrate."
)
@click.option(
    "--drop-every",
    type=Whole(0),
    default=0,
    hidden=True,
    help="Planted fault: routers drop every such purge.",
)
@click.option("--logs", type=NewFolder(), default="", help="Folder for the log lines of all processes.")
@click.option("--save", type=NewFile(), default="", help="File to write the whole result to, as JSON.")
@JSON
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
    """Many hollow routers (the control side of real ones) under the load of a large fleet; exit code 1 if an
    invariant broke. SCENARIO is one of --list; or "calibrate", which holds hollow ones against real ones; or
    "topology", which prints a generated file for --topology."""
    from magpieshift.lab.scale.calibration import Calibration
    from magpieshift.lab.scale.processes import ProcessEnded
    from magpieshift.lab.scale.run import Plan
    from magpieshift.lab.scale.scenario import SCENARIOS
    from magpieshift.lab.scale.topology import generate, read_file, write

    if listed:
        for known in SCENARIOS.values():
            click.echo(f"{known.name}: {known.summary}")
        return
    if scenario is None:
        raise click.UsageError(f"SCENARIO: found nothing, expected one of {', '.join(scenarios())}")
    if scenario == TOPOLOGY:
        click.echo(write(generate(routers, seed)), nl=False)
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
        _play(plan, save, as_json)
    except ProcessEnded as err:
        raise click.ClickException(str(err)) from None
    except TimeoutError:
        raise click.ClickException("the processes of the run were not ready in time") from None


def _play(plan: Plan, save: str, as_json: bool) -> None:
    from magpieshift.lab.scale.run import Run
    from magpieshift.lab.scale.saved import save_result

    progress = Progress()
    result = asyncio.run(Run(plan, progress.show).play())
    progress.end()
    if save:
        save_result(save, result.as_data(), plan.seed)
    for note in [*result.notes, *(f"broken: {rule}" for rule in result.rules_broken)]:
        click.echo(note, err=True)
    if as_json:
        click.echo(json.dumps(result.as_data()))
    else:
        _show(result.as_data())
    if result.rules_broken:
        raise SystemExit(1)


def _show(figures: dict[str, object]) -> None:
    from magpieshift.cli import show

    show.table(("figure", "value"), [(name, "unknown" if v is None else v) for name, v in figures.items()])


def _calibrate(plan: Calibration, save: str, as_json: bool) -> None:
    from magpieshift.lab.scale.calibration import calibrate
    from magpieshift.lab.scale.saved import save_result

    progress = Progress()
    found = asyncio.run(calibrate(plan, progress.show))
    progress.end()
    if save:
        save_result(save, found, plan.seed)
    if as_json:
        click.echo(json.dumps(found))
    else:
        from magpieshift.cli import show

        show.rows(found["rows"], False)


class Progress:
    """One line on a terminal that is written over; nothing elsewhere."""

    def __init__(self) -> None:
        self._shown = sys.stderr.isatty()

    def show(self, line: str) -> None:
        if self._shown:
            click.echo(f"\r\033[K{line}", err=True, nl=False)

    def end(self) -> None:
        if self._shown:
            click.echo("\r\033[K", err=True, nl=False)


@click.command("scale-process", hidden=True)
@click.argument("role", type=OneOf(lambda: ROLES))
def scale_process(role: str) -> None:
    """A process of ``lab scale``, which speaks on standard input and output."""
    from magpieshift.lab.scale import changelog, controller, network, node, worker

    setup("pairs")  # as ``run`` has it: what a router logs is part of what it costs
    parts = {
        "log": changelog.run,
        "control": controller.run,
        "node": node.run,
        "network": network.run,
        "worker": worker.run,
    }
    asyncio.run(parts[role]())
