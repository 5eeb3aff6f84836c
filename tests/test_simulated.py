"""Fleets on one fake clock: the real engine and module, and models of stores and clients."""

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

FORM = FleetSize(routers=10, zones=2, seed=3)


class Clocks(unittest.TestCase):
    def test_who_sleeps_catches_up_in_order_and_the_dead_do_nothing(self) -> None:
        time, done = SimulatedTime(), list[str]()
        clock, dead = RouterClock(time), RouterClock(time)
        clock.after(SECOND_US, lambda: done.append("one"))
        clock.after(2 * SECOND_US, lambda: done.append("two")).cancel()
        clock.after(3 * SECOND_US, lambda: done.append("three"))
        dead.after(SECOND_US, lambda: done.append("never"))
        clock.asleep_until_us, dead.dead = time.now_us + 5 * SECOND_US, True
        time.run(time.now_us + 4 * SECOND_US)
        self.assertEqual(done, [])
        time.run(time.now_us + 2 * SECOND_US)
        self.assertEqual(done, ["one", "three"])


class Models(unittest.TestCase):
    def setUp(self) -> None:
        self.time, self.account = SimulatedTime(), SecondCounters()
        self.stores = SimulatedUpstreams(self.time, lambda: self.account)
        self.stores.links[1] = ZoneLink(self.time, 1000.0)
        for ident, kind, zone in (("box", 0, 1), ("hub", 1, 0), ("origin", 2, 0)):
            listed = ListedEndpoint(
                ident, ("", 1), Endpoint(kind + 1, zone, kind, 1, EndpointState.READY, 4.0, 0)
            )
            figures = EndpointCapacity(1, min_service_us=10_000.0, max_queued=1)
            self.stores.by_name[ident] = SimulatedEndpoint(listed, figures, self.time, random.Random(1))
        self.results: list[tuple[float, AttemptResult]] = []

    def ask(self, key: str, source: str = "") -> object:
        call = ClientRequest(key, 0, "picture", key, 0, 1, 100.0, SECOND_US, False, "", "", b"")
        target = self.stores.by_name["box"].listed
        by = self.stores.by_name[source].listed if source else None
        order = UpstreamRequest(call, target, by, 1, 0, 0, 0, False, lambda: None)
        began = self.time.now_us
        return self.stores.send(order, lambda r: self.results.append(((self.time.now_us - began) / 1e6, r)))

    def run_on(self) -> list[Outcome]:
        self.time.run(self.time.now_us + 10 * SECOND_US)
        found = [result.outcome for _, result in self.results]
        self.results.clear()
        return found

    def test_a_miss_is_filled_over_the_link_through_the_parent_and_kept(self) -> None:
        self.ask("k")
        self.assertEqual(self.run_on(), [Outcome.MISS])
        self.ask("k", "hub")
        self.time.run(self.time.now_us + SECOND_US)
        took, result = self.results[0]
        self.assertEqual(result.outcome, Outcome.OK)
        self.assertAlmostEqual(took, 0.111, places=3)  # the origin 10 ms, the link 100 ms, two ways
        self.assertEqual((self.account.fills, self.account.origin_requests), (2, 1))
        self.results.clear()
        self.ask("k")
        self.assertEqual(self.run_on(), [Outcome.OK])

    def test_what_is_more_than_slots_and_queue_is_turned_away_and_work_given_up_is_no_load(self) -> None:
        self.stores.by_name["box"].store(("k", 0))
        works = [self.ask("k") for _ in range(3)]
        self.assertEqual(sorted(self.run_on()), [Outcome.OK, Outcome.OK, Outcome.OVERLOADED])
        works = [self.ask("k"), self.ask("k")]
        self.time.run(self.time.now_us + 5_000)
        works[0].end()  # type: ignore[attr-defined]
        self.assertEqual(self.run_on(), [Outcome.OK])
        self.assertEqual(self.stores.by_name["box"].load, 0)

    def test_a_dead_source_and_a_dead_store_say_so(self) -> None:
        self.stores.by_name["hub"].condition = EndpointCondition.CRASHED
        self.ask("k", "hub")
        self.assertEqual(self.run_on(), [Outcome.ERROR])
        self.stores.by_name["box"].condition = EndpointCondition.CRASHED
        self.ask("k")
        self.assertEqual(self.run_on(), [Outcome.CONNECT_FAILED])
        self.assertEqual(self.account.at_failing_endpoints, 2)


class Fleets(unittest.TestCase):
    def test_the_same_seed_gives_the_same_history(self) -> None:
        rows = [overload.play("parent-dead", FORM).row() | {"real_s": 0} for _ in range(2)]
        self.assertEqual(rows[0], rows[1])

    def test_every_request_has_one_answer_and_the_fleet_returns_by_itself_in_every_scenario(self) -> None:
        for name in overload.SCENARIOS:
            if name == "threshold":
                continue  # two minutes of it are for the command
            with self.subTest(name):
                found = overload.play(name, FORM)
                self.assertEqual(found.rules_broken, 0)
                self.assertGreater(found.goodput, 0.3)
                self.assertLess(found.back_to_95_s, overload.MAX_RECOVERY_S)

    def test_an_answer_that_is_lost_is_seen(self) -> None:
        """The check can fail: a router that refuses without saying so."""
        fleet = Fleet(FORM)
        fleet.run(1)
        with mock.patch.object(PolicyActions, "_reject"), mock.patch.object(RequestTable, "_expire"):
            fleet.set_condition("origin", EndpointCondition.CRASHED)
            fleet.run(6)
        self.assertTrue(fleet.record.violations)

    def test_a_point_of_the_map(self) -> None:
        found = overload.play_point(0.85, "burst", 4, FORM)
        self.assertFalse(found.stays_bad)


if __name__ == "__main__":
    unittest.main()
