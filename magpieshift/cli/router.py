"""The command ``run``: an edge router with all extensions."""

from __future__ import annotations

import click

from magpieshift.cli.logs import LOG_OPTION, setup
from magpieshift.cli.parameters import Address, WholeNumber


@click.command(
    "run", epilog="\b\nExample:\n  magpieshift run --config router.sexp --state /var/lib/magpieshift"
)
@click.option(
    "--config", envvar="EDGE_CONFIG", default="", help="Settings file (S-expression or the platform's JSON)."
)
@click.option("--state", envvar="EDGE_STATE", default="", help="Folder where versions are stored.")
@click.option(
    "--control", envvar="EDGE_CONTROL", default="", type=Address(), help="host:port of the control service."
)
@click.option("--name", envvar="EDGE_NAME", default="", help="Router name; replaces the one in the settings.")
@click.option(
    "--listen",
    envvar="EDGE_LISTEN",
    default="",
    type=Address(),
    help="host:port to listen on; replaces the one in the settings.",
)
@click.option(
    "--console",
    envvar="EDGE_CONSOLE",
    default="",
    type=Address(),
    help="host:port of the admin server; replaces the one in the settings.",
)
@click.option(
    "--capture", envvar="EDGE_CAPTURE", default="", help="Folder to record a capture of all decisions in."
)
@click.option(
    "--capture-mb", envvar="EDGE_CAPTURE_MB", default=512, show_default=True, type=WholeNumber(64, 1 << 30)
)
@click.option(
    "--hash-key",
    envvar="EDGE_HASH_KEY",
    default="",
    help="File with a key; captures contain keyed hashes in place of object ids.",
)
@click.option(
    "--label",
    envvar="EDGE_LABEL",
    default="",
    help="The rollout's label for what this process runs; reported with its counters.",
)
@click.option(
    "--term",
    envvar="EDGE_TERM",
    default=-1,
    type=WholeNumber(-1, 1 << 53),
    help="Term of the rollout that starts this router; commands of older terms are rejected. -1: none.",
)
@click.option(
    "--relays",
    envvar="EDGE_RELAYS",
    default="",
    help="Relays [REGION/]host:port,... to follow instead of the change log.",
)
@click.option(
    "--region",
    envvar="EDGE_REGION",
    default="",
    help="Region of this router; relays of the same region are preferred.",
)
@LOG_OPTION
def run_(
    config: str,
    state: str,
    control: str,
    name: str,
    listen: str,
    console: str,
    capture: str,
    capture_mb: int,
    hash_key: str,
    label: str,
    term: int,
    relays: str,
    region: str,
    log_form: str,
) -> None:
    """Run an edge router. With --state it stores configuration versions; with --control or --relays it
    follows new ones."""
    from magpieshift.extensions.runner import Options, run

    setup(log_form)
    options = Options(
        config,
        state,
        control,
        name,
        listen,
        console,
        capture,
        capture_mb,
        hash_key,
        label,
        term,
        relays,
        region,
    )
    try:
        run(options)
    except OSError as err:
        raise click.ClickException(str(err)) from err
