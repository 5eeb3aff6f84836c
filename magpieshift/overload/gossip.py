"""Gossip of failing endpoints and of routers' load. A state machine of digests and time; no I/O.

Nothing is sent while no endpoint fails and no router is overloaded. News of an endpoint goes to a few members
at random for some ticks, and from them on; mere renewals go to one a tick. An overloaded router tells its
neighbours, the members of its zone, and they answer with their own load.
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

GOSSIP_INTERVAL_US = 200_000  # between two ticks; shorter spreads news sooner and sends more
FANOUT = 4  # members told of news in a tick
URGENT_TICKS = 4  # in which news is told to so many; with the fan-out it has then reached hundreds
NEIGHBOUR_FANOUT = 8  # neighbours told of this router's load
NEIGHBOUR_INTERVAL_TICKS = 2  # between two reports of the load
MAX_DIGESTS_PER_TICK = 64  # taken from all senders; a flood beyond is dropped


@dataclass(frozen=True, slots=True)
class GossipActions:
    """What a tick asks for."""

    overrides: list[HealthOverride]  # for the policy to apply
    sends: list[tuple[str, Digest]]  # receiver's name and digest
    offloading_changed: bool = False  # it has begun or ended


class Gossip:
    """One router's part in the gossip."""

    def __init__(self, own: str, rand: random.Random, now_us: int = 0) -> None:
        self.own = own  # this router's name
        self._random = rand
        self.reports = FailureReports(own)
        self.probe_election = ProbeElection(own, rand)
        self.offloading = Offloading(now_us)
        self.sent_digests = 0
        self.received_digests = 0
        self.dropped_digests = 0  # beyond MAX_DIGESTS_PER_TICK
        self._urgent_ticks_left = 0  # in which news goes to FANOUT members
        self._tick_count = 0
        self._received_this_tick = 0
        # by endpoint, whether others see it fail and whether it has recovered: a change is news
        self._findings: dict[str, tuple[bool, bool]] = {}
        self._neighbour_overloaded_us: int | None = None  # when a neighbour last reported to be overloaded

    def receive(self, now_us: int, sender: str, digest: Digest, is_neighbour: bool) -> None:
        """Take in a member's digest; ``is_neighbour`` where it is in this router's zone."""
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
        """Advance by one tick, every ``GOSSIP_INTERVAL_US``.

        ``health`` is what this router knows of its endpoints, by name; ``present`` are the members present
        and not suspect, this router included, and ``neighbours`` those of its zone; ``pressure`` and
        ``request_rate`` are its own load.
        """
        self._tick_count += 1
        self._received_this_tick = 0
        self._record_own_health(now_us, health)
        has_reports = self._update_findings(now_us)
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

    def _update_findings(self, now_us: int) -> bool:
        """Make a change of what the reports say urgent; whether there are any reports."""
        findings = {
            endpoint: (
                bool(self.reports.failing_witnesses(endpoint, now_us) - {self.own}),
                self.reports.is_recovered(endpoint, now_us),
            )
            for endpoint in self.reports.endpoints()
        }
        if findings != self._findings:
            self._findings = findings
            self._urgent_ticks_left = URGENT_TICKS
        return bool(findings)

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
        is_asked = heard_us is not None and now_us - heard_us < LOAD_LIFETIME_US
        return pressure >= LOW_PRESSURE or self.offloading.is_active or is_asked

    def _load_digests(
        self, neighbours: Collection[str], pressure: float, request_rate: float
    ) -> list[tuple[str, Digest]]:
        digest = Digest((), pressure, request_rate, self.offloading.is_active)
        others = sorted(name for name in neighbours if name != self.own)
        chosen = self._random.sample(others, min(len(others), NEIGHBOUR_FANOUT))
        return [(name, digest) for name in chosen]
