"""Commands on rollouts: plan, start, look at, stop and put back."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import click

from magpieshift.cli.hinting import JSON, Hinting
from magpieshift.cli.logs import setup
from magpieshift.cli.parameters import SEED, NewFolder, Whole
from magpieshift.config import ConfigError

STATE = click.option("--state", required=True, help="Folder of the rollout's journal.")
# router processes on one machine
LEAST_REAL = 2
MOST_REAL = 16
STATUS_KEYS = (
    "name",
    "term",
    "way",
    "stages",
    "stage",
    "new",
    "old",
    "away",
    "figures",
    "verdict",
    "why",
    "fenced",
)


@click.group(cls=Hinting)
def rollout() -> None:
    """Change a fleet in stages, with old and new compared side by side."""


def _plan(path: str) -> Any:
    from magpieshift.control.errors import UnusableDocumentError
    from magpieshift.rollout.plan_reader import load_plan_file

    try:
        return load_plan_file(path)
    except UnusableDocumentError as err:
        raise ConfigError(f"{path}: {err}") from err


@rollout.command(epilog="\b\nExample:\n  magpieshift rollout check plan.sexp")
@click.argument("plan")
@JSON
def check(plan: str, as_json: bool) -> None:
    """Whether a plan can be used, and what it would change when."""
    from magpieshift.cli import show

    found = _plan(plan)
    before: set[str] = set()
    rows = []
    for stage in found.stages:
        fresh = [name for name in stage.targets if name not in before]
        before |= set(stage.targets)
        rows.append(
            {
                "stage": stage.name,
                "new": len(before),
                "of": len(found.routers),
                "soak_s": stage.soak_s,
                "most_s": stage.most_s,
                "changes": " ".join(fresh[:12]),
            }
        )
    show.rows(rows, as_json)


def _carry_out(plan: str, state: str, as_json: bool, fresh: bool, back: bool = False) -> None:
    from magpieshift.rollout.errors import JournalError
    from magpieshift.rollout.journal import read_rows
    from magpieshift.rollout.runner import RolloutRunner

    folder = Path(state)
    found = _plan(plan)
    last = ""

    def told(status: Any) -> None:
        nonlocal last
        line = (
            f"{status['way']:8} {status['stage']:10} new {len(status['new'])} old {len(status['old'])} "
            f"away {len(status['away'])}  {status['verdict']}: {status['why']}"
        )
        if line != last and not as_json:
            click.echo(line)
        last = line

    setup("pairs")
    try:
        if fresh and read_rows(folder):
            raise ConfigError(f"{state} holds a rollout already: resume it, or name another folder")
        status = asyncio.run(RolloutRunner(found, folder, on_status=told, roll_back=back).run())
    except (JournalError, ValueError) as err:
        raise ConfigError(str(err)) from err
    if as_json:
        click.echo(json.dumps(status))
    wanted = "old" if back else "new"
    if status["way"] != "ended" or status[wanted] != sorted(found.routers):
        raise SystemExit(1)


@rollout.command(epilog="\b\nExample:\n  magpieshift rollout start plan.sexp --state rollouts/new-7")
@click.argument("plan")
@STATE
@JSON
def start(plan: str, state: str, as_json: bool) -> None:
    """Carry a plan out. Exit code 1 where the fleet is not all new at the end."""
    _carry_out(plan, state, as_json, fresh=True)


@rollout.command(epilog="\b\nExample:\n  magpieshift rollout resume plan.sexp --state rollouts/new-7")
@click.argument("plan")
@STATE
@click.option("--back", "put_back", is_flag=True, help="Put all back in place of going on.")
@JSON
def resume(plan: str, state: str, put_back: bool, as_json: bool) -> None:
    """Go on with a rollout whose coordinator has ended or held, under a later term."""
    _carry_out(plan, state, as_json, fresh=False, back=put_back)


def _status(path: Path) -> dict[str, Any]:
    """What a coordinator has left in its folder; ``ConfigError`` where that is no status."""
    try:
        found = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as err:
        raise ConfigError(f"{path.parent}: no status: {err}") from err
    if not isinstance(found, dict) or not found.keys() >= set(STATUS_KEYS):
        raise ConfigError(f"{path}: found {found!r:.80}, expected {', '.join(STATUS_KEYS)}")
    return found


@rollout.command(epilog="\b\nExample:\n  magpieshift rollout status --state rollouts/new-7 --watch")
@STATE
@click.option("--watch", is_flag=True, help="Again every second, until it is over.")
@JSON
def status(state: str, watch: bool, as_json: bool) -> None:
    """Where a rollout stands: stages, routers, both sides' figures, and why it does what it does."""
    from magpieshift.cli import show
    from magpieshift.rollout.state_folder import STATUS_FILE

    while True:
        found = _status(Path(state) / STATUS_FILE)
        if as_json:
            show.as_json(found)
        else:
            stages = " ".join(f"[{s}]" if s == found["stage"] else s for s in found["stages"])
            click.echo(f"{found['name']} (term {found['term']}): {found['way']}, {stages}")
            away = ", ".join(found["away"]) or "nobody"
            click.echo(f"new {len(found['new'])}, old {len(found['old'])}, away: {away}")
            show.rows(
                [
                    {
                        "class": name,
                        "new served": row["new"][0],
                        "of": row["new"][1],
                        "old served": row["old"][0],
                        "of ": row["old"][1],
                        "difference": "{} to {}".format(*row["between"]),
                    }
                    for name, row in found["figures"]["classes"].items()
                ],
                False,
            )
            click.echo(f"{found['verdict']}: {found['why']}")
        if not watch or found["way"] in ("ended", "hold") or found["fenced"]:
            return
        time.sleep(1.0)


