"""Overload gossip in simulated fleets, with the real engine and policy."""

from __future__ import annotations

import unittest

from magpieshift.lab.experiments import overload as lab
from magpieshift.lab.simulated.fleet_state import FleetSize
from magpieshift.overload import gossip as gossip
from magpieshift.overload import probe_election as probe_election


class SimulatedFleetTest(unittest.TestCase):
    """Fleets of 12 routers on a simulated clock, with the real engine and overload gossip."""

    def test_a_dead_parent_is_probed_by_few_and_without_digests_routers_decide_alone(self) -> None:
        size = FleetSize(routers=12, zones=2, caches_per_zone=2, parents=3, seed=4)
        without_gossip = lab.run_scenario("parent-dead", size)
        with_gossip = lab.run_scenario("parent-dead", size, lab.GossipSettings())
        with_all_digests_lost = lab.run_scenario("parent-dead", size, lab.GossipSettings(loss=1.0))
        self.assertLess(with_gossip.tries_per_s, without_gossip.tries_per_s / 2)
        # identical: without digests no report has any effect
        self.assertEqual(with_all_digests_lost.tries_per_s, without_gossip.tries_per_s)
        for outcome in (without_gossip, with_gossip, with_all_digests_lost):
            self.assertEqual((outcome.rules_broken, outcome.back_to_95_s < 10), (0, True))

    def test_false_reports_do_not_make_endpoints_unavailable(self) -> None:
        size = FleetSize(routers=12, zones=2, caches_per_zone=2, parents=3, seed=4)
        with_true_reports = lab.run_scenario("parent-dead", size, lab.GossipSettings())
        with_false_reports = lab.run_scenario("parent-dead", size, lab.GossipSettings(misreporting_routers=2))
        self.assertGreater(with_false_reports.goodput, with_true_reports.goodput - 0.02)
        self.assertLess(with_false_reports.amplification, 1.2)


if __name__ == "__main__":
    unittest.main()
