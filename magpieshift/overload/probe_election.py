"""Probe election: a few routers probe a failing endpoint, and the others rely on their reports.

A state machine of reports and time; no I/O. The probers are the present members with the highest hash of
endpoint and router name, which every router computes alike. The other routers eject the endpoint while it is
reported as failing, and readmit it after a random delay once it is reported as recovered. The effect of
reports alone is limited: they need two witnesses, a router with a recent success of its own ignores them, and
they eject at most half of the endpoints of a group. Without reports each router relies on its own
observations.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from magpieshift.overload.failure_reports import REPORT_LIFETIME_US, FailureReports
from magpieshift.policy.health_override import Eject, HealthOverride, Readmit

PROBERS = 2  # routers that probe one endpoint: one of them may be slow or disconnected
PROBE_INTERVAL_US = 1_000_000  # between a failure and the next probe; replaces the prober's growing backoff
EJECTION_US = 1_500_000  # duration of one ejection, which is renewed while the endpoint fails
READMISSION_RAMP_US = 1_000_000  # maximum random delay of a readmission: all at once would overload it again
MIN_WITNESSES = 2  # needed by a router that has not seen the failure itself: a single witness may be at fault
OWN_SUCCESS_LIFETIME_US = 1_000_000  # age up to which this router's own success outweighs all reports


@dataclass(frozen=True, slots=True)
class EndpointHealth:
    """This router's own observations of an endpoint."""

    number: int  # the endpoint's number in the policy
    group: tuple[int, int]  # the endpoint's kind and zone
    has_high_failure_rate: bool  # above the threshold of this router's outlier detection
    failure_age_us: int | None  # time since its last failure; None: no failure was seen
    success_age_us: int | None  # since its last cache hit or, for a source, last good answer; None: none seen

    @property
    def is_failing(self) -> bool:
        """Whether the endpoint failed within ``REPORT_LIFETIME_US`` and has not succeeded since."""
        failure_age_us = self.failure_age_us
        if not self.has_high_failure_rate or failure_age_us is None or failure_age_us >= REPORT_LIFETIME_US:
            return False
        return self.success_age_us is None or self.success_age_us > failure_age_us


def election_rank(endpoint: str, router: str) -> int:
    """The rank of a router in the election for an endpoint; the highest ranks are the probers."""
    digest = hashlib.blake2b(f"{endpoint} {router}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class ProbeElection:
    """The probe election as computed by one router."""

    def __init__(self, own: str, rand: random.Random) -> None:
        self.own = own  # this router's name
        self._random = rand
        self._ejected: set[str] = set()  # endpoints that this router ejected because of reports
        self.probe_decisions = 0  # totals, shown by the admin server
        self.ejection_decisions = 0

    def is_prober(self, endpoint: str, present: Collection[str]) -> bool:
        """Whether this router is among the probers that the present members elect."""
        own_rank = election_rank(endpoint, self.own)
        return sum(election_rank(endpoint, name) > own_rank for name in present if name != self.own) < PROBERS

    def decide(
        self,
        now_us: int,
        reports: FailureReports,
        present: Collection[str],
        health: Mapping[str, EndpointHealth],
    ) -> list[HealthOverride]:
        """Decide for each reported endpoint whether to eject, probe or readmit it.

        ``present`` are the members that are present and not suspect, this router included; ``health`` is this
        router's view of the endpoints that it may use.
        """
        overrides: list[HealthOverride] = []
        ejectable = self._ejectable_counts(health)
        for endpoint in sorted(reports.endpoints()):
            own_view = health.get(endpoint)
            if own_view is None:
                continue
            witnesses = reports.failing_witnesses(endpoint, now_us)
            if not witnesses:
                if endpoint in self._ejected and reports.is_recovered(endpoint, now_us):
                    overrides.append(self._readmission(own_view))
                self._ejected.discard(endpoint)
            elif self._is_credible(len(witnesses - {self.own}), own_view):
                if self.is_prober(endpoint, present):
                    self.probe_decisions += 1
                    overrides.append(Readmit(own_view.number, 0, PROBE_INTERVAL_US))
                    self._ejected.discard(endpoint)
                elif own_view.is_failing or ejectable.get(own_view.group, 0) > 0:
                    if not own_view.is_failing:
                        ejectable[own_view.group] -= 1
                    self.ejection_decisions += 1
                    self._ejected.add(endpoint)
                    overrides.append(Eject(own_view.number, EJECTION_US))
        self._ejected.intersection_update(health)
        return overrides

    def _readmission(self, own_view: EndpointHealth) -> Readmit:
        return Readmit(own_view.number, int(self._random.random() * READMISSION_RAMP_US), 0)

    @staticmethod
    def _is_credible(other_witnesses: int, own_view: EndpointHealth) -> bool:
        """Whether reports by this many other witnesses suffice to act on."""
        if own_view.is_failing:
            return other_witnesses > 0  # without any, this router's own backoff applies
        success_age_us = own_view.success_age_us
        has_own_success = success_age_us is not None and success_age_us < OWN_SUCCESS_LIFETIME_US
        return other_witnesses >= MIN_WITNESSES and not has_own_success

    @staticmethod
    def _ejectable_counts(health: Mapping[str, EndpointHealth]) -> dict[tuple[int, int], int]:
        """The number of endpoints in each group that may be ejected because of reports alone.

        It is half of the group, less the endpoints that this router itself sees failing.
        """
        total: dict[tuple[int, int], int] = {}
        failing: dict[tuple[int, int], int] = {}
        for own_view in health.values():
            total[own_view.group] = total.get(own_view.group, 0) + 1
            failing[own_view.group] = failing.get(own_view.group, 0) + own_view.is_failing
        return {group: count // 2 - failing[group] for group, count in total.items()}
