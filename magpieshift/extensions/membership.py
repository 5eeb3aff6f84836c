"""The membership extension: detects which other routers are present, and sets the quota of the shared limits
that this one may use."""

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
from magpieshift.background_task import BackgroundTask
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

MAX_HISTORY = 64  # membership changes kept for the answer to MEMBERS
BIND_RETRY_INTERVAL_S = 0.25  # retry interval while a replaced process still has the address bound
MAX_ROUTER_COUNT = 1 << 20  # divisor of the engine's limits if the quota is 0
ROUNDING_TOLERANCE = 1e-9  # without it, rounding could give n + 1 as the divisor of a quota of 1/n


def _divisor(quota: float) -> int:
    """The divisor of shared limits for a quota; rounded up, so that no more than the quota is used."""
    return math.ceil(1 / quota - ROUNDING_TOLERANCE) if quota > 0 else MAX_ROUTER_COUNT


class Membership(BaseExtension):
    """Owns the membership driver and thereby its socket."""

    name = "members"

    def __init__(self, router: EdgeRouter, settings: MembershipSettings, seed: int) -> None:
        """``seed`` is combined with the wall clock, so that two starts draw different random numbers."""
        self._router = router
        self._settings = settings
        rand = random.Random(seed ^ clock.source.unix_us())
        own = self._initial_member(rand)
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
        self._binding = BackgroundTask("membership bind", self._bind)
        self._logged_conflicts = 0
        self._logged_quota = -1.0
        # callbacks of other parts, called at the end of each tick
        self.after_tick: list[Callable[[], None]] = []
        # message handlers of other parts, by topic
        self.message_receivers: dict[str, Callable[[bytes, Member], None]] = {}
        router.lifecycle.listeners.append(self._on_lifecycle_state)

    def _initial_member(self, rand: random.Random) -> Member:
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

    # --- Extension

    def start(self) -> None:
        """Start joining the fleet; until then the router uses its solo quota."""
        self._router.engine.refresh_quota = self._refresh_quota
        self._binding.start()

    async def _bind(self) -> None:
        """Bind the socket and join the fleet; retries while a replaced process has the address bound."""
        address = "{}:{}".format(*self._settings.listen)
        failure_logged = False
        while True:
            try:
                bound = await self._driver.open(self._settings.listen)
            except OSError as err:
                if not failure_logged:
                    log.warning("membership address not bound", extra=fields(address=address, reason=err))
                failure_logged = True
                await asyncio.sleep(BIND_RETRY_INTERVAL_S)
            else:
                address = "{}:{}".format(*bound)
                log.info("membership socket bound", extra=fields(address=address, fleet=self._settings.fleet))
                return

    def configuration_changed(self, document: Document, version: int) -> None:
        """Use the router counts of the new configuration, and announce its version to the other members."""
        self._quota_lease.router_counts = self._configured_router_counts(document)
        self._detector.update_own_record(settings_version=version)
        self._refresh_quota()

    def commands(self) -> Mapping[str, Callable[[], str]]:
        """MEMBERS returns the view of the fleet."""
        return {"MEMBERS": self._status}

    async def stop(self) -> None:
        """Leave the fleet and release the socket."""
        self._binding.cancel()
        await self._binding.wait()
        self._driver.close()
        self._router.engine.refresh_quota = None

    # --- for other parts

    @property
    def zone(self) -> str:
        """The name of this router's zone."""
        return self._detector.view.own.zone

    def alive_members(self) -> list[Member]:
        """The members in the state ``ALIVE`` (present and not suspected), including this router."""
        present = self._detector.view.present_members()
        return [known.member for known in present if known.state == MemberState.ALIVE]

    def send_message(self, member: Member, topic: str, data: bytes) -> None:
        """Send a message of another part to a member at the end of the current tick."""
        self._detector.send_extension_message(member, topic, data)

    def _receive_extension_message(self, message: ExtensionMessage, sender: Member) -> None:
        receive = self.message_receivers.get(message.topic)
        if receive is not None:  # an unknown topic comes from a later version of the program
            receive(message.data, sender)

    # --- events

    def _on_lifecycle_state(self, state: State) -> None:
        self._detector.update_own_record(lifecycle_state=state.value)

    def _after_tick(self) -> None:
        lifecycle = self._router.lifecycle
        self._detector.expects_successor = lifecycle.replacement_serves or lifecycle.state == State.ENDING
        self._detector.update_own_record(open_requests=self._router.engine.open_requests)
        conflicts = self._detector.counters.conflicts
        if conflicts != self._logged_conflicts:
            self._logged_conflicts = conflicts
            log.error(
                "name conflict found",
                extra=fields(name=self._router.document.name, goes_on_as=self._detector.view.own.name),
            )
        self._refresh_quota()
        for callback in self.after_tick:
            callback()

    def _refresh_quota(self) -> None:
        """Set the divisors of the engine's limits to the current quotas.

        The engine also calls this before each batch of events: a process that resumes after a pause then no
        longer uses a lease that has expired, and a process that is being replaced shares its quota with its
        successor from the first batch on.
        """
        self._router.check_other_process()
        now_us = steady_us()
        fleet_quota = self._quota_lease.quota(FLEET_SCOPE, now_us)
        zone_quota = self._quota_lease.quota(self._zone_scope, now_us)
        # the engine divides the quota further among the processes of this router
        process_quota = fleet_quota / (1 + self._router.engine.sibling_processes)
        if process_quota != self._logged_quota:
            self._logged_quota = process_quota
            present = self._detector.view.present_count
            log.info("quota changed", extra=fields(at_us=now_us, share=f"{process_quota:.6f}", here=present))
        self._router.engine.set_router_counts(_divisor(fleet_quota), _divisor(zone_quota))

    def _on_change(self, change: MembershipChange) -> None:
        self._history.append(change)
        level = (
            logging.WARNING if change.new_state in (MemberState.SUSPECT, MemberState.DEAD) else logging.INFO
        )
        log.log(
            level,
            "member state changed",
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
