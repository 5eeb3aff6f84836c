"""What routers tell each other of failing stores and of themselves, as a fitting of a router."""

from __future__ import annotations

import json
import logging
import random
from collections.abc import Callable, Mapping

from magpieshift import clock
from magpieshift.app import EdgeRouter
from magpieshift.engine.model import ClientRequest
from magpieshift.extensions.extension import BaseExtension
from magpieshift.extensions.membership import Membership
from magpieshift.log import fields
from magpieshift.membership.driver import steady_us
from magpieshift.membership.member import Member
from magpieshift.membership.probing import TICK_INTERVAL_US as MEMBERS_TURN_US
from magpieshift.overload.codec import Malformed, decode, encode
from magpieshift.overload.gossip import TURN_US, Gossip
from magpieshift.overload.offloading import FRESH_US
from magpieshift.overload.probe_election import Seen
from magpieshift.policy.health_override import Eject, Readmit

log = logging.getLogger(__name__)

TOPIC = "overload"
LATE_US = 100_000  # turns that come so late on the mean are all that a processor can bear
LATE_SMOOTH = 0.2
RATE_SMOOTH = 0.2


class OverloadGossip(BaseExtension):
    """One router's talk, by way of the members' datagrams. It holds nothing to be given back: its turns are
    membership's, and end with it."""

    name = "talk"

    def __init__(self, router: EdgeRouter, membership: Membership, seed: int, hand_over: bool) -> None:
        self._router = router
        self._membership = membership
        rand = random.Random(seed ^ clock.source.unix_us() ^ 1)
        self._talker = Gossip(router.document.name, rand, steady_us())
        self._hand_over = hand_over
        self._called_us = self._turned_us = steady_us()
        self._late_us = 0.0
        self._rate = 0.0
        self._taken = 0
        self._left: set[int] = set()
        self.malformed = 0
        membership.after_tick.append(self._turn)
        membership.message_receivers[TOPIC] = self._heard

    # --- as a fitting

    def start(self) -> None:
        if self._hand_over:
            self._router.offload_by(self._hands_over)

    def commands(self) -> Mapping[str, Callable[[], str]]:
        return {"TALK": self._line}

    async def stop(self) -> None:
        self._router.offload_by(None)

    # --- what goes on

    def _heard(self, data: bytes, sender: Member) -> None:
        try:
            digest = decode(data)
        except Malformed as err:
            self.malformed += 1
            log.debug("digest dropped", extra=fields(source=sender.name, reason=err))
            return
        mate = sender.zone == self._membership.zone
        self._talker.receive(steady_us(), sender.name, digest, mate)

    def _turn(self) -> None:
        """Called at the end of each of membership's turns."""
        now = steady_us()
        late = max(0, now - self._called_us - MEMBERS_TURN_US)
        self._called_us = now
        self._late_us += LATE_SMOOTH * (late - self._late_us)
        since = now - self._turned_us
        if since < TURN_US:
            return
        self._turned_us = now
        taken = self._router.engine.requests_taken
        self._rate += RATE_SMOOTH * (1e6 * (taken - self._taken) / since - self._rate)
        self._taken = taken
        seen = {
            m.name: Seen(m.endpoint.number, (m.endpoint.kind, m.endpoint.zone), shunned, failed, good)
            for m, shunned, failed, good in self._router.engine.endpoint_health()
        }
        here = self._membership.alive_members()
        names = sorted(member.name for member in here)
        mates = [member.name for member in here if member.zone == self._membership.zone]
        turn = self._talker.turn(now, seen, names, mates, self._pressure(), self._rate)
        self._router.engine.apply_overrides(turn.acts)
        self._log_acts(
            [act.endpoint for act in turn.acts if isinstance(act, Eject)],
            {act.endpoint for act in turn.acts if isinstance(act, Readmit)},
            seen,
        )
        if turn.offloading_changed:
            offloading = self._talker.offloading
            log.warning(
                "handing over" if offloading.over else "no longer handing over",
                extra=fields(why=offloading.why, handed=offloading.handed),
            )
        by_name = {member.name: member for member in here}
        for name, digest in turn.sends:
            self._membership.send_message(by_name[name], TOPIC, encode(digest))

    def _pressure(self) -> float:
        return max(self._router.pressure, self._late_us / LATE_US)

    def _log_acts(self, left: list[int], tried: set[int], seen: Mapping[str, Seen]) -> None:
        """A line for each store that begins to be left alone, and for each that is taken up again."""
        names = {its.number: store for store, its in seen.items()}
        for number in left:
            if number not in self._left:
                store = names[number]
                said = self._talker.reports.failing(store, steady_us())
                log.warning("store left to others", extra=fields(store=store, said_by=",".join(sorted(said))))
        for number in self._left - set(left):
            why = "tried here" if number in tried else "well again, or no news"
            log.info("store no longer left", extra=fields(store=names.get(number, "-"), why=why))
        self._left = set(left)

    def _hands_over(self, call: ClientRequest) -> bool:
        engine = self._router.engine
        number = engine.object_number(call.object_key)
        return self._talker.offloading.hands_over(
            number, call.is_repeat, engine.is_write_class(call.class_index)
        )

    def _line(self) -> str:
        """What is said and done, as one line of JSON."""
        now = steady_us()
        talker = self._talker
        return json.dumps(
            {
                "pressure": round(self._pressure(), 3),
                "rate": round(self._rate, 1),
                "over": talker.offloading.over,
                "share": round(talker.offloading.share, 3),
                "handed": talker.offloading.handed,
                "why": talker.offloading.why,
                "changes": talker.offloading.changes,
                "failing": {
                    store: sorted(said)
                    for store in sorted(talker.reports.stores())
                    if (said := talker.reports.failing(store, now))
                },
                "left": sorted(
                    m.name
                    for m, *_ in self._router.engine.endpoint_health()
                    if m.endpoint.number in self._left
                ),
                "neighbours_fresh_s": FRESH_US / 1e6,
                "sent": talker.sent,
                "taken": talker.taken,
                "dropped": {
                    "malformed": self.malformed,
                    "flooded": talker.flooded,
                    "no_room": talker.reports.dropped,
                },
            },
            separators=(",", ":"),
        )
