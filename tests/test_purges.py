"""The table of purges: against a plain model, bounded, and as quick at any rate."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from molecleat import interface as api
from molecleat import purges
from molecleat.control import Router
from tests.helpers import settings

KEPT_US = 1000
TOLD = st.tuples(st.integers(0, 400), st.integers(0, 3), st.integers(0, 2), st.integers(0, 3 * KEPT_US))


class Table(unittest.TestCase):
    @given(st.lists(TOLD, max_size=60))
    def test_it_says_what_a_table_that_forgets_nothing_says(
        self, told: list[tuple[int, int, int, int]]
    ) -> None:
        table: purges.Purges = {}
        everything: list[tuple[int, int, int]] = []
        now_us = 10 * KEPT_US
        for gap_us, key, group, age_us in told:
            now_us += gap_us
            past_us = now_us - KEPT_US
            purges.add(table, key, group, now_us - age_us)
            purges.expire(table, past_us)
            everything.append((key, group, now_us - age_us))
            for asked_key in range(1, 4):
                for asked_group in range(3):
                    concerned = ((asked_key, None), (0, asked_group))
                    made = [
                        at for k, g, at in everything if at >= past_us and (k, None if k else g) in concerned
                    ]
                    found = purges.last(table, asked_key, asked_group, past_us)
                    self.assertEqual(found, max(made, default=None))

    def test_the_module_goes_through_it_only_when_it_has_doubled(self) -> None:
        """It was gone through for each purge, which cost four times as much a second at twice the rate."""
        router = Router(settings(), 1)
        kept_us = 2 * router.cfg.purge_done_us
        rate, gone_through, largest = 440, 0, 0
        for number in range(1, 40 * rate):
            before = len(router.purges)
            router.handle(1_000_000_000 + number * 1_000_000 // rate, [api.Purged(number, 0, 0)])
            gone_through += len(router.purges) <= before
            largest = max(largest, len(router.purges))
        self.assertLessEqual(1, gone_through)
        self.assertLessEqual(gone_through, 10)
        self.assertLessEqual(largest, 2 * rate * kept_us // 1_000_000 + 2)


if __name__ == "__main__":
    unittest.main()
