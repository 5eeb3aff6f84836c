"""Laboratory commands that measure one router or its parts, or evaluate the logs of many routers."""

from __future__ import annotations

import asyncio

import click

from magpieshift.cli import output
from magpieshift.cli.groups import JSON_OPTION
from magpieshift.cli.logs import setup
from magpieshift.cli.parameters import (
    FRACTION_TYPE,
    REQUEST_RATE_TYPE,
    SEED_TYPE,
    WholeNumber,
    WholeNumberList,
)
from magpieshift.config import ConfigError


@click.command(epilog="\b\nExample:\n  magpieshift lab versions --count 1000 --invalid 0.2 --seed 7 --json")
@click.option(
    "--count", default=1000, show_default=True, type=WholeNumber(), help="Number of versions to send."
)
@click.option(
    "--invalid", default=0.2, show_default=True, type=FRACTION_TYPE, help="Share of invalid versions."
)
@click.option(
    "--kills",
    default=6,
    show_default=True,
    type=WholeNumber(0, 1000),
    help="Number of times the router is killed (SIGKILL).",
)
@click.option(
    "--breaks",
    default=10,
    show_default=True,
    type=WholeNumber(0, 1000),
    help="Number of times the connection to the control service is broken.",
)
@click.option(
    "--rate",
    default=20.0,
    show_default=True,
    type=REQUEST_RATE_TYPE,
    help="Client requests per second during the measurement.",
)
@click.option("--seed", default=1, show_default=True, type=SEED_TYPE)
@JSON_OPTION
def versions(
    count: int, invalid: float, kills: int, breaks: int, rate: float, seed: int, as_json: bool
) -> None:
    """Send numbered versions to a real router, break its connection, kill it, and check which version it has
    in force. Exit code 1 if a check failed."""
    from magpieshift.lab.experiments.versions import Plan, play

    setup("pairs", "ERROR")
    report = asyncio.run(play(Plan(count, invalid, kills, breaks, rate, seed), progress=not as_json))
    if as_json:
        output.print_json(report.figures())
    else:
        output.print_table(("figure", "value"), list(report.figures().items()))
        for line in report.findings[:20]:
            click.echo(line, err=True)
    raise SystemExit(0 if report.good else 1)


@click.command("apply", epilog="\b\nExample:\n  magpieshift lab apply --members 1000")
@click.option(
    "--members",
    default=1000,
    show_default=True,
    type=WholeNumber(1, 100_000),
    help="Number of endpoints in the endpoint list.",
)
@click.option(
    "--rounds", default=100, show_default=True, type=WholeNumber(), help="Number of versions of each kind."
)
@JSON_OPTION
def apply_(members: int, rounds: int, as_json: bool) -> None:
    """Measure how long versions take to come into force, and how long they block the event loop."""
    from magpieshift.lab.experiments.version_apply_time import measure

    setup("pairs", "ERROR")
    rows = asyncio.run(measure(members, rounds)).rows()
    output.print_rows(rows, as_json)


@click.command(epilog="\b\nExample:\n  magpieshift lab cost --against ../earlier")
@click.option("--against", default="", help="Folder of another checkout, measured alternately with this one.")
@click.option(
    "--capture",
    is_flag=True,
    help="Measure the run command with and without recording, instead of the program without sub-command.",
)
@click.option(
    "--stuck", is_flag=True, help="Like --capture, and also with a disk that blocks writes for 10 s."
)
@click.option("--rounds", default=5, show_default=True, type=WholeNumber())
@click.option("--requests", default=4000, show_default=True, type=WholeNumber(), help="Requests in each run.")
@click.option("--rate", default=400.0, show_default=True, type=REQUEST_RATE_TYPE, help="Requests per second.")
@JSON_OPTION
def cost(
    against: str, capture: bool, stuck: bool, rounds: int, requests: int, rate: float, as_json: bool
) -> None:
    """Measure processor time per request, memory and event loop lag, of the program without sub-command or of
    run."""
    from pathlib import Path

    from magpieshift.lab.experiments.processor_cost import Variant, compare, recording_variants

    own_checkout = str(Path(__file__).parents[2])
    if against and not (Path(against) / "magpieshift" / "__main__.py").is_file():
        raise ConfigError(f"--against: found {against!r}, expected a folder with magpieshift/__main__.py")
    variants = [Variant("this", own_checkout), *([Variant("other", against)] if against else [])]
    if capture or stuck:
        variants = recording_variants(own_checkout, stuck)
    output.print_rows(asyncio.run(compare(variants, rounds, requests, rate)), as_json)


@click.command(epilog="\b\nExample:\n  magpieshift lab decisions --caches 4,12,100")
@click.option(
    "--caches",
    default="4,12,17,100,1000",
    show_default=True,
    type=WholeNumberList(1, 100_000),
    help="Sizes of the zone.",
)
@click.option("--requests", default=3000, show_default=True, type=WholeNumber(), help="In each run.")
@click.option("--rounds", default=3, show_default=True, type=WholeNumber())
@JSON_OPTION
def decisions(caches: tuple[int, ...], requests: int, rounds: int, as_json: bool) -> None:
    """Measure what the decisions alone cost a request, by the number of caches in the zone."""
    from magpieshift.lab.experiments.decisions import measure

    output.print_rows(measure(caches, requests, rounds), as_json)


@click.command(epilog="\b\nExample:\n  magpieshift lab door --calls 500")
@click.option("--calls", default=500, show_default=True, type=WholeNumber())
@click.option(
    "--rate",
    default=300.0,
    show_default=True,
    type=REQUEST_RATE_TYPE,
    help="Client requests per second during the measurement.",
)
@JSON_OPTION
def door(calls: int, rate: float, as_json: bool) -> None:
    """Measure how long the admin server takes to answer under load while silent clients occupy its
    connections."""
    from magpieshift.lab.experiments.admin_client import measure

    output.print_rows([asyncio.run(measure(calls, rate))], as_json)


@click.command(epilog="\b\nExample:\n  magpieshift lab handover --rounds 40")
@click.option(
    "--rounds", default=40, show_default=True, type=WholeNumber(), help="Number of handovers by each method."
)
@click.option(
    "--clients",
    default=16,
    show_default=True,
    type=WholeNumber(1, 1000),
    help="Number of client threads that connect continuously.",
)
@JSON_OPTION
def handover(rounds: int, clients: int, as_json: bool) -> None:
    """Count the connections lost while one listener takes over an address from another, by handover
    method."""
    from magpieshift.lab.experiments.handover import OUTCOMES, measure

    counts_by_method = measure(rounds, clients)
    output.print_rows(
        [
            {"way": method} | {name: counts[name] for name in OUTCOMES}
            for method, counts in counts_by_method.items()
        ],
        as_json,
    )


@click.command(epilog="\b\nExample:\n  magpieshift lab fleet logs/")
@click.argument("folder")
@click.option("--stores", is_flag=True, help="One row per endpoint instead of one row per second.")
@JSON_OPTION
def fleet(folder: str, stores: bool, as_json: bool) -> None:
    """Count the events of all routers of a fleet from their logs (one file per router; routers must run with
    EDGE_TRACE=1)."""
    from pathlib import Path

    from magpieshift.lab.experiments import fleet_log_counts

    try:
        counts = fleet_log_counts.count(fleet_log_counts.read(Path(folder)))
    except ValueError as err:
        raise ConfigError(str(err)) from err
    output.print_rows(counts.endpoint_rows() if stores else counts.rows(), as_json)
    if not as_json:
        for circumstance, number in counts.rejections.most_common(10):
            click.echo(f"refused after {circumstance}: {number}")
