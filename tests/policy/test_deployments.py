"""Runs the rules with the settings of two deployments, so that a fix for one also holds for the other.

The values are from the pages of the two sites, one value from each range; nothing depends on the names.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from typing import Any

from magpieshift.policy.actions import (
    Action,
    CacheRequestFlag,
    RejectRequest,
    SendCacheRequest,
    SendPlainRequest,
    WriteLog,
)
from magpieshift.policy.admission import concurrency_limit
from magpieshift.policy.events import (
    Endpoint,
    EndpointListKind,
    EndpointListReceived,
    EndpointState,
    PurgeReceived,
    TimerFired,
)
from magpieshift.policy.outcomes import CacheStatus, Outcome
from magpieshift.policy.settings import Idempotency, RequestClass
from magpieshift.policy.state import FILL
from tests.policy.helpers import (
    CACHE,
    CACHES,
    ORIGIN,
    ORIGIN_NUMBER,
    PARENT,
    PARENTS,
    SECOND,
    PolicyHarness,
    entry,
    make_class,
    settings,
)

MS = 1_000
LINK = 1_000.0  # KB per second
READ = {
    "latency_objective_us": 500 * MS,
    "latency_objective_stretch": 2.0,
    "deadline_us": 5 * SECOND,
    "priority_weight": 2.0,
}
WRITE = {
    "idempotency": Idempotency.WITH_KEY,
    "latency_objective_us": 700 * MS,
    "latency_objective_stretch": 0.0,
    "deadline_us": 3 * SECOND,
    "deduplication_us": 3 * SECOND,
    "priority_weight": 3.0,
    "is_write": True,
}
SHARED = {
    "coalesces_fills": False,
    "overload_multiple": 2.5,
    "parent_overload_multiple": 2.0,
    "max_attempts": 8,
}
DEPLOYMENTS: dict[str, tuple[list[RequestClass], dict[str, Any]]] = {
    "shops": (
        [make_class(**READ), make_class(**WRITE)],
        SHARED
        | {
            "can_check_health": True,
            "hedged_requests": False,
            "reports_cache_status": True,
            "slow_start_fraction": 0.18,
            "overload_window_us": SECOND,
            "slow_start_us": 18 * SECOND,
            "parent_slow_start_fraction": 0.097,
            "parent_slow_start_us": 19 * SECOND,
            "purge_grace_us": 500 * MS,
        },
    ),
    "branches": (
        [
            make_class(**READ | {"deadline_us": 6 * SECOND}),
            make_class(**WRITE | {"latency_objective_us": 600 * MS}),
            make_class(
                **READ | {"latency_objective_us": 400 * MS, "deadline_us": 3 * SECOND, "priority_weight": 1.0}
            ),
        ],
        SHARED
        | {
            "can_check_health": False,
            "hedged_requests": True,
            "reports_cache_status": False,
            "slow_start_fraction": 0.2,
            "overload_window_us": 2 * SECOND,
            "slow_start_us": 16 * SECOND,
            "parent_slow_start_fraction": 0.063,
            "parent_slow_start_us": 21 * SECOND,
            "purge_grace_us": 300 * MS,
            "max_retry_after_us": 2 * SECOND,
        },
    ),
}


class DeploymentTest(unittest.TestCase):
    def each(self, **changes: Any) -> Iterator[PolicyHarness]:
        for name, (classes, figures) in DEPLOYMENTS.items():
            with self.subTest(name):
                yield PolicyHarness(settings(*classes, **figures | changes))

    def sent(self, action: Action) -> SendCacheRequest:
        assert isinstance(action, SendCacheRequest), action
        return action

    def test_fills_are_limited_queued_released_and_spill(self) -> None:
        for harness in self.each():
            fills = [harness.fill() for _ in range(40)]
            sources = [f.source for f in fills if isinstance(f, SendCacheRequest)]
            self.assertEqual((len(set(sources)), sources[-1]), (3, ORIGIN_NUMBER))
            action_types = [type(f) for f in fills]
            self.assertIn(WriteLog, action_types)  # queued
            self.assertIn(RejectRequest, action_types)
            self.assertTrue(harness.end_attempt(fills[0], Outcome.OK, 1, after=100 * MS))

    def test_writes_and_fills_do_not_wait_for_each_other(self) -> None:
        for harness in self.each():
            while not isinstance(harness.fill(), RejectRequest):
                pass
            self.assertIsInstance(harness.request(class_index=1)[0], SendPlainRequest)

    def test_copies_at_a_parent_are_served_while_fills_wait(self) -> None:
        for harness in self.each():
            first_fill = self.sent([harness.fill() for _ in range(4)][0])
            (first,) = harness.request()
            (lookup,) = harness.end_attempt(first, Outcome.MISS, 0)
            self.assertTrue(self.sent(lookup).flags & CacheRequestFlag.SOURCE_CACHED_ONLY)
            self.assertEqual(self.sent(lookup).source, first_fill.source)

    def test_a_full_zone_link_rejects_at_once(self) -> None:
        for harness in self.each(zone_link_kb_per_s=(0.0, LINK)):
            fills = [harness.fill(key, size_kb=300.0) for key in range(1, 12)]
            self.assertIsInstance(fills[0], SendCacheRequest)
            self.assertIsInstance(fills[-1], RejectRequest)
            self.assertIsInstance(harness.fill(50, size_kb=1.0), SendCacheRequest)

    def test_a_late_fill_halves_the_limit_down_to_one(self) -> None:
        for harness in self.each():
            fill = self.sent(harness.fill(5, size_kb=10.0))
            source = harness.router.endpoints[fill.source]
            harness.end_attempt(fill, Outcome.OK, 1)
            source.concurrency_peaks[FILL] = (8, harness.now)
            limits = []
            for _ in range(4):
                (first,) = harness.request(5, size_kb=10.0)
                (fill,) = map(self.sent, harness.end_attempt(first, Outcome.MISS, 0))
                harness.end_attempt(fill, Outcome.OK, 1, after=2 * SECOND, cache_status=CacheStatus.FILLED)
                limits.append(concurrency_limit(harness.router, source, FILL))
            self.assertEqual(limits, [5, 3, 2, 1])

    def test_requests_for_a_hot_part_are_spread_over_caches(self) -> None:
        for harness in self.each():
            endpoints = {
                a.endpoint
                for _ in range(12)
                for a in harness.request(key=9)
                if isinstance(a, SendCacheRequest)
            }
            self.assertGreater(len(endpoints), 1)

    def test_no_second_attempt_is_sent_while_one_is_in_flight(self) -> None:
        """Not even if the settings allow hedged requests: they brought no gain (docs/findings.md)."""
        for harness in self.each():
            (first,) = harness.request()
            for _ in range(30):
                actions = harness.receive(TimerFired(0), after=100 * MS)
                self.assertEqual(
                    [a for a in actions if isinstance(a, SendCacheRequest | SendPlainRequest)], []
                )

    def test_retry_after_is_random_and_leaves_time_for_a_retry(self) -> None:
        for harness in self.each():
            while not isinstance(fill := harness.fill(), RejectRequest):
                pass
            times = {fill.retry_after_us}
            for _ in range(8):
                again = harness.fill()
                assert isinstance(again, RejectRequest)
                times.add(again.retry_after_us)
            self.assertGreater(len(times), 4)
            # half of the objective of a request of mean size, which is at most twice the fixed part
            self.assertLessEqual(max(times), harness.router.settings.classes[0].latency_objective_us)

    def test_a_drained_endpoint_gets_nothing_as_cache_or_source(self) -> None:
        for harness in self.each():
            draining = [entry(CACHES[0], CACHE), entry(PARENTS[0], PARENT)]
            harness.receive(
                EndpointListReceived(
                    EndpointListKind.DELTA,
                    2,
                    tuple(
                        Endpoint(e.number, e.zone, e.kind, e.cell, EndpointState.DRAINING, e.weight, 0)
                        for e in draining
                    ),
                )
            )
            for key in range(60):
                fill = harness.fill(key)
                if isinstance(fill, SendCacheRequest):
                    self.assertNotIn(CACHES[0], (fill.endpoint, fill.source))
                    self.assertNotIn(PARENTS[0], (fill.endpoint, fill.source))
                    harness.end_attempt(fill, Outcome.OK, 1, after=50 * MS)

    def test_no_copy_older_than_a_purge_is_accepted(self) -> None:
        for harness in self.each():
            harness.receive(PurgeReceived(5, 0, 40 * MS))
            (first,) = harness.request(5)
            self.assertLessEqual(self.sent(first).max_age_us, 40 * MS)

    def test_routers_together_keep_a_new_endpoints_budget(self) -> None:
        """The load that all routers of the zone send within the overload window, if each uses its whole
        share, stays below the capacity of the warming endpoint."""
        for harness in self.each(zone_router_counts=(0, 4), router_count=4):
            config = harness.router.settings
            new = entry(CACHES[0], CACHE, started_us=harness.now)
            harness.receive(EndpointListReceived(EndpointListKind.DELTA, 2, (new,)))
            sent = 0
            for key in range(4_000):
                harness.now += config.overload_window_us // 4_000
                for action in harness.request(key, size_kb=167.0):
                    if isinstance(action, SendCacheRequest):
                        sent += action.endpoint == new.number
                        harness.end_attempt(action, Outcome.OK, 0, after=0)
            self.assertGreater(sent, 0)
            work_us = 4 * sent * harness.router.service_times_us[0]
            budget_us = (
                new.weight * config.overload_multiple * config.slow_start_fraction * config.overload_window_us
            )
            self.assertLess(work_us, budget_us)

    def test_an_overloaded_origin_is_avoided_and_not_ejected(self) -> None:
        for harness in self.each():
            listed = (entry(ORIGIN_NUMBER, ORIGIN), *(entry(c, CACHE) for c in CACHES))
            harness.receive(EndpointListReceived(EndpointListKind.COMPLETE, 2, listed))
            fill = self.sent(harness.fill())
            self.assertEqual(fill.source, ORIGIN_NUMBER)
            harness.end_attempt(fill, Outcome.OVERLOADED, 1, after=30 * MS)
            self.assertLess(harness.router.endpoints[ORIGIN_NUMBER].failure_rate, 0.4)


if __name__ == "__main__":
    unittest.main()
