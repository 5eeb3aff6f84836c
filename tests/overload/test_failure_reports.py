"""The reports of failing endpoints that one router holds."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from magpieshift.overload import codec
from magpieshift.overload.digest import Digest, FailureReport
from magpieshift.overload.failure_reports import (
    MAX_ENDPOINTS,
    MAX_WITNESSES,
    REPORT_LIFETIME_US,
    FailureReports,
)
from magpieshift.overload.gossip import GOSSIP_INTERVAL_US
from tests.overload.helpers import FEW_EXAMPLES, failure_report


class FailureReportsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reports = FailureReports("own")

    def test_a_witness_counts_until_its_report_expires_or_a_later_one_saw_it_recover(self) -> None:
        self.reports.merge([failure_report("p", "a"), failure_report("p", "b", 1_000_000)], 10_000_000)
        self.assertEqual(self.reports.failing_witnesses("p", 10_000_000), {"a", "b"})
        self.reports.merge([FailureReport("p", "c", False, 500_000)], 10_000_000)
        # c observed the recovery after the failure that b had seen
        self.assertEqual(self.reports.failing_witnesses("p", 10_000_000), {"a"})
        self.assertEqual(self.reports.failing_witnesses("p", 10_000_000 + REPORT_LIFETIME_US), frozenset())
        self.reports.expire(10_000_000 + REPORT_LIFETIME_US)
        self.assertEqual(list(self.reports.endpoints()), [])

    def test_only_the_witness_renews_its_report(self) -> None:
        """Guards against reports that two routers keep exchanging and thereby never expire."""
        other = FailureReports("b")
        self.reports.merge([failure_report("p", "a")], 0)
        for now in range(0, 2 * REPORT_LIFETIME_US, GOSSIP_INTERVAL_US):
            other.merge(self.reports.youngest(now), now)
            self.reports.merge(other.youngest(now), now)
        self.assertEqual((self.reports.youngest(now), other.youngest(now)), ((), ()))

    def test_reports_in_this_routers_own_name_are_ignored(self) -> None:
        self.assertFalse(self.reports.merge([failure_report("p", "own")], 0))
        self.assertEqual(self.reports.failing_witnesses("p", 0), frozenset())

    def test_a_recovery_is_reported_only_while_some_report_a_failure(self) -> None:
        self.assertFalse(self.reports.record_own("p", False, 0, 0))
        self.reports.merge([failure_report("p", "a")], 0)
        self.assertTrue(self.reports.record_own("p", False, 0, 1))
        self.assertTrue(self.reports.is_recovered("p", 1))
        self.assertFalse(self.reports.record_own("p", False, 0, REPORT_LIFETIME_US + 1))

    @FEW_EXAMPLES
    @given(st.lists(st.tuples(st.integers(0, 200), st.integers(0, 40), st.booleans(), st.integers(-9, 9**7))))
    def test_any_reports_take_bounded_memory(
        self, fields_of_reports: list[tuple[int, int, bool, int]]
    ) -> None:
        reports = FailureReports("r0")
        for now_us, (endpoint, witness, failing, age) in enumerate(fields_of_reports):
            reports.merge([FailureReport(f"s{endpoint}", f"r{witness}", failing, age)], now_us)
            reports.record_own(f"s{endpoint}", failing, max(0, age), now_us)
        self.assertLessEqual(len(list(reports.endpoints())), MAX_ENDPOINTS)
        self.assertTrue(
            all(len(observations) <= MAX_WITNESSES for observations in reports._by_endpoint.values())
        )
        self.assertLessEqual(
            len(codec.encode(Digest(reports.youngest(len(fields_of_reports))))), codec.MAX_DIGEST_BYTES
        )


if __name__ == "__main__":
    unittest.main()
