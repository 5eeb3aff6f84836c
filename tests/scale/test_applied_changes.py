"""The record of applied purges and versions: losses, order, and the figures and rules computed from it."""

from __future__ import annotations

import unittest

from magpieshift.config import ConfigError
from magpieshift.lab.scale import memory
from magpieshift.lab.scale.applied_changes import (
    PURGE_EXPIRY_S,
    ProcessAppliedChanges,
    RouterAppliedChanges,
    index_of,
    object_of,
)
from magpieshift.lab.scale.calibration import Cost, Kind, compare_costs
from magpieshift.lab.scale.result import (
    Published,
    Result,
    evaluate_losses,
    evaluate_purges,
    evaluate_versions,
    purge_times,
)
from magpieshift.lab.scale.sockets import parse_ss_output


class Purges(unittest.TestCase):
    def setUp(self) -> None:
        self.shared = ProcessAppliedChanges()
        self.applied = RouterAppliedChanges(self.shared, "z0", first_purge=2, version=0)

    def test_an_object_key_encodes_the_index_of_its_purge(self) -> None:
        self.assertEqual([index_of(int(object_of(i), 16)) for i in (0, 5, 1 << 40)], [0, 5, 1 << 40])

    def test_purges_in_order_are_neither_lost_nor_out_of_order(self) -> None:
        for index in range(2, 6):
            self.applied.record_purges({index: 0.0}, float(index))
        self.assertEqual((self.applied.missing_count(6), self.applied.out_of_order), (0, 0))
        self.assertEqual(self.shared.purges, [0, 0, 2.0, 3.0, 4.0, 5.0])

    def test_a_gap_is_lost_until_it_is_filled_and_then_out_of_order(self) -> None:
        self.applied.record_purges({2: 0.0}, 1.0)
        self.applied.record_purges({4: 0.0}, 2.0)
        marks = bytearray(6)
        self.applied.mark_missing(marks)
        self.assertEqual((self.applied.missing_count(6), list(marks)), (2, [0, 0, 0, 1, 0, 1]))
        self.applied.record_purges({3: 0.0}, 3.0)
        self.assertEqual(
            (self.applied.missing_count(5), self.applied.out_of_order, self.applied.next_purge), (0, 1, 5)
        )

    def test_order_within_one_call_and_repeats_are_ignored(self) -> None:
        self.applied.record_purges({4: 0.0, 3: 0.1, 2: 0.2}, 1.0)
        self.applied.record_purges({3: 8.1, 2: 8.2}, 9.0)
        self.assertEqual((self.applied.missing_count(5), self.applied.out_of_order), (0, 0))
        self.assertEqual(self.shared.purges[2:], [1.0, 1.0, 1.0])

    def test_a_missing_purge_is_lost_unless_it_has_expired(self) -> None:
        self.applied.record_purges({2: 0.0}, 1.0)
        self.applied.record_purges({500: PURGE_EXPIRY_S - 1, 501: 1.0}, 2.0)
        self.assertEqual((self.applied.missing_count(502), self.applied.forgotten), (497, 0))
        self.applied.record_purges({502: PURGE_EXPIRY_S, 503: 1.0}, 3.0)
        self.assertEqual(
            (self.applied.missing_count(504), self.applied.forgotten, self.applied.out_of_order), (0, 497, 0)
        )

    def test_purges_known_to_have_expired_are_forgotten_when_a_newer_one_arrives(self) -> None:
        for now_s, lost in ((100.0 + PURGE_EXPIRY_S - 1, 7), (100.0 + PURGE_EXPIRY_S, 2)):
            shared = ProcessAppliedChanges(accepted_by=(5, 100.0))
            applied = RouterAppliedChanges(shared, "z0", 0, 0)
            applied.record_purges({7: 0.5}, now_s)
            self.assertEqual(applied.missing_count(8), lost)

    def test_purges_before_the_start_are_not_counted_as_missing(self) -> None:
        self.assertEqual(self.applied.missing_count(2), 0)
        self.applied.record_purges({0: 0.0}, 1.0)
        self.assertEqual((self.applied.out_of_order, self.shared.purges), (0, []))

    def test_a_version_in_force_counts_for_all_earlier_ones(self) -> None:
        self.applied.record_version(3, 7.0)
        self.applied.record_version(2, 8.0)
        self.assertEqual(self.shared.versions, {"z0": {1: 7.0, 2: 7.0, 3: 7.0}})


