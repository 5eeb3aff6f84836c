"""Reports of failing endpoints, as one router holds them. A state machine of reports and time; no I/O.

Each router counts a report's age on from when it arrived. Only its witness renews a report, and reports that
nobody renews expire.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from magpieshift.overload.digest import FailureReport

REPORT_LIFETIME_US = 3_000_000  # from when the witness saw it: two renewals may be lost
RENEW_INTERVAL_US = 1_000_000  # in which a witness reports again what still is so
# A report that was passed on arrives older or younger by the ways it took, which differ by less than this.
MIN_AGE_CHANGE_US = RENEW_INTERVAL_US // 2
MAX_ENDPOINTS = 64  # with reports: names from the network must not fill the memory
MAX_WITNESSES = 8  # of one endpoint, the latest
MAX_REPORTS_SENT = 24  # in one digest, which goes along in one datagram
MAX_NAME_CHARACTERS = 64  # of an endpoint or a witness


@dataclass(frozen=True, slots=True)
class Observation:
    """A report as it is kept."""

    failing: bool
    seen_us: int  # on the clock of the router that keeps it


class FailureReports:
    """All that one router has seen and been told of failing endpoints."""

    def __init__(self, own: str) -> None:
        """``own`` is this router's name, as a witness."""
        self.own = own
        self.rejected = 0  # reports for which there was no room, or that make no sense
        self._by_endpoint: dict[str, dict[str, Observation]] = {}  # by endpoint and witness

    # --- recording

    def record_own(self, endpoint: str, failing: bool, age_us: int | None, now_us: int) -> bool:
        """Record what this router saw last of an endpoint, so long ago; whether that is news.

        ``age_us`` None: it saw nothing. That an endpoint works is news only while some report otherwise, or
        it would be passed on for ever.
        """
        observations = self._by_endpoint.get(endpoint, {})
        is_reported = any(each.failing for each in observations.values() if self._counts(each, now_us))
        if age_us is None or age_us >= REPORT_LIFETIME_US or not (failing or is_reported):
            return False
        before = observations.get(self.own)
        seen_us = now_us - age_us
        if before is not None and before.failing == failing and seen_us - before.seen_us < RENEW_INTERVAL_US:
            return False
        return self._keep(endpoint, self.own, Observation(failing, seen_us))

    def merge(self, reports: Iterable[FailureReport], now_us: int) -> bool:
        """Take in another router's reports; whether any was news.

        Reports in this router's own name do not count: it knows better.
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
                any_new = self._keep(report.endpoint, report.witness, observation) or any_new
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

    def _keep(self, endpoint: str, witness: str, observation: Observation) -> bool:
        """Keep an observation; whether there was room for it."""
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
        """Drop the observations that count no more."""
        for endpoint in list(self._by_endpoint):
            current = self._current(endpoint, now_us)
            if current:
                self._by_endpoint[endpoint] = current
            else:
                del self._by_endpoint[endpoint]

    # --- reading

    def endpoints(self) -> Iterable[str]:
        """The endpoints of which there is any report."""
        return self._by_endpoint.keys()

    def failing_witnesses(self, endpoint: str, now_us: int) -> frozenset[str]:
        """The routers that saw an endpoint fail later than anybody saw it work."""
        observations = self._current(endpoint, now_us)
        recovered_us = max((each.seen_us for each in observations.values() if not each.failing), default=-1)
        return frozenset(
            witness for witness, each in observations.items() if each.failing and each.seen_us > recovered_us
        )

    def is_recovered(self, endpoint: str, now_us: int) -> bool:
        """Whether the last that anybody saw of an endpoint is that it works."""
        return bool(self._current(endpoint, now_us)) and not self.failing_witnesses(endpoint, now_us)

    def youngest(self, now_us: int) -> tuple[FailureReport, ...]:
        """The reports to send: the youngest ones."""
        reports = [
            FailureReport(endpoint, witness, each.failing, max(0, now_us - each.seen_us))
            for endpoint in self._by_endpoint
            for witness, each in self._current(endpoint, now_us).items()
        ]
        reports.sort(key=lambda report: (report.age_us, report.endpoint, report.witness))
        return tuple(reports[:MAX_REPORTS_SENT])

    def _current(self, endpoint: str, now_us: int) -> dict[str, Observation]:
        """The observations of an endpoint that still count, by witness."""
        observations: Mapping[str, Observation] = self._by_endpoint.get(endpoint, {})
        return {witness: each for witness, each in observations.items() if self._counts(each, now_us)}

    @staticmethod
    def _counts(observation: Observation, now_us: int) -> bool:
        return now_us - observation.seen_us < REPORT_LIFETIME_US
