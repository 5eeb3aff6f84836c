"""A hollow router: the complete control side of a real router, without downstream and upstream.

It has the change log client, the engine with its policy, and versioned configuration with transactions over
these parts. It has no clients and no connections to endpoints: every upstream request fails. One process runs
many hollow routers, each with its own connections to control.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, replace
from typing import Any, Protocol

from magpieshift.clock import LoopClock
from magpieshift.config import Address, Document
from magpieshift.config_transaction import Part, Prepared, RunningSettings, prepare
from magpieshift.control.client import ControlClient
from magpieshift.control.schema import LoadedDocument
from magpieshift.control.version_content import Overrides
from magpieshift.control.version_history import VersionHistory
from magpieshift.control.version_manager import VersionManager, unix_now_us
from magpieshift.control.version_records import OfferOutcome, VersionRecord, VersionState
from magpieshift.discovery.changes import ChangeLog, ChangeSource
from magpieshift.discovery.client import ChangeLogClient
from magpieshift.engine.engine import Engine
from magpieshift.engine.model import AttemptResult, ListedEndpoint, UpstreamExchange, UpstreamRequest
from magpieshift.engine.name_numbers import align_numbers
from magpieshift.lifecycle import Lifecycle
from magpieshift.policy.actions import Action
from magpieshift.policy.events import EndpointListKind, Event, PurgeReceived
from magpieshift.policy.health_override import HealthOverride
from magpieshift.policy.outcomes import Outcome
from magpieshift.policy.router_policy import RouterPolicy
from magpieshift.policy.settings import Settings

PurgeCallback = Callable[[Sequence[PurgeReceived]], None]
"""Receives the object purges that the policy has handled in one call."""


@dataclass(frozen=True)
class ChangeLogOverride(Overrides):
    """The address at which one router reads the change log, in place of the address in a version."""

    changelog: Address | None = None

    def apply_to(self, document: Document) -> Document:
        """The document with the change log address of this router."""
        found = super().apply_to(document)
        return found if self.changelog is None else replace(found, change_log_address=self.changelog)


class Feed(Protocol):
    """The connections that deliver purges, endpoint lists and versions to a hollow router."""

    def start(self) -> None:
        """Connect, and start delivering."""
        ...

    @property
    def connected(self) -> bool:
        """Whether the router has received the state as of its start."""
        ...

    async def crash(self) -> None:
        """Close all connections at once, without a graceful shutdown."""
        ...


class _FailedExchange:
    """An exchange that failed before its request was sent."""

    def cancel(self) -> bool:
        return False


class DisconnectedUpstream:
    """An upstream without connections: requests fail to connect, health checks pass."""

    def start(self, order: UpstreamRequest, done: Callable[[AttemptResult], None]) -> UpstreamExchange:
        """Fail the request with ``CONNECT_FAILED`` on the next turn of the loop."""
        LoopClock().soon(lambda: done(AttemptResult(Outcome.CONNECT_FAILED)))
        return _FailedExchange()

    def probe(self, member: ListedEndpoint, done: Callable[[AttemptResult], None]) -> None:
        """Report the health check as passed on the next turn of the loop."""
        LoopClock().soon(lambda: done(AttemptResult(Outcome.OK)))

    def close_idle(self, member: ListedEndpoint) -> None:
        """Does nothing: there are no connections."""


class PurgeObserver:
    """Passes events from the engine to the policy, and reports purges once the policy has handled them. As a
    fault for tests, every ``drop_every``-th purge is dropped before the policy; 0 drops none."""

    def __init__(self, callback: PurgeCallback, drop_every: int = 0) -> None:
        self._callback = callback
        self._drop_every = drop_every
        self._seen = 0

    def handle(self, policy: RouterPolicy, unix_now_us: int, events: Sequence[Event]) -> list[Action]:
        """Pass events to the policy, report the object purges among them, and return the policy's actions."""
        if self._drop_every:
            events = [event for event in events if not self._dropped(event)]
        actions = policy.handle(unix_now_us, events)
        if purges := [event for event in events if isinstance(event, PurgeReceived) and event.object_key]:
            self._callback(purges)
        return actions

    def _dropped(self, event: Event) -> bool:
        """Whether the fault injected for tests drops this event."""
        if not isinstance(event, PurgeReceived):
            return False
        self._seen += 1
        return self._seen % self._drop_every == 0

    def register_name(self, number: int, ident: str) -> None:
        """Names are not observed."""

    def reconfigured(self, settings: Settings, reset_classes: Collection[int]) -> None:
        """Changes of settings are not observed."""

    def overrides_applied(self, unix_now_us: int, overrides: Sequence[HealthOverride]) -> None:
        """Health overrides are not observed."""


