"""The relay extension: a router receives changes from a relay of the fan-out instead of the change log."""

from __future__ import annotations

import asyncio
import json
import logging
import random
import secrets
from collections.abc import Callable, Mapping, Sequence

from magpieshift import clock
from magpieshift.app import EdgeRouter
from magpieshift.control.errors import UnusableDocumentError
from magpieshift.control.version_manager import VersionManager
from magpieshift.control.version_records import OfferOutcome, RejectionReason
from magpieshift.extensions.extension import BaseExtension
from magpieshift.lifecycle import State
from magpieshift.log import fields
from magpieshift.relay import configuration
from magpieshift.relay.client import RelayClient
from magpieshift.relay.follower import Follower
from magpieshift.relay.instructions import ApplyEntries
from magpieshift.relay.messages import ConfigurationChange, EndpointListChange, Entry, Purge, Snapshot
from magpieshift.relay.selection import RelayAddress, RelaySelection, rank_relays

log = logging.getLogger(__name__)

# maximum length of a rejection reason in log lines and in the report to the relay
MAX_REASON_CHARACTERS = 200
INSTANCE_ID_BYTES = 4  # random at each start, so that relays can distinguish two processes of the same name


class RelayChangeSource:
    """A change source (``discovery.changes.ChangeSource``) that applies the changes sent by a relay."""

    def __init__(
        self,
        router: EdgeRouter,
        follower: Follower,
        selection: RelaySelection,
        offer: Callable[[ConfigurationChange], None],
    ) -> None:
        """``offer`` is called with each version of the configuration that is received."""
        self._router = router
        self._offer = offer
        self.client = RelayClient(follower, selection, self)

    # --- discovery.changes.ChangeSource

    def start(self) -> None:
        """Connect to a relay and follow it."""
        self.client.start()

    def stop(self) -> None:
        """Stop applying changes. The stream is closed later, when the extension stops."""
        self.client.stop_receiving()

    async def caught_up(self, within_s: float) -> bool:
        """Wait for the first lease, for at most ``within_s`` seconds; returns whether one was held."""
        try:
            async with asyncio.timeout(within_s):
                await self.client.caught_up.wait()
        except TimeoutError:
            return False
        return True

    # --- receiver of the RelayClient

    def apply_entries(self, batch: ApplyEntries) -> None:
        """Apply a batch of entries; from here on the router's decisions take them into account."""
        for entry in batch.entries:
            self._apply(entry)
        self._router.engine.flush()

    def restore_snapshot(self, snapshot: Snapshot) -> None:
        """Apply the endpoint list, the purges and the configuration of a snapshot."""
        if snapshot.endpoint_list_json:
            self._apply(EndpointListChange(snapshot.endpoint_list_json))
        for purge in snapshot.purges:
            self._apply(purge)
        if snapshot.configuration is not None:
            self._apply(snapshot.configuration)
        self._router.engine.flush()

    def apply_configuration(self, change: ConfigurationChange) -> None:
        """Offer a full version of the configuration, which the follower had requested."""
        self._offer(change)

    def _apply(self, entry: Entry) -> None:
        match entry:
            case Purge(key, group, purged_us):
                self._router.purged(key, group, purged_us)
            case EndpointListChange(endpoint_list_json):
                self._apply_endpoint_list(endpoint_list_json)
            case ConfigurationChange():
                self._offer(entry)

    def _apply_endpoint_list(self, endpoint_list_json: str) -> None:
        """Apply an endpoint list; one that cannot be read is logged and ignored."""
        try:
            self._router.changes.apply_list(json.loads(endpoint_list_json), is_initial=False)
        except Exception as err:  # a list in a form unknown to this version must not end the stream
            reason = f"{type(err).__name__}: {err}"[:MAX_REASON_CHARACTERS]
            log.warning("unreadable change", extra=fields(reason=reason))


class RelaySubscription(BaseExtension):
    """Owns a router's subscription to a relay, and offers received versions to the version manager."""

    name = "relays"

    def __init__(
        self,
        router: EdgeRouter,
        manager: VersionManager,
        relays: Sequence[RelayAddress],
        region: str,
        name: str,
    ) -> None:
        """``region`` and ``name`` are those of the router; relays of its region are preferred."""
        self._manager = manager
        self._follower = Follower(name, secrets.token_hex(INSTANCE_ID_BYTES))
        self._follower.configuration_digest = manager.in_force.digest
        selection = RelaySelection(rank_relays(name, region, relays), random.Random())
        self._changes = RelayChangeSource(router, self._follower, selection, self._offer)
        # versions received before the router serves, which are offered when it does; None once it serves
        self._deferred_versions: list[ConfigurationChange] | None = []
        router.change_source = self._changes
        router.engine.copy_age_limit = self._copy_age_limit_us
        router.lifecycle.listeners.append(self._on_lifecycle_state)
        manager.listeners.append(self._on_offer_outcome)

    def commands(self) -> Mapping[str, Callable[[], str]]:
        """RELAY returns the relay, the position in the log and the state of the lease."""
        return {"RELAY": self._status}

    async def stop(self) -> None:
        """Close the stream."""
        self._manager.listeners.remove(self._on_offer_outcome)
        await self._changes.client.stop()

    def _copy_age_limit_us(self) -> int:
        return self._follower.staleness.copy_age_limit_us(clock.source.steady_us())

    def _status(self) -> str:
        follower = self._follower
        now_us = clock.source.steady_us()
        return json.dumps(
            {
                "relay": self._changes.client.relay.address,
                "epoch": follower.epoch.term,
                "applied": follower.applied,
                "done": follower.watermark,
                "age_us": follower.staleness.age_us(now_us),
                "leased": follower.staleness.lease_held(now_us),
            }
        )

    # --- versions

    def _on_lifecycle_state(self, state: State) -> None:
        """Offer the deferred versions once the router serves."""
        if state == State.SERVING and self._deferred_versions is not None:
            deferred = self._deferred_versions
            self._deferred_versions = None
            for change in deferred:
                self._offer(change)

    def _offer(self, change: ConfigurationChange) -> None:
        if self._deferred_versions is not None:
            is_full = not change.base_digest
            self._deferred_versions = [change] if is_full else [*self._deferred_versions, change]
            return
        try:
            self._manager.offer(configuration.version_offer(change))
        except UnusableDocumentError as err:
            log.warning("version rejected", extra=fields(version=change.number, reason=err))
            self._report_rejection(change.number, str(err), wants_full=bool(change.base_digest))

    def _on_offer_outcome(self, answer: OfferOutcome, apply_us: int, pause_us: int) -> None:
        """The version manager has accepted or rejected a version, from this or from another source."""
        follower = self._follower
        follower.configuration_digest = self._manager.in_force.digest
        if answer.offer.source != configuration.OFFER_SOURCE:
            return
        if answer.accepted:
            if answer.offer.number >= follower.rejected_version:
                follower.rejected_version = 0
                follower.rejection_reason = ""
        elif answer.reason is not RejectionReason.SUPERSEDED:
            reason = f"{answer.reason.shown_name}: {answer.detail}"
            self._report_rejection(answer.offer.number, reason, answer.wants_full)

    def _report_rejection(self, version: int, reason: str, wants_full: bool) -> None:
        """Have the follower report a rejected version to the relay."""
        follower = self._follower
        follower.rejected_version = version
        follower.rejection_reason = reason[:MAX_REASON_CHARACTERS]
        follower.wants_full = follower.wants_full or wants_full
