"""The election of the routers that probe a failing endpoint."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from magpieshift.overload import probe_election
from magpieshift.overload.digest import FailureReport
from magpieshift.overload.failure_reports import (
    FailureReports,
)
from magpieshift.overload.probe_election import EndpointHealth, ProbeElection
from magpieshift.policy.health_override import (
    Eject,
    HealthOverride,
    Readmit,
)
from tests.overload.helpers import FEW_EXAMPLES, NAMES, failure_report, health_view


class ProbeElectionTest(unittest.TestCase):
    def decide(
        self,
        own: str,
        reports_received: list[FailureReport],
        endpoints: dict[str, EndpointHealth],
        present: list[str],
    ) -> list[HealthOverride]:
        reports = FailureReports(own)
        reports.merge(reports_received, 0)
        return ProbeElection(own, random.Random(1)).decide(0, reports, present, endpoints)

    def test_a_few_routers_probe_and_all_agree_on_them(self) -> None:
        reports_received = [failure_report("p", "a"), failure_report("p", "b")]
        endpoints = {"p": health_view(1, failing=True)} | {f"q{i}": health_view(i) for i in range(2, 6)}
        overrides = {name: self.decide(name, reports_received, endpoints, NAMES) for name in NAMES}
        probers = {name for name, actions in overrides.items() if isinstance(actions[0], Readmit)}
        self.assertEqual(len(probers), probe_election.PROBERS)
        self.assertTrue(
            all(
                actions == [Eject(1, probe_election.EJECTION_US)]
                for n, actions in overrides.items()
                if n not in probers
            )
        )
        remaining = [name for name in NAMES if name not in probers]
        others = {
            name
            for name in remaining
            if isinstance(self.decide(name, reports_received, endpoints, remaining)[0], Readmit)
        }
        self.assertEqual(len(others), probe_election.PROBERS)  # the next ranks replace probers that are gone

    def test_reports_alone_need_two_witnesses_and_an_own_success_outweighs_them(self) -> None:
        endpoints = {"p": health_view(1), "q": health_view(2)}
        for name in NAMES:
            one = self.decide(name, [failure_report("p", "a")], endpoints, NAMES)
            self.assertEqual(one, [])
            with_own_success = endpoints | {
                "p": health_view(1, success_age_us=probe_election.OWN_SUCCESS_LIFETIME_US - 1)
            }
            two = [failure_report("p", "a"), failure_report("p", "b")]
            self.assertEqual(self.decide(name, two, with_own_success, NAMES), [])
            self.assertEqual(len(self.decide(name, two, endpoints, NAMES)), 1)

    @FEW_EXAMPLES
    @given(st.sets(st.integers(0, 9)), st.sets(st.integers(0, 9)), st.integers(1, 10))
    def test_false_reports_eject_half_of_a_group_at_most(
        self, falsely_reported: set[int], failing_here: set[int], count: int
    ) -> None:
        endpoints = {f"p{i}": health_view(i, failing=i in failing_here) for i in range(count)}
        reports_received = [
            failure_report(f"p{i}", who) for i in falsely_reported for who in ("false", "other")
        ]
        for own in NAMES:
            overrides = self.decide(own, reports_received, endpoints, NAMES)
            wrongly_ejected = {
                override.endpoint for override in overrides if isinstance(override, Eject)
            } - failing_here
            self.assertLessEqual(len(wrongly_ejected), max(0, count // 2))

    def test_routers_readmit_after_different_random_delays(self) -> None:
        readmission_delays_us = set()
        for name in NAMES:
            reports, election = FailureReports(name), ProbeElection(name, random.Random(name))
            endpoints = {"p": health_view(1, failing=True), "q": health_view(2)}
            reports.merge([failure_report("p", "a"), failure_report("p", "b")], 0)
            election.decide(0, reports, NAMES, endpoints)
            reports.merge([FailureReport("p", "a", False, 0)], 500_000)
            overrides = election.decide(500_000, reports, NAMES, endpoints)
            readmission_delays_us |= {
                override.delay_us for override in overrides if isinstance(override, Readmit)
            }
            # The readmission is decided only once.
            self.assertEqual(election.decide(700_000, reports, NAMES, endpoints), [])
        self.assertGreaterEqual(len(readmission_delays_us), len(NAMES) - probe_election.PROBERS)
        self.assertLessEqual(max(readmission_delays_us), probe_election.READMISSION_RAMP_US)


if __name__ == "__main__":
    unittest.main()
