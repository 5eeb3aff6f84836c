"""How the policy applies health overrides (ejections and readmissions) to endpoints."""

from __future__ import annotations

import unittest

from magpieshift.policy.health_override import (
    Eject,
    Readmit,
    apply_overrides,
    endpoint_health,
)
from magpieshift.policy.outcomes import Outcome
from magpieshift.policy.outlier_detection import is_available
from magpieshift.policy.router_policy import RouterPolicy
from tests.policy.helpers import PARENTS, SECOND, PolicyHarness


class HealthOverrideTest(unittest.TestCase):
    def parents(self, harness: PolicyHarness) -> set[int]:
        return {fill.source for key in range(30) if hasattr(fill := harness.fill(key), "source")}

    def test_the_policy_ejects_an_endpoint_and_readmits_it(self) -> None:
        harness = PolicyHarness()
        apply_overrides(harness.router, harness.now, [Eject(PARENTS[0], SECOND), Eject(999, SECOND)])
        self.assertNotIn(PARENTS[0], self.parents(harness))
        harness.now += SECOND
        self.assertIn(PARENTS[0], self.parents(harness))
        harness = PolicyHarness()
        apply_overrides(harness.router, harness.now, [Eject(PARENTS[0], SECOND)])
        apply_overrides(harness.router, harness.now, [Readmit(PARENTS[0], 0)])
        self.assertIn(PARENTS[0], self.parents(harness))

    def test_a_prober_keeps_its_interval_and_probes_one_request_at_a_time(self) -> None:
        harness = PolicyHarness()
        endpoint = harness.router.endpoints[PARENTS[0]]
        endpoint.failure_rate, endpoint.last_failure_us, endpoint.ejected_until_us = (
            0.9,
            harness.now,
            harness.now + 8 * SECOND,
        )
        apply_overrides(harness.router, harness.now, [Readmit(PARENTS[0], 0, SECOND)])
        self.assertEqual(endpoint.ejected_until_us, harness.now + SECOND)
        harness.now += SECOND
        endpoint.in_flight = 1
        self.assertFalse(is_available(harness.router, endpoint))

    def test_the_health_of_an_endpoint(self) -> None:
        harness = PolicyHarness()
        health_by_number = {number: rest for number, *rest in endpoint_health(harness.router)}
        self.assertEqual(health_by_number[PARENTS[0]], [False, -1, -1])
        fill = harness.fill(5)
        source = fill.source  # type: ignore[union-attr]
        for _ in range(3):
            harness.end_attempt(fill, Outcome.TIMEOUT, 1, after=SECOND)
            fill = harness.fill(5)
        is_failing, failure_us, success_us = {
            number: rest for number, *rest in endpoint_health(harness.router)
        }[source]
        self.assertEqual((is_failing, success_us), (True, -1))
        self.assertGreater(failure_us, 0)
        self.assertIsInstance(harness.router, RouterPolicy)


if __name__ == "__main__":
    unittest.main()
