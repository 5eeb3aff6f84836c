"""Quota leases on a simulated network."""

from __future__ import annotations

import random
import unittest
from functools import partial

from magpieshift.lab.experiments.membership_network import SECOND_US, FleetSettings, started_network
from magpieshift.membership.quota_lease import FLEET_SCOPE


class SimulatedQuotaTest(unittest.TestCase):
    def test_with_all_members_present_quotas_are_as_in_the_settings(self) -> None:
        network = started_network(FleetSettings(6), 1)
        network.run(network.now_us + 30 * SECOND_US)
        for process in network.living():
            quota = process.quota_lease.quota(FLEET_SCOPE, process.clock(network.now_us))
            self.assertAlmostEqual(quota, 1 / 6, places=6)

    def test_a_dead_members_quota_goes_to_the_rest_and_comes_back(self) -> None:
        network = started_network(FleetSettings(6), 2)
        network.run(network.now_us + 30 * SECOND_US)
        network.kill("r5")
        network.run(network.now_us + 30 * SECOND_US)
        quotas = [p.quota_lease.quota(FLEET_SCOPE, p.clock(network.now_us)) for p in network.living()]
        self.assertTrue(all(abs(quota - (0.5 / 6 + 0.5 / 5)) < 1e-6 for quota in quotas), quotas)
        network.start("r5")
        network.run(network.now_us + 40 * SECOND_US)
        self.assertTrue(
            all(
                abs(p.quota_lease.quota(FLEET_SCOPE, p.clock(network.now_us)) - 1 / 6) < 1e-6
                for p in network.living()
            )
        )
        self.assertEqual(network.quota_excesses, 0)

    def test_an_isolated_member_falls_back_to_its_solo_quota_and_the_sum_never_exceeds_one(
        self,
    ) -> None:
        for seed in range(3):
            network = started_network(FleetSettings(6), seed)
            network.run(network.now_us + 20 * SECOND_US)
            network.cut = lambda a, b, isolated=f"r{seed}": isolated in (a, b)  # type: ignore[misc]
            network.run(network.now_us + 10 * SECOND_US)
            isolated_process = network.processes[f"r{seed}"]
            self.assertAlmostEqual(
                isolated_process.quota_lease.quota(FLEET_SCOPE, isolated_process.clock(network.now_us)),
                0.5 / 6,
            )
            network.run(network.now_us + 20 * SECOND_US)
            network.cut = lambda a, b: False
            network.run(network.now_us + 30 * SECOND_US)
            self.assertEqual(network.quota_excesses, 0, network.max_total_quota)
            self.assertLessEqual(network.max_total_quota, 1 + 1e-9)

    def test_a_partition_while_quotas_are_growing(self) -> None:
        for seed in range(3):
            network = started_network(FleetSettings(6), seed)
            network.run(network.now_us + 20 * SECOND_US)
            network.kill("r5")
            # r5 is declared dead about now, and the others' quotas grow.
            network.run(network.now_us + 9 * SECOND_US + seed * SECOND_US // 2)
            network.cut = lambda a, b: (a in ("r0", "r1")) != (b in ("r0", "r1"))
            network.run(network.now_us + 20 * SECOND_US)
            network.cut = lambda a, b: False
            network.start("r5")
            network.run(network.now_us + 30 * SECOND_US)
            self.assertEqual(network.quota_excesses, 0, network.max_total_quota)

    def test_the_lease_of_a_paused_process_has_expired_when_it_resumes(self) -> None:
        network = started_network(FleetSettings(4), 1)
        network.run(network.now_us + 30 * SECOND_US)
        process = network.processes["r1"]
        paused_at_us = network.now_us
        network.pause("r1", 8 * SECOND_US)
        network.run(paused_at_us + 8 * SECOND_US - 1)
        now = process.clock(network.now_us)
        self.assertAlmostEqual(process.quota_lease.quota(FLEET_SCOPE, now), 0.5 / 4)

    def test_more_members_than_the_settings_count_shrink_quotas_at_once(self) -> None:
        network = started_network(FleetSettings(3), 1)
        for number in range(3, 6):
            network.start(f"r{number}")
        network.run(network.now_us + 10 * SECOND_US)
        for process in network.living():
            self.assertLessEqual(
                process.quota_lease.quota(FLEET_SCOPE, process.clock(network.now_us)), 1 / 6 + 1e-9
            )

    def test_quotas_never_add_up_to_more_than_one_in_random_histories(self) -> None:
        for seed in range(5):
            network = started_network(FleetSettings(5), 100 + seed)
            rand = random.Random(seed)
            for _ in range(10):
                name = f"r{rand.randrange(5)}"
                match rand.choice(["pause", "kill", "cut", "heal", "lose"]):
                    case "pause":
                        network.pause(name, rand.randrange(12 * SECOND_US))
                    case "kill" if network.processes[name].alive:
                        network.kill(name)
                        restart_us = network.now_us + rand.randrange(SECOND_US, 9 * SECOND_US)
                        network.schedule(restart_us, partial(network.start, name))
                    case "cut":
                        cut_links = {(f"r{rand.randrange(5)}", f"r{rand.randrange(5)}") for _ in range(8)}
                        network.cut = lambda a, b, cut_links=cut_links: (a, b) in cut_links  # type: ignore[misc]
                    case "heal":
                        network.cut, network.loss = (lambda a, b: False), 0.0
                    case "lose":
                        network.loss = rand.random() * 0.6
                network.run(network.now_us + rand.randrange(6 * SECOND_US))
            network.cut, network.loss = (lambda a, b: False), 0.0
            self.assertEqual(network.quota_excesses, 0, (seed, network.max_total_quota))
            self.assertTrue(network.run(network.now_us + 40 * SECOND_US, network.views_agree), seed)


if __name__ == "__main__":
    unittest.main()
