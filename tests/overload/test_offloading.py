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
from tests.overload.pieces import FEW


class OffloadingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = MIN_BEGIN_INTERVAL_US
        self.offloading = Offloading(0)
        self.mates: dict[str, object] = {"a": None, "b": None}

    def turns(self, count: int, pressure: float, room: float | None = 0.1) -> None:
        for _ in range(count):
            self.now += GOSSIP_INTERVAL_US
            if room is not None:
                for name in self.mates:
                    self.offloading.update_neighbour(name, NeighbourLoad(room, 100.0, False, self.now))
            self.offloading.tick(self.now, pressure, 200.0, self.mates)

    def test_it_begins_after_sustained_pressure_grows_by_steps_and_ends(self) -> None:
        self.turns(2, HIGH_PRESSURE + 0.1)
        self.assertFalse(self.offloading.is_active)
        self.turns(10, HIGH_PRESSURE + 0.1)
        self.assertTrue(self.offloading.is_active)
        self.assertGreater(self.offloading.fraction, 0.0)
        self.turns(30, LOW_PRESSURE - 0.3)
        self.assertEqual((self.offloading.is_active, self.offloading.fraction), (False, 0.0))

    def test_nothing_is_offloaded_where_no_neighbour_has_spare_capacity(self) -> None:
        for room in (None, LOW_PRESSURE, 1.2):
            with self.subTest(room):
                self.setUp()
                self.turns(30, 1.5, room)
                self.assertEqual(self.offloading.fraction, 0.0)
                self.assertFalse(any(self.offloading.should_offload(key, False, False) for key in range(500)))

    def test_a_neighbour_that_claims_to_be_idle_gets_a_bounded_part(self) -> None:
        self.mates = {"liar": None}
        for _ in range(200):
            self.now += GOSSIP_INTERVAL_US
            self.offloading.update_neighbour("liar", NeighbourLoad(0.0, 1e9, False, self.now))
            self.offloading.tick(self.now, 3.0, 200.0, self.mates)
        self.assertLessEqual(self.offloading.fraction, MAX_NEIGHBOUR_FRACTION + 1e-9)

    def test_retries_and_writes_stay_and_the_same_objects_go(self) -> None:
        self.offloading.fraction = 0.3
        rand = random.Random(1)
        keys = [rand.getrandbits(64) for _ in range(2000)]
        went = [key for key in keys if self.offloading.should_offload(key, False, False)]
        self.assertAlmostEqual(len(went) / len(keys), 0.3, delta=0.05)
        self.assertEqual(went, [key for key in keys if self.offloading.should_offload(key, False, False)])
        self.assertFalse(any(self.offloading.should_offload(key, True, False) for key in went))
        self.assertFalse(any(self.offloading.should_offload(key, False, True) for key in went))

    @FEW
    @given(st.lists(st.floats(0, 3), min_size=1, max_size=300), st.floats(0, 2))
    def test_the_fraction_is_bounded_and_changes_twice_a_minute_at_most(
        self, pressures: list[float], room: float
    ) -> None:
        offloading, now = Offloading(0), MIN_BEGIN_INTERVAL_US
        begun = []
        for pressure in pressures:
            now += GOSSIP_INTERVAL_US
            offloading.update_neighbour("a", NeighbourLoad(room, 500.0, False, now))
            if offloading.tick(now, pressure, 200.0, {"a": None}) and offloading.is_active:
                begun.append(now)
            self.assertTrue(0.0 <= offloading.fraction <= MAX_OFFLOAD_FRACTION)
            self.assertLessEqual(offloading.fraction, MAX_NEIGHBOUR_FRACTION + 1e-9)
        self.assertTrue(all(b - a >= MIN_BEGIN_INTERVAL_US for a, b in zip(begun, begun[1:], strict=False)))


if __name__ == "__main__":
    unittest.main()
