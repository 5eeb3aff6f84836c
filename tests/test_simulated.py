"""Simulated fleets on one fake clock: the real engine and policy, with modelled endpoints and clients."""

from __future__ import annotations

import random
import unittest
from unittest import mock

from magpieshift.engine.actions import PolicyActions
from magpieshift.engine.model import AttemptResult, ClientRequest, ListedEndpoint, UpstreamRequest
from magpieshift.engine.request_table import RequestTable
from magpieshift.lab.experiments import overload
from magpieshift.lab.simulated.endpoints import (
    EndpointCapacity,
    EndpointCondition,
    SimulatedEndpoint,
    ZoneLink,
)
from magpieshift.lab.simulated.fleet import Fleet
from magpieshift.lab.simulated.fleet_state import SECOND_US, FleetSize
from magpieshift.lab.simulated.second_counters import SecondCounters
from magpieshift.lab.simulated.time import RouterClock, SimulatedTime
from magpieshift.lab.simulated.upstreams import SimulatedUpstreams
from magpieshift.policy.events import Endpoint, EndpointState
from magpieshift.policy.outcomes import Outcome

SIZE = FleetSize(routers=10, zones=2, seed=3)


class RouterClockTest(unittest.TestCase):
    def test_a_paused_router_runs_missed_calls_in_order_and_a_killed_one_none(self) -> None:
        time, calls = SimulatedTime(), list[str]()
        clock, killed = RouterClock(time), RouterClock(time)
        clock.after(SECOND_US, lambda: calls.append("one"))
        clock.after(2 * SECOND_US, lambda: calls.append("two")).cancel()
        clock.after(3 * SECOND_US, lambda: calls.append("three"))
        killed.after(SECOND_US, lambda: calls.append("never"))
        clock.paused_until_us, killed.is_killed = time.now_us + 5 * SECOND_US, True
        time.run(time.now_us + 4 * SECOND_US)
        self.assertEqual(calls, [])
        time.run(time.now_us + 2 * SECOND_US)
        self.assertEqual(calls, ["one", "three"])


class UpstreamModels(unittest.TestCase):
    def setUp(self) -> None:
        self.time, self.counters = SimulatedTime(), SecondCounters()
        self.upstreams = SimulatedUpstreams(self.time, lambda: self.counters)
        self.upstreams.links[1] = ZoneLink(self.time, 1000.0)
        for name, kind, zone in (("box", 0, 1), ("hub", 1, 0), ("origin", 2, 0)):
            listed = ListedEndpoint(
                name, ("", 1), Endpoint(kind + 1, zone, kind, 1, EndpointState.READY, 4.0, 0)
            )
            capacity = EndpointCapacity(1, min_service_us=10_000.0, max_queued=1)
            self.upstreams.by_name[name] = SimulatedEndpoint(listed, capacity, self.time, random.Random(1))
        self.results: list[tuple[float, AttemptResult]] = []

    def send(self, key: str, source: str = "") -> object:
        client_request = ClientRequest(key, 0, "picture", key, 0, 1, 100.0, SECOND_US, False, "", "", b"")
        endpoint = self.upstreams.by_name["box"].listed
        source_endpoint = self.upstreams.by_name[source].listed if source else None
        upstream_request = UpstreamRequest(
            client_request, endpoint, source_endpoint, 1, 0, 0, 0, False, lambda: None
        )
        started_us = self.time.now_us
        return self.upstreams.send(
            upstream_request, lambda r: self.results.append(((self.time.now_us - started_us) / 1e6, r))
        )

    def outcomes_after_run(self) -> list[Outcome]:
        self.time.run(self.time.now_us + 10 * SECOND_US)
        outcomes = [result.outcome for _, result in self.results]
        self.results.clear()
        return outcomes

    def test_a_miss_is_filled_over_the_link_through_the_parent_and_cached(self) -> None:
        self.send("k")
        self.assertEqual(self.outcomes_after_run(), [Outcome.MISS])
        self.send("k", "hub")
        self.time.run(self.time.now_us + SECOND_US)
        duration_s, result = self.results[0]
        self.assertEqual(result.outcome, Outcome.OK)
        # 10 ms at the origin, 100 ms on the link, and two network delays of 0.5 ms
        self.assertAlmostEqual(duration_s, 0.111, places=3)
        self.assertEqual((self.counters.fills, self.counters.origin_requests), (2, 1))
        self.results.clear()
        self.send("k")
        self.assertEqual(self.outcomes_after_run(), [Outcome.OK])

    def test_requests_beyond_slots_and_queue_are_rejected_and_cancelled_work_is_no_load(self) -> None:
        self.upstreams.by_name["box"].store(("k", 0))
        attempts = [self.send("k") for _ in range(3)]
        self.assertEqual(sorted(self.outcomes_after_run()), [Outcome.OK, Outcome.OK, Outcome.OVERLOADED])
        attempts = [self.send("k"), self.send("k")]
        self.time.run(self.time.now_us + 5_000)
        attempts[0].end()  # type: ignore[attr-defined]
        self.assertEqual(self.outcomes_after_run(), [Outcome.OK])
        self.assertEqual(self.upstreams.by_name["box"].load, 0)

    def test_a_crashed_source_and_a_crashed_cache_give_different_outcomes(self) -> None:
        self.upstreams.by_name["hub"].condition = EndpointCondition.CRASHED
        self.send("k", "hub")
        self.assertEqual(self.outcomes_after_run(), [Outcome.ERROR])
        self.upstreams.by_name["box"].condition = EndpointCondition.CRASHED
        self.send("k")
        self.assertEqual(self.outcomes_after_run(), [Outcome.CONNECT_FAILED])
        self.assertEqual(self.counters.at_failing_endpoints, 2)


class SimulatedFleets(unittest.TestCase):
    def test_the_same_seed_gives_the_same_history(self) -> None:
        rows = [overload.run_scenario("parent-dead", SIZE).row() | {"real_s": 0} for _ in range(2)]
        self.assertEqual(rows[0], rows[1])

    def test_every_request_has_one_response_and_the_fleet_recovers_in_every_scenario(self) -> None:
        for name in overload.SCENARIOS:
            if name == "threshold":
                continue  # its fault lasts 120 s, which is too long for a test
            with self.subTest(name):
                outcome = overload.run_scenario(name, SIZE)
                self.assertEqual(outcome.rules_broken, 0)
                self.assertGreater(outcome.goodput, 0.3)
                self.assertLess(outcome.back_to_95_s, overload.MAX_RECOVERY_S)

    def test_a_request_without_a_response_is_detected(self) -> None:
        """Routers that reject requests without a response are recorded as violations."""
        fleet = Fleet(SIZE)
        fleet.run(1)
        with mock.patch.object(PolicyActions, "_reject"), mock.patch.object(RequestTable, "_expire"):
            fleet.set_condition("origin", EndpointCondition.CRASHED)
            fleet.run(6)
        self.assertTrue(fleet.record.violations)

    def test_a_fleet_at_85_percent_load_recovers_from_a_burst(self) -> None:
        outcome = overload.run_map_point(0.85, "burst", 4, SIZE)
        self.assertFalse(outcome.stays_bad)


if __name__ == "__main__":
    unittest.main()
