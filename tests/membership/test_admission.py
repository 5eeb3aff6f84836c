"""Untrusted datagrams: unknown peers, replays, floods and forged reports."""

from __future__ import annotations

import random
import unittest

from magpieshift.membership.failure_detector import FailureDetector
from magpieshift.membership.member import Member, MemberState, SuspicionReport
from magpieshift.membership.messages import (
    Ack,
    Datagram,
    Ping,
)
from magpieshift.membership.unknown_peers import MAX_UNKNOWN_PEERS
from tests.membership.pieces import member


class UntrustedDatagramsTest(unittest.TestCase):
    """Datagrams that any host can send to a router."""

    def setUp(self) -> None:
        self.detector = FailureDetector(member("own"), "f", (), 0, random.Random(1))
        self.now = 0

    def say(self, sender: Member, serial: int = 1, body: object = None, **more: object) -> int:
        self.now += 10_000
        datagram = Datagram("f", sender, serial, 0, body, **more)  # type: ignore[arg-type]
        return len(self.detector.receive(self.now, ("10.0.0.9", 9), datagram))

    def test_a_name_is_admitted_only_once_it_answers_at_its_address(self) -> None:
        self.assertEqual(self.say(member("a")), 1)
        self.assertEqual(self.detector.view.present_count, 1)
        number = next(iter(self.detector._pings))
        self.say(member("a"), 2, Ack(number + 1))
        self.assertEqual(self.detector.view.present_count, 1)
        self.say(member("a"), 3, Ack(number))
        self.assertEqual(self.detector.view.present_count, 2)

    def test_forged_names_cost_a_bounded_number_of_challenges(self) -> None:
        answers = sum(self.say(member(f"n{i}")) for i in range(MAX_UNKNOWN_PEERS * 3))
        self.assertEqual((answers, self.detector.view.present_count), (MAX_UNKNOWN_PEERS, 1))

    def test_a_replayed_datagram_does_nothing(self) -> None:
        self.say(member("a"))
        self.say(member("a"), 3, Ack(next(iter(self.detector._pings))))
        before = self.detector.counters.replayed
        for serial in (4, 4, 3, 3, 2, 2):
            self.say(member("a"), serial, Ping(1))
        self.assertEqual(self.detector.counters.replayed, before + 3)

    def test_a_flood_is_dropped_and_counted(self) -> None:
        answers = 0
        for serial in range(2000):
            datagram = Datagram("f", member("a"), serial + 1, 0, Ping(1))
            answers += len(self.detector.receive(self.now, ("10.0.0.9", 9), datagram))
        self.assertGreater(self.detector.counters.flooded, 1000)
        self.assertLess(answers, 500)

    def test_datagrams_of_another_fleet_and_its_own_are_ignored(self) -> None:
        other = Datagram("g", member("a"), 1, 0, Ping(1))
        self.assertEqual(self.detector.receive(1, ("10.0.0.9", 9), other), [])
        self.assertEqual(self.say(self.detector.view.own, 5, Ping(1)), 0)
        self.assertEqual(self.detector.counters.other_fleet, 1)

    def test_reports_by_unknown_reporters_remove_nobody(self) -> None:
        self.say(member("a"))
        self.say(member("a"), 3, Ack(next(iter(self.detector._pings))))
        said = tuple(SuspicionReport("a", 5, 99, f"liar{i}") for i in range(9))
        self.say(member("a"), 4, None, suspicions=said)
        for turn in range(200):
            self.now += 100_000
            self.say(member("a", heartbeat=turn), 10 + turn)
            self.detector.tick(self.now)
        self.assertEqual(self.detector.view.members["a"].state, MemberState.ALIVE)


if __name__ == "__main__":
    unittest.main()
