"""The edge router as a program (``python -m magpieshift``) and the embedding API."""

from __future__ import annotations

import asyncio
import gc
import os
import sys
from collections.abc import Callable, Mapping
from functools import partial

from magpieshift.config import Config, ConfigError, load
from magpieshift.config_reload import FileReload
from magpieshift.edge_router import EdgeRouter
from magpieshift.log import setup
from magpieshift.resident_memory import resident_bytes
from magpieshift.signals import signal_handlers

__all__ = ["EdgeRouter", "main", "serve"]


async def serve(
    router: EdgeRouter,
    reload: Callable[[], None],
    started: Callable[[], None] = lambda: None,
) -> None:
    """Run a router with the process's signals: SIGTERM and SIGINT start its shutdown, SIGHUP calls
    ``reload``.

    ``reload`` is also called for a SIGHUP received earlier. ``started`` is called once the router serves.
    """
    with signal_handlers(router.stop, reload):
        gc.freeze()
        if (program_bytes := resident_bytes()) is not None:
            router.set_program_bytes(program_bytes)
        await router.run(started)


async def _run(config: Config, read: Callable[[], Config], is_traced: bool) -> None:
    """Run a router configured by the platform's file, which has no version number."""
    router = EdgeRouter(config)
    if is_traced:
        from magpieshift.engine.trace import Trace  # imported only if needed

        router.engine.policy_observer = Trace()
    file_reload = FileReload(router, read)
    file_reload.start()
    try:
        await serve(router, file_reload.request)
    finally:
        file_reload.stop()


def main(environ: Mapping[str, str] | None = None) -> int:
    """Run one edge router configured by environment variables; returns the process's exit code."""
    environ = os.environ if environ is None else environ
    is_traced = environ.get("EDGE_TRACE", "") == "1"
    setup("DEBUG" if is_traced else "INFO")
    read = partial(load, environ)
    try:
        config = read()
    except ConfigError as err:
        print(f"magpieshift: {err}", file=sys.stderr)
        return 2
    try:
        asyncio.run(_run(config, read, is_traced))
    except OSError as err:
        print(f"magpieshift: {err}", file=sys.stderr)
        return 1
    return 0
