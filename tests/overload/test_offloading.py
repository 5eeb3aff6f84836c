"""When a router offloads requests, and which fraction of them."""

from __future__ import annotations

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from magpieshift.overload.gossip import GOSSIP_INTERVAL_US
from magpieshift.overload.offloading import (
    HIGH_PRESSURE,
    LOW_PRESSURE,
    MAX_NEIGHBOUR_FRACTION,
    MAX_OFFLOAD_FRACTION,
    MIN_BEGIN_INTERVAL_US,
    NeighbourLoad,
    Offloading,
)
from tests.overload.helpers import FEW_EXAMPLES


class OffloadingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = MIN_BEGIN_INTERVAL_US
        self.offloading = Offloading(0)
        self.neighbours: dict[str, object] = {"a": None, "b": None}

    def run_ticks(self, count: int, pressure: float, neighbour_pressure: float | None = 0.1) -> None:
        for _ in range(count):
            self.now += GOSSIP_INTERVAL_US
            if neighbour_pressure is not None:
                for name in self.neighbours:
                    self.offloading.update_neighbour(
                        name, NeighbourLoad(neighbour_pressure, 100.0, False, self.now)
                    )
            self.offloading.tick(self.now, pressure, 200.0, self.neighbours)

    def test_it_begins_after_sustained_pressure_grows_by_steps_and_ends(self) -> None:
        self.run_ticks(2, HIGH_PRESSURE + 0.1)
        self.assertFalse(self.offloading.is_active)
        self.run_ticks(10, HIGH_PRESSURE + 0.1)
        self.assertTrue(self.offloading.is_active)
        self.assertGreater(self.offloading.fraction, 0.0)
        self.run_ticks(30, LOW_PRESSURE - 0.3)
        self.assertEqual((self.offloading.is_active, self.offloading.fraction), (False, 0.0))

    def test_nothing_is_offloaded_where_no_neighbour_has_spare_capacity(self) -> None:
        for neighbour_pressure in (None, LOW_PRESSURE, 1.2):
            with self.subTest(neighbour_pressure):
                self.setUp()
                self.run_ticks(30, 1.5, neighbour_pressure)
                self.assertEqual(self.offloading.fraction, 0.0)
                self.assertFalse(any(self.offloading.should_offload(key, False, False) for key in range(500)))

    def test_a_neighbour_that_claims_to_be_idle_receives_a_bounded_fraction(self) -> None:
        self.neighbours = {"idle": None}
        for _ in range(200):
            self.now += GOSSIP_INTERVAL_US
            self.offloading.update_neighbour("idle", NeighbourLoad(0.0, 1e9, False, self.now))
            self.offloading.tick(self.now, 3.0, 200.0, self.neighbours)
        self.assertLessEqual(self.offloading.fraction, MAX_NEIGHBOUR_FRACTION + 1e-9)

    def test_retries_and_writes_are_not_offloaded_and_the_same_objects_are(self) -> None:
        self.offloading.fraction = 0.3
        rand = random.Random(1)
        keys = [rand.getrandbits(64) for _ in range(2000)]
        offloaded = [key for key in keys if self.offloading.should_offload(key, False, False)]
        self.assertAlmostEqual(len(offloaded) / len(keys), 0.3, delta=0.05)
        self.assertEqual(
            offloaded, [key for key in keys if self.offloading.should_offload(key, False, False)]
        )
        self.assertFalse(any(self.offloading.should_offload(key, True, False) for key in offloaded))
        self.assertFalse(any(self.offloading.should_offload(key, False, True) for key in offloaded))

    @FEW_EXAMPLES
    @given(st.lists(st.floats(0, 3), min_size=1, max_size=300), st.floats(0, 2))
    def test_the_fraction_is_bounded_and_changes_twice_a_minute_at_most(
        self, pressures: list[float], neighbour_pressure: float
    ) -> None:
        offloading, now = Offloading(0), MIN_BEGIN_INTERVAL_US
        start_times_us = []
        for pressure in pressures:
            now += GOSSIP_INTERVAL_US
            offloading.update_neighbour("a", NeighbourLoad(neighbour_pressure, 500.0, False, now))
            if offloading.tick(now, pressure, 200.0, {"a": None}) and offloading.is_active:
                start_times_us.append(now)
            self.assertTrue(0.0 <= offloading.fraction <= MAX_OFFLOAD_FRACTION)
            self.assertLessEqual(offloading.fraction, MAX_NEIGHBOUR_FRACTION + 1e-9)
        self.assertTrue(
            all(
                b - a >= MIN_BEGIN_INTERVAL_US
                for a, b in zip(start_times_us, start_times_us[1:], strict=False)
            )
        )


if __name__ == "__main__":
    unittest.main()
