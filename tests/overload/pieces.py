"""Helpers shared by the tests of the overload package."""

from __future__ import annotations

from hypothesis import settings

from magpieshift.overload.digest import FailureReport
from magpieshift.overload.probe_election import EndpointHealth

NAMES = [f"r{i}" for i in range(8)]


FEW = settings(max_examples=60, deadline=None)


def health(number: int, failing: bool = False, good_us: int | None = None, group: int = 1) -> EndpointHealth:
    return EndpointHealth(number, (group, 0), failing, 100_000 if failing else None, good_us)


def failure(endpoint: str, witness: str, age_us: int = 0) -> FailureReport:
    return FailureReport(endpoint, witness, True, age_us)
