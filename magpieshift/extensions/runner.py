"""A router with versioned configuration: wiring of router, manager, store and control client."""

from __future__ import annotations

import asyncio
import json
import logging
import secrets
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from magpieshift.app import EdgeRouter, serve
from magpieshift.config import Config, ConfigError, parse, parse_address
from magpieshift.control.content import Overrides
from magpieshift.control.errors import UnusableDocumentError
from magpieshift.control.schema import LoadedDocument, load_text
from magpieshift.control.version_manager import VersionManager
from magpieshift.control.version_startup import first_version, loaded_without_version, open_store
from magpieshift.extensions.extension import Extension
from magpieshift.log import fields

log = logging.getLogger(__name__)

SWITCH_S = 0.0005  # versions are read in a thread, which would hold the event loop up for 5 ms at a time


@dataclass(frozen=True)
class Options:
    """What ``run`` is told."""

    config: str = ""  # a settings file, S-expression or the platform's JSON; needed unless a version is kept
    state: str = ""  # the folder where versions are kept
    control: str = ""  # host:port of the control service
    name: str = ""
    listen: str = ""
    console: str = ""
    capture: str = ""  # the folder to record into
    capture_mb: int = 512  # what it may take there
    hash_key: str = ""  # a file with a key: object numbers become hashes under it
    label: str = ""  # what this process runs, as a rollout names it; its figures carry it
    term: int = -1  # of the rollout that starts it; where it is given, calls of older terms are turned down
    relays: str = ""  # [REGION/]host:port,...: followed in place of the change log
    region: str = ""  # where the router stands; relays of the same region are followed before others

    @property
    def overrides(self) -> Overrides:
        listen = parse_address(self.listen, "listen") if self.listen else None
        return Overrides(self.name, listen, parse_address(self.console, "console") if self.console else None)


def load_any(path: str) -> tuple[LoadedDocument, Config | None]:
    """A settings file of either kind; with the whole of the platform's, what it tells of this start.
    ``ConfigError`` in one line where it cannot be used."""
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, ValueError) as err:
        raise ConfigError(f"{path} cannot be read: {err}") from err
    if not text.lstrip().startswith("{"):
        try:
            return load_text(text, path), None
        except UnusableDocumentError as err:
            raise ConfigError(f"{path}: {err}") from err
    try:
        config = parse(json.loads(text))
    except (ValueError, RecursionError) as err:
        raise ConfigError(f"{path} cannot be read: {err}") from err
    return loaded_without_version(config.document), config


class Installation:
    """Owner of one router with its versions."""

    def __init__(self, options: Options) -> None:
        """Read what is there; ``ConfigError`` where there is nothing to run on."""
        self._options = options
        overrides = options.overrides
        start, platform = load_any(options.config) if options.config else (None, None)
        store, trouble = open_store(options.state) if options.state else (None, "")
        try:
            versions, loaded = first_version(start, store, options.config)
        except LookupError as err:
            raise ConfigError(str(err)) from None
        document = overrides.apply_to(loaded.document)
        seed = platform.seed if platform is not None else secrets.randbits(64)
        known = platform.known_changes if platform is not None else {}
        self.router = EdgeRouter(Config(document, seed, known, versions.in_force.number))
        self.manager = VersionManager(self.router, versions, loaded.data, store, trouble, overrides)
        self._name = document.name
        self.fittings: list[Extension] = []
        if options.capture or options.hash_key:  # the libraries of each fitting, only where it is used
            from magpieshift.capture.writer import Limits
            from magpieshift.extensions.capture_recording import CaptureRecording, keyed_hash

            if options.hash_key:
                self.router.engine.object_number = keyed_hash(options.hash_key)
            if options.capture:
                limits = Limits(budget_bytes=options.capture_mb << 20)
                self.fittings.append(
                    CaptureRecording(self.router, options.capture, limits, bool(options.hash_key))
                )
        if options.control:
            from magpieshift.extensions.control_channel import ControlChannel

            self.fittings.append(ControlChannel(self.router, self.manager, options.control, self._name))
        if options.relays:
            from magpieshift.extensions.relay_subscription import RelaySubscription
            from magpieshift.relay.addresses import read_relays

            relays = read_relays(options.relays, options.region, "relays")
            self.fittings.append(
                RelaySubscription(self.router, self.manager, relays, options.region, self._name)
            )
        if document.membership is not None:
            from magpieshift.extensions.membership import Membership

            membership = Membership(self.router, document.membership, seed)
            self.fittings.append(membership)
            if document.membership.gossips_overload:
                from magpieshift.extensions.overload_gossip import OverloadGossip

                hand_over = document.membership.may_offload
                self.fittings.append(OverloadGossip(self.router, membership, seed, hand_over))
        if options.label or options.term >= 0:
            from magpieshift.extensions.counters import RequestCounters
            from magpieshift.extensions.fencing import FencingTerms

            self.fittings.append(FencingTerms(self.router, options.term))
            self.fittings.append(RequestCounters(self.router, options.label))
        for fitting in self.fittings:
            self.router.commit_listeners.append(fitting.configuration_changed)
            self.router.admin_commands.update(fitting.commands())
            self.router.admin_commands_with_argument.update(fitting.commands_with_argument())

    def reload(self) -> None:
        """SIGHUP: the settings file is offered as a version."""
        if not self._options.config:
            log.error("configuration not reloaded", extra=fields(reason="there is no settings file"))
            return
        try:
            loaded, _ = load_any(self._options.config)
        except ConfigError as err:
            log.error("configuration not reloaded", extra=fields(reason=err))
            return
        self.manager.offer_file(loaded, self._options.config)

    async def run(self, prepared: Callable[[Installation], None] = lambda installation: None) -> None:
        """Serve until the router is stopped."""
        prepared(self)
        sys.setswitchinterval(SWITCH_S)
        for fitting in self.fittings:
            fitting.start()
        self.manager.start()
        ending = asyncio.ensure_future(self._end_with())
        try:
            await serve(self.router, self.reload)
        finally:
            if not self.router.is_shutting_down:  # it never came to serve
                ending.cancel()
                await self.manager.stop()
            await asyncio.wait([ending])
            for fitting in reversed(self.fittings):
                await fitting.stop()

    async def _end_with(self) -> None:
        """Nothing else changes while the router drains."""
        await self.router.wait_for_shutdown()
        await self.manager.stop()


def run(options: Options, prepared: Callable[[Installation], None] = lambda installation: None) -> None:
    """Run a router; ``ConfigError`` and ``OSError`` are for the caller to tell."""

    async def main() -> None:
        await Installation(options).run(prepared)

    asyncio.run(main())
