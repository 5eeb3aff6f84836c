"""Commands on rollouts: plan, start, look at, stop and put back."""

from __future__ import annotations

import asyncio
import json
import time
from pathlib import Path
from typing import Any

import click

from magpieshift.cli.hinting import JSON
from magpieshift.config import ConfigError

STATE = click.option("--state", required=True, help="Folder of the rollout's journal.")


@click.group()
def rollout() -> None:
    """Change a fleet in stages, with old and new compared side by side."""


def _plan(path: str) -> Any:
    from magpieshift.control.sexp import Unusable
    from magpieshift.rollout.plan import load_file

    try:
        return load_file(path)
    except Unusable as err:
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
        rows.append({
            "stage": stage.name, "new": len(before), "of": len(found.routers), "soak_s": stage.soak_s,
            "most_s": stage.most_s, "changes": " ".join(fresh[:12]),
        })  # fmt: skip
    show.rows(rows, as_json)


def _conduct(plan: str, state: str, as_json: bool, fresh: bool) -> None:
    from magpieshift.log import setup
    from magpieshift.rollout.conduct import Conduct
    from magpieshift.rollout.journal import JournalError, read

    folder, found = Path(state), _plan(plan)
    last = ""

    def told(status: Any) -> None:
        nonlocal last
        line = (f"{status['way']:8} {status['stage']:10} new {len(status['new'])} old {len(status['old'])} "
                f"away {len(status['away'])}  {status['verdict']}: {status['why']}")  # fmt: skip
        if line != last and not as_json:
            click.echo(line)
        last = line

    setup("text")
    try:
        if fresh and read(folder):
            raise ConfigError(f"{state} holds a rollout already: resume it, or name another folder")
        status = asyncio.run(Conduct(found, folder, told=told).run())
    except (JournalError, ValueError) as err:
        raise ConfigError(str(err)) from err
    if as_json:
        click.echo(json.dumps(status))
    if status["way"] != "ended" or status["new"] != sorted(found.routers):
        raise SystemExit(1)


@rollout.command(epilog="\b\nExample:\n  magpieshift rollout start plan.sexp --state rollouts/new-7")
@click.argument("plan")
@STATE
@JSON
def start(plan: str, state: str, as_json: bool) -> None:
    """Carry a plan out. Exit code 1 where the fleet is not all new at the end."""
    _conduct(plan, state, as_json, fresh=True)


@rollout.command(epilog="\b\nExample:\n  magpieshift rollout resume plan.sexp --state rollouts/new-7")
@click.argument("plan")
@STATE
@JSON
def resume(plan: str, state: str, as_json: bool) -> None:
    """Go on with a rollout whose coordinator has ended, under a later term."""
    _conduct(plan, state, as_json, fresh=False)


@rollout.command(epilog="\b\nExample:\n  magpieshift rollout status --state rollouts/new-7 --watch")
@STATE
@click.option("--watch", is_flag=True, help="Again every second, until it is over.")
@JSON
def status(state: str, watch: bool, as_json: bool) -> None:
    """Where a rollout stands: stages, routers, both sides' figures, and why it does what it does."""
    from magpieshift.cli import show
    from magpieshift.rollout.conduct import STATUS

    while True:
        try:
            found = json.loads((Path(state) / STATUS).read_text())
        except (OSError, ValueError) as err:
            raise ConfigError(f"{state}: no status: {err}") from err
        if as_json:
            show.as_json(found)
        else:
            stages = " ".join(f"[{s}]" if s == found["stage"] else s for s in found["stages"])
            click.echo(f"{found['name']} (term {found['term']}): {found['way']}, {stages}")
            away = ", ".join(found["away"]) or "nobody"
            click.echo(f"new {len(found['new'])}, old {len(found['old'])}, away: {away}")
            show.rows([
                {"class": name, "new served": row["new"][0], "of": row["new"][1], "old served": row["old"][0],
                 "of ": row["old"][1], "difference": "{} to {}".format(*row["between"])}
                for name, row in found["figures"]["classes"].items()
            ], False)  # fmt: skip
            click.echo(f"{found['verdict']}: {found['why']}")
        if not watch or found["way"] in ("ended", "hold") or found["fenced"]:
            return
        time.sleep(1.0)


def _say(word: str, help_text: str) -> click.Command:
    @rollout.command(word, help=help_text)
    @STATE
    @click.option("--why", default="", help="For the journal.")
    def command(state: str, why: str) -> None:
        from magpieshift.rollout.conduct import say

        if not Path(state).is_dir():
            raise ConfigError(f"{state} is no folder")
        say(Path(state), word, why)

    return command


for _word, _help in (
    ("pause", "Begin no further step until resumed."),
    ("go-on", "Go on after a pause."),
    ("stop", "Stop where it stands."),
    ("back", "Put all back."),
):
    _say(_word, _help)
