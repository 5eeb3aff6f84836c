"""The command ``lab rollout``: complete rollouts with real router processes or in simulation."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

import click

from magpieshift.cli import output
from magpieshift.cli.groups import JSON_OPTION
from magpieshift.cli.parameters import SEED_TYPE, WholeNumber, WritableFolder

MIN_REAL_ROUTERS = 2
"""Smallest number of router processes: a rollout compares at least one old router with one new one."""
MAX_REAL_ROUTERS = 16
"""Largest number of router processes: one machine also generates their load, and more processes would disturb
the comparison."""
DEFAULT_REAL_ROUTERS = 8
"""Default number of router processes: more take longer and disturb each other; with fewer, some stages
contain a single router."""
DEFAULT_SIMULATED_ROUTERS = 200
"""Default number of simulated routers: more take longer; fewer show less of the combined behaviour of many
routers."""


@click.command("rollout", epilog="\b\nExample:\n  magpieshift lab rollout --scenario leak --simulated")
@click.option("--scenario", default="", help="Scenario to run; all scenarios if not given.")
@click.option(
    "--routers",
    default=0,
    type=WholeNumber(0, 10_000),
    help="Number of routers; 0: 8 real or 200 simulated ones.",
)
@click.option("--seed", default=1, show_default=True, type=SEED_TYPE)
@click.option(
    "--simulated",
    is_flag=True,
    help="Simulate the routers; plan, analysis and coordinator are the real ones, on a simulated clock.",
)
@click.option(
    "--runs",
    default=1,
    show_default=True,
    type=WholeNumber(),
    help="With --simulated: number of rollouts per scenario; the seed is one higher for each.",
)
@click.option(
    "--before",
    is_flag=True,
    help="With --simulated, an ablation: compare new routers with the old ones before the stage.",
)
@click.option(
    "--folder",
    default="",
    type=WritableFolder(),
    help="Folder for logs, settings and the journal; a new folder in the temporary directory if not given.",
)
@JSON_OPTION
def lab_rollout(
    scenario: str,
    routers: int,
    seed: int,
    simulated: bool,
    runs: int,
    before: bool,
    folder: str,
    as_json: bool,
) -> None:
    """Run complete rollouts: of real processes under load, or thousands in simulation; exit code 1 if a
    rollout reached a wrong verdict, did not end or broke a rule."""
    from magpieshift.lab.fault_injection import rollouts as real
    from magpieshift.lab.simulated import rollout_scenarios

    known = rollout_scenarios.SCENARIOS if simulated else real.SCENARIOS
    if scenario and scenario not in known:
        raise click.UsageError(f"--scenario: found {scenario}, expected one of {', '.join(known)}")
    if not simulated and routers and not MIN_REAL_ROUTERS <= routers <= MAX_REAL_ROUTERS:
        raise click.UsageError(
            f"--routers: found {routers}, expected {MIN_REAL_ROUTERS} to {MAX_REAL_ROUTERS} "
            "unless --simulated is given"
        )
    has_failed = False
    for name in [scenario] if scenario else list(known):
        if simulated:
            row, is_good = _run_simulated(name, routers or DEFAULT_SIMULATED_ROUTERS, runs, seed, before)
        else:
            row, is_good = _run_real(name, routers or DEFAULT_REAL_ROUTERS, seed, folder)
        has_failed |= not is_good
        if as_json:
            click.echo(json.dumps(row))
        else:
            output.print_rows([row], as_json=False)
    if has_failed:
        raise SystemExit(1)


def _run_simulated(
    name: str, routers: int, runs: int, seed: int, before: bool
) -> tuple[dict[str, Any], bool]:
    """The figures of simulated rollouts, and whether all of them ended, none was stopped wrongly and no two
    coordinators had steps under way at the same time."""
    import os

    from magpieshift.lab.simulated import rollout as simulation

    row = simulation.play_many(name, routers, runs, seed, os.cpu_count() or 1, before)
    return row, not (row["stopped_wrongly"] or row["not_ended"] or row["terms_at_once"])


def _run_real(name: str, routers: int, seed: int, folder: str) -> tuple[dict[str, Any], bool]:
    """The figures of a rollout of real processes, and whether its verdict was right and no rule was
    broken."""
    import tempfile

    from magpieshift.lab.fault_injection import rollouts as real

    path = Path(folder or tempfile.mkdtemp(prefix="rollout-")) / name
    row = asyncio.run(real.run_rollout(name, path, routers, seed)) | {"folder": str(path)}
    is_bad_version = real.SCENARIOS[name].is_bad
    return row, not (row["stopped_wrongly"] or row["rules_broken"] or row["caught"] != is_bad_version)