class HollowRouter:
    """Owner of the control side of one router."""

    def __init__(
        self, name: str, loaded: LoadedDocument, overrides: Overrides, seed: int, observer: PurgeObserver
    ) -> None:
        self.name = name
        self.seed = seed
        self.document = overrides.apply_to(loaded.document)
        self.engine = Engine(
            self.document.settings, seed, LoopClock(), DisconnectedUpstream(), names=self.document.names
        )
        self.engine.policy_observer = observer
        first = VersionRecord(0, loaded.digest, "start", VersionState.IN_FORCE, unix_now_us())
        self.manager = VersionManager(self, VersionHistory(first), loaded.data, overrides=overrides)
        self.lifecycle = Lifecycle(LoopClock().now_us)
        self.changes = ChangeLog(self.document.names, self)
        self.change_log = ChangeLogClient(self.document.change_log_address, self.changes, seed)
        self.change_source: ChangeSource = self.change_log  # a relay feed replaces it
        self._feed: Feed | None = None
        self._crashed = False

    # --- listener of the change log

    def list_changed(self, kind: EndpointListKind, version: int, members: Sequence[ListedEndpoint]) -> None:
        """Pass a change of the endpoint list to the engine."""
        self.engine.list_changed(kind, version, members)

    def purged(self, key: str, group: int, made_us: int) -> None:
        """Pass a purge to the engine, unless this router has crashed."""
        if not self._crashed:
            self.engine.purged(key, group, made_us)

    # --- host of the version manager

    @property
    def parts(self) -> list[Part]:
        """The parts that settings apply to, with the engine last, as in a real router."""
        return [self.change_log, self.engine]

    def running(self) -> Mapping[str, RunningSettings]:
        """The settings in force, by part."""
        return {part.part: dict(part.running()) for part in self.parts}

    async def prepare(self, document: Document) -> Prepared:
        """Prepare all parts for a document, without applying it."""
        return await prepare(self.parts, self.document, align_numbers(self.document, document))

    def commit(self, prepared: Prepared, version: int) -> None:
        """Apply a prepared document."""
        self.document = prepared.document
        prepared.commit()

    # --- start and stop

    @property
    def connected(self) -> bool:
        """Whether the feed has delivered the state as of the router's start."""
        return self._feed is not None and self._feed.connected

    def start(self, feed: Feed, known: Mapping[str, Any]) -> None:
        """Start the version manager and the feed. ``known`` is the change log's state taken as received
        already, in the form that a configuration file holds it."""
        self._feed = feed
        self.changes.apply_known(known)
        self.engine.flush()
        self.manager.start()
        feed.start()

    async def crash(self) -> None:
        """Stop as a killed process does: connections are closed without a graceful shutdown."""
        self._crashed = True
        if self._feed is not None:
            await self._feed.crash()
        await self.manager.stop()


class DirectFeed:
    """A feed from the change log and the control service, with a connection to each."""

    def __init__(self, router: HollowRouter, control: Address, rand: random.Random) -> None:
        self._log = router.change_log
        host, port = control
        boot = f"{router.seed:08x}"
        self._control = ControlClient(f"{host}:{port}", router.manager, router.name, boot, rand)

    @property
    def connected(self) -> bool:
        """Whether the change log has answered."""
        return self._log.has_answered

    def start(self) -> None:
        """Connect to the change log and to the control service."""
        self._log.start()
        self._control.start()

    async def crash(self) -> None:
        """Close both connections."""
        self._log.stop()
        await self._control.stop()


def observe_versions(manager: VersionManager, callback: Callable[[int], None]) -> None:
    """Call ``callback`` with the number of each version that comes into force."""

    def version_applied(answer: OfferOutcome, apply_us: int, pause_us: int) -> None:
        if answer.accepted:
            callback(answer.offer.number)

    manager.listeners.append(version_applied)
