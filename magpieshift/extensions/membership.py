"""The membership extension: which other routers are present, and what part of the whole this one may use."""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections import deque
from collections.abc import Callable, Mapping
from importlib.metadata import version

from magpieshift import clock
from magpieshift.app import EdgeRouter
from magpieshift.config import Document, MembershipSettings
from magpieshift.extensions.extension import BaseExtension
from magpieshift.extensions.membership_status import membership_status
from magpieshift.lifecycle import State
from magpieshift.log import fields
from magpieshift.membership.driver import MembershipDriver, steady_us
from magpieshift.membership.failure_detector import FailureDetector
from magpieshift.membership.member import Member, MembershipChange, MemberState
from magpieshift.membership.messages import ExtensionMessage
from magpieshift.membership.quota_lease import FLEET_SCOPE, ZONE_SCOPE_PREFIX, QuotaLease

log = logging.getLogger(__name__)

MAX_HISTORY = 64  # changes of the view kept for the answer to MEMBERS
BIND_RETRY_S = 0.25  # while a predecessor of this router still has the address
MAX_ROUTER_COUNT = 1 << 20  # what the engine divides by where nothing may be used
ROUNDING_TOLERANCE = 1e-9  # so that a quota of exactly 1/n gives the divisor n


def _divisor(quota: float) -> int:
    """The whole number of routers that a quota stands for, rounded to the safe side."""
    return math.ceil(1 / quota - ROUNDING_TOLERANCE) if quota > 0 else MAX_ROUTER_COUNT


