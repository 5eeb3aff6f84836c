"""Commands that check, start, resume, inspect, pause, stop and roll back rollouts."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from magpieshift.cli import output
from magpieshift.cli.groups import JSON_OPTION, SuggestingGroup
from magpieshift.cli.logs import setup
from magpieshift.config import ConfigError

if TYPE_CHECKING:
    from magpieshift.rollout.plan import Plan

STATE_OPTION = click.option("--state", required=True, help="Folder with the rollout's journal and status.")
WATCH_INTERVAL_S = 1.0
"""Polling interval of ``status --watch``; the option's help text states it."""
MAX_SHOWN_ROUTERS = 12
"""Largest number of routers named in a row of ``rollout check``, to keep the table readable."""
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


@click.group(cls=SuggestingGroup)
def rollout() -> None:
    """Roll out a new version to a fleet in stages, comparing old and new routers side by side."""


def _load_plan(path: str) -> Plan:
    """The plan in a file; ``ConfigError`` if it cannot be used."""
    from magpieshift.control.errors import UnusableDocumentError
    from magpieshift.rollout.plan_reader import load_plan_file

    try:
        return load_plan_file(path)
    except UnusableDocumentError as err:
        raise ConfigError(f"{path}: {err}") from err


@rollout.command(epilog="\b\nExample:\n  magpieshift rollout check plan.sexp")
@click.argument("plan")
@JSON_OPTION
def check(plan: str, as_json: bool) -> None:
    """Validate a plan, and show which routers each stage would change."""
    loaded = _load_plan(plan)
    changed: set[str] = set()
    rows = []
    for stage in loaded.stages:
        changes = [name for name in stage.targets if name not in changed]
        changed |= set(stage.targets)
        rows.append(
            {
                "stage": stage.name,
                "new": len(changed),
                "of": len(loaded.routers),
                "soak_s": stage.bake_s,
                "most_s": stage.max_bake_s,
                "changes": " ".join(changes[:MAX_SHOWN_ROUTERS]),
            }
        )
    output.print_rows(rows, as_json)


def _run_coordinator(
    plan_path: str, state: str, as_json: bool, is_new: bool, roll_back: bool = False
) -> None:
    """Run a coordinator until its rollout is over, held or superseded; exit code 1 if not all routers run
    the new version then, or with ``roll_back`` the old one."""
    from magpieshift.rollout.errors import JournalError, TermUnknownError
    from magpieshift.rollout.journal import read_rows
    from magpieshift.rollout.runner import RolloutRunner

    folder = Path(state)
    plan = _load_plan(plan_path)
    last_line = ""

    def print_status(status: Any) -> None:
        """Print a status line, unless it equals the previous one."""
        nonlocal last_line
        line = (
            f"{status['way']:8} {status['stage']:10} new {len(status['new'])} old {len(status['old'])} "
            f"away {len(status['away'])}  {status['verdict']}: {status['why']}"
        )
        if line != last_line and not as_json:
            click.echo(line)
        last_line = line

    setup("pairs")
    try:
        if is_new and read_rows(folder):
            raise ConfigError(
                f"--state: {state} already contains a rollout; resume it, or choose another folder"
            )
        status = asyncio.run(RolloutRunner(plan, folder, on_status=print_status, roll_back=roll_back).run())
    except (JournalError, ValueError) as err:
        raise ConfigError(str(err)) from err
    except TermUnknownError as err:
        raise click.ClickException(str(err)) from err
    if as_json:
        click.echo(json.dumps(status))
    target = "old" if roll_back else "new"
    if status["way"] != "ended" or status[target] != sorted(plan.routers):
        raise SystemExit(1)


@rollout.command(epilog="\b\nExample:\n  magpieshift rollout start plan.sexp --state rollouts/new-7")
@click.argument("plan")
@STATE_OPTION
@JSON_OPTION
def start(plan: str, state: str, as_json: bool) -> None:
    """Carry out a plan. Exit code 1 if not all routers run the new version at the end."""
    _run_coordinator(plan, state, as_json, is_new=True)


