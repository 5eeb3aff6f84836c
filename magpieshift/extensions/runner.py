"""Runs a router with its configuration versions and extensions."""

from __future__ import annotations

import asyncio
import logging
import secrets
import sys
from collections.abc import Callable

from magpieshift.app import EdgeRouter, serve
from magpieshift.background_task import log_failure
from magpieshift.config import Config, ConfigError
from magpieshift.control.version_manager import VersionManager
from magpieshift.control.version_startup import first_version, open_store
from magpieshift.extensions.assembly import assemble
from magpieshift.extensions.options import Options
from magpieshift.extensions.settings_file import load_settings_file
from magpieshift.log import fields

__all__ = ("THREAD_SWITCH_INTERVAL_S", "Installation", "Options", "load_settings_file", "run")

log = logging.getLogger(__name__)

# Switch interval of Python's threads. Versions are parsed in a thread, which at the interpreter's default
# would delay the event loop by 5 ms at a time.
THREAD_SWITCH_INTERVAL_S = 0.0005
SEED_BITS = 64  # size of the random seed that is used if the settings contain none


class Installation:
    """Owns one router with its configuration versions and extensions."""

    def __init__(self, options: Options) -> None:
        """Load the settings file and the stored versions; ``ConfigError`` if neither can be used."""
        self._options = options
        overrides = options.overrides
        start, platform = load_settings_file(options.config) if options.config else (None, None)
        store, store_failure = open_store(options.state) if options.state else (None, "")
        try:
            versions, loaded = first_version(start, store, options.config)
        except LookupError as err:
            raise ConfigError(str(err)) from None
        document = overrides.apply_to(loaded.document)
        seed = platform.seed if platform is not None else secrets.randbits(SEED_BITS)
        known = platform.known_changes if platform is not None else {}
        self.router = EdgeRouter(Config(document, seed, known, versions.in_force.number))
        self.manager = VersionManager(self.router, versions, loaded.data, store, store_failure, overrides)
        self.extensions = assemble(options, self.router, self.manager, seed)
        for extension in self.extensions:
            self.router.commit_listeners.append(extension.configuration_changed)
            self.router.admin_commands.update(extension.commands())
            self.router.admin_commands_with_argument.update(extension.commands_with_argument())

    def reload(self) -> None:
        """Handle SIGHUP: read the settings file again and offer it as a version."""
        if not self._options.config:
            log.error("configuration not reloaded", extra=fields(reason="started without a settings file"))
            return
        try:
            loaded, _ = load_settings_file(self._options.config)
        except ConfigError as err:
            log.error("configuration not reloaded", extra=fields(reason=err))
            return
        self.manager.offer_file(loaded, self._options.config)

    async def run(self, prepared: Callable[[Installation], None] = lambda installation: None) -> None:
        """Serve until the router is stopped; ``prepared`` is called once before the start."""
        prepared(self)
        sys.setswitchinterval(THREAD_SWITCH_INTERVAL_S)
        for extension in self.extensions:
            extension.start()
        self.manager.start()
        manager_end = asyncio.ensure_future(self._stop_manager_with_router())
        manager_end.add_done_callback(log_failure("version manager shutdown"))
        try:
            await serve(self.router, self.reload)
        finally:
            if not self.router.is_shutting_down:  # it failed before a planned shutdown began
                manager_end.cancel()
                await self.manager.stop()
            await asyncio.wait([manager_end])
            for extension in reversed(self.extensions):
                await extension.stop()

    async def _stop_manager_with_router(self) -> None:
        """Stop the version manager when the shutdown begins: no version comes into force while draining."""
        await self.router.wait_for_shutdown()
        await self.manager.stop()


def run(options: Options, prepared: Callable[[Installation], None] = lambda installation: None) -> None:
    """Run a router until it is stopped; raises ``ConfigError`` or ``OSError`` if it cannot start."""

    async def main() -> None:
        await Installation(options).run(prepared)

    asyncio.run(main())
