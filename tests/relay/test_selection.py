"""Ranking of relays, failover and return."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from magpieshift.relay.limits import (
    FAILOVER_INITIAL_BACKOFF_S,
    MAX_FAILOVER_BACKOFF_S,
    MAX_RETURN_DELAY_S,
    MIN_RETURN_DELAY_S,
)
from magpieshift.relay.selection import RelayAddress, RelaySelection, rank_relays
from tests.relay.simulated_peers import SECOND

RELAYS = [RelayAddress(f"relay-{number}", f"region-{number // 2}", "127.0.0.1:1") for number in range(20)]


class Ranking(unittest.TestCase):
    def test_own_region_comes_first_and_the_input_order_does_not_matter(self) -> None:
        ranked = rank_relays("router-7", "region-3", RELAYS)
        self.assertEqual({relay.region for relay in ranked[:2]}, {"region-3"})
        self.assertEqual(ranked, rank_relays("router-7", "region-3", reversed(RELAYS)))
        self.assertEqual([relay.name for relay in ranked[:3]], ["relay-6", "relay-7", "relay-16"], "stable")

    def test_followers_spread_evenly_and_a_removed_relay_moves_only_its_own(self) -> None:
        names = [f"router-{number}" for number in range(480)]
        firsts = {name: rank_relays(name, "region-0", RELAYS)[0] for name in names}
        self.assertTrue(all(180 <= count <= 300 for count in Counter(firsts.values()).values()))
        left = [relay for relay in RELAYS if relay.name != "relay-12"]
        for name in names:
            before = [relay for relay in rank_relays(name, "region-0", RELAYS) if relay.name != "relay-12"]
            self.assertEqual(list(rank_relays(name, "region-0", left)), before)


class Selection(unittest.TestCase):
    def setUp(self) -> None:
        self.ranked = rank_relays("router-1", "region-1", RELAYS)
        self.selection = RelaySelection(self.ranked, random.Random(1))

    def test_failures_try_all_relays_with_growing_jittered_delays(self) -> None:
        tried, waits = [], []
        for _ in range(len(RELAYS)):
            tried.append(self.selection.current)
            waits.append(self.selection.record_failure(0.0))
        self.assertEqual(tuple(tried), self.ranked)
        self.assertEqual(self.selection.current, self.ranked[0])
        self.assertLessEqual(waits[0], FAILOVER_INITIAL_BACKOFF_S)
        self.assertLessEqual(max(waits), MAX_FAILOVER_BACKOFF_S)
        self.assertGreater(max(waits), 4 * FAILOVER_INITIAL_BACKOFF_S)

    def test_after_a_stable_stream_the_first_relay_is_tried_after_a_short_delay(self) -> None:
        for _ in range(5):
            self.selection.record_failure(0.0)
        self.assertLessEqual(self.selection.record_failure(60.0), FAILOVER_INITIAL_BACKOFF_S)
        self.assertEqual(self.selection.current, self.ranked[0])

    def test_it_returns_after_a_random_delay(self) -> None:
        returns = []
        for _ in range(200):
            self.selection.record_failure(0.0)
            self.selection.record_connected(0)
            self.assertIsNone(self.selection.return_candidate(int(MIN_RETURN_DELAY_S * SECOND) - 1))
            second = next(s for s in range(100) if self.selection.return_candidate(s * SECOND))
            returns.append(second)
            self.selection.switch_to(self.ranked[0], second * SECOND)
            self.assertIsNone(self.selection.return_candidate(10**12), "no relay ranks higher")
        self.assertLessEqual(max(returns), MAX_RETURN_DELAY_S)
        self.assertGreater(max(returns) - min(returns), 40, "followers return spread over time")

    def test_failed_return_candidates_are_tried_in_turn(self) -> None:
        for _ in range(3):
            self.selection.record_failure(0.0)
        self.selection.record_connected(0)
        tried = []
        for attempt in range(1, 5):
            now_us = attempt * 100 * SECOND
            tried.append(self.selection.return_candidate(now_us))
            self.selection.reject_candidate(now_us)
            self.assertIsNone(self.selection.return_candidate(now_us))
        self.assertEqual(tried, [*self.ranked[:3], self.ranked[0]])
        self.assertEqual(self.selection.current, self.ranked[3], "the current relay is kept meanwhile")

    def test_an_empty_list_of_relays_is_rejected(self) -> None:
        with self.assertRaises(ValueError):
            RelaySelection((), random.Random(1))


if __name__ == "__main__":
    unittest.main()
