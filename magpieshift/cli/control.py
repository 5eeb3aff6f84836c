"""Sub-commands of the control service."""

from __future__ import annotations

import asyncio

import click

from magpieshift.cli.groups import SuggestingGroup
from magpieshift.cli.logs import LOG_OPTION, setup
from magpieshift.cli.parameters import Address
from magpieshift.config import ConfigError


@click.group(cls=SuggestingGroup)
def control() -> None:
    """The control service."""


@control.command(
    "serve", epilog="\b\nExample:\n  magpieshift control serve versions/ --listen 127.0.0.1:7080"
)
@click.argument("folder")
@click.option("--listen", default="127.0.0.1:7080", show_default=True, type=Address(any_port=True))
@LOG_OPTION
def serve_(folder: str, listen: str, log_form: str) -> None:
    """Serve the versions in FOLDER (files NUMBER.sexp, also ones that come later) to all routers that ask."""
    from pathlib import Path

    from magpieshift.control.service import serve_folder

    setup(log_form)
    if not Path(folder).is_dir():
        raise ConfigError(f"{folder} is no folder")
    try:
        asyncio.run(serve_folder(folder, listen))
    except OSError as err:
        raise click.ClickException(str(err)) from err
    except KeyboardInterrupt:
        pass