@rollout.command(epilog="\b\nExample:\n  magpieshift rollout report --state rollouts/v7")
@STATE
def report(state: str) -> None:
    """An HTML report with plots of a rollout, under way or over; needs the laboratory's libraries."""
    from magpieshift.lab.experiments import rollout_report
    from magpieshift.rollout.errors import JournalError

    try:
        click.echo(rollout_report.write(Path(state)))
    except (JournalError, ValueError) as err:
        raise ConfigError(str(err)) from err


def _must_hold_rollout(folder: Path) -> None:
    """``ConfigError`` where no coordinator has ever worked in this folder."""
    from magpieshift.rollout.errors import JournalError
    from magpieshift.rollout.journal import read_rows

    if not folder.is_dir():
        raise ConfigError(f"{folder} is no folder")
    try:
        records = read_rows(folder)
    except JournalError as err:
        raise ConfigError(f"{folder}: {err}") from err
    if not records:
        raise ConfigError(f"{folder} holds no rollout")


def _say(word: str, help_text: str) -> click.Command:
    @rollout.command(word, help=help_text)
    @STATE
    @click.option("--why", default="", help="For the journal.")
    def command(state: str, why: str) -> None:
        from magpieshift.rollout.state_folder import request_action

        _must_hold_rollout(Path(state))
        request_action(Path(state), word, why)

    return command


for _word, _help in (
    ("pause", "Begin no further step until resumed."),
    ("go-on", "Go on after a pause."),
    ("stop", "Stop where it stands."),
    ("back", "Put all back."),
):
    _say(_word, _help)


@click.command("rollout", epilog="\b\nExample:\n  magpieshift lab rollout --scenario leak --simulated")
@click.option("--scenario", default="", help="One of them; all where none is named.")
@click.option("--routers", default=0, type=Whole(0, 10_000), help="8 real ones, or 200 simulated.")
@click.option("--seed", default=1, show_default=True, type=SEED)
@click.option("--simulated", is_flag=True, help="The same plan, judge and coordinator on a fake clock.")
@click.option(
    "--runs", default=1, show_default=True, type=Whole(), help="Simulated: so many, seeds counting up."
)
@click.option("--before", is_flag=True, help="Simulated, an ablation: compare with what was before.")
@click.option(
    "--folder",
    default="",
    type=NewFolder(),
    help="Where logs, settings and the journal are left; else in /tmp.",
)
@JSON
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
    import os
    import tempfile

    from magpieshift.cli import show
    from magpieshift.lab.fault_injection import rollouts as proving
    from magpieshift.lab.simulated import rollout as simulation
    from magpieshift.lab.simulated import rollout_scenarios

    known = rollout_scenarios.SCENARIOS if simulated else proving.SCENARIOS
    if scenario and scenario not in known:
        raise click.UsageError(f"--scenario: found {scenario}, expected one of {', '.join(known)}")
    if not simulated and routers and not LEAST_REAL <= routers <= MOST_REAL:
        raise click.UsageError(
            f"--routers: found {routers}, expected {LEAST_REAL} to {MOST_REAL} where they are no simulation"
        )
    wrong = False
    for name in [scenario] if scenario else list(known):
        if simulated:
            row = simulation.many(name, routers or 200, runs, seed, os.cpu_count() or 1, before)
            wrong |= bool(row["stopped_wrongly"] or row["not_ended"] or row["terms_at_once"])
        else:
            where = Path(folder or tempfile.mkdtemp(prefix="rollout-")) / name
            row = asyncio.run(proving.play(name, where, routers or 8, seed)) | {"folder": str(where)}
            bad = proving.SCENARIOS[name][2]
            wrong |= bool(row["stopped_wrongly"] or row["rules_broken"] or row["caught"] != bad)
        if as_json:
            click.echo(json.dumps(row))
        else:
            show.rows([row], False)
    if wrong:
        raise SystemExit(1)
