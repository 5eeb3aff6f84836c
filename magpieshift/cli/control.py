"""Commands that run the control service."""

from __future__ import annotations

import asyncio
from contextlib import suppress

import click

from magpieshift.cli.groups import SuggestingGroup
from magpieshift.cli.logs import LOG_OPTION, setup
from magpieshift.cli.parameters import Address
from magpieshift.config import ConfigError


@click.group(cls=SuggestingGroup)
def control() -> None:
    """Run the control service."""


@control.command(
    "serve", epilog="\b\nExample:\n  magpieshift control serve versions/ --listen 127.0.0.1:7080"
)
@click.argument("folder")
@click.option("--listen", default="127.0.0.1:7080", show_default=True, type=Address(any_port=True))
@LOG_OPTION
def serve_(folder: str, listen: str, log_form: str) -> None:
    """Serve the versions in FOLDER to all routers that connect. Versions are files named NUMBER.sexp; files
    that are added later are served too."""
    from pathlib import Path

    from magpieshift.control.service import serve_folder
    from magpieshift.signals import ignore_reload, signal_handlers

    async def serve_until_signal() -> None:
        """Serve until a stop signal arrives, then shut down in order."""
        serving = asyncio.ensure_future(serve_folder(folder, listen))

        def stop() -> None:
            """Cancel the service, which then closes its connections."""
            serving.cancel()

        with signal_handlers(stop, ignore_reload), suppress(asyncio.CancelledError):
            await serving

    setup(log_form)
    if not Path(folder).is_dir():
        raise ConfigError(f"FOLDER: found {folder!r}, expected a folder")
    try:
        asyncio.run(serve_until_signal())
    except OSError as err:
        raise click.ClickException(str(err)) from err
