"""Membership, as a fitting of a router: who else is there, and what part of the whole it may use."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import random
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import asdict
from importlib.metadata import version

from magpieshift import clock
from magpieshift.app import EdgeRouter
from magpieshift.config import Document, MembershipSettings
from magpieshift.extensions.extension import BaseExtension
from magpieshift.lifecycle import State
from magpieshift.log import fields
from magpieshift.membership.driver import MembershipDriver, steady_us
from magpieshift.membership.failure_detector import FailureDetector
from magpieshift.membership.member_table import Member, MembershipChange, MemberState
from magpieshift.membership.messages import ExtensionMessage
from magpieshift.membership.quota_lease import FLEET_SCOPE, ZONE_SCOPE_PREFIX, QuotaLease

log = logging.getLogger(__name__)

MOST_HISTORY = 64
MOST_SHOWN = 256  # members in an answer at the door
BIND_AGAIN_S = 0.25


class Membership(BaseExtension):
    """Owner of the driver, and with it of the socket."""

    name = "members"

    def __init__(self, router: EdgeRouter, settings: MembershipSettings, seed: int) -> None:
        self._router = router
        self._settings = settings
        document = router.document
        rand = random.Random(seed ^ clock.source.unix_us())
        own = Member(
            document.name,
            *settings.advertise,
            clock.source.unix_us() // 1_000,
            rand.getrandbits(32),
            zone=document.names.zones[document.settings.zone],
            program_version=version("magpieshift"),
            settings_version=router.version,
            lifecycle_state=router.lifecycle.state_name,
        )
        now = steady_us()
        self._detector = FailureDetector(own, settings.fleet, settings.seeds, now, rand)
        self._scope = ZONE_SCOPE_PREFIX + own.zone
        self._shares = QuotaLease(own, settings.voters, self._slots(document), settings.solo_quota, now, rand)
        self._driver = MembershipDriver(self._detector, self._shares, after=self._turned, used=self._check)
        self._history: deque[MembershipChange] = deque(maxlen=MOST_HISTORY)
        self._detector.view.listeners.append(self._changed)
        self._opening: asyncio.Task[None] | None = None
        self._conflicts = 0
        self._share = -1.0
        self.turns: list[Callable[[], None]] = []  # of other parts, called at the end of each turn
        self.topics: dict[str, Callable[[bytes, Member], None]] = {}  # who takes which notes
        self._detector.on_extension_message = self._noted
        router.lifecycle.listeners.append(self._went)

    def _slots(self, document: Document) -> dict[str, int]:
        s = document.settings
        return {FLEET_SCOPE: max(1, s.router_count), self._scope: max(1, s.zone_router_counts[s.zone])}

    # --- as a fitting

    def start(self) -> None:
        self._router.engine.refresh_quota = self._check
        self._opening = asyncio.ensure_future(self._open())

    async def _open(self) -> None:
        """Bind and join. While this process replaces another, that one still has the address."""
        where = "{}:{}".format(*self._settings.listen)
        told = False
        while True:
            try:
                bound = await self._driver.open(self._settings.listen)
            except OSError as err:  # the router serves without: it has what its settings give it
                if not told:
                    log.warning("members not joined yet", extra=fields(address=where, reason=err))
                told = True
                await asyncio.sleep(BIND_AGAIN_S)
            else:
                address = "{}:{}".format(*bound)
                log.info("members open", extra=fields(address=address, fleet=self._settings.fleet))
                return

    def configuration_changed(self, document: Document, version: int) -> None:
        self._shares.router_counts = self._slots(document)
        self._detector.update_own_record(settings_version=version)
        self._check()

    def commands(self) -> Mapping[str, Callable[[], str]]:
        return {"MEMBERS": self._members}

    async def stop(self) -> None:
        if self._opening is not None:
            self._opening.cancel()
            await asyncio.wait([self._opening])
        self._driver.close()
        self._router.engine.refresh_quota = None

    # --- for other parts

    @property
    def zone(self) -> str:
        return self._detector.view.own.zone

    def there(self) -> list[Member]:
        """Who is there and not suspected, this router included."""
        return [
            known.member
            for known in self._detector.view.present_members()
            if known.state == MemberState.ALIVE
        ]

    def note(self, member: Member, topic: str, data: bytes) -> None:
        """Send another part's words to a member, with this turn's datagrams."""
        self._detector.send_extension_message(member, topic, data)

    def _noted(self, note: ExtensionMessage, sender: Member) -> None:
        if (takes := self.topics.get(note.topic)) is not None:  # else it is of a later version
            takes(note.data, sender)

    # --- what goes on

    def _went(self, state: State) -> None:
        self._detector.update_own_record(lifecycle_state=state.value)

    def _turned(self) -> None:
        """After each turn of the driver."""
        lifecycle = self._router.lifecycle
        self._detector.expects_successor = lifecycle.replacement_serves or lifecycle.state == State.ENDING
        self._detector.update_own_record(open_requests=self._router.engine.open_requests)
        if self._detector.counters.conflicts != self._conflicts:
            self._conflicts = self._detector.counters.conflicts
            log.error(
                "name conflict",
                extra=fields(name=self._router.document.name, goes_on_as=self._detector.view.own.name),
            )
        self._check()
        for turn in self.turns:
            turn()

    def _check(self) -> None:
        """What may be used at this instant, rounded to the safe side, is what the engine divides by. It is
        asked before each batch as well: a process that has just woken acts on nothing that ran out, and one
        that is being replaced leaves its successor its part from the first batch on."""
        self._router.check_other_process()
        now = steady_us()
        shares = [self._shares.quota(scope, now) for scope in (FLEET_SCOPE, self._scope)]
        # the engine has each process of this router take its part of that
        used = shares[0] / (1 + self._router.engine.sibling_processes)
        if used != self._share:
            self._share = used
            log.info(
                "share", extra=fields(at_us=now, share=f"{used:.6f}", here=self._detector.view.present_count)
            )
        divisors = [math.ceil(1 / share - 1e-9) if share > 0 else 1 << 20 for share in shares]
        self._router.engine.set_router_counts(divisors[0], divisors[1])

    def _changed(self, change: MembershipChange) -> None:
        self._history.append(change)
        before = change.old_state.value if change.old_state else "unknown"
        level = (
            logging.WARNING if change.new_state in (MemberState.SUSPECT, MemberState.DEAD) else logging.INFO
        )
        log.log(
            level,
            "member",
            extra=fields(
                name=change.name,
                before=before,
                after=change.new_state.value,
                why=change.reason,
                view=change.view_version,
                here=self._detector.view.present_count,
            ),
        )

    def _members(self) -> str:
        """The view as one line of JSON."""
        view = self._detector.view
        now = steady_us()
        rows = sorted(view.members.values(), key=lambda known: (not known.is_present, known.member.name))
        return json.dumps(
            {
                "own": view.own.name,
                "view": view.version,
                "digest": f"{view.digest:016x}",
                "here": view.present_count,
                "isolated": self._detector.isolated,
                "quiet": self._detector.superseded,
                "share": round(self._shares.quota(FLEET_SCOPE, now), 6),
                "zone_share": round(self._shares.quota(self._scope, now), 6),
                "lease_s": round(max(0, self._shares.lease_expires_us - now) / 1e6, 2),
                "dropped": asdict(self._detector.counters),
                "members": [self._detector.row(known) for known in rows[:MOST_SHOWN]],
                "history": [
                    {
                        "view": c.view_version,
                        "ago_s": round((now - c.changed_at_us) / 1e6, 1),
                        "name": c.name,
                        "before": c.old_state.value if c.old_state else "",
                        "after": c.new_state.value,
                        "why": c.reason,
                    }
                    for c in self._history
                ],
            },
            separators=(",", ":"),
        )
