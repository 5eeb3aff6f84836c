"""Laboratory commands for whole fleets: simulated membership and overload, and fault injection into real
router processes."""

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
    help="Fleet sizes to simulate.",
)
@click.option("--seed", default=1, show_default=True, type=SEED_TYPE)
@click.option(
    "--minutes",
    default=2.0,
    show_default=True,
    type=FiniteNumber(0, 10_000),
    help="Simulated minutes with datagram loss and pauses.",
)
@click.option(
    "--loss",
    default=0.3,
    show_default=True,
    type=FRACTION_TYPE,
    help="Share of datagrams lost during --minutes.",
)
@click.option(
    "--deaths",
    default=5,
    show_default=True,
    type=WholeNumber(0),
    help="Routers that die after --minutes, one after another; at most a third of the fleet.",
)
@click.option(
    "--without",
    type=click.Choice(["health", "observers"]),
    help="Ablation: disable this part of failure detection.",
)
@click.option(
    "--explore",
    default=0,
    type=WholeNumber(0, 1 << 40),
    help="Instead explore all histories of three members, up to this number of states.",
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
    """Run membership on a simulated network: datagram loss, pauses, deaths, a partition and its healing."""
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
    from magpieshift.lab.experiments.membership_trial import run_trial
    from magpieshift.membership.codec import encode
    from magpieshift.membership.suspicion import DetectorTuning

    tuning = DetectorTuning(local_health=without != "health")
    if without == "observers":
        tuning = replace(tuning, monitored_peers=1, suspicion_quorum=1)
    rows = []
    for size in routers:
        result = run_trial(
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
    """The names accepted by --scenario."""
    from magpieshift.lab.experiments.overload import SCENARIOS

    return SCENARIOS


@click.command("overload", epilog="\b\nExample:\n  magpieshift lab overload --scenario origin-half --json")
@click.option(
    "--scenario",
    default="",
    type=LazyChoice(_overload_scenarios),
    help="Scenario to run; all scenarios if not given.",
)
@click.option("--routers", default=40, show_default=True, type=WholeNumber(1, 10_000))
@click.option("--seed", default=1, show_default=True, type=SEED_TYPE)
@click.option(
    "--load",
    default=1.0,
    show_default=True,
    type=FiniteNumber(0, 1000, above_minimum=True),
    help="Offered load as a multiple of the load that the installation is designed for.",
)
@click.option("--without", is_flag=True, help="Disable gossip between the routers.")
@click.option(
    "--digests-lost",
    default=0.0,
    show_default=True,
    type=FRACTION_TYPE,
    help="Share of gossip digests that are lost.",
)
@click.option(
    "--liars",
    default=0,
    show_default=True,
    type=WholeNumber(0),
    help="Number of routers that falsely report all endpoints as failing.",
)
@click.option(
    "--map", "show_map", is_flag=True, help="Instead run all combinations of loads, triggers and clients."
)
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
    """Run overload scenarios on a simulated fleet of real engines and policies, to measure the combined
    behaviour of all routers."""
    import os

    from magpieshift.lab.experiments.overload import SCENARIOS, GossipSettings, run_map, run_scenario
    from magpieshift.lab.simulated.fleet_state import FleetSize

    if liars > routers:
        raise ConfigError(f"--liars: found {liars}, expected at most {routers}, the number of routers")
    fleet_size = FleetSize(routers=routers, seed=seed, load_factor=load)
    if show_map:
        output.print_rows([vars(point) for point in run_map(fleet_size, os.cpu_count() or 1)], as_json)
        return
    for name in [scenario] if scenario else SCENARIOS:
        row = run_scenario(name, fleet_size, None if without else GossipSettings(digests_lost, liars)).row()
        if as_json:
            click.echo(json.dumps(row))
        else:
            output.print_rows([row], as_json=False)


@click.command("fleet-run", epilog="\b\nExample:\n  magpieshift lab fleet-run paused --seed 2 --json")
@click.argument("scenario", required=False)
@click.option(
    "--routers", default=0, type=WholeNumber(0, 16), help="Number of routers; replaces the scenario's."
)
@click.option("--seed", default=0, type=SEED_TYPE, help="Seed; replaces the scenario's.")
@click.option("--list", "listed", is_flag=True, help="List the built-in scenarios, which need no file.")
@click.option(
    "--folder",
    default="",
    type=WritableFolder(),
    help="Folder for settings, logs and the verdict; a new folder in the temporary directory if not given.",
)
@JSON_OPTION
def fleet_run(
    scenario: str | None, routers: int, seed: int, listed: bool, folder: str, as_json: bool
) -> None:
    """Run real router processes and inject faults into them and the network between them; exit code 1 if a
    rule was broken or a process was left running."""
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
        raise click.UsageError(
            "SCENARIO: found nothing, expected a scenario file or a scenario listed by --list"
        )
    try:
        plan = scenarios.find_scenario(scenario)
        plan = scenarios.resized(plan, routers or plan.routers, seed or plan.seed)
    except UnusableDocumentError as err:
        raise ConfigError(f"{scenario}: {err}") from err
    path = Path(folder) if folder else Path(tempfile.mkdtemp(prefix="fleet-run-"))
    verdict = asyncio.run(runs.run_scenario(plan, path, (lambda line: None) if as_json else click.echo))
    with contextlib.suppress(ImportError):  # the plotting library is optional
        runs.plot(path)
    click.echo(json.dumps(verdict | {"folder": str(path)}))
    if verdict["rules_broken"] or verdict["left_running"]:
        raise SystemExit(1)


@click.command("trials", epilog="\b\nExample:\n  magpieshift lab trials --runs 4 --seed 100 --json")
@click.option(
    "--runs",
    default=1,
    show_default=True,
    type=WholeNumber(),
    help="Number of random histories; the seed is one higher for each.",
)
@click.option("--seed", default=1, show_default=True, type=SEED_TYPE)
@click.option("--routers", default=6, show_default=True, type=WholeNumber(2, 16))
@click.option("--seconds", default=40.0, show_default=True, type=FiniteNumber(10, 3600))
@click.option("--faults", default=8, show_default=True, type=WholeNumber(0, 1000))
@click.option(
    "--shrink/--no-shrink",
    default=True,
    help="Reduce a failing history to a smaller scenario that still fails.",
)
@click.option(
    "--folder",
    default="",
    type=WritableFolder(),
    help="Folder for all results; a new folder in the temporary directory if not given.",
)
@JSON_OPTION
def trials(
    runs: int, seed: int, routers: int, seconds: float, faults: int, shrink: bool, folder: str, as_json: bool
) -> None:
    """Run random fault histories with real router processes; exit code 1 if one broke a rule or left a
    process running."""
    import tempfile
    from pathlib import Path

    from magpieshift.lab.fault_injection import random_runs
    from magpieshift.lab.fault_injection import run as fault_runs

    path = Path(folder) if folder else Path(tempfile.mkdtemp(prefix="trials-"))
    broken_count = 0
    for run_seed in range(seed, seed + runs):
        run = random_runs.draw(run_seed, routers, seconds, faults)
        verdict = asyncio.run(fault_runs.run_scenario(run, path / f"{run_seed}"))
        is_broken = bool(verdict["rules_broken"] or verdict["left_running"])
        if is_broken and shrink:
            verdict["shrunk"] = _shrink(run, path, f"{run_seed}")
        broken_count += is_broken
        if as_json:
            click.echo(json.dumps(verdict | {"folder": str(path / f"{run_seed}")}))
        else:
            rules = "; ".join(verdict["rules_broken"]) or "no rule broken"
            click.echo(
                f"seed {run_seed}: {len(run.faults)} faults, sent {verdict['asked']}, "
                f"served {verdict['served']}: {rules}"
            )
    if broken_count:
        raise SystemExit(1)


def _shrink(run: Scenario, path: Path, name: str) -> str:
    """Reduce a failing history to a smaller scenario that still fails; returns the path of its file."""
    from magpieshift.lab.fault_injection import random_runs, scenario
    from magpieshift.lab.fault_injection import run as fault_runs

    attempts = itertools.count()

    async def still_fails(smaller: Scenario) -> bool:
        """Whether this part of the history breaks a rule too."""
        verdict = await fault_runs.run_scenario(smaller, path / f"{name}-{next(attempts)}")
        return bool(verdict["rules_broken"])

    smallest = asyncio.run(random_runs.shrink(run, still_fails))
    file = path / f"{name}-shrunk.sexp"
    file.write_text(scenario.format_scenario(smallest))
    return str(file)
