"""The reports of failing endpoints that one router holds. A state machine of reports and time; no I/O.

A report keeps ageing on the receiver's clock from its arrival. Only the router that witnessed the failure
renews a report, and a report that is not renewed expires.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from magpieshift.overload.digest import FailureReport

REPORT_LIFETIME_US = 3_000_000  # from observation to expiry, so that two renewals may be lost
RENEW_INTERVAL_US = 1_000_000  # between two renewals of a report by its witness
# A report counts as renewed only if its observation is later by at least this much: copies of one report that
# arrive over different paths differ in age by less.
MIN_AGE_CHANGE_US = RENEW_INTERVAL_US // 2
MAX_ENDPOINTS = 64  # endpoints with stored reports; bounds the memory that names from the network can take
MAX_WITNESSES = 8  # reports kept for one endpoint, the latest ones
MAX_REPORTS_SENT = 24  # reports in one digest, which has to fit into one datagram
MAX_NAME_CHARACTERS = 64  # length limit for the name of an endpoint or a witness


@dataclass(frozen=True, slots=True)
class Observation:
    """A report as stored, with the age converted to a time."""

    failing: bool
    seen_us: int  # time of the observation on the clock of the router that stores it


class FailureReports:
    """One router's own observations of failing endpoints and those reported by others."""

    def __init__(self, own: str) -> None:
        """``own`` is this router's name, under which it reports as a witness."""
        self.own = own
        self.rejected = 0  # invalid reports, and those of endpoints in excess of MAX_ENDPOINTS
        self._by_endpoint: dict[str, dict[str, Observation]] = {}  # by endpoint and witness

    # --- recording

    def record_own(self, endpoint: str, failing: bool, age_us: int | None, now_us: int) -> bool:
        """Record this router's last observation of an endpoint; returns whether it was stored as new.

        ``age_us`` is the time since the observation, or None if there was none. A success is stored only if
        a report says that the endpoint fails; otherwise successes would be gossiped endlessly.
        """
        observations = self._by_endpoint.get(endpoint, {})
        is_reported = any(each.failing for each in observations.values() if self._is_unexpired(each, now_us))
        if age_us is None or age_us >= REPORT_LIFETIME_US or not (failing or is_reported):
            return False
        before = observations.get(self.own)
        seen_us = now_us - age_us
        if before is not None and before.failing == failing and seen_us - before.seen_us < RENEW_INTERVAL_US:
            return False
        return self._store(endpoint, self.own, Observation(failing, seen_us))

    def merge(self, reports: Iterable[FailureReport], now_us: int) -> bool:
        """Merge another router's reports; returns whether any of them was new.

        Reports that name this router as the witness are ignored: its own observations are more recent.
        """
        any_new = False
        for report in list(reports)[: 2 * MAX_REPORTS_SENT]:
            if not self._is_valid(report):
                self.rejected += 1
                continue
            if report.witness == self.own or report.age_us >= REPORT_LIFETIME_US:
                continue
            observation = Observation(report.failing, now_us - report.age_us)
            before = self._by_endpoint.get(report.endpoint, {}).get(report.witness)
            if before is None or self._is_newer(observation, before):
                any_new = self._store(report.endpoint, report.witness, observation) or any_new
        return any_new

    @staticmethod
    def _is_valid(report: FailureReport) -> bool:
        names = (report.endpoint, report.witness)
        return report.age_us >= 0 and all(0 < len(name) <= MAX_NAME_CHARACTERS for name in names)

    @staticmethod
    def _is_newer(observation: Observation, before: Observation) -> bool:
        if before.failing != observation.failing and observation.seen_us > before.seen_us:
            return True
        return observation.seen_us >= before.seen_us + MIN_AGE_CHANGE_US

    def _store(self, endpoint: str, witness: str, observation: Observation) -> bool:
        """Store an observation; returns False if a limit on endpoints or witnesses excluded it."""
        observations = self._by_endpoint.get(endpoint)
        if observations is None:
            if len(self._by_endpoint) >= MAX_ENDPOINTS:
                self.rejected += 1
                return False
            observations = self._by_endpoint[endpoint] = {}
        observations[witness] = observation
        if len(observations) > MAX_WITNESSES:
            others = [name for name in observations if name != self.own]
            del observations[min(others, key=lambda name: observations[name].seen_us)]
        return witness in observations

    def expire(self, now_us: int) -> None:
        """Drop the observations older than ``REPORT_LIFETIME_US``."""
        for endpoint in list(self._by_endpoint):
            current = self._unexpired(endpoint, now_us)
            if current:
                self._by_endpoint[endpoint] = current
            else:
                del self._by_endpoint[endpoint]

    # --- reading

    def endpoints(self) -> Iterable[str]:
        """The endpoints for which any report is stored."""
        return self._by_endpoint.keys()

    def failing_witnesses(self, endpoint: str, now_us: int) -> frozenset[str]:
        """The routers whose report of a failure is later than every report that the endpoint works."""
        observations = self._unexpired(endpoint, now_us)
        recovered_us = max((each.seen_us for each in observations.values() if not each.failing), default=-1)
        return frozenset(
            witness for witness, each in observations.items() if each.failing and each.seen_us > recovered_us
        )

    def is_recovered(self, endpoint: str, now_us: int) -> bool:
        """Whether the latest report on an endpoint says that it works."""
        return bool(self._unexpired(endpoint, now_us)) and not self.failing_witnesses(endpoint, now_us)

    def youngest(self, now_us: int) -> tuple[FailureReport, ...]:
        """The most recent reports, as many as fit into one digest."""
        reports = [
            FailureReport(endpoint, witness, each.failing, max(0, now_us - each.seen_us))
            for endpoint in self._by_endpoint
            for witness, each in self._unexpired(endpoint, now_us).items()
        ]
        reports.sort(key=lambda report: (report.age_us, report.endpoint, report.witness))
        return tuple(reports[:MAX_REPORTS_SENT])

    def _unexpired(self, endpoint: str, now_us: int) -> dict[str, Observation]:
        """The unexpired observations of an endpoint, by witness."""
        observations: Mapping[str, Observation] = self._by_endpoint.get(endpoint, {})
        return {witness: each for witness, each in observations.items() if self._is_unexpired(each, now_us)}

    @staticmethod
    def _is_unexpired(observation: Observation, now_us: int) -> bool:
        return now_us - observation.seen_us < REPORT_LIFETIME_US
