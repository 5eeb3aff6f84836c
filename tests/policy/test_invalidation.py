"""Tests of the purge table: compared with a simple model, bounded in size, and equally fast at any purge
rate."""

from __future__ import annotations

import unittest
from typing import NamedTuple

from hypothesis import given
from hypothesis import strategies as st

from magpieshift.policy import invalidation as purges
from magpieshift.policy.events import PurgeReceived, RequestReceived
from magpieshift.policy.router_policy import RouterPolicy
from tests.policy.helpers import settings

DONE_US = 500
KEPT_US = 2 * DONE_US
FRESH_US = 777


class Told(NamedTuple):
    gap_us: int
    key: int
    group: int
    age_us: int


TOLD = st.builds(Told, st.integers(0, 400), st.integers(0, 3), st.integers(0, 2), st.integers(0, 3 * KEPT_US))


def request(key: int, group: int) -> RequestReceived:
    return RequestReceived(1, 0, 0, key, 1_000_000, 0.0, group, 0, False, False)


class Table(unittest.TestCase):
    @given(st.lists(TOLD, max_size=60), st.sampled_from([0, FRESH_US]))
    def test_it_bounds_as_a_table_that_forgets_nothing(self, history: list[Told], fresh_us: int) -> None:
        table: purges.Purges = {}
        everything: list[tuple[int, int, int]] = []
        now_us = 10 * KEPT_US
        for told in history:
            now_us += told.gap_us
            made_us = now_us - told.age_us
            purges.record_purge(table, told.key, told.group, made_us)
            purges.sweep(table, 1, now_us, DONE_US)
            everything.append((told.key, told.group, made_us))
            for key in range(1, 4):
                for group in range(3):
                    made = [
                        at
                        for k, g, at in everything
                        if at >= now_us - KEPT_US and (k == key or (k == 0 and g == group))
                    ]
                    bounds = [max(1, now_us - max(made) - 1)] if made else []
                    bounds += [fresh_us] if fresh_us else []
                    found = purges.max_copy_age_us(table, request(key, group), fresh_us, now_us, DONE_US)
                    self.assertEqual(found, min(bounds, default=0))

    def test_the_table_is_swept_only_when_it_has_doubled(self) -> None:
        """Sweeping the table for each purge would cost four times as much per second at twice the purge
        rate."""
        router = RouterPolicy(settings(), 1)
        kept_s = 2 * router.settings.purge_propagation_us / 1e6
        rate, gone_through, largest = 440, 0, 0
        for number in range(1, 40 * rate):
            before = len(router.purges)
            router.handle(1_000_000_000 + number * 1_000_000 // rate, [PurgeReceived(number, 0, 0)])
            gone_through += len(router.purges) <= before
            largest = max(largest, len(router.purges))
        self.assertLessEqual(1, gone_through)
        self.assertLessEqual(gone_through, 10)
        self.assertLessEqual(largest, 2 * rate * kept_s + 2)


if __name__ == "__main__":
    unittest.main()
