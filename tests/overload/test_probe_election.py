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
from tests.overload.pieces import FEW, NAMES, failure, health


class ProbeElectionTest(unittest.TestCase):
    def judge(
        self, own: str, received: list[FailureReport], endpoints: dict[str, EndpointHealth], here: list[str]
    ) -> list[HealthOverride]:
        reports = FailureReports(own)
        reports.merge(received, 0)
        return ProbeElection(own, random.Random(1)).decide(0, reports, here, endpoints)

    def test_a_few_probe_and_all_agree_on_them(self) -> None:
        received = [failure("p", "a"), failure("p", "b")]
        endpoints = {"p": health(1, failing=True)} | {f"q{i}": health(i) for i in range(2, 6)}
        overrides = {name: self.judge(name, received, endpoints, NAMES) for name in NAMES}
        probers = {name for name, actions in overrides.items() if isinstance(actions[0], Readmit)}
        self.assertEqual(len(probers), probe_election.PROBERS)
        self.assertTrue(
            all(
                actions == [Eject(1, probe_election.EJECTION_US)]
                for n, actions in overrides.items()
                if n not in probers
            )
        )
        left = [name for name in NAMES if name not in probers]
        others = {
            name for name in left if isinstance(self.judge(name, received, endpoints, left)[0], Readmit)
        }
        self.assertEqual(len(others), probe_election.PROBERS)  # the next ranks replace probers that are gone

    def test_reports_alone_take_two_witnesses_and_yield_to_an_own_success(self) -> None:
        endpoints = {"p": health(1), "q": health(2)}
        for name in NAMES:
            one = self.judge(name, [failure("p", "a")], endpoints, NAMES)
            self.assertEqual(one, [])
            well = endpoints | {"p": health(1, good_us=probe_election.OWN_SUCCESS_LIFETIME_US - 1)}
            two = [failure("p", "a"), failure("p", "b")]
            self.assertEqual(self.judge(name, two, well, NAMES), [])
            self.assertEqual(len(self.judge(name, two, endpoints, NAMES)), 1)

    @FEW
    @given(st.sets(st.integers(0, 9)), st.sets(st.integers(0, 9)), st.integers(1, 10))
    def test_false_reports_eject_half_of_a_group_at_most(
        self, falsely_reported: set[int], bad: set[int], count: int
    ) -> None:
        endpoints = {f"p{i}": health(i, failing=i in bad) for i in range(count)}
        received = [failure(f"p{i}", who) for i in falsely_reported for who in ("liar", "other")]
        for own in NAMES:
            overrides = self.judge(own, received, endpoints, NAMES)
            left = {act.endpoint for act in overrides if isinstance(act, Eject)} - bad
            self.assertLessEqual(len(left), max(0, count // 2))

    def test_all_readmit_at_moments_of_their_own(self) -> None:
        back = set()
        for name in NAMES:
            reports, judge = FailureReports(name), ProbeElection(name, random.Random(name))
            endpoints = {"p": health(1, failing=True), "q": health(2)}
            reports.merge([failure("p", "a"), failure("p", "b")], 0)
            judge.decide(0, reports, NAMES, endpoints)
            reports.merge([FailureReport("p", "a", False, 0)], 500_000)
            overrides = judge.decide(500_000, reports, NAMES, endpoints)
            back |= {act.delay_us for act in overrides if isinstance(act, Readmit)}
            # The readmission is decided only once.
            self.assertEqual(judge.decide(700_000, reports, NAMES, endpoints), [])
        self.assertGreaterEqual(len(back), len(NAMES) - probe_election.PROBERS)
        self.assertLessEqual(max(back), probe_election.READMISSION_RAMP_US)


if __name__ == "__main__":
    unittest.main()
