"""Overload gossip in simulated fleets, with the real engine and policy."""

from __future__ import annotations

import unittest

from magpieshift.lab.experiments import overload as lab
from magpieshift.lab.simulated.fleet_state import FleetSize
from magpieshift.overload import gossip as gossip
from magpieshift.overload import probe_election as probe_election


class SimulatedFleetTest(unittest.TestCase):
    """Fleets of 12 routers on a simulated clock, with the real engine and overload gossip."""

    def test_a_dead_parent_is_probed_by_few_and_lost_digests_leave_each_router_to_itself(self) -> None:
        form = FleetSize(routers=12, zones=2, caches_per_zone=2, parents=3, seed=4)
        alone = lab.play("parent-dead", form)
        told = lab.play("parent-dead", form, lab.GossipSettings())
        lost = lab.play("parent-dead", form, lab.GossipSettings(loss=1.0))
        self.assertLess(told.tries_per_s, alone.tries_per_s / 2)
        self.assertEqual(lost.tries_per_s, alone.tries_per_s)  # identical: no report had any effect
        for outcome in (alone, told, lost):
            self.assertEqual((outcome.rules_broken, outcome.back_to_95_s < 10), (0, True))

    def test_false_reports_do_not_take_the_endpoints_away(self) -> None:
        form = FleetSize(routers=12, zones=2, caches_per_zone=2, parents=3, seed=4)
        honest = lab.play("parent-dead", form, lab.GossipSettings())
        lied = lab.play("parent-dead", form, lab.GossipSettings(liars=2))
        self.assertGreater(lied.goodput, honest.goodput - 0.02)
        self.assertLess(lied.amplification, 1.2)


if __name__ == "__main__":
    unittest.main()
