"""``SequencedLog``: sequence numbers, size limit, and copying from another log."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from magpieshift.relay.errors import DroppedEntriesError, MissingEntriesError
from magpieshift.relay.log import SequencedLog
from tests.relay.simulated_peers import EPOCH, LATER, purge


def filled(count: int, max_entries: int = 100) -> SequencedLog:
    log = SequencedLog(EPOCH, max_entries=max_entries)
    for number in range(1, count + 1):
        log.append(purge(number))
    return log


class Log(unittest.TestCase):
    def test_numbers_begin_at_1_and_the_oldest_are_dropped(self) -> None:
        log = filled(10, max_entries=4)
        self.assertEqual((log.first, log.head), (7, 10))
        self.assertEqual(log.entries_after(6), tuple(map(purge, (7, 8, 9, 10))))
        with self.assertRaises(DroppedEntriesError):
            log.entries_after(5)
        self.assertEqual(log.entries_after(10), ())

    def test_extend_skips_known_entries_and_rejects_a_gap(self) -> None:
        log = filled(5)
        self.assertEqual(log.extend(4, [purge(4), purge(5), purge(6)]), 1)
        self.assertEqual(log.extend(2, [purge(2), purge(3)]), 0, "entries that it already has are skipped")
        with self.assertRaises(MissingEntriesError):
            log.extend(8, [purge(8)])
        self.assertEqual(log.entries_after(0), tuple(purge(number) for number in range(1, 7)))

    def test_it_continues_after_a_snapshot_of_another_epoch(self) -> None:
        log = filled(5)
        log.restart(LATER, 40)
        self.assertEqual((log.epoch, log.first, log.head, log.append(purge(1))), (LATER, 41, 40, 41))
        with self.assertRaises(DroppedEntriesError):
            log.entries_after(5)

    @given(st.integers(0, 40), st.integers(1, 12), st.integers(0, 45), st.integers(0, 45))
    def test_entries_after_returns_a_slice_of_the_appended_entries(
        self, count: int, max_entries: int, after: int, to: int
    ) -> None:
        log = filled(count, max_entries)
        expected = [number for number in range(1, count + 1) if after < number <= to]
        if after + 1 < log.first:
            with self.assertRaises(DroppedEntriesError):
                log.entries_after(after, to)
        else:
            self.assertEqual(log.entries_after(after, to), tuple(map(purge, expected)))


if __name__ == "__main__":
    unittest.main()
