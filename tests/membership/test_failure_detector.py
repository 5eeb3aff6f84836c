"""Failure detection on a simulated network, and the cost of its probes."""

from __future__ import annotations

import unittest
from functools import partial

from magpieshift.lab.experiments.membership_network import SECOND_US, FleetSettings, Network, started_network
from magpieshift.lab.experiments.membership_trial import false_removals
from magpieshift.membership.member import MemberState
from magpieshift.membership.suspicion import DetectorTuning
from tests.membership.helpers import moved_address


class SimulatedFleetTest(unittest.TestCase):
    """Faults on several seeds each; ``test_processes`` runs the same state machines in real processes."""

    SEEDS = range(2)

    def assert_agreement(self, network: Network, within_s: int = 30) -> None:
        """Assert that all views agree within a time without faults, and that quotas never exceeded 1."""
        self.assertTrue(
            network.run(network.now_us + within_s * SECOND_US, network.views_agree), "views differ"
        )
        self.assertEqual(network.quota_excesses, 0, f"the quotas added up to {network.max_total_quota}")

    def assert_none_removed(self, network: Network, excluded: tuple[str, ...] = ()) -> None:
        false_removals_found = [
            (observed.observer, observed.change.name)
            for observed in network.changes
            if observed.change.new_state == MemberState.DEAD
            and network.processes[observed.change.name].alive
            and observed.change.name not in excluded
            and observed.observer not in excluded
        ]
        self.assertEqual(false_removals_found, [])

    def test_sixteen_start_at_once_while_the_one_seed_is_down(self) -> None:
        for seed in self.SEEDS:
            network = Network(FleetSettings(16, seed_count=1), seed)
            for number in range(1, 16):
                network.start(f"r{number}")
            network.run(10 * SECOND_US)
            network.start("r0")
            self.assert_agreement(network)
            self.assert_none_removed(network)

    def test_pauses_of_five_seconds_remove_nobody(self) -> None:
        for seed in self.SEEDS:
            network = started_network(FleetSettings(8), seed)
            network.pause("r1", 5 * SECOND_US)
            network.run(network.now_us + 8 * SECOND_US)
            for name in ("r2", "r3", "r4"):
                network.pause(name, 5 * SECOND_US)
            network.run(network.now_us + 8 * SECOND_US)
            for number in range(8):  # all of them, at different times
                when = network.now_us + network.rand.randrange(8 * SECOND_US)
                network.schedule(when, partial(network.pause, f"r{number}", 5 * SECOND_US))
            network.run(network.now_us + 14 * SECOND_US)
            self.assert_none_removed(network)
            self.assert_agreement(network)

    def test_a_pause_during_a_join(self) -> None:
        for seed in self.SEEDS:
            network = started_network(FleetSettings(8), seed)
            network.start("late")
            network.run(network.now_us + 100_000 * (seed % 30 + 1))
            network.pause("late", 5 * SECOND_US)
            self.assert_agreement(network)
            self.assert_none_removed(network)

    def test_a_member_that_only_sends_and_one_that_only_receives(self) -> None:
        for seed in self.SEEDS:
            for receives_nothing in (True, False):
                network = started_network(FleetSettings(8), seed)
                network.cut = (lambda a, b: b == "r3") if receives_nothing else (lambda a, b: a == "r3")
                network.run(network.now_us + 20 * SECOND_US)
                # r3 declares no member dead, and only r3 may be declared dead.
                self.assert_none_removed(network, ("r3",))
                detector_of_r3 = network.processes["r3"].detector
                states_of_r3 = {
                    p.detector.view.members["r3"].state for p in network.living() if p.name != "r3"
                }
                self.assertEqual(detector_of_r3.isolated, receives_nothing)
                # The others receive its heartbeats, so it stays present; it knows that it is isolated.
                if receives_nothing:
                    self.assertEqual(
                        (states_of_r3, detector_of_r3.view.present_count), ({MemberState.ALIVE}, 8)
                    )
                else:
                    self.assertEqual(states_of_r3, {MemberState.DEAD})
                network.cut = lambda a, b: False
                self.assert_agreement(network)

    def test_a_member_that_hears_half_of_the_others(self) -> None:
        for seed in self.SEEDS:
            network = started_network(FleetSettings(8), seed)
            network.cut = lambda a, b: b == "r3" and a in ("r0", "r1", "r2")
            network.run(network.now_us + 20 * SECOND_US)
            self.assert_none_removed(network)
            network.cut = lambda a, b: False
            self.assert_agreement(network)

    def test_a_one_way_cut_between_two_members_removes_nobody(self) -> None:
        for seed in self.SEEDS:
            network = started_network(FleetSettings(8), seed)
            network.cut = lambda a, b: (a, b) == ("r1", "r2")
            network.run(network.now_us + 20 * SECOND_US)
            self.assert_none_removed(network)
            self.assertTrue(network.views_agree())

    def test_seven_of_ten_killed_and_started_again(self) -> None:
        for seed in self.SEEDS:
            network = started_network(FleetSettings(10), seed)
            before = {n: network.processes[n].detector.view.own.incarnation for n in network.processes}
            for number in range(3, 10):
                network.kill(f"r{number}")
            network.run(network.now_us + int((1 + seed / 6) * SECOND_US))
            for number in range(3, 10):
                network.start(f"r{number}")
            self.assert_agreement(network)
            view = network.processes["r0"].detector.view
            for number in range(3, 10):
                self.assertGreater(view.members[f"r{number}"].member.incarnation, before[f"r{number}"])

    def test_seven_of_ten_killed_permanently_are_dead_in_all_views(self) -> None:
        """Guards against updates that are used up on datagrams to dead members: a survivor got the reports of
        the others only by synchronization, half a minute later."""
        for seed in self.SEEDS:
            network = started_network(FleetSettings(10), seed)
            for number in range(3, 10):
                network.kill(f"r{number}")
            self.assert_agreement(network, 30)

    def test_a_lost_report_is_sent_again_by_a_member_that_has_declared_the_suspect_dead(self) -> None:
        """Guards against a dead member that one survivor considers alive permanently: one report to it was
        lost, and the other two survivors had declared the member dead and so kept no reports to resend. It
        happened on 4 of 100 seeds of the test above."""
        network = started_network(FleetSettings(10), 4)
        for number in range(3, 10):
            network.kill(f"r{number}")
        view_without_report = network.processes["r0"].detector.view

        def drop_report() -> None:  # r0 loses r1's reports of r9 until r1 has declared r9 dead
            if network.processes["r1"].detector.view.members["r9"].state != MemberState.DEAD:
                view_without_report.remove_suspicion("r9", "r1")
                network.schedule(network.now_us + 10_000, drop_report)

        drop_report()
        self.assert_agreement(network, 40)

    def test_a_partition_into_halves_with_a_join_and_a_leave(self) -> None:
        for seed in self.SEEDS:
            network = started_network(FleetSettings(8), seed)
            half = {"r0", "r1", "r2", "r3", "new"}
            network.cut = lambda a, b, half=half: (a in half) != (b in half)  # type: ignore[misc]
            network.run(network.now_us + 5 * SECOND_US)
            network.start("new")
            network.leave("r6")
            network.run(network.now_us + 15 * SECOND_US)
            network.cut = lambda a, b: False
            self.assert_agreement(network)
            for process in network.living():
                self.assertNotIn("r6", [k.member.name for k in process.detector.view.present_members()])

    def test_a_leave_spreads_at_once_and_is_no_failure(self) -> None:
        network = started_network(FleetSettings(8), 1)
        left_at_us = network.now_us
        network.leave("r5")
        network.run(left_at_us + 2 * SECOND_US)
        for process in network.living():
            self.assertEqual(process.detector.view.members["r5"].state, MemberState.LEFT)
        self.assertFalse(
            any(c.new_state == MemberState.SUSPECT for c in (observed.change for observed in network.changes))
        )

    def test_thirty_percent_of_datagrams_lost_and_more_at_one_member(self) -> None:
        for seed in self.SEEDS:
            network = started_network(FleetSettings(8), seed)
            network.loss, network.loss_at = 0.3, {"r2": 0.55}  # 69% from and to r2
            network.run(network.now_us + 60 * SECOND_US)
            self.assert_none_removed(network)
            network.loss, network.loss_at = 0.0, {}
            self.assert_agreement(network)

    def test_delays_beyond_the_timeout_of_a_ping(self) -> None:
        network = started_network(FleetSettings(8), 1)
        network.delay_us = (800_000, 1_500_000)
        network.run(network.now_us + 30 * SECOND_US)
        self.assert_none_removed(network)

    def test_two_processes_of_one_name_are_reported_and_both_stay(self) -> None:
        network = started_network(FleetSettings(4), 1)
        first = network.processes["r2"]
        network.address_of = moved_address  # type: ignore[method-assign]
        second = network.start("r2")
        network.by_address[first.address] = first
        network.run(network.now_us + 15 * SECOND_US)
        self.assertEqual(first.detector.counters.conflicts, 1)
        self.assertEqual(second.detector.view.own.name, "r2")
        new_name = first.detector.view.own.name
        self.assertTrue(new_name.startswith("r2~"))
        for process in (network.processes["r0"], network.processes["r1"], first, second):
            names = [known.member.name for known in process.detector.view.present_members()]
            self.assertEqual(names, sorted(["r0", "r1", "r2", "r3", new_name]))

    def test_a_replaced_process_is_superseded_and_is_no_conflict(self) -> None:
        network = started_network(FleetSettings(4), 1)
        first = network.processes["r2"]
        first.detector.expects_successor = True
        network.address_of = moved_address  # type: ignore[method-assign]
        network.start("r2")
        network.by_address[first.address] = first
        network.run(network.now_us + 10 * SECOND_US)
        self.assertTrue(first.detector.superseded)
        self.assertEqual(first.detector.counters.conflicts, 0)
        self.assertFalse(
            any(
                c.new_state in (MemberState.SUSPECT, MemberState.DEAD)
                for c in (observed.change for observed in network.changes)
            )
        )

    def test_a_successor_whose_clock_is_behind_takes_its_name_back(self) -> None:
        network = started_network(FleetSettings(4), 1)
        network.kill("r2")
        real_now_us = network.now_us
        network.now_us = 0  # the incarnation is derived from the wall clock
        process = network.start("r2")
        network.now_us = real_now_us
        self.assert_agreement(network)
        self.assertEqual(
            network.processes["r0"].detector.view.members["r2"].member.boot_id,
            process.detector.view.own.boot_id,
        )

    def test_without_local_health_a_paused_member_removes_others(self) -> None:
        """Proves that the check for false removals can fail, by an ablation of local health."""
        found = 0
        for seed in range(4):
            network = started_network(
                FleetSettings(
                    8, tuning=DetectorTuning(suspicion_quorum=1, monitored_peers=7, local_health=False)
                ),
                seed,
            )
            network.pause("r1", 12 * SECOND_US)
            network.run(network.now_us + 14 * SECOND_US)
            network.pause("r1", 12 * SECOND_US)
            network.run(network.now_us + 20 * SECOND_US)
            found += false_removals(network)
        self.assertGreater(found, 0)

    def test_the_same_seed_gives_the_same_history(self) -> None:
        one, two = started_network(FleetSettings(6), 3), started_network(FleetSettings(6), 3)
        self.assertEqual(one.changes, two.changes)
        self.assertEqual((one.now_us, one.sent), (two.now_us, two.sent))


class ProbeCostTest(unittest.TestCase):
    def test_a_member_that_was_just_heard_is_not_pinged(self) -> None:
        """In a small fleet all members monitor each other. Pinging in both directions doubled the number of
        messages, which cost 2% of a core."""
        network = started_network(FleetSettings(8), 1)
        network.sent = 0
        network.run(network.now_us + 10 * SECOND_US)
        datagrams_per_s = network.sent / 10 / 8
        # Datagrams per second and member: 70 if every monitored member is pinged.
        self.assertLess(datagrams_per_s, 66)


if __name__ == "__main__":
    unittest.main()
