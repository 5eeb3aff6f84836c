"""What was mended for one deployment holds for the other: the module on the settings of both, in small.

The figures are those of the two sites' pages, each at one value of its range; nothing depends on a name.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from typing import Any

from molecleat import interface as api
from molecleat.interface import Outcome
from molecleat.records import FILL
from tests.helpers import (
    CACHE,
    CACHES,
    ORIGIN,
    PARENT,
    PARENTS,
    SECOND,
    THE_ORIGIN,
    World,
    a_class,
    entry,
    settings,
)

MS = 1_000
LINK = 1_000.0  # KB a second
FREE = {"aim_us": 500 * MS, "aim_stretch": 2.0, "deadline_us": 5 * SECOND, "worth": 2.0}
WRITE = {
    "effect": api.Effect.KEYED, "aim_us": 700 * MS, "aim_stretch": 0.0, "deadline_us": 3 * SECOND,
    "dedup_us": 3 * SECOND, "worth": 3.0, "write": True,
}  # fmt: skip
SHARED = {"joins_fills": False, "fall_multiple": 2.5, "parent_fall_multiple": 2.0, "max_attempts": 8}
DEPLOYMENTS: dict[str, tuple[list[api.RequestClass], dict[str, Any]]] = {
    "shops": (
        [a_class(**FREE), a_class(**WRITE)],
        SHARED | {
            "may_probe": True, "second_copies": False, "notes": True, "cold_from": 0.18, "fall_us": SECOND,
            "cold_us": 18 * SECOND, "parent_cold_from": 0.097, "parent_cold_us": 19 * SECOND,
            "purge_grace_us": 500 * MS,
        },
    ),
    "branches": (
        [
            a_class(**FREE | {"deadline_us": 6 * SECOND}),
            a_class(**WRITE | {"aim_us": 600 * MS}),
            a_class(**FREE | {"aim_us": 400 * MS, "deadline_us": 3 * SECOND, "worth": 1.0}),
        ],
        SHARED | {
            "may_probe": False, "second_copies": True, "notes": False, "cold_from": 0.2,
            "fall_us": 2 * SECOND, "cold_us": 16 * SECOND, "parent_cold_from": 0.063,
            "parent_cold_us": 21 * SECOND, "purge_grace_us": 300 * MS, "max_retry_after_us": 2 * SECOND,
        },
    ),
}  # fmt: skip


class Both(unittest.TestCase):
    def each(self, **changes: Any) -> Iterator[World]:
        for name, (classes, figures) in DEPLOYMENTS.items():
            with self.subTest(name):
                yield World(settings(*classes, **figures | changes))

    def sent(self, action: api.Action) -> api.Get:
        assert isinstance(action, api.Get), action
        return action

    def test_fills_are_capped_held_woken_and_spill(self) -> None:
        for world in self.each():
            fills = [world.fill() for _ in range(40)]
            sources = [f.source for f in fills if isinstance(f, api.Get)]
            self.assertEqual((len(set(sources)), sources[-1]), (3, THE_ORIGIN))
            held = [type(f) for f in fills]
            self.assertIn(api.Log, held)  # in a queue
            self.assertIn(api.Refuse, held)
            self.assertTrue(world.end(fills[0], Outcome.OK, 1, after=100 * MS))

    def test_writes_and_fills_do_not_wait_for_each_other(self) -> None:
        for world in self.each():
            while not isinstance(world.fill(), api.Refuse):
                pass
            self.assertIsInstance(world.ask(cls=1)[0], api.Send)

    def test_what_a_parent_holds_is_had_while_fills_wait(self) -> None:
        for world in self.each():
            home = self.sent([world.fill() for _ in range(4)][0])
            (asked,) = world.ask()
            (look,) = world.end(asked, Outcome.MISS, 0)
            self.assertTrue(self.sent(look).mode & api.Mode.SOURCE_HELD_ONLY)
            self.assertEqual(self.sent(look).source, home.source)

    def test_a_full_link_in_refuses_at_once(self) -> None:
        for world in self.each(zone_link_kb_per_s=(0.0, LINK)):
            fills = [world.fill(key, size_kb=300.0) for key in range(1, 12)]
            self.assertIsInstance(fills[0], api.Get)
            self.assertIsInstance(fills[-1], api.Refuse)
            self.assertIsInstance(world.fill(50, size_kb=1.0), api.Get)

    def test_a_late_fill_halves_the_cap_down_to_one(self) -> None:
        for world in self.each():
            fill = self.sent(world.fill(5, size_kb=10.0))
            source = world.router.stores[fill.source]
            world.end(fill, Outcome.OK, 1)
            source.peaks[FILL] = (8, world.now)
            caps = []
            for _ in range(4):
                (asked,) = world.ask(5, size_kb=10.0)
                (fill,) = map(self.sent, world.end(asked, Outcome.MISS, 0))
                world.end(fill, Outcome.OK, 1, after=2 * SECOND, note=api.Note.FILLED)
                caps.append(world.router._cap(source, FILL))
            self.assertEqual(caps, [5, 3, 2, 1])

    def test_a_hot_part_is_passed_on(self) -> None:
        for world in self.each():
            stores = {a.store for _ in range(12) for a in world.ask(key=9) if isinstance(a, api.Get)}
            self.assertGreater(len(stores), 1)

    def test_no_second_attempt_goes_out_while_one_is(self) -> None:
        """Not even where the settings allow it: copies earned nothing (findings)."""
        for world in self.each():
            (asked,) = world.ask()
            for _ in range(30):
                actions = world.tell(api.Elapsed(0), after=100 * MS)
                self.assertEqual([a for a in actions if isinstance(a, api.Get | api.Send)], [])

    def test_a_time_to_return_is_of_use_and_drawn(self) -> None:
        for world in self.each():
            while not isinstance(fill := world.fill(), api.Refuse):
                pass
            times = {fill.retry_after_us}
            for _ in range(8):
                again = world.fill()
                assert isinstance(again, api.Refuse)
                times.add(again.retry_after_us)
            self.assertGreater(len(times), 4)
            self.assertLessEqual(max(times), world.router.cfg.classes[0].aim_us)  # half of what the mean has

    def test_a_drained_store_gets_nothing_as_cache_or_source(self) -> None:
        for world in self.each():
            gone = [entry(CACHES[0], CACHE), entry(PARENTS[0], PARENT)]
            world.tell(api.StoreList(api.ListKind.DELTA, 2, tuple(
                api.Entry(e.store, e.zone, e.kind, e.cell, api.Phase.DRAINING, e.weight, 0) for e in gone
            )))  # fmt: skip
            for key in range(60):
                fill = world.fill(key)
                if isinstance(fill, api.Get):
                    self.assertNotIn(CACHES[0], (fill.store, fill.source))
                    self.assertNotIn(PARENTS[0], (fill.store, fill.source))
                    world.end(fill, Outcome.OK, 1, after=50 * MS)

    def test_no_copy_from_before_a_purge(self) -> None:
        for world in self.each():
            world.tell(api.Purged(5, 0, 40 * MS))
            (asked,) = world.ask(5)
            self.assertLessEqual(self.sent(asked).age_us, 40 * MS)

    def test_routers_together_keep_a_new_stores_budget(self) -> None:
        """Work sent within the rule's time by all routers of the zone, as if all had their whole part."""
        for world in self.each(zone_routers=(0, 4), routers=4):
            cfg = world.router.cfg
            new = entry(CACHES[0], CACHE, up_since_us=world.now)
            world.tell(api.StoreList(api.ListKind.DELTA, 2, (new,)))
            sent = 0
            for key in range(4_000):
                world.now += cfg.fall_us // 4_000
                for action in world.ask(key, size_kb=167.0):
                    if isinstance(action, api.Get):
                        sent += action.store == new.store
                        world.end(action, Outcome.OK, 0, after=0)
            self.assertGreater(sent, 0)
            work_us = 4 * sent * world.router.work_us[0]
            bears_us = new.weight * cfg.fall_multiple * cfg.cold_from * cfg.fall_us
            self.assertLess(work_us, bears_us)

    def test_an_origin_that_turns_away_is_left_without_being_called_ill(self) -> None:
        for world in self.each():
            listed = (entry(THE_ORIGIN, ORIGIN), *(entry(c, CACHE) for c in CACHES))
            world.tell(api.StoreList(api.ListKind.FULL, 2, listed))
            fill = self.sent(world.fill())
            self.assertEqual(fill.source, THE_ORIGIN)
            world.end(fill, Outcome.FULL, 1, after=30 * MS)
            self.assertLess(world.router.stores[THE_ORIGIN].bad, 0.4)


if __name__ == "__main__":
    unittest.main()
