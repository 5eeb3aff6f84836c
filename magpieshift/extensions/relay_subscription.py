"""Following the fan-out tier's relays in place of the change log, as a fitting of a router."""

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

MOST_REFUSAL = 200  # characters of the reason that the relay is told


class Changes:
    """A router's source of changes (``feed.changes.ChangeSource``): what the relay tells, put into the
    router."""

    def __init__(
        self,
        router: EdgeRouter,
        follower: Follower,
        selection: RelaySelection,
        offer: Callable[[ConfigurationChange], None],
    ) -> None:
        self._router = router
        self._offer = offer
        self.client = RelayClient(follower, selection, self)

    # --- as the router's source of changes

    def start(self) -> None:
        """Follow."""
        self.client.start()

    def stop(self) -> None:
        """Tell the router nothing more. The fitting's end closes the stream."""
        self.client.stop_receiving()

    async def caught_up(self, within_s: float) -> bool:
        """Wait, so many seconds at most, for a first lease; whether there is one."""
        try:
            async with asyncio.timeout(within_s):
                await self.client.caught_up.wait()
        except TimeoutError:
            return False
        return True

    # --- as the client's receiver

    def apply_entries(self, batch: ApplyEntries) -> None:
        """Put a batch in force; the router decides by it from here on."""
        for entry in batch.entries:
            self._take(entry)
        self._router.engine.flush()

    def restore_snapshot(self, snapshot: Snapshot) -> None:
        """Put in force what a snapshot says."""
        if snapshot.endpoint_list_json:
            self._take(EndpointListChange(snapshot.endpoint_list_json))
        for purge in snapshot.purges:
            self._take(purge)
        if snapshot.configuration is not None:
            self._take(snapshot.configuration)
        self._router.engine.flush()

    def apply_configuration(self, change: ConfigurationChange) -> None:
        """A whole version, which was asked for."""
        self._offer(change)

    def _take(self, entry: Entry) -> None:
        match entry:
            case Purge(key, group, made_us):
                self._router.purged(key, group, made_us)
            case EndpointListChange(fleet):
                self._take_stores(fleet)
            case ConfigurationChange():
                self._offer(entry)

    def _take_stores(self, fleet: str) -> None:
        """A list of stores; what cannot be read is logged in one line and changes nothing, as on the change
        log."""
        try:
            self._router.changes.apply_list(json.loads(fleet), is_initial=False)
        except Exception as err:
            log.warning("unreadable change", extra=fields(reason=f"{type(err).__name__}: {err}"[:200]))


class RelaySubscription(BaseExtension):
    """Owner of a router's place in the fan-out tier, and of the versions that it brings."""

    name = "relays"

    def __init__(
        self,
        router: EdgeRouter,
        manager: VersionManager,
        relays: Sequence[RelayAddress],
        region: str,
        name: str,
    ) -> None:
        self._manager = manager
        self._lifecycle = router.lifecycle
        self._follower = Follower(name, secrets.token_hex(4))
        self._follower.configuration_digest = manager.in_force.digest
        selection = RelaySelection(rank_relays(name, region, relays), random.Random())
        self._changes = Changes(router, self._follower, selection, self._offer)
        self._early: list[ConfigurationChange] | None = []  # until the router serves
        router.change_source = self._changes
        router.engine.copy_age_limit = self._copy_age_limit
        router.lifecycle.listeners.append(self._went)
        manager.listeners.append(self._answered)

    def commands(self) -> Mapping[str, Callable[[], str]]:
        return {"RELAY": self._line}

    async def stop(self) -> None:
        self._manager.listeners.remove(self._answered)
        await self._changes.client.stop()

    def _copy_age_limit(self) -> int:
        return self._follower.staleness.copy_age_limit_us(clock.source.steady_us())

    def _line(self) -> str:
        """Where the router stands, for operators."""
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

    def _went(self, state: State) -> None:
        """Versions come into force once the router serves."""
        if state == State.SERVING and self._early is not None:
            early = self._early
            self._early = None
            for change in early:
                self._offer(change)

    def _offer(self, change: ConfigurationChange) -> None:
        if self._early is not None:
            # a whole version makes those before it needless
            self._early = [*(self._early if change.base_digest else []), change]
            return
        try:
            self._manager.offer(configuration.version_offer(change))
        except UnusableDocumentError as err:
            log.warning("version turned down", extra=fields(version=change.number, reason=err))
            self._refuse(change.number, str(err), want_whole=bool(change.base_digest))

    def _answered(self, answer: OfferOutcome, apply_us: int, pause_us: int) -> None:
        """What became of a version, whoever offered it."""
        follower = self._follower
        follower.configuration_digest = self._manager.in_force.digest
        if answer.offer.source != configuration.OFFER_SOURCE:
            return
        if answer.accepted:
            if answer.offer.number >= follower.rejected_version:
                follower.rejected_version = 0
                follower.rejection_reason = ""
        elif answer.reason is not RejectionReason.SUPERSEDED:
            why = f"{answer.reason.word}: {answer.detail}"
            self._refuse(answer.offer.number, why, answer.wants_full)

    def _refuse(self, number: int, why: str, want_whole: bool) -> None:
        follower = self._follower
        follower.rejected_version = number
        follower.rejection_reason = why[:MOST_REFUSAL]
        follower.wants_full = follower.wants_full or want_whole
