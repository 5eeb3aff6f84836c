"""Commands on many routers: who is there, membership simulated, and the proving ground of processes."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Iterable, Sequence
from dataclasses import replace
from typing import Any

import click

from magpieshift.cli.hinting import JSON
from magpieshift.cli.parameters import SEED, SHARE, Address, NewFolder, Number, OneOf, Sizes, Whole
from magpieshift.config import ConfigError, parse_address

PRINTED = ("name", "standing", "for_s", "address", "zone", "state", "program", "settings", "load", "why")
TALK_KEYS = ("failing", "left", "over", "share", "why", "pressure", "rate")
MEMBERS_KEYS = (
    "members",
    "history",
    "isolated",
    "own",
    "view",
    "digest",
    "here",
    "share",
    "zone_share",
)


def _asked(console: str, word: str, keys: Sequence[str], hint: str) -> dict[str, Any]:
    """What a router's door answers to a word, from JSON, with these keys; ``ConfigError`` where it does
    not."""
    host, port = parse_address(console, "console")

    async def ask() -> str:
        async with asyncio.timeout(3.0):
            reader, writer = await asyncio.open_connection(host, port, limit=1 << 21)
            writer.write(f"{word}\n".encode())
            line = await reader.readline()
            writer.close()
            return line.decode().strip()

    try:
        line = asyncio.run(ask())
    except (OSError, ValueError) as err:  # a line without an end, or no text, is a ValueError
        raise ConfigError(f"{console}: no answer: {err or 'not within 3 s'}") from err
    if not line.startswith("OK "):
        raise ConfigError(f"{console}: found {line[:120]!r}, expected OK: {hint}")
    try:
        found = json.loads(line[3:])
    except (ValueError, RecursionError):
        found = None
    if not isinstance(found, dict) or not found.keys() >= set(keys):
        raise ConfigError(f"{console}: found {line[:120]!r}, expected JSON with {', '.join(keys)}")
    return found


@click.command(epilog="\b\nExample:\n  magpieshift talk --console 127.0.0.1:6566")
@click.option(
    "--console", envvar="EDGE_CONSOLE", required=True, type=Address(), help="host:port of a router's door."
)
@JSON
def talk(console: str, as_json: bool) -> None:
    """What one router says and hears of failing stores, and whether it hands clients over."""
    from magpieshift.cli import show

    found = _asked(console, "TALK", TALK_KEYS, "is (members (digests yes) ...) set?")
    if as_json:
        return show.as_json(found)
    show.rows(
        [
            {"store": store, "said by": ", ".join(who), "left to others": store in found["left"]}
            for store, who in found["failing"].items()
        ],
        False,
    )
    over = f"hands over {found['share']:.0%} ({found['why']})" if found["over"] else "hands nothing over"
    click.echo(f"pressure {found['pressure']:.2f}, {found['rate']:.0f} requests a second, {over}")


@click.command(epilog="\b\nExample:\n  magpieshift members --console 127.0.0.1:6566")
@click.option(
    "--console", envvar="EDGE_CONSOLE", required=True, type=Address(), help="host:port of a router's door."
)
@click.option("--history", is_flag=True, help="The last changes of its view.")
@JSON
def members(console: str, history: bool, as_json: bool) -> None:
    """Who is there, as one router sees it, and why it suspects whom."""
    from magpieshift.cli import show

    found = _asked(console, "MEMBERS", MEMBERS_KEYS, "is (members ...) set?")
    if as_json:
        return show.as_json(found)
    rows = (
        found["history"] if history else [{name: row[name] for name in PRINTED} for row in found["members"]]
    )
    show.rows(rows, False)
    alone = ", hears nobody" if found["isolated"] else ""
    click.echo(
        f"{found['own']}: view {found['view']} {found['digest']}, {found['here']} here{alone}; "
        f"share {found['share']:.4f} of all, {found['zone_share']:.4f} of its zone"
    )


@click.command("members", epilog="\b\nExample:\n  magpieshift lab members --routers 8,50 --seed 1 --json")
@click.option(
    "--routers", default="8,50", show_default=True, type=Sizes(2, 10_000), help="Sizes of the fleet."
)
@click.option("--seed", default=1, show_default=True, type=SEED)
@click.option(
    "--minutes",
    default=2.0,
    show_default=True,
    type=Number(0, 10_000),
    help="Under loss and pauses, simulated.",
)
@click.option("--loss", default=0.3, show_default=True, type=SHARE, help="Share of datagrams lost meanwhile.")
@click.option("--deaths", default=5, show_default=True, type=Whole(0), help="One after another, afterwards.")
@click.option("--without", type=click.Choice(["health", "observers"]), help="An ablation.")
@click.option(
    "--explore", default=0, type=Whole(0, 1 << 40), help="Instead: all histories of three, to so many states."
)
@JSON
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
    from magpieshift.cli import show

    if explore:
        from magpieshift.lab.experiments import membership_exploration

        whole = vars(membership_exploration.explore(explore))
        if as_json:
            show.as_json(whole)
        else:
            show.rows([whole], False)
        if whole["disagreements"]:
            raise SystemExit(1)
        return
    from magpieshift.lab.experiments.members import play
    from magpieshift.membership.codec import encode
    from magpieshift.membership.failure_detector import DetectorTuning

    tuning = DetectorTuning(local_health=without != "health")
    if without == "observers":
        tuning = replace(tuning, monitored_peers=1, suspicion_quorum=1)
    rows = []
    for size in routers:
        found = play(
            size,
            seed,
            minutes,
            loss,
            tuning=tuning,
            size=lambda datagram: len(encode(datagram)),
            deaths=deaths,
        )
        rows.append(vars(found))
        if not as_json:
            show.rows([vars(found)], False)
    if as_json:
        for row in rows:
            click.echo(json.dumps(row))


def _overload_scenarios() -> Iterable[str]:
    from magpieshift.lab.experiments.overload import SCENARIOS

    return SCENARIOS


@click.command("overload", epilog="\b\nExample:\n  magpieshift lab overload --scenario origin-half --json")
@click.option(
    "--scenario", default="", type=OneOf(_overload_scenarios), help="One of them; all where none is named."
)
@click.option("--routers", default=40, show_default=True, type=Whole(1, 10_000))
@click.option("--seed", default=1, show_default=True, type=SEED)
@click.option(
    "--load",
    default=1.0,
    show_default=True,
    type=Number(0, 1000, above=True),
    help="Times what the installation was made for.",
)
@click.option("--without", is_flag=True, help="Routers do not talk to each other.")
@click.option(
    "--digests-lost", default=0.0, show_default=True, type=SHARE, help="Share of what they say that is lost."
)
@click.option(
    "--liars", default=0, show_default=True, type=Whole(0), help="Routers that say that all stores fail."
)
@click.option("--map", "whole", is_flag=True, help="Instead: loads, triggers and clients, one by one.")
@JSON
def lab_overload(
    scenario: str,
    routers: int,
    seed: int,
    load: float,
    without: bool,
    digests_lost: float,
    liars: int,
    whole: bool,
    as_json: bool,
) -> None:
    """Overload on a simulated fleet of real engines and modules: what all routers do together."""
    import os

    from magpieshift.cli import show
    from magpieshift.lab.experiments.overload import SCENARIOS, Talking, map_of, play
    from magpieshift.lab.simulated.fleet import Form

    if liars > routers:
        raise ConfigError(f"--liars: found {liars}, expected no more than the {routers} routers")
    form = Form(routers=routers, seed=seed, load=load)
    if whole:
        return show.rows([vars(point) for point in map_of(form, os.cpu_count() or 1)], as_json)
    for name in [scenario] if scenario else SCENARIOS:
        row = play(name, form, None if without else Talking(digests_lost, liars)).row()
        if as_json:
            click.echo(json.dumps(row))
        else:
            show.rows([row], False)


@click.command("fleet-run", epilog="\b\nExample:\n  magpieshift lab fleet-run paused --seed 2 --json")
@click.argument("scenario", required=False)
@click.option("--routers", default=0, type=Whole(0, 16), help="In place of the scenario's.")
@click.option("--seed", default=0, type=SEED, help="In place of the scenario's.")
@click.option("--list", "listed", is_flag=True, help="The scenarios that need no file.")
@click.option(
    "--folder",
    default="",
    type=NewFolder(),
    help="Where settings, logs and the verdict are left; else in /tmp.",
)
@JSON
def fleet_run(
    scenario: str | None, routers: int, seed: int, listed: bool, folder: str, as_json: bool
) -> None:
    """Real router processes, and faults between and in them; exit code 1 if a rule was broken."""
    import tempfile
    from pathlib import Path

    from magpieshift.control.errors import UnusableDocumentError
    from magpieshift.lab.fault_injection import run as runs
    from magpieshift.lab.fault_injection import scenario as scenarios

    if listed:
        for name, data in scenarios.KNOWN.items():
            click.echo(f"{name}: {len(data.get('faults', {}))} faults in {data['seconds']} s")
        return
    if scenario is None:
        raise click.UsageError("SCENARIO: found nothing, expected a file or one of --list")
    try:
        plan = scenarios.named(scenario)
        plan = scenarios.altered(plan, routers or plan.routers, seed or plan.seed)
    except UnusableDocumentError as err:
        raise ConfigError(f"{scenario}: {err}") from err
    where = Path(folder) if folder else Path(tempfile.mkdtemp(prefix="fleet-run-"))
    verdict = asyncio.run(runs.play(plan, where, (lambda line: None) if as_json else click.echo))
    with contextlib.suppress(ImportError):
        runs.plot(where)
    click.echo(json.dumps(verdict | {"folder": str(where)}))
    if verdict["rules_broken"] or verdict["left_running"]:
        raise SystemExit(1)


@click.command("trials", epilog="\b\nExample:\n  magpieshift lab trials --runs 4 --seed 100 --json")
@click.option("--runs", default=1, show_default=True, type=Whole(), help="Histories, seeds counting up.")
@click.option("--seed", default=1, show_default=True, type=SEED)
@click.option("--routers", default=6, show_default=True, type=Whole(2, 16))
@click.option("--seconds", default=40.0, show_default=True, type=Number(10, 3600))
@click.option("--faults", default=8, show_default=True, type=Whole(0, 1000))
@click.option("--shrink/--no-shrink", default=True, help="Cut a failing one down to a scenario.")
@click.option("--folder", default="", type=NewFolder(), help="Where all is left; else in /tmp.")
@JSON
def trials(
    runs: int, seed: int, routers: int, seconds: float, faults: int, shrink: bool, folder: str, as_json: bool
) -> None:
    """Random histories with real processes; exit code 1 if one broke a rule."""
    import tempfile
    from pathlib import Path

    from magpieshift.lab.fault_injection import random_runs as drawn
    from magpieshift.lab.fault_injection import run as runs_of
    from magpieshift.lab.fault_injection import scenario as scenarios

    where = Path(folder) if folder else Path(tempfile.mkdtemp(prefix="trials-"))
    broken = 0
    for number in range(seed, seed + runs):
        run = drawn.draw(number, routers, seconds, faults)
        verdict = asyncio.run(runs_of.play(run, where / f"{number}"))
        wrong = bool(verdict["rules_broken"] or verdict["left_running"])
        if wrong and shrink:
            tries = iter(range(1000))

            async def fails(smaller: scenarios.Run, number: int = number, tries: Any = tries) -> bool:
                found = await runs_of.play(smaller, where / f"{number}-{next(tries)}")
                return bool(found["rules_broken"])

            small = asyncio.run(drawn.shrink(run, fails))
            path = where / f"{number}-shrunk.sexp"
            path.write_text(scenarios.written(small))
            verdict["shrunk"] = str(path)
        broken += wrong
        if as_json:
            click.echo(json.dumps(verdict | {"folder": str(where / f"{number}")}))
        else:
            told = "; ".join(verdict["rules_broken"]) or "all held"
            click.echo(
                f"seed {number}: {len(run.faults)} faults, asked {verdict['asked']}, "
                f"served {verdict['served']}: {told}"
            )
    if broken:
        raise SystemExit(1)
