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
RECOVERED_S = 40


def started_world(**size: int) -> SimulatedFanout:
    """A simulated tier that has started and distributed some entries."""
    world = SimulatedFanout(FanoutSize(**size))
    world.run(12 * SECOND_US)
    issue_purges(world, 3)
    assert not unsettled(world), unsettled(world)
    return world


def issue_purges(world: SimulatedFanout, seconds: int, per_s: int = 4) -> None:
    """Issue purges at a constant rate, then wait 4 s until they are done."""
    for _ in range(seconds * per_s):
        world.purge()
        world.run(SECOND_US // per_s)
    world.run(4 * SECOND_US)


def settling_time_s(world: SimulatedFanout, within_s: int) -> float:
    """Time in seconds until all followers are at the head and hold leases, and the watermark is at the
    head."""
    for tenths in range(10 * within_s):
        if not unsettled(world):
            return tenths / 10
        world.run(SECOND_US // 10)
    raise AssertionError(f"not settled after {within_s} s: {unsettled(world)}")


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
        world = started_world(regions=1)
        for _ in range(20):
            world.purge()
            world.run(SECOND_US // 7)  # at some of these times it holds a batch that it has not sent on
            world.kill("R0.1", silently=True)
            world.run(SECOND_US)
            world.start("R0.1")
            world.run(3 * SECOND_US)
        settling_time_s(world, 30)

    def test_a_relay_paused_and_resumed_with_old_state(self) -> None:
        world = started_world(regions=1)
        world.pause("R0.1", 5 * SECOND_US)
        issue_purges(world, 8)
        world.pause("R0.1", 9 * SECOND_US)
        issue_purges(world, 12)
        settling_time_s(world, 20)

    def test_routers_leave_a_relay_that_is_disconnected_from_its_source(self) -> None:
        world = started_world(regions=1)
        world.network.cut("S1", "R0.1")
        issue_purges(world, 12)
        for host, router in world.routers():
            self.assertEqual(router.copy_age_limit(host.now_us()), 0, host.name)


class Routers(unittest.TestCase):
    def test_a_router_paused_beyond_its_lease_limits_the_copy_age_of_its_attempt(self) -> None:
        world = started_world(regions=1)
        host, router = world.routers()[0]
        world.pause(host.name, limits.FRESHNESS_LEASE_US + 3 * SECOND_US)
        issue_purges(world, 1)
        self.assertEqual(router.copy_age_limit(host.now_us()), 0)
        issue_purges(world, 1)
        self.assertEqual(router.copy_age_limit(host.now_us()), limits.FRESHNESS_LEASE_US)
        settling_time_s(world, 10)

    def test_one_way_cuts(self) -> None:
        for ends in (("E0.1", "*"), ("*", "E0.1")):
            with self.subTest(ends):
                world = started_world(regions=1)
                host, router = next(found for found in world.routers() if found[0].name == "E0.1")
                world.network.cut(*ends)
                issue_purges(world, 11)
                self.assertEqual(router.copy_age_limit(host.now_us()), limits.FRESHNESS_LEASE_US)
                source, process = world.sources()[0]
                # the watermark no longer waits for E0.1
                self.assertEqual(process.fanout.watermark(source.now_us()), process.log.head)
                world.network.heal()
                settling_time_s(world, 20)

    def test_a_slow_reader_delays_only_itself(self) -> None:
        world = started_world(regions=1, log_entries=40)
        world.read_slowly("E0.1", 3 * SECOND_US)
        issue_purges(world, 20)
        check_bounds(world)
        host, source = world.sources()[0]
        others = [router for other, router in world.routers() if other.name != "E0.1"]
        self.assertEqual({router.follower.applied for router in others}, {source.log.head})
        self.assertEqual(source.fanout.watermark(host.now_us()), source.log.head)
        world.read_slowly("E0.1", 0)
        settling_time_s(world, 30)


class Sources(unittest.TestCase):
    def test_a_paused_source_proves_nothing_it_has_not_read(self) -> None:
        world = started_world(regions=1)
        for _ in range(3):
            world.pause("S1", 5 * SECOND_US)
            world.purge()
            world.run(5 * SECOND_US)
            world.network.cut("S1", "*")
            issue_purges(world, 12)
            world.network.heal()
            settling_time_s(world, RECOVERED_S)

    def test_a_new_source_begins_a_new_epoch_without_the_last_entries(self) -> None:
        world = started_world(regions=1)
        for name in ("S1", "S2", "S1"):
            for _ in range(MANY_PURGES):
                world.purge()
            world.run(SECOND_US // 2)
            world.kill("S1")
            world.kill("S2")
            world.run(SECOND_US)
            world.start(name)
            issue_purges(world, 4)
            settling_time_s(world, 40)
        self.assertEqual(len(world.checker.logs), 4)

    def test_of_two_concurrent_sources_only_one_remains(self) -> None:
        world = started_world(regions=2)
        for ends in (("region/0", "region/1"), ("region/1", "region/0")):
            world.network.cut(*ends)
        world.start("S2")
        issue_purges(world, 25)
        self.assertEqual(len(world.sources()), 2)
        epochs = {router.follower.epoch for _, router in world.routers()}
        self.assertEqual(len(epochs), 2, "each source has followers")
        world.network.heal()
        settling_time_s(world, 140)


class Load(unittest.TestCase):
    def test_ten_times_the_rate_while_a_tenth_restarts(self) -> None:
        world = started_world(regions=1, routers_per_region=10, log_entries=400)
        for second in range(5):
            for _ in range(MANY_PURGES):
                world.purge()
                world.run(SECOND_US // MANY_PURGES)
            world.kill("E0.1")
            world.run(SECOND_US // 10 * second)
            world.start("E0.1")
        settling_time_s(world, 15)
        (covered_at_us,) = world.checker.covered_at_us.values()
        (log,) = world.checker.logs.values()
        self.assertEqual(len(covered_at_us), len(log))

    def test_a_region_disconnected_for_an_hour_recovers_with_few_snapshots(self) -> None:
        world = started_world(
            turn_interval_us=400_000, relays_per_region=1, routers_per_region=2, log_entries=200
        )
        disconnected = [name for name in world.network.hosts if name[1:].startswith("1.")]
        for ends in (("region/0", "region/1"), ("region/1", "region/0")):
            world.network.cut(*ends)
        for _ in range(360):
            world.run(9 * SECOND_US)
            world.purge()
            world.run(SECOND_US)
        issue_purges(world, 40, per_s=20)
        check_bounds(world)
        before = {name: (world.bytes_sent[name], world.snapshots_sent[name]) for name in disconnected}
        world.network.heal()
        settled_s = settling_time_s(world, 20)
        for name in disconnected:
            spent = world.bytes_sent[name] - before[name][0]
            snapshots = world.snapshots_sent[name] - before[name][1]
            self.assertLessEqual(snapshots, 2, name)
            full_size = MESSAGE_BYTES + PURGE_BYTES * 20 * limits.PURGE_RETENTION_US // SECOND_US
            self.assertLess(spent, (snapshots + 1) * full_size, f"{name} in {settled_s} s")
        most_bytes = max(world.bytes_sent[name] - before[name][0] for name in disconnected)
        print(f"an hour away: {settled_s} s and {most_bytes} bytes")


class InvariantCheckerChecks(unittest.TestCase):
    def test_it_detects_a_watermark_ahead_of_a_leased_router(self) -> None:
        world = started_world(regions=1)
        (epoch,) = world.checker.watermarks
        world.checker.watermarks[epoch] += 1
        with self.assertRaisesRegex(RuleBrokenError, "watermark"):
            world.run(SECOND_US)

    def test_it_detects_a_purge_that_a_leased_router_lacks(self) -> None:
        world = started_world(regions=1)
        world.purge()
        world.checker.purges.append(world.change_log.purge("never told"))
        world.change_log.entries.pop()
        with self.assertRaisesRegex(RuleBrokenError, "bound"):
            world.run(10 * SECOND_US)


if __name__ == "__main__":
    unittest.main()
