"""One router's view: member records, suspicion reports and rejoin damping."""

from __future__ import annotations

import random
import unittest

from magpieshift.membership.member import MAX_MEMBERS, MemberState, SuspicionReport
from magpieshift.membership.member_table import MemberTable
from tests.membership.helpers import member


class MemberTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.view = MemberTable(member("own"), 0)

    def state_of(self, name: str) -> MemberState:
        return self.view.members[name].state

    def test_the_order_in_which_records_come_does_not_matter(self) -> None:
        records = [
            member("a"),
            member("a", heartbeat=3),
            member("a", heartbeat=9, has_left=True),
            member("a", incarnation=6),
            member("b", heartbeat=2),
            member("b", incarnation=5, boot_id=9),
        ]
        final_views = set()
        for seed in range(50):
            view = MemberTable(member("own"), 0)
            view.merge(member("a"), 0, "")
            view.merge(member("b"), 0, "")
            for record in random.Random(seed).sample(records, len(records)):
                view.merge(record, 1, "")
            final_views.add(
                (view.digest, view.members["a"].member, view.members["b"].member, view.members["a"].state)
            )
        self.assertEqual(len(final_views), 1)

    def test_a_suspicion_report_holds_until_a_later_heartbeat_is_known(self) -> None:
        self.view.merge(member("a", heartbeat=4), 0, "")
        self.assertFalse(
            self.view.add_suspicion(SuspicionReport("a", 5, 3, "b")), "a later heartbeat is known already"
        )
        self.assertFalse(
            self.view.add_suspicion(SuspicionReport("a", 4, 9, "b")), "of an earlier incarnation"
        )
        self.assertTrue(self.view.add_suspicion(SuspicionReport("a", 5, 4, "b")))
        self.assertEqual(self.view.under_suspicion, {"a"})
        self.view.merge(member("a", heartbeat=5), 1, "")
        self.assertEqual((self.view.members["a"].reporters, self.view.under_suspicion), ({}, set()))

    def test_a_member_that_left_returns_only_by_a_new_start(self) -> None:
        self.view.merge(member("a"), 0, "")
        self.view.merge(member("a", heartbeat=1, has_left=True), 1, "")
        self.view.merge(member("a", heartbeat=8), 2, "")
        self.assertEqual(self.state_of("a"), MemberState.LEFT)
        self.view.merge(member("a", incarnation=6), 3, "")
        self.assertEqual(self.state_of("a"), MemberState.ALIVE)

    def test_a_member_that_keeps_returning_is_held_back_longer_each_time(self) -> None:
        view, now, heartbeat_number, waits_s = MemberTable(member("a"), 0), 0, 0, []
        view.merge(member("b"), now, "")
        for _ in range(6):
            now += 20_000_000
            view.set_state("b", MemberState.DEAD, now, "")
            began_us = now
            while view.members["b"].state == MemberState.DEAD:
                now, heartbeat_number = now + 1_000_000, heartbeat_number + 1
                view.merge(member("b", heartbeat=heartbeat_number), now, "heard")
            waits_s.append((now - began_us) // 1_000_000 - 1)
        self.assertEqual(waits_s, [0, 0, 5, 10, 20, 40])
        view.set_state("b", MemberState.DEAD, now, "")
        for step in range(30):  # each gap between heartbeats is longer than MAX_HEARTBEAT_GAP_US
            now += 4_000_000
            view.merge(member("b", heartbeat=heartbeat_number + step + 1), now, "heard")
        self.assertEqual(view.members["b"].state, MemberState.DEAD)
        now += 700_000_000  # after REJOIN_MEMORY_US its returns no longer count
        view.merge(member("b", heartbeat=heartbeat_number + 100), now, "heard")
        self.assertEqual(view.members["b"].state, MemberState.ALIVE)

    def test_equal_views_have_equal_digests_and_others_not(self) -> None:
        other = MemberTable(member("a"), 0)
        self.view.merge(member("a"), 0, "")
        other.merge(member("own"), 0, "")
        self.assertEqual(self.view.digest, other.digest)
        other.merge(member("own", incarnation=6), 0, "")
        self.assertNotEqual(self.view.digest, other.digest)

    def test_names_from_the_network_are_bounded(self) -> None:
        for number in range(MAX_MEMBERS + 50):
            self.view.merge(member(f"n{number}"), 0, "")
        self.assertEqual(self.view.present_count, MAX_MEMBERS)
        self.assertGreater(self.view.rejected_records, 0)


if __name__ == "__main__":
    unittest.main()
