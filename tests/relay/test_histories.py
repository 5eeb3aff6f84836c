"""Histories of a simulated fan-out tier, random ones and known hard cases, checked against a model at each
event."""

from __future__ import annotations

import unittest

from magpieshift.lab.simulated.fanout import SECOND_US, SimulatedFanout
from magpieshift.lab.simulated.fanout_checks import check_bounds, unsettled
from magpieshift.lab.simulated.fanout_histories import History
from magpieshift.lab.simulated.fanout_invariants import RuleBrokenError
from magpieshift.lab.simulated.fanout_layout import FanoutSize
from magpieshift.lab.simulated.fanout_message_sizes import MESSAGE_BYTES, PURGE_BYTES
from magpieshift.relay import limits

SEEDS = range(1, 21)
MANY_PURGES = 30
# after any outage, a relay and then its routers may wait for a failover back-off
MAX_RECOVERY_S = 40


def started_tier(**size: int) -> SimulatedFanout:
    """A simulated tier that has started and distributed some entries."""
    tier = SimulatedFanout(FanoutSize(**size))
    tier.run(12 * SECOND_US)
    issue_purges(tier, 3)
    assert not unsettled(tier), unsettled(tier)
    return tier


def issue_purges(tier: SimulatedFanout, seconds: int, per_s: int = 4) -> None:
    """Issue purges at a constant rate, then wait 4 s until they are done."""
    for _ in range(seconds * per_s):
        tier.purge()
        tier.run(SECOND_US // per_s)
    tier.run(4 * SECOND_US)


def settling_time_s(tier: SimulatedFanout, within_s: int) -> float:
    """Time in seconds until all followers are at the head and hold leases, and the watermark is at the
    head."""
    for tenths in range(10 * within_s):
        if not unsettled(tier):
            return tenths / 10
        tier.run(SECOND_US // 10)
    raise AssertionError(f"not settled after {within_s} s: {unsettled(tier)}")


class Random(unittest.TestCase):
    def test_no_history_breaks_a_rule(self) -> None:
        outcomes = [History(seed).run() for seed in SEEDS]
        self.assertGreater(sum(outcome.faults for outcome in outcomes), 5 * len(SEEDS))
        self.assertGreater(sum(outcome.epochs for outcome in outcomes), len(SEEDS))
        attempts = sum(outcome.attempts for outcome in outcomes)
        unbounded = sum(outcome.unbounded_attempts for outcome in outcomes)
        # if routers held a lease never or always, the test would show nothing
        self.assertTrue(0.5 * attempts < unbounded < 0.99 * attempts, (unbounded, attempts))


class Relays(unittest.TestCase):
    def test_a_relay_killed_with_a_batch_it_has_not_forwarded(self) -> None:
        tier = started_tier(regions=1)
        for _ in range(20):
            tier.purge()
            tier.run(SECOND_US // 7)  # at some of these times it holds a batch that it has not sent on
            tier.kill("R0.1", silently=True)
            tier.run(SECOND_US)
            tier.start("R0.1")
            tier.run(3 * SECOND_US)
        settling_time_s(tier, 30)

    def test_a_relay_paused_and_resumed_with_old_state(self) -> None:
        tier = started_tier(regions=1)
        tier.pause("R0.1", 5 * SECOND_US)
        issue_purges(tier, 8)
        tier.pause("R0.1", 9 * SECOND_US)
        issue_purges(tier, 12)
        settling_time_s(tier, 20)

    def test_routers_leave_a_relay_that_is_disconnected_from_its_source(self) -> None:
        tier = started_tier(regions=1)
        tier.network.cut("S1", "R0.1")
        issue_purges(tier, 12)
        for host, router in tier.routers():
            self.assertEqual(router.copy_age_limit(host.now_us()), 0, host.name)


class Routers(unittest.TestCase):
    def test_a_router_paused_beyond_its_lease_limits_the_copy_age_of_its_attempt(self) -> None:
        tier = started_tier(regions=1)
        host, router = tier.routers()[0]
        tier.pause(host.name, limits.FRESHNESS_LEASE_US + 3 * SECOND_US)
        issue_purges(tier, 1)
        self.assertEqual(router.copy_age_limit(host.now_us()), 0)
        issue_purges(tier, 1)
        self.assertEqual(router.copy_age_limit(host.now_us()), limits.FRESHNESS_LEASE_US)
        settling_time_s(tier, 10)

    def test_one_way_cuts(self) -> None:
        for ends in (("E0.1", "*"), ("*", "E0.1")):
            with self.subTest(ends):
                tier = started_tier(regions=1)
                host, router = next(found for found in tier.routers() if found[0].name == "E0.1")
                tier.network.cut(*ends)
                issue_purges(tier, 11)
                self.assertEqual(router.copy_age_limit(host.now_us()), limits.FRESHNESS_LEASE_US)
                source, process = tier.sources()[0]
                # the watermark no longer waits for E0.1
                self.assertEqual(process.fanout.watermark(source.now_us()), process.log.head)
                tier.network.heal()
                settling_time_s(tier, 20)

    def test_a_slow_reader_delays_only_itself(self) -> None:
        tier = started_tier(regions=1, log_entries=40)
        tier.read_slowly("E0.1", 3 * SECOND_US)
        issue_purges(tier, 20)
        check_bounds(tier)
        host, source = tier.sources()[0]
        others = [router for other, router in tier.routers() if other.name != "E0.1"]
        self.assertEqual({router.follower.applied for router in others}, {source.log.head})
        self.assertEqual(source.fanout.watermark(host.now_us()), source.log.head)
        tier.read_slowly("E0.1", 0)
        settling_time_s(tier, 30)


class Sources(unittest.TestCase):
    def test_a_paused_source_proves_nothing_it_has_not_read(self) -> None:
        tier = started_tier(regions=1)
        for _ in range(3):
            tier.pause("S1", 5 * SECOND_US)
            tier.purge()
            tier.run(5 * SECOND_US)
            tier.network.cut("S1", "*")
            issue_purges(tier, 12)
            tier.network.heal()
            settling_time_s(tier, MAX_RECOVERY_S)

    def test_a_new_source_begins_a_new_epoch_without_the_last_entries(self) -> None:
        tier = started_tier(regions=1)
        for name in ("S1", "S2", "S1"):
            for _ in range(MANY_PURGES):
                tier.purge()
            tier.run(SECOND_US // 2)
            tier.kill("S1")
            tier.kill("S2")
            tier.run(SECOND_US)
            tier.start(name)
            issue_purges(tier, 4)
            settling_time_s(tier, 40)
        self.assertEqual(len(tier.checker.logs), 4)

    def test_of_two_concurrent_sources_only_one_remains(self) -> None:
        tier = started_tier(regions=2)
        for ends in (("region/0", "region/1"), ("region/1", "region/0")):
            tier.network.cut(*ends)
        tier.start("S2")
        issue_purges(tier, 25)
        self.assertEqual(len(tier.sources()), 2)
        epochs = {router.follower.epoch for _, router in tier.routers()}
        self.assertEqual(len(epochs), 2, "each source has followers")
        tier.network.heal()
        settling_time_s(tier, 140)


class Load(unittest.TestCase):
    def test_ten_times_the_rate_while_a_tenth_restarts(self) -> None:
        tier = started_tier(regions=1, routers_per_region=10, log_entries=400)
        for second in range(5):
            for _ in range(MANY_PURGES):
                tier.purge()
                tier.run(SECOND_US // MANY_PURGES)
            tier.kill("E0.1")
            tier.run(SECOND_US // 10 * second)
            tier.start("E0.1")
        settling_time_s(tier, 15)
        (covered_at_us,) = tier.checker.covered_at_us.values()
        (log,) = tier.checker.logs.values()
        self.assertEqual(len(covered_at_us), len(log))

    def test_a_region_disconnected_for_an_hour_recovers_with_few_snapshots(self) -> None:
        tier = started_tier(
            turn_interval_us=400_000, relays_per_region=1, routers_per_region=2, log_entries=200
        )
        disconnected = [name for name in tier.network.hosts if name[1:].startswith("1.")]
        for ends in (("region/0", "region/1"), ("region/1", "region/0")):
            tier.network.cut(*ends)
        for _ in range(360):
            tier.run(9 * SECOND_US)
            tier.purge()
            tier.run(SECOND_US)
        issue_purges(tier, 40, per_s=20)
        check_bounds(tier)
        before = {name: (tier.bytes_sent[name], tier.snapshots_sent[name]) for name in disconnected}
        tier.network.heal()
        settled_s = settling_time_s(tier, 20)
        for name in disconnected:
            spent = tier.bytes_sent[name] - before[name][0]
            snapshots = tier.snapshots_sent[name] - before[name][1]
            self.assertLessEqual(snapshots, 2, name)
            full_size = MESSAGE_BYTES + PURGE_BYTES * 20 * limits.PURGE_RETENTION_US // SECOND_US
            self.assertLess(spent, (snapshots + 1) * full_size, f"{name} in {settled_s} s")
        most_bytes = max(tier.bytes_sent[name] - before[name][0] for name in disconnected)
        print(f"disconnected for an hour: settled in {settled_s} s, sent at most {most_bytes} bytes per host")


class InvariantCheckerChecks(unittest.TestCase):
    def test_it_detects_a_watermark_ahead_of_a_leased_router(self) -> None:
        tier = started_tier(regions=1)
        (epoch,) = tier.checker.watermarks
        tier.checker.watermarks[epoch] += 1
        with self.assertRaisesRegex(RuleBrokenError, "watermark"):
            tier.run(SECOND_US)

    def test_it_detects_a_purge_that_a_leased_router_lacks(self) -> None:
        tier = started_tier(regions=1)
        tier.purge()
        tier.checker.purges.append(tier.change_log.purge("not published"))
        tier.change_log.entries.pop()
        with self.assertRaisesRegex(RuleBrokenError, "bound"):
            tier.run(10 * SECOND_US)


if __name__ == "__main__":
    unittest.main()
