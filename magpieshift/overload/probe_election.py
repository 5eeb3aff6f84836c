"""Which routers probe a failing endpoint: a few, and the others go by what those find.

A state machine of reports and time; no I/O. The probers are the first by a hash of endpoint and router, the
same everywhere, of the members present. The others eject the endpoint while they are told that it fails, and
readmit it at a random moment once it has recovered. Reports alone are bounded in what they can do: it takes
two witnesses, a router with a recent success of its own ignores them, and they eject at most half of the
endpoints of a group. Where no reports arrive, each router goes by what it sees itself.
"""

from __future__ import annotations

import hashlib
import random
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from magpieshift.overload.failure_reports import REPORT_LIFETIME_US, FailureReports
from magpieshift.policy.health_override import Eject, HealthOverride, Readmit

PROBERS = 2  # of one endpoint at a time: one may be slow or cut off
PROBE_INTERVAL_US = 1_000_000  # of a prober after a failure, in place of its own growing backoff
EJECTION_US = 1_500_000  # of one decision; renewed while the endpoint fails
READMISSION_RAMP_US = 1_000_000  # within which all others readmit it: together they would overload it again
MIN_WITNESSES = 2  # of a router that has not seen the failure itself: one alone may be at fault
OWN_SUCCESS_LIFETIME_US = 1_000_000  # a success of this router's own counts for more than any report


@dataclass(frozen=True, slots=True)
class EndpointHealth:
    """What this router itself knows of an endpoint."""

    number: int  # by which the policy knows it
    group: tuple[int, int]  # its kind and zone
    has_high_failure_rate: bool  # above the rate at which this router ejects
    failure_age_us: int | None  # since its last failure; None: never
    success_age_us: int | None  # since it last was of use; None: never

    @property
    def is_failing(self) -> bool:
        """Whether it failed here lately, and has not succeeded since."""
        failure_age_us = self.failure_age_us
        if not self.has_high_failure_rate or failure_age_us is None or failure_age_us >= REPORT_LIFETIME_US:
            return False
        return self.success_age_us is None or self.success_age_us > failure_age_us


def election_rank(endpoint: str, router: str) -> int:
    """The rank of a router in the election for an endpoint; the highest are the probers."""
    digest = hashlib.blake2b(f"{endpoint} {router}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


class ProbeElection:
    """One router's part in probing failing endpoints."""

    def __init__(self, own: str, rand: random.Random) -> None:
        self.own = own  # this router's name
        self._random = rand
        self._ejected: set[str] = set()  # endpoints ejected here as others report them
        self.probe_decisions = 0  # totals, for people
        self.ejection_decisions = 0

    def is_prober(self, endpoint: str, present: Collection[str]) -> bool:
        """Whether this router is one of the probers, of the members present."""
        own_rank = election_rank(endpoint, self.own)
        return sum(election_rank(endpoint, name) > own_rank for name in present if name != self.own) < PROBERS

    def decide(
        self,
        now_us: int,
        reports: FailureReports,
        present: Collection[str],
        health: Mapping[str, EndpointHealth],
    ) -> list[HealthOverride]:
        """What to do about each endpoint that is reported.

        ``present`` are the members present and not suspect, this router included; ``health`` is of the
        endpoints that this router may use.
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
        """Whether reports by so many others are acted on."""
        if own_view.is_failing:
            return other_witnesses > 0  # with none this router's own backoff will do
        success_age_us = own_view.success_age_us
        has_own_success = success_age_us is not None and success_age_us < OWN_SUCCESS_LIFETIME_US
        return other_witnesses >= MIN_WITNESSES and not has_own_success

    @staticmethod
    def _ejectable_counts(health: Mapping[str, EndpointHealth]) -> dict[tuple[int, int], int]:
        """How many endpoints of each group may be ejected by report.

        That is half of the group, less those that fail by what this router has seen.
        """
        total: dict[tuple[int, int], int] = {}
        failing: dict[tuple[int, int], int] = {}
        for own_view in health.values():
            total[own_view.group] = total.get(own_view.group, 0) + 1
            failing[own_view.group] = failing.get(own_view.group, 0) + own_view.is_failing
        return {group: count // 2 - failing[group] for group, count in total.items()}
