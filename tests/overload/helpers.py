"""Helpers shared by the tests of the overload package."""

from __future__ import annotations

from hypothesis import settings

from magpieshift.overload.digest import FailureReport
from magpieshift.overload.probe_election import EndpointHealth

NAMES = [f"r{i}" for i in range(8)]


FEW_EXAMPLES = settings(max_examples=60, deadline=None)


def health_view(
    number: int, failing: bool = False, success_age_us: int | None = None, group: int = 1
) -> EndpointHealth:
    return EndpointHealth(number, (group, 0), failing, 100_000 if failing else None, success_age_us)


def failure_report(endpoint: str, witness: str, age_us: int = 0) -> FailureReport:
    return FailureReport(endpoint, witness, True, age_us)