@rollout.command(epilog="\b\nExample:\n  magpieshift rollout resume plan.sexp --state rollouts/new-7")
@click.argument("plan")
@STATE_OPTION
@click.option("--back", "roll_back", is_flag=True, help="Roll all routers back instead of continuing.")
@JSON_OPTION
def resume(plan: str, state: str, roll_back: bool, as_json: bool) -> None:
    """Resume, under a new term, a rollout whose coordinator has exited or put it on hold. Exit code 1 if not
    all routers run the new version at the end, or with --back the old one."""
    _run_coordinator(plan, state, as_json, is_new=False, roll_back=roll_back)


def _read_status(path: Path) -> dict[str, Any]:
    """The status that a coordinator wrote to its folder; ``ConfigError`` if it is missing or invalid."""
    try:
        status_data = json.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError, RecursionError) as err:
        raise ConfigError(f"{path.parent}: the rollout status cannot be read: {err}") from err
    if not isinstance(status_data, dict) or not status_data.keys() >= set(STATUS_KEYS):
        raise ConfigError(
            f"{path}: found {status_data!r:.80}, expected a status with the keys {', '.join(STATUS_KEYS)}"
        )
    return status_data


@rollout.command(epilog="\b\nExample:\n  magpieshift rollout status --state rollouts/new-7 --watch")
@STATE_OPTION
@click.option(
    "--watch",
    is_flag=True,
    help="Print the status every second until the rollout is over, held or superseded.",
)
@JSON_OPTION
def status(state: str, watch: bool, as_json: bool) -> None:
    """Show the status of a rollout: stages, routers, figures of old and new routers, the verdict and its
    reason."""
    from magpieshift.rollout.state_folder import STATUS_FILE

    while True:
        current = _read_status(Path(state) / STATUS_FILE)
        if as_json:
            output.print_json(current)
        else:
            _print_status(current)
        if not watch or current["way"] in ("ended", "hold") or current["fenced"]:
            return
        time.sleep(WATCH_INTERVAL_S)


def _print_status(current: dict[str, Any]) -> None:
    """Print a rollout's status as text."""
    stages = " ".join(f"[{stage}]" if stage == current["stage"] else stage for stage in current["stages"])
    click.echo(f"{current['name']} (term {current['term']}): {current['way']}, {stages}")
    away = ", ".join(current["away"]) or "none"
    click.echo(f"new {len(current['new'])}, old {len(current['old'])}, away: {away}")
    rows = [
        {
            "class": name,
            "new served": row["new"][0],
            "of": row["new"][1],
            "old served": row["old"][0],
            "of ": row["old"][1],
            "difference": "{} to {}".format(*row["between"]),
        }
        for name, row in current["figures"]["classes"].items()
    ]
    output.print_rows(rows, as_json=False)
    click.echo(f"{current['verdict']}: {current['why']}")


@rollout.command(epilog="\b\nExample:\n  magpieshift rollout report --state rollouts/v7")
@STATE_OPTION
def report(state: str) -> None:
    """Write an HTML report with plots of a running or finished rollout; needs the laboratory's libraries."""
    from magpieshift.lab.experiments import rollout_report
    from magpieshift.rollout.errors import JournalError

    try:
        click.echo(rollout_report.write(Path(state)))
    except (JournalError, ValueError) as err:
        raise ConfigError(str(err)) from err


def _require_rollout(folder: Path) -> None:
    """``ConfigError`` unless a coordinator has written a journal in this folder."""
    from magpieshift.rollout.errors import JournalError
    from magpieshift.rollout.journal import read_rows

    if not folder.is_dir():
        raise ConfigError(f"--state: found {str(folder)!r}, expected a folder")
    try:
        records = read_rows(folder)
    except JournalError as err:
        raise ConfigError(f"{folder}: {err}") from err
    if not records:
        raise ConfigError(f"--state: {folder} contains no rollout")


def _add_control_command(word: str, help_text: str) -> None:
    """Add a sub-command that sends this action to a running coordinator."""

    @rollout.command(word, help=help_text)
    @STATE_OPTION
    @click.option("--why", default="", help="Reason to record in the journal.")
    def _control(state: str, why: str) -> None:
        from magpieshift.rollout.state_folder import request_action

        _require_rollout(Path(state))
        request_action(Path(state), word, why)


for _word, _help_text in (
    ("pause", "Start no further steps until go-on is given."),
    ("go-on", "Continue after a pause."),
    ("stop", "Put the rollout on hold; routers keep the versions that they run."),
    ("back", "Roll all routers back to the old version."),
):
    _add_control_command(_word, _help_text)
