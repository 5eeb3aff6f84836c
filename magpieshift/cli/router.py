"""The command that runs a router."""

from __future__ import annotations

import click

from magpieshift.cli.logs import LOG_OPTION, setup
from magpieshift.cli.parameters import Address, WholeNumber


@click.command(
    "run", epilog="\b\nExample:\n  magpieshift run --config router.sexp --state /var/lib/magpieshift"
)
@click.option("--config", envvar="EDGE_CONFIG", default="", help="Settings file.")
@click.option("--state", envvar="EDGE_STATE", default="", help="Folder where versions are stored.")
@click.option(
    "--control", envvar="EDGE_CONTROL", default="", type=Address(), help="host:port of the control service."
)
@click.option("--name", envvar="EDGE_NAME", default="", help="Wins over the settings' name.")
@click.option(
    "--listen", envvar="EDGE_LISTEN", default="", type=Address(), help="Wins over the settings' listen."
)
@click.option(
    "--console", envvar="EDGE_CONSOLE", default="", type=Address(), help="host:port for operators' calls."
)
@click.option("--capture", envvar="EDGE_CAPTURE", default="", help="Folder to record all decisions into.")
@click.option(
    "--capture-mb", envvar="EDGE_CAPTURE_MB", default=512, show_default=True, type=WholeNumber(64, 1 << 30)
)
@click.option(
    "--hash-key", envvar="EDGE_HASH_KEY", default="", help="File with a key to hash object ids under."
)
@click.option("--label", envvar="EDGE_LABEL", default="", help="What this process runs, as a rollout says.")
@click.option(
    "--term",
    envvar="EDGE_TERM",
    default=-1,
    type=WholeNumber(-1, 1 << 53),
    help="Of the rollout that starts it; -1: none.",
)
@click.option(
    "--relays", envvar="EDGE_RELAYS", default="", help="[REGION/]host:port,... to follow, not the change log."
)
@click.option("--region", envvar="EDGE_REGION", default="", help="Where it stands; its relays come first.")
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
    """Run an edge router, with versions stored and followed where the options say so."""
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
