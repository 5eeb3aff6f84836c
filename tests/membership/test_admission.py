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
from tests.membership.helpers import member


class UntrustedDatagramsTest(unittest.TestCase):
    """Datagrams that any host can send to a router."""

    def setUp(self) -> None:
        self.detector = FailureDetector(member("own"), "f", (), 0, random.Random(1))
        self.now = 0

    def receive(self, sender: Member, sequence_number: int = 1, body: object = None, **more: object) -> int:
        self.now += 10_000
        datagram = Datagram("f", sender, sequence_number, 0, body, **more)  # type: ignore[arg-type]
        return len(self.detector.receive(self.now, ("10.0.0.9", 9), datagram))

    def test_a_name_is_admitted_only_once_it_answers_at_its_address(self) -> None:
        self.assertEqual(self.receive(member("a")), 1)
        self.assertEqual(self.detector.view.present_count, 1)
        ping_id = next(iter(self.detector._pings))
        self.receive(member("a"), 2, Ack(ping_id + 1))
        self.assertEqual(self.detector.view.present_count, 1)
        self.receive(member("a"), 3, Ack(ping_id))
        self.assertEqual(self.detector.view.present_count, 2)

    def test_forged_names_cost_a_bounded_number_of_challenges(self) -> None:
        datagrams_sent = sum(self.receive(member(f"n{i}")) for i in range(MAX_UNKNOWN_PEERS * 3))
        self.assertEqual((datagrams_sent, self.detector.view.present_count), (MAX_UNKNOWN_PEERS, 1))

    def test_a_replayed_datagram_does_nothing(self) -> None:
        self.receive(member("a"))
        self.receive(member("a"), 3, Ack(next(iter(self.detector._pings))))
        before = self.detector.counters.replayed
        for sequence_number in (4, 4, 3, 3, 2, 2):
            self.receive(member("a"), sequence_number, Ping(1))
        self.assertEqual(self.detector.counters.replayed, before + 3)

    def test_a_flood_is_dropped_and_counted(self) -> None:
        datagrams_sent = 0
        for sequence_number in range(2000):
            datagram = Datagram("f", member("a"), sequence_number + 1, 0, Ping(1))
            datagrams_sent += len(self.detector.receive(self.now, ("10.0.0.9", 9), datagram))
        self.assertGreater(self.detector.counters.flooded, 1000)
        self.assertLess(datagrams_sent, 500)

    def test_datagrams_of_another_fleet_and_its_own_are_ignored(self) -> None:
        other = Datagram("g", member("a"), 1, 0, Ping(1))
        self.assertEqual(self.detector.receive(1, ("10.0.0.9", 9), other), [])
        self.assertEqual(self.receive(self.detector.view.own, 5, Ping(1)), 0)
        self.assertEqual(self.detector.counters.other_fleet, 1)

    def test_reports_by_unknown_reporters_remove_nobody(self) -> None:
        self.receive(member("a"))
        self.receive(member("a"), 3, Ack(next(iter(self.detector._pings))))
        forged_reports = tuple(SuspicionReport("a", 5, 99, f"unknown{i}") for i in range(9))
        self.receive(member("a"), 4, None, suspicions=forged_reports)
        for round_number in range(200):
            self.now += 100_000
            self.receive(member("a", heartbeat=round_number), 10 + round_number)
            self.detector.tick(self.now)
        self.assertEqual(self.detector.view.members["a"].state, MemberState.ALIVE)


if __name__ == "__main__":
    unittest.main()
