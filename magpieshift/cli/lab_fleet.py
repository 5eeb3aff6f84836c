"""Sub-commands of the laboratory for whole fleets: membership and overload simulated, faults in processes."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
from collections.abc import Iterable
from dataclasses import replace
from typing import TYPE_CHECKING

import click

from magpieshift.cli import output
from magpieshift.cli.groups import JSON_OPTION
from magpieshift.cli.parameters import (
    FRACTION_TYPE,
    SEED_TYPE,
    FiniteNumber,
    LazyChoice,
    WholeNumber,
    WholeNumberList,
    WritableFolder,
)
from magpieshift.config import ConfigError

if TYPE_CHECKING:
    from pathlib import Path

    from magpieshift.lab.fault_injection.scenario import Scenario


@click.command("members", epilog="\b\nExample:\n  magpieshift lab members --routers 8,50 --seed 1 --json")
@click.option(
    "--routers",
    default="8,50",
    show_default=True,
    type=WholeNumberList(2, 10_000),
    help="Sizes of the fleet.",
)
@click.option("--seed", default=1, show_default=True, type=SEED_TYPE)
@click.option(
    "--minutes",
    default=2.0,
    show_default=True,
    type=FiniteNumber(0, 10_000),
    help="Under loss and pauses, simulated.",
)
@click.option(
    "--loss", default=0.3, show_default=True, type=FRACTION_TYPE, help="Share of datagrams lost meanwhile."
)
@click.option(
    "--deaths", default=5, show_default=True, type=WholeNumber(0), help="One after another, afterwards."
)
@click.option("--without", type=click.Choice(["health", "observers"]), help="An ablation.")
@click.option(
    "--explore",
    default=0,
    type=WholeNumber(0, 1 << 40),
    help="Instead: all histories of three, to so many states.",
)
@JSON_OPTION
def lab_members(
    routers: tuple[int, ...],
    seed: int,
    minutes: float,
    loss: float,
    deaths: int,
    without: str | None,
    explore: int,
    as_json: bool,
) -> None:
    """Membership on a simulated network: loss, pauses, deaths, a partition and its healing."""
    if explore:
        from magpieshift.lab.experiments import membership_exploration

        figures = vars(membership_exploration.explore(explore))
        if as_json:
            output.print_json(figures)
        else:
            output.print_rows([figures], as_json=False)
        if figures["disagreements"]:
            raise SystemExit(1)
        return
    from magpieshift.lab.experiments.membership_trial import play
    from magpieshift.membership.codec import encode
    from magpieshift.membership.suspicion import DetectorTuning

    tuning = DetectorTuning(local_health=without != "health")
    if without == "observers":
        tuning = replace(tuning, monitored_peers=1, suspicion_quorum=1)
    rows = []
    for size in routers:
        result = play(
            size,
            seed,
            minutes,
            loss,
            tuning=tuning,
            size=lambda datagram: len(encode(datagram)),
            deaths=deaths,
        )
        rows.append(vars(result))
        if not as_json:
            output.print_rows([vars(result)], as_json=False)
    if as_json:
        for row in rows:
            click.echo(json.dumps(row))


def _overload_scenarios() -> Iterable[str]:
    """What can be named as --scenario."""
    from magpieshift.lab.experiments.overload import SCENARIOS

    return SCENARIOS


@click.command("overload", epilog="\b\nExample:\n  magpieshift lab overload --scenario origin-half --json")
@click.option(
    "--scenario",
    default="",
    type=LazyChoice(_overload_scenarios),
    help="One of them; all where none is named.",
)
@click.option("--routers", default=40, show_default=True, type=WholeNumber(1, 10_000))
@click.option("--seed", default=1, show_default=True, type=SEED_TYPE)
@click.option(
    "--load",
    default=1.0,
    show_default=True,
    type=FiniteNumber(0, 1000, above_minimum=True),
    help="Times what the installation was made for.",
)
@click.option("--without", is_flag=True, help="Routers do not gossip.")
@click.option(
    "--digests-lost",
    default=0.0,
    show_default=True,
    type=FRACTION_TYPE,
    help="Share of their digests that is lost.",
)
@click.option(
    "--liars",
    default=0,
    show_default=True,
    type=WholeNumber(0),
    help="Routers that report that all endpoints fail.",
)
@click.option("--map", "show_map", is_flag=True, help="Instead: loads, triggers and clients, one by one.")
@JSON_OPTION
def lab_overload(
    scenario: str,
    routers: int,
    seed: int,
    load: float,
    without: bool,
    digests_lost: float,
    liars: int,
    show_map: bool,
    as_json: bool,
) -> None:
    """Overload on a simulated fleet of real engines and policies: what all routers do together."""
    import os

    from magpieshift.lab.experiments.overload import SCENARIOS, GossipSettings, map_of, play
    from magpieshift.lab.simulated.fleet import Form

    if liars > routers:
        raise ConfigError(f"--liars: found {liars}, expected no more than the {routers} routers")
    form = Form(routers=routers, seed=seed, load=load)
    if show_map:
        output.print_rows([vars(point) for point in map_of(form, os.cpu_count() or 1)], as_json)
        return
    for name in [scenario] if scenario else SCENARIOS:
        row = play(name, form, None if without else GossipSettings(digests_lost, liars)).row()
        if as_json:
            click.echo(json.dumps(row))
        else:
            output.print_rows([row], as_json=False)


@click.command("fleet-run", epilog="\b\nExample:\n  magpieshift lab fleet-run paused --seed 2 --json")
@click.argument("scenario", required=False)
@click.option("--routers", default=0, type=WholeNumber(0, 16), help="In place of the scenario's.")
@click.option("--seed", default=0, type=SEED_TYPE, help="In place of the scenario's.")
@click.option("--list", "listed", is_flag=True, help="The scenarios that need no file.")
@click.option(
    "--folder",
    default="",
    type=WritableFolder(),
    help="Where settings, logs and the verdict are left; else in /tmp.",
)
@JSON_OPTION
def fleet_run(
    scenario: str | None, routers: int, seed: int, listed: bool, folder: str, as_json: bool
) -> None:
    """Real router processes, and faults between and in them; exit code 1 if a rule was broken."""
    import tempfile
    from pathlib import Path

    from magpieshift.control.errors import UnusableDocumentError
    from magpieshift.lab.fault_injection import run as runs
    from magpieshift.lab.fault_injection import scenario as scenarios
    from magpieshift.lab.fault_injection.built_in_scenarios import BUILT_IN_SCENARIOS

    if listed:
        for name, data in BUILT_IN_SCENARIOS.items():
            click.echo(f"{name}: {len(data.get('faults', {}))} faults in {data['seconds']} s")
        return
    if scenario is None:
        raise click.UsageError("SCENARIO: found nothing, expected a file or one of --list")
    try:
        plan = scenarios.find_scenario(scenario)
        plan = scenarios.resized(plan, routers or plan.routers, seed or plan.seed)
    except UnusableDocumentError as err:
        raise ConfigError(f"{scenario}: {err}") from err
    path = Path(folder) if folder else Path(tempfile.mkdtemp(prefix="fleet-run-"))
    verdict = asyncio.run(runs.play(plan, path, (lambda line: None) if as_json else click.echo))
    with contextlib.suppress(ImportError):  # plots take a library that need not be installed
        runs.plot(path)
    click.echo(json.dumps(verdict | {"folder": str(path)}))
    if verdict["rules_broken"] or verdict["left_running"]:
        raise SystemExit(1)


@click.command("trials", epilog="\b\nExample:\n  magpieshift lab trials --runs 4 --seed 100 --json")
@click.option(
    "--runs", default=1, show_default=True, type=WholeNumber(), help="Histories, seeds counting up."
)
@click.option("--seed", default=1, show_default=True, type=SEED_TYPE)
@click.option("--routers", default=6, show_default=True, type=WholeNumber(2, 16))
@click.option("--seconds", default=40.0, show_default=True, type=FiniteNumber(10, 3600))
@click.option("--faults", default=8, show_default=True, type=WholeNumber(0, 1000))
@click.option("--shrink/--no-shrink", default=True, help="Cut a failing one down to a scenario.")
@click.option("--folder", default="", type=WritableFolder(), help="Where all is left; else in /tmp.")
@JSON_OPTION
def trials(
    runs: int, seed: int, routers: int, seconds: float, faults: int, shrink: bool, folder: str, as_json: bool
) -> None:
    """Random histories with real processes; exit code 1 if one broke a rule."""
    import tempfile
    from pathlib import Path

    from magpieshift.lab.fault_injection import random_runs
    from magpieshift.lab.fault_injection import run as fault_runs

    path = Path(folder) if folder else Path(tempfile.mkdtemp(prefix="trials-"))
    broken_count = 0
    for run_seed in range(seed, seed + runs):
        run = random_runs.draw(run_seed, routers, seconds, faults)
        verdict = asyncio.run(fault_runs.play(run, path / f"{run_seed}"))
        is_broken = bool(verdict["rules_broken"] or verdict["left_running"])
        if is_broken and shrink:
            verdict["shrunk"] = _shrink(run, path, f"{run_seed}")
        broken_count += is_broken
        if as_json:
            click.echo(json.dumps(verdict | {"folder": str(path / f"{run_seed}")}))
        else:
            rules = "; ".join(verdict["rules_broken"]) or "all held"
            click.echo(
                f"seed {run_seed}: {len(run.faults)} faults, asked {verdict['asked']}, "
                f"served {verdict['served']}: {rules}"
            )
    if broken_count:
        raise SystemExit(1)


def _shrink(run: Scenario, path: Path, name: str) -> str:
    """Cut a failing history down to a scenario that still fails; the path of its file."""
    from magpieshift.lab.fault_injection import random_runs, scenario
    from magpieshift.lab.fault_injection import run as fault_runs

    attempts = itertools.count()

    async def still_fails(smaller: Scenario) -> bool:
        """Whether this part of the history breaks a rule as well."""
        verdict = await fault_runs.play(smaller, path / f"{name}-{next(attempts)}")
        return bool(verdict["rules_broken"])

    smallest = asyncio.run(random_runs.shrink(run, still_fails))
    file = path / f"{name}-shrunk.sexp"
    file.write_text(scenario.format_scenario(smallest))
    return str(file)