class Evaluation(unittest.TestCase):
    def test_a_purge_is_done_when_the_last_router_of_any_process_has_it(self) -> None:
        self.assertEqual(purge_times([1.0, 2.0], [[1.5, 2.25], [3.0]], []), [2.0, 0.25])

    def test_without_a_lease_a_purge_is_done_by_the_age_limit_of_copies(self) -> None:
        cases = {
            "applied before the bound": ((0, 6.0, 4.0), 5.0),
            "applied after it": ((0, 60.0, 4.0), 8.0),
            "applied after it, and the lease lapsed later than it bounds": ((0, 60.0, 10.5), 9.5),
        }
        for name, (late, time) in cases.items():
            with self.subTest(name):
                self.assertEqual(purge_times([1.0], [[1.25]], [], [late], lease_s=8.0), [time])

    def test_purges_applied_without_a_lease_are_recorded_separately(self) -> None:
        shared = ProcessAppliedChanges()
        applied = RouterAppliedChanges(shared, "z0", 0, 0)
        applied.set_lease_held(False, 3.0)
        applied.set_lease_held(False, 4.0)
        applied.record_purges({0: 0.0}, 5.0)
        applied.set_lease_held(True, 6.0)
        applied.record_purges({1: 0.0}, 7.0)
        self.assertEqual(
            (applied.applied_without_lease, shared.purges, applied.missing_count(2)),
            ([(0, 5.0, 3.0)], [0.0, 7.0], 0),
        )

    def test_a_purge_not_done_everywhere_has_no_time_and_breaks_the_rule(self) -> None:
        result = Result()
        evaluate_purges(result, purge_times([1.0, 2.0, 3.0], [[1.5, 2.5, 3.5]], [2]))
        self.assertEqual(
            (result.purge_done_p50_s, result.purge_done_p99_s, result.purge_done_max_s), (0.5, None, None)
        )
        self.assertEqual(len(result.rules_broken), 1)
        self.assertIn("1 of 3 were not (worst: never)", result.rules_broken[0])

    def test_a_late_purge_breaks_the_rule_and_one_in_time_does_not(self) -> None:
        for time, broken in ((9.7, 0), (9.8, 1)):
            result = Result()
            evaluate_purges(result, [time])
            self.assertEqual((result.purge_done_max_s, len(result.rules_broken)), (time, broken))

    def test_versions_are_measured_only_on_reachable_paths(self) -> None:
        in_force = [{"z0": {1: 1.5}, "z1": {1: 60.0}}]
        result = Result()
        evaluate_versions(result, [Published(1, 1.0, frozenset({"z0"}))], in_force)
        self.assertEqual((result.version_in_force_max_s, result.rules_broken), (0.5, []))
        evaluate_versions(result, [Published(1, 1.0)], in_force)
        self.assertEqual((result.version_in_force_max_s, len(result.rules_broken)), (59.0, 1))

    def test_losses_wrong_order_and_old_versions_break_rules_that_name_routers(self) -> None:
        result = Result(out_of_order=2)
        evaluate_losses(result, {"r7": 3}, {"r7": 4, "r8": 5}, newest=5)
        broken = "; ".join(result.rules_broken)
        self.assertEqual((result.lost, len(result.rules_broken)), (3, 3))
        for part in ("no purge lost: 3 by r7", "in order: 2", "not at r7"):
            self.assertIn(part, broken)


class Measured(unittest.TestCase):
    def test_memory_is_refused_above_half_of_the_machine(self) -> None:
        memory.check(100, 6, 1000, total_mb=16_000)
        with self.assertRaisesRegex(ConfigError, r"--routers: found 4000, .*at most 2000 MB"):
            memory.check(4000, 6, 1000, total_mb=4000)
        self.assertAlmostEqual(memory.machine_mb("MemTotal:  2048 kB\n"), 2.0)

    def test_the_kernel_s_counters_are_read_by_stream(self) -> None:
        text = (
            "0      0      127.0.0.1:80 127.0.0.1:1\n\t cubic bytes_sent:9 bytes_acked:7 bytes_received:5 x\n"
            "ESTAB 0 0  127.0.0.1:80 127.0.0.1:2\n\t cubic bytes_received:3\n"
        )
        self.assertEqual(
            parse_ss_output(text), {("127.0.0.1:80", "127.0.0.1:1"): 12, ("127.0.0.1:80", "127.0.0.1:2"): 3}
        )

    def test_ratios_are_of_means_with_the_spread_over_runs(self) -> None:
        real = [Cost(4.0, 100.0, 10.0), Cost(6.0, None, 10.0)]
        hollow = [Cost(5.0, 100.0, 5.0), Cost(6.0, 100.0, 5.0)]
        row = compare_costs(2, {Kind.REAL: real, Kind.SHARED_PROCESS: hollow, Kind.OWN_PROCESS: real})
        self.assertEqual(row["cpu_percent_together_ratio"], 1.1)
        low, high = row["cpu_percent_together_ratio_low"], row["cpu_percent_together_ratio_high"]
        self.assertEqual((low, high), (1.0, 1.25))
        self.assertEqual((row["bytes_s_together_ratio"], row["mb_together_ratio"]), (1.0, 0.5))


if __name__ == "__main__":
    unittest.main()