class Membership(BaseExtension):
    """Owner of the membership driver, and with it of the socket."""

    name = "members"

    def __init__(self, router: EdgeRouter, settings: MembershipSettings, seed: int) -> None:
        """``seed`` is mixed with the wall clock, so that two starts draw different numbers."""
        self._router = router
        self._settings = settings
        rand = random.Random(seed ^ clock.source.unix_us())
        own = self._first_record(rand)
        now_us = steady_us()
        self._detector = FailureDetector(own, settings.fleet, settings.seeds, now_us, rand)
        self._detector.on_extension_message = self._receive_extension_message
        self._detector.view.listeners.append(self._on_change)
        self._zone_scope = ZONE_SCOPE_PREFIX + own.zone
        counts = self._configured_router_counts(router.document)
        self._quota_lease = QuotaLease(own, settings.voters, counts, settings.solo_quota, now_us, rand)
        self._driver = MembershipDriver(
            self._detector, self._quota_lease, after_tick=self._after_tick, refresh_quota=self._refresh_quota
        )
        self._history: deque[MembershipChange] = deque(maxlen=MAX_HISTORY)
        self._opening: asyncio.Task[None] | None = None  # until the socket is bound
        self._conflicts_logged = 0
        self._quota_logged = -1.0
        self.after_tick: list[Callable[[], None]] = []  # of other parts, called at the end of each tick
        self.message_receivers: dict[str, Callable[[bytes, Member], None]] = {}  # of other parts, by topic
        router.lifecycle.listeners.append(self._on_lifecycle_state)

    def _first_record(self, rand: random.Random) -> Member:
        document = self._router.document
        host, port = self._settings.advertise
        return Member(
            document.name,
            host,
            port,
            incarnation=clock.source.unix_us() // 1_000,
            boot_id=rand.getrandbits(32),
            zone=document.names.zones[document.settings.zone],
            program_version=version("magpieshift"),
            settings_version=self._router.version,
            lifecycle_state=self._router.lifecycle.state_name,
        )

    def _configured_router_counts(self, document: Document) -> dict[str, int]:
        settings = document.settings
        return {
            FLEET_SCOPE: max(1, settings.router_count),
            self._zone_scope: max(1, settings.zone_router_counts[settings.zone]),
        }

    # --- as an extension

    def start(self) -> None:
        """Begin to join; the router serves meanwhile on its solo quota."""
        self._router.engine.refresh_quota = self._refresh_quota
        self._opening = asyncio.ensure_future(self._open())

    async def _open(self) -> None:
        """Bind and join, as soon as a process that this one replaces has released the address."""
        address = "{}:{}".format(*self._settings.listen)
        failure_logged = False
        while True:
            try:
                bound = await self._driver.open(self._settings.listen)
            except OSError as err:
                if not failure_logged:
                    log.warning("membership not joined yet", extra=fields(address=address, reason=err))
                failure_logged = True
                await asyncio.sleep(BIND_RETRY_S)
            else:
                address = "{}:{}".format(*bound)
                log.info("membership opened", extra=fields(address=address, fleet=self._settings.fleet))
                return

    def configuration_changed(self, document: Document, version: int) -> None:
        """Use the router counts of the new configuration, and say its version."""
        self._quota_lease.router_counts = self._configured_router_counts(document)
        self._detector.update_own_record(settings_version=version)
        self._refresh_quota()

    def commands(self) -> Mapping[str, Callable[[], str]]:
        """MEMBERS shows the view."""
        return {"MEMBERS": self._status}

    async def stop(self) -> None:
        """Leave the fleet and release the socket."""
        if self._opening is not None:
            self._opening.cancel()
            await asyncio.wait([self._opening])
        self._driver.close()
        self._router.engine.refresh_quota = None

    # --- for other parts

    @property
    def zone(self) -> str:
        """The name of this router's zone."""
        return self._detector.view.own.zone

    def alive_members(self) -> list[Member]:
        """The members that are present and not suspect, this router included."""
        present = self._detector.view.present_members()
        return [known.member for known in present if known.state == MemberState.ALIVE]

    def send_message(self, member: Member, topic: str, data: bytes) -> None:
        """Send another part's message to a member, at the end of this tick."""
        self._detector.send_extension_message(member, topic, data)

    def _receive_extension_message(self, message: ExtensionMessage, sender: Member) -> None:
        receive = self.message_receivers.get(message.topic)
        if receive is not None:  # else the topic is of a later version
            receive(message.data, sender)

    # --- events

    def _on_lifecycle_state(self, state: State) -> None:
        self._detector.update_own_record(lifecycle_state=state.value)

    def _after_tick(self) -> None:
        lifecycle = self._router.lifecycle
        self._detector.expects_successor = lifecycle.replacement_serves or lifecycle.state == State.ENDING
        self._detector.update_own_record(open_requests=self._router.engine.open_requests)
        conflicts = self._detector.counters.conflicts
        if conflicts != self._conflicts_logged:
            self._conflicts_logged = conflicts
            log.error(
                "name conflict found",
                extra=fields(name=self._router.document.name, goes_on_as=self._detector.view.own.name),
            )
        self._refresh_quota()
        for callback in self.after_tick:
            callback()

    def _refresh_quota(self) -> None:
        """Have the engine divide by what may be used at this instant.

        The engine calls this before each batch as well: a process that resumes from a pause uses nothing of a
        lease that expired, and one that is being replaced leaves its successor its part from the first batch.
        """
        self._router.check_other_process()
        now_us = steady_us()
        fleet_quota = self._quota_lease.quota(FLEET_SCOPE, now_us)
        zone_quota = self._quota_lease.quota(self._zone_scope, now_us)
        # the engine divides among the processes of this router
        used = fleet_quota / (1 + self._router.engine.sibling_processes)
        if used != self._quota_logged:
            self._quota_logged = used
            present = self._detector.view.present_count
            log.info("share", extra=fields(at_us=now_us, share=f"{used:.6f}", here=present))
        self._router.engine.set_router_counts(_divisor(fleet_quota), _divisor(zone_quota))

    def _on_change(self, change: MembershipChange) -> None:
        self._history.append(change)
        level = (
            logging.WARNING if change.new_state in (MemberState.SUSPECT, MemberState.DEAD) else logging.INFO
        )
        log.log(
            level,
            "member",
            extra=fields(
                name=change.name,
                before=change.old_state.value if change.old_state else "unknown",
                after=change.new_state.value,
                why=change.reason,
                view=change.view_version,
                here=self._detector.view.present_count,
            ),
        )

    def _status(self) -> str:
        return membership_status(
            self._detector, self._quota_lease, self._zone_scope, self._history, steady_us()
        )
