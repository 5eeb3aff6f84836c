"""Direct and indirect probes (SWIM): chooses the members that a router monitors and schedules their pings."""

from __future__ import annotations

import random

from magpieshift.membership.dissemination import Outbox
from magpieshift.membership.member import Member, MemberState
from magpieshift.membership.member_table import MemberTable
from magpieshift.membership.messages import Ping, PingRequest
from magpieshift.membership.pings import PendingPing, PendingPings

# Between two ticks of the failure detector; shorter spreads the load more evenly and costs more wake-ups.
TICK_INTERVAL_US = 100_000
TICKS_PER_ROUND = 8  # SWIM's protocol period of 0.8 s, in which each monitored member is pinged once
RETRY_AFTER_TICKS = 2  # until a ping without an ack is retried: more than a round trip, well within a round
DRAWS_PER_MEMBER = 4  # random draws per wanted member, since excluded and suspected members are skipped


class Probing:
    """Monitors this router's successors on the ring."""

    def __init__(
        self,
        view: MemberTable,
        outbox: Outbox,
        pings: PendingPings,
        rand: random.Random,
        min_monitored: int,
    ) -> None:
        """``min_monitored`` is the number of healthy members to monitor, or all if there are fewer."""
        self._view = view
        self._outbox = outbox
        self._pings = pings
        self._random = rand
        self._min_monitored = min_monitored
        self._chosen_for = (-1, -1)  # view version and number of suspected members at the last choice
        self.monitored_since: dict[str, int] = {}  # by name, in ring order: when monitoring began

    def tick(self, now_us: int, tick_in_round: int) -> None:
        """Ping the members that are scheduled for this tick, and retry those that have not answered."""
        self._choose_monitored(now_us)
        for index, name in enumerate(self.monitored_since):
            tick_of_ping = index % TICKS_PER_ROUND
            if tick_of_ping == tick_in_round and not self._heard_recently(now_us, name):
                self.ping(now_us, self._view.members[name].member)
            elif tick_of_ping == (tick_in_round - RETRY_AFTER_TICKS) % TICKS_PER_ROUND:
                self._retry(now_us, name)

    def _choose_monitored(self, now_us: int) -> None:
        """Monitor ring successors until ``min_monitored`` are alive and not reported by this router.

        So after many members died at once, the survivors monitor more members, and no survivor is
        unmonitored.
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

    def _heard_recently(self, now_us: int, name: str) -> bool:
        """Whether a new heartbeat arrived within the last half round, which makes a ping unnecessary."""
        return now_us - self._view.members[name].last_heartbeat_us < TICKS_PER_ROUND * TICK_INTERVAL_US // 2

    def ping(self, now_us: int, member: Member, name_holder: Member | None = None) -> None:
        """Ping a member; ``name_holder`` is set if it is another process with this router's name."""
        ping_id = self._pings.add(PendingPing(member.name, now_us, name_holder=name_holder))
        self._outbox.send_to(member, Ping(ping_id))

    def _retry(self, now_us: int, name: str) -> None:
        """Ping a member again, directly and through another member, unless it has been heard."""
        if self._heard_recently(now_us, name):
            return
        self.ping(now_us, self._view.members[name].member)
        for helper in self.random_members(1, name):
            ping_id = self._pings.add(PendingPing(name, now_us))
            self._outbox.send_to(helper, PingRequest(ping_id, name))

    def random_members(self, count: int, excluded: str = "") -> list[Member]:
        """Up to ``count`` random members among the other present ones that are not under suspicion."""
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
