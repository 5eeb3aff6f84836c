"""Gossip of failing endpoints and of routers' load. A state machine of digests and time; no I/O.

Nothing is sent while no endpoint fails and no router is overloaded. After a change in what the reports say of
an endpoint, a router sends its reports to ``FANOUT`` random members for ``URGENT_TICKS`` ticks, and its
receivers do the same; otherwise it sends them to one random member a tick. An overloaded router reports its
load to its neighbours, the members of its zone, and they answer with theirs.
"""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from magpieshift.overload.digest import Digest
from magpieshift.overload.failure_reports import FailureReports
from magpieshift.overload.offloading import LOAD_LIFETIME_US, LOW_PRESSURE, NeighbourLoad, Offloading
from magpieshift.overload.probe_election import EndpointHealth, ProbeElection
from magpieshift.policy.health_override import HealthOverride

GOSSIP_INTERVAL_US = 200_000  # between two ticks; a shorter one spreads changes sooner and sends more digests
FANOUT = 4  # members that receive the reports in each tick after a change
URGENT_TICKS = 4  # ticks after a change with that fan-out: enough to reach hundreds of routers
NEIGHBOUR_FANOUT = 8  # neighbours that receive a load report
NEIGHBOUR_INTERVAL_TICKS = 2  # between two load reports
MAX_DIGESTS_PER_TICK = 64  # accepted from all senders together; the excess is dropped


@dataclass(frozen=True, slots=True)
class GossipActions:
    """The actions that result from a tick."""

    overrides: list[HealthOverride]  # ejections and readmissions for the policy to apply
    sends: list[tuple[str, Digest]]  # receiver's name and digest
    offloading_changed: bool = False  # this router has begun or ended offloading


class Gossip:
    """The gossip state machine of one router."""

    def __init__(self, own: str, rand: random.Random, now_us: int = 0) -> None:
        self.own = own  # this router's name
        self._random = rand
        self.reports = FailureReports(own)
        self.probe_election = ProbeElection(own, rand)
        self.offloading = Offloading(now_us)
        self.sent_digests = 0
        self.received_digests = 0
        self.dropped_digests = 0  # received in excess of MAX_DIGESTS_PER_TICK
        self._urgent_ticks_left = 0  # ticks in which reports still go to FANOUT members
        self._tick_count = 0
        self._received_this_tick = 0
        # by endpoint: whether other routers report it as failing, and whether it is reported as recovered
        self._report_summaries: dict[str, tuple[bool, bool]] = {}
        self._neighbour_overloaded_us: int | None = None  # when a neighbour last reported to be overloaded

    def receive(self, now_us: int, sender: str, digest: Digest, is_neighbour: bool) -> None:
        """Process a member's digest; ``is_neighbour`` says whether the sender is in this router's zone."""
        self._received_this_tick += 1
        if self._received_this_tick > MAX_DIGESTS_PER_TICK:
            self.dropped_digests += 1
            return
        self.received_digests += 1
        self.reports.merge(digest.reports, now_us)
        if is_neighbour and (digest.pressure or digest.request_rate):
            load = NeighbourLoad(digest.pressure, digest.request_rate, digest.is_offloading, now_us)
            self.offloading.update_neighbour(sender, load)
            if digest.pressure >= LOW_PRESSURE or digest.is_offloading:
                self._neighbour_overloaded_us = now_us

    def tick(
        self,
        now_us: int,
        health: Mapping[str, EndpointHealth],
        present: Sequence[str],
        neighbours: Collection[str] = (),
        pressure: float = 0.0,
        request_rate: float = 0.0,
    ) -> GossipActions:
        """Advance by one tick; to be called every ``GOSSIP_INTERVAL_US``.

        ``health`` is this router's own view of its endpoints, by name. ``present`` are the members that are
        present and not suspect, this router included; ``neighbours`` are those of its zone. ``pressure`` and
        ``request_rate`` are this router's load.
        """
        self._tick_count += 1
        self._received_this_tick = 0
        self._record_own_health(now_us, health)
        has_reports = self._update_report_summaries(now_us)
        overrides = self.probe_election.decide(now_us, self.reports, present, health)
        changed = self.offloading.tick(now_us, pressure, request_rate, neighbours)
        sends: list[tuple[str, Digest]] = []
        if has_reports:
            sends += self._report_digests(now_us, present)
        self._urgent_ticks_left = max(0, self._urgent_ticks_left - 1)
        if self._should_report_load(now_us, pressure):
            sends += self._load_digests(neighbours, pressure, request_rate)
        self.sent_digests += len(sends)
        return GossipActions(overrides, sends, changed)

    def _record_own_health(self, now_us: int, health: Mapping[str, EndpointHealth]) -> None:
        self.reports.expire(now_us)
        for endpoint, own_view in health.items():
            age_us = own_view.failure_age_us if own_view.is_failing else own_view.success_age_us
            self.reports.record_own(endpoint, own_view.is_failing, age_us, now_us)

    def _update_report_summaries(self, now_us: int) -> bool:
        """Start the urgent ticks if the reports say something new; returns whether there are any reports."""
        summaries = {
            endpoint: (
                bool(self.reports.failing_witnesses(endpoint, now_us) - {self.own}),
                self.reports.is_recovered(endpoint, now_us),
            )
            for endpoint in self.reports.endpoints()
        }
        if summaries != self._report_summaries:
            self._report_summaries = summaries
            self._urgent_ticks_left = URGENT_TICKS
        return bool(summaries)

    def _report_digests(self, now_us: int, present: Sequence[str]) -> list[tuple[str, Digest]]:
        others = [name for name in present if name != self.own]
        if not others:
            return []
        digest = Digest(self.reports.youngest(now_us))
        fanout = min(len(others), FANOUT if self._urgent_ticks_left > 0 else 1)
        return [(name, digest) for name in self._random.sample(others, fanout)]

    def _should_report_load(self, now_us: int, pressure: float) -> bool:
        if self._tick_count % NEIGHBOUR_INTERVAL_TICKS != 0:
            return False
        heard_us = self._neighbour_overloaded_us
        is_load_wanted = heard_us is not None and now_us - heard_us < LOAD_LIFETIME_US
        return pressure >= LOW_PRESSURE or self.offloading.is_active or is_load_wanted

    def _load_digests(
        self, neighbours: Collection[str], pressure: float, request_rate: float
    ) -> list[tuple[str, Digest]]:
        digest = Digest((), pressure, request_rate, self.offloading.is_active)
        others = sorted(name for name in neighbours if name != self.own)
        chosen = self._random.sample(others, min(len(others), NEIGHBOUR_FANOUT))
        return [(name, digest) for name in chosen]
