"""Sub-command of the laboratory that plays whole rollouts, of real processes or simulated."""

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
"""A rollout compares old with new, which takes one of each."""
MAX_REAL_ROUTERS = 16
"""Router processes that one machine runs beside their load. More disturb what is
compared."""
DEFAULT_REAL_ROUTERS = 8
"""More take longer and disturb each other, fewer leave stages of one router."""
DEFAULT_SIMULATED_ROUTERS = 200
"""More take longer, fewer show less of what many routers do together."""


@click.command("rollout", epilog="\b\nExample:\n  magpieshift lab rollout --scenario leak --simulated")
@click.option("--scenario", default="", help="One of them; all where none is named.")
@click.option("--routers", default=0, type=WholeNumber(0, 10_000), help="8 real ones, or 200 simulated.")
@click.option("--seed", default=1, show_default=True, type=SEED_TYPE)
@click.option("--simulated", is_flag=True, help="The same plan, judge and coordinator on a fake clock.")
@click.option(
    "--runs", default=1, show_default=True, type=WholeNumber(), help="Simulated: so many, seeds counting up."
)
@click.option("--before", is_flag=True, help="Simulated, an ablation: compare with what was before.")
@click.option(
    "--folder",
    default="",
    type=WritableFolder(),
    help="Where logs, settings and the journal are left; else in /tmp.",
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
    """Whole rollouts: of real processes under load, or thousands simulated; exit code 1 if one was judged
    wrongly or a rule was broken."""
    from magpieshift.lab.fault_injection import rollouts as real
    from magpieshift.lab.simulated import rollout_scenarios

    known = rollout_scenarios.SCENARIOS if simulated else real.SCENARIOS
    if scenario and scenario not in known:
        raise click.UsageError(f"--scenario: found {scenario}, expected one of {', '.join(known)}")
    if not simulated and routers and not MIN_REAL_ROUTERS <= routers <= MAX_REAL_ROUTERS:
        raise click.UsageError(
            f"--routers: found {routers}, expected {MIN_REAL_ROUTERS} to {MAX_REAL_ROUTERS} "
            "where they are no simulation"
        )
    has_failed = False
    for name in [scenario] if scenario else list(known):
        if simulated:
            row, is_good = _play_simulated(name, routers or DEFAULT_SIMULATED_ROUTERS, runs, seed, before)
        else:
            row, is_good = _play_real(name, routers or DEFAULT_REAL_ROUTERS, seed, folder)
        has_failed |= not is_good
        if as_json:
            click.echo(json.dumps(row))
        else:
            output.print_rows([row], as_json=False)
    if has_failed:
        raise SystemExit(1)


def _play_simulated(
    name: str, routers: int, runs: int, seed: int, before: bool
) -> tuple[dict[str, Any], bool]:
    """The figures of simulated rollouts, and whether all were judged rightly and ended."""
    import os

    from magpieshift.lab.simulated import rollout as simulation

    row = simulation.play_many(name, routers, runs, seed, os.cpu_count() or 1, before)
    return row, not (row["stopped_wrongly"] or row["not_ended"] or row["terms_at_once"])


def _play_real(name: str, routers: int, seed: int, folder: str) -> tuple[dict[str, Any], bool]:
    """The figures of a rollout of real processes, and whether it was judged rightly and broke no rule."""
    import tempfile

    from magpieshift.lab.fault_injection import rollouts as real

    path = Path(folder or tempfile.mkdtemp(prefix="rollout-")) / name
    row = asyncio.run(real.play(name, path, routers, seed)) | {"folder": str(path)}
    is_bad_version = real.SCENARIOS[name].is_bad
    return row, not (row["stopped_wrongly"] or row["rules_broken"] or row["caught"] != is_bad_version)
