"""Direct and indirect probes (SWIM): which members a router monitors, and when it pings each."""

from __future__ import annotations

import random

from magpieshift.membership.dissemination import Outbox
from magpieshift.membership.member import Member, MemberState
from magpieshift.membership.member_table import MemberTable
from magpieshift.membership.messages import Ping, PingRequest
from magpieshift.membership.pings import PendingPing, PendingPings

TICK_INTERVAL_US = 100_000  # of the detector; shorter spreads load more evenly and costs more wake-ups
TICKS_PER_ROUND = 8  # SWIM's protocol period, 0.8 s: each monitored member is pinged once in it
RETRY_AFTER_TICKS = 2  # without an ack: longer than a round trip, and well within the round
DRAWS_PER_MEMBER = 4  # tries to draw one random member that is neither excluded nor under suspicion


class Probing:
    """The members that one router monitors: the next ones on the ring."""

    def __init__(
        self,
        view: MemberTable,
        outbox: Outbox,
        pings: PendingPings,
        rand: random.Random,
        min_monitored: int,
    ) -> None:
        """``min_monitored``: healthy members to monitor, where there are so many."""
        self._view = view
        self._outbox = outbox
        self._pings = pings
        self._random = rand
        self._min_monitored = min_monitored
        self._chosen_for = (-1, -1)  # version of the view and count of suspects that the choice was made for
        self.monitored_since: dict[str, int] = {}  # by name, since when; in the order of the ring

    def tick(self, now_us: int, tick_in_round: int) -> None:
        """Ping the members whose turn it is, and retry those that have not answered."""
        self._choose_monitored(now_us)
        for place, name in enumerate(self.monitored_since):
            tick_of_ping = place % TICKS_PER_ROUND
            if tick_of_ping == tick_in_round and not self._heard_this_round(now_us, name):
                self.ping(now_us, self._view.members[name].member)
            elif tick_of_ping == (tick_in_round - RETRY_AFTER_TICKS) % TICKS_PER_ROUND:
                self._retry(now_us, name)

    def _choose_monitored(self, now_us: int) -> None:
        """Monitor the next members on the ring, in addition to those this router reports itself.

        So the survivors monitor more members where many died at once, and no survivor is left unmonitored.
        """
        chosen_for = self._view.version, len(self._view.under_suspicion)
        if chosen_for == self._chosen_for:
            return
        self._chosen_for = chosen_for
        own = self._view.own.name
        monitored = dict[str, int]()
        healthy = 0
        for known in self._view.ring_successors(own):
            name = known.member.name
            monitored[name] = self.monitored_since.get(name, now_us)
            healthy += own not in known.reporters and known.state == MemberState.ALIVE
            if healthy >= self._min_monitored:
                break
        self.monitored_since = monitored

    def _heard_this_round(self, now_us: int, name: str) -> bool:
        """Whether its heartbeat rose within half a round: then no ping is needed."""
        return now_us - self._view.members[name].last_heartbeat_us < TICKS_PER_ROUND * TICK_INTERVAL_US // 2

    def ping(self, now_us: int, member: Member, name_holder: Member | None = None) -> None:
        """Ping a member; ``name_holder`` where it is another process of this router's name."""
        ping_id = self._pings.add(PendingPing(member.name, now_us, name_holder=name_holder))
        self._outbox.send_to(member, Ping(ping_id))

    def _retry(self, now_us: int, name: str) -> None:
        """Ping once more, directly and through another member."""
        if self._heard_this_round(now_us, name):
            return
        self.ping(now_us, self._view.members[name].member)
        for helper in self.random_members(1, name):
            ping_id = self._pings.add(PendingPing(name, now_us))
            self._outbox.send_to(helper, PingRequest(ping_id, name))

    def random_members(self, count: int, excluded: str = "") -> list[Member]:
        """Up to ``count`` other present members at random, none of them under suspicion."""
        positions = self._view.ring.positions
        own = self._view.own.name
        chosen = dict[str, Member]()
        for _ in range(DRAWS_PER_MEMBER * count if len(positions) > 1 else 0):
            name = positions[int(self._random.random() * len(positions))][1]
            if name not in (own, excluded) and name not in self._view.under_suspicion:
                chosen[name] = self._view.members[name].member
                if len(chosen) == count:
                    break
        return list(chosen.values())
