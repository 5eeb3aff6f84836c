"""Gossip of failing endpoints and of load among several routers."""

from __future__ import annotations

import random
import unittest

from magpieshift.overload import codec, gossip, probe_election
from magpieshift.overload.digest import Digest
from magpieshift.overload.gossip import GOSSIP_INTERVAL_US, Gossip
from magpieshift.overload.probe_election import EndpointHealth
from magpieshift.policy.health_override import (
    HealthOverride,
    Readmit,
)
from tests.overload.helpers import NAMES, health_view


class GossipTest(unittest.TestCase):
    def test_nothing_is_sent_while_nothing_fails_and_no_router_is_overloaded(self) -> None:
        router = Gossip("r0", random.Random(1))
        endpoints = {
            "p": health_view(1, success_age_us=5),
            "q": EndpointHealth(2, (1, 0), True, 50_000, 10_000),
        }
        for tick_number in range(50):
            actions = router.tick(tick_number * GOSSIP_INTERVAL_US, endpoints, NAMES, NAMES, 0.2, 50.0)
            self.assertEqual((actions.overrides, actions.sends), ([], []))

    def test_failure_reports_reach_all_routers_and_expire(self) -> None:
        """Two routers see an endpoint fail; all others eject or probe it, until it has recovered."""
        rand = random.Random(3)
        routers = {name: Gossip(name, random.Random(name)) for name in NAMES}
        endpoints = {"p": health_view(1), "q": health_view(2)}

        def run_ticks(
            count: int, start: int, own: dict[str, dict[str, EndpointHealth]]
        ) -> dict[str, list[HealthOverride]]:
            last: dict[str, list[HealthOverride]] = {}
            for now_us in range(start, start + count * GOSSIP_INTERVAL_US, GOSSIP_INTERVAL_US):
                for name, router in sorted(routers.items()):
                    actions = router.tick(now_us, own.get(name, endpoints), NAMES)
                    last[name] = actions.overrides
                    for receiver, digest in actions.sends:
                        if rand.random() > 0.3:  # 30% of the digests are lost
                            routers[receiver].receive(now_us, name, codec.decode(codec.encode(digest)), False)
            return last

        failing_views = {
            name: {"p": health_view(1, failing=True), "q": health_view(2)} for name in ("r1", "r2")
        }
        overrides = run_ticks(15, 0, failing_views)
        self.assertTrue(all(overrides.values()), "every router ejects or probes the endpoint")
        self.assertEqual(
            sum(isinstance(actions[0], Readmit) for actions in overrides.values()), probe_election.PROBERS
        )
        overrides = run_ticks(
            25, 15 * GOSSIP_INTERVAL_US, {"r3": {"p": health_view(1, success_age_us=0), "q": health_view(2)}}
        )
        self.assertFalse(any(overrides.values()))
        self.assertTrue(all(not list(router.reports.endpoints()) for router in routers.values()))

    def test_a_flood_is_dropped_and_counted(self) -> None:
        router = Gossip("r0", random.Random(1))
        for _ in range(gossip.MAX_DIGESTS_PER_TICK + 10):
            router.receive(0, "r1", Digest(), True)
        self.assertEqual((router.received_digests, router.dropped_digests), (gossip.MAX_DIGESTS_PER_TICK, 10))

    def test_an_overloaded_router_receives_load_reports_of_its_neighbours(self) -> None:
        overloaded, neighbour, distant = (Gossip(name, random.Random(name)) for name in ("r0", "r1", "r2"))
        zone = ["r0", "r1"]
        for now_us in range(0, 10 * GOSSIP_INTERVAL_US, GOSSIP_INTERVAL_US):
            for router, neighbours, pressure in (
                (overloaded, zone, 2.0),
                (neighbour, zone, 0.1),
                (distant, ["r2"], 0.1),
            ):
                for receiver, digest in router.tick(now_us, {}, NAMES, neighbours, pressure, 50.0).sends:
                    {"r0": overloaded, "r1": neighbour, "r2": distant}[receiver].receive(
                        now_us, router.own, digest, receiver in zone
                    )
        self.assertEqual(set(overloaded.offloading._neighbours), {"r1"})
        self.assertEqual(distant.sent_digests, 0)


if __name__ == "__main__":
    unittest.main()
