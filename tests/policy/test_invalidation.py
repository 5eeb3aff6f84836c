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

PROPAGATION_US = 500
RETENTION_US = 2 * PROPAGATION_US
CLASS_MAX_AGE_US = 777


class PurgeNotice(NamedTuple):
    gap_us: int
    key: int
    group: int
    age_us: int


PURGE_NOTICES = st.builds(
    PurgeNotice, st.integers(0, 400), st.integers(0, 3), st.integers(0, 2), st.integers(0, 3 * RETENTION_US)
)


def request(key: int, group: int) -> RequestReceived:
    return RequestReceived(1, 0, 0, key, 1_000_000, 0.0, group, 0, False, False)


class PurgeTableTest(unittest.TestCase):
    @given(st.lists(PURGE_NOTICES, max_size=60), st.sampled_from([0, CLASS_MAX_AGE_US]))
    def test_it_gives_the_same_bounds_as_a_list_of_all_purges(
        self, history: list[PurgeNotice], class_max_age_us: int
    ) -> None:
        table: purges.Purges = {}
        all_purges: list[tuple[int, int, int]] = []
        now_us = 10 * RETENTION_US
        for notice in history:
            now_us += notice.gap_us
            made_us = now_us - notice.age_us
            purges.record_purge(table, notice.key, notice.group, made_us)
            purges.sweep(table, 1, now_us, PROPAGATION_US)
            all_purges.append((notice.key, notice.group, made_us))
            for key in range(1, 4):
                for group in range(3):
                    made = [
                        at
                        for k, g, at in all_purges
                        if at >= now_us - RETENTION_US and (k == key or (k == 0 and g == group))
                    ]
                    bounds = [max(1, now_us - max(made) - 1)] if made else []
                    bounds += [class_max_age_us] if class_max_age_us else []
                    found = purges.max_copy_age_us(
                        table, request(key, group), class_max_age_us, now_us, PROPAGATION_US
                    )
                    self.assertEqual(found, min(bounds, default=0))

    def test_the_table_is_swept_only_when_it_has_doubled(self) -> None:
        """Sweeping the table for each purge would cost four times as much per second at twice the purge
        rate."""
        router = RouterPolicy(settings(), 1)
        retention_s = 2 * router.settings.purge_propagation_us / 1e6
        rate, sweeps, largest = 440, 0, 0
        for number in range(1, 40 * rate):
            before = len(router.purges)
            router.handle(1_000_000_000 + number * 1_000_000 // rate, [PurgeReceived(number, 0, 0)])
            sweeps += len(router.purges) <= before
            largest = max(largest, len(router.purges))
        self.assertLessEqual(1, sweeps)
        self.assertLessEqual(sweeps, 10)
        self.assertLessEqual(largest, 2 * rate * retention_s + 2)


if __name__ == "__main__":
    unittest.main()
