"""Commands of the fan-out tier: run a source or a relay, and show how far behind its followers are."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import TYPE_CHECKING

import click

from magpieshift.cli import output
from magpieshift.cli.groups import JSON_OPTION, SuggestingGroup
from magpieshift.cli.logs import LOG_OPTION, setup
from magpieshift.cli.parameters import Address
from magpieshift.config import ConfigError, parse_address

if TYPE_CHECKING:
    from magpieshift.relay.node import RelayNode, SourceNode

LISTEN_OPTION = click.option(
    "--listen",
    required=True,
    type=Address(any_port=True),
    help="host:port to listen on for relays and routers.",
)
SHOWN_DIGEST_CHARACTERS = 12
"""Length to which digests are cut; enough to tell versions apart."""

EXAMPLES = """\b
Examples:
  magpieshift relay source --changelog 10.0.0.1:7070 --versions versions/ --listen 0.0.0.0:7090
  magpieshift relay serve --source 10.0.0.1:7090 --listen 0.0.0.0:7091 --name n1 --region north
  magpieshift run --config router.sexp --relays 10.0.1.1:7091,10.0.1.2:7091 --region north
  magpieshift relay status 10.0.1.1:7091
"""


@click.group(cls=SuggestingGroup, epilog=EXAMPLES)
def relay() -> None:
    """Run and inspect the fan-out tier between the change log and the routers."""


@relay.command(
    epilog="\b\nExample:\n  magpieshift relay source --changelog 10.0.0.1:7070 --listen 0.0.0.0:7090"
)
@click.option("--changelog", required=True, type=Address(), help="host:port of the change log.")
@click.option("--versions", default="", help="Folder of configuration versions (files NUMBER.sexp).")
@LISTEN_OPTION
@click.option("--name", default="source", show_default=True)
@click.option("--region", default="", help="Region of the source.")
@LOG_OPTION
def source(changelog: str, versions: str, listen: str, name: str, region: str, log_form: str) -> None:
    """Run a source: merge the changes of the change log and a folder of versions into one numbered log, and
    serve it to relays."""
    from magpieshift.relay.node import SourceNode, SourceOptions

    if versions and not Path(versions).is_dir():
        raise ConfigError(f"--versions: found {versions!r}, expected a folder")
    options = SourceOptions(parse_address(changelog, "--changelog"), listen, versions, name, region)
    setup(log_form)
    _run(lambda: SourceNode(options))


@relay.command(
    epilog="\b\nExample:\n  magpieshift relay serve --source 10.0.0.1:7090 --listen 0.0.0.0:7091 "
    "--name n1 --region north"
)
@click.option(
    "--source",
    "sources",
    required=True,
    help="[REGION/]host:port of the source; several separated by commas.",
)
@LISTEN_OPTION
@click.option("--name", required=True, help="Name of the relay, unique among the source's relays.")
@click.option("--region", required=True, help="Region of the relay.")
@LOG_OPTION
def serve(sources: str, listen: str, name: str, region: str, log_form: str) -> None:
    """Run a relay: follow a source, and serve its changes to routers."""
    from magpieshift.relay.addresses import read_relays
    from magpieshift.relay.node import RelayNode, RelayOptions

    if not name:
        raise click.UsageError("--name: found nothing, expected a name")
    options = RelayOptions(read_relays(sources, region, "--source"), listen, name, region)
    setup(log_form)
    _run(lambda: RelayNode(options))


def _run(make_node: Callable[[], SourceNode | RelayNode]) -> None:
    """Run a node until a stop signal arrives. The node is created on the running event loop."""
    from magpieshift.relay.errors import SourceSupersededError
    from magpieshift.signals import ignore_reload, signal_handlers

    async def run_node() -> None:
        """Create the node and run it."""
        node = make_node()
        with signal_handlers(node.stop, ignore_reload):
            await node.run()

    try:
        asyncio.run(run_node())
    except (OSError, SourceSupersededError) as err:
        raise click.ClickException(str(err)) from err


@relay.command("status", epilog="\b\nExample:\n  magpieshift relay status 10.0.1.1:7091")
@click.argument("place", metavar="HOST:PORT", type=Address())
@JSON_OPTION
def status_(place: str, as_json: bool) -> None:
    """Show how far behind each follower of a source or relay is, as that source or relay reports it; exit
    code 1 if it does not answer."""
    from magpieshift.relay import status
    from magpieshift.relay.errors import RelayUnreachableError

    try:
        report = asyncio.run(status.fetch_status(place))
    except RelayUnreachableError as err:
        raise click.ClickException(f"{place}: {err}") from err
    if as_json:
        output.print_json(status.status_as_data(report))
        return
    age = f"{report.age_us / 1e6:.1f} s old" if report.HasField("age_us") else "not current"
    click.echo(
        f"{report.name} {report.region}, upstream {report.upstream}: epoch {report.epoch.term}, "
        f"log head {report.head}, watermark {report.done}, {age}"
    )
    version = (
        f"version {report.version} {report.digest[:SHOWN_DIGEST_CHARACTERS]}"
        if report.version
        else "no version"
    )
    click.echo(
        f"{version}; {report.followers_count} followers, "
        f"{report.behind_count} without this version: {' '.join(report.behind)}"
    )
    output.print_table(
        ("follower", "connected", "counts", "applied", "behind", "heard s ago", "version", "refused"),
        [
            (
                follower.name,
                follower.connected,
                follower.counts,
                follower.applied,
                follower.behind,
                f"{follower.heard_us / 1e6:.1f}",
                follower.configuration[:SHOWN_DIGEST_CHARACTERS],
                f"{follower.refused}: {follower.refusal}" if follower.refused else "",
            )
            for follower in report.followers
        ],
    )
