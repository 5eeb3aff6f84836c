"""The coordinator's journal: torn, damaged, locked, and written by an earlier version."""

from __future__ import annotations

import shutil
import tempfile
import unittest
from pathlib import Path

from hypothesis import given, settings
from hypothesis import strategies as st

from magpieshift.rollout import journal
from magpieshift.rollout.errors import JournalError, JournalMismatchError
from magpieshift.rollout.journal import Journal
from magpieshift.rollout.records import RolloutPhase, StepStarted, from_rows, to_row
from magpieshift.rollout.rollout_state import replay
from tests.rollout.pieces import Bench, a_plan

OLD_JOURNALS = Path(__file__).resolve().parent / "journals"


class Journals(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.rows = [{"what": "intent", "step": n, "text": "ä" * n} for n in range(5)]

    def filled(self) -> bytes:
        kept = Journal(self.folder)
        for row in self.rows:
            kept.append(row)
        kept.close()
        return (self.folder / journal.JOURNAL_FILE).read_bytes()

    def test_torn_at_every_byte_it_holds_the_complete_records_and_goes_on(self) -> None:
        data = self.filled()
        for cut in range(len(data)):
            (self.folder / journal.JOURNAL_FILE).write_bytes(data[:cut])
            kept = Journal(self.folder)
            self.assertEqual(kept.rows, self.rows[: len(kept.rows)])
            had = len(kept.rows)
            kept.append({"what": "more"})
            kept.close()
            self.assertEqual(journal.read_rows(self.folder), [*self.rows[:had], {"what": "more"}])

    def test_damage_in_the_middle_is_reported(self) -> None:
        data = bytearray(self.filled())
        data[len(journal.JOURNAL_HEADER) + 20] ^= 1
        (self.folder / journal.JOURNAL_FILE).write_bytes(data)
        with self.assertRaisesRegex(JournalError, "damaged"):
            Journal(self.folder)

    def test_one_at_a_time_and_what_cannot_be_written_is_reported(self) -> None:
        first = Journal(self.folder)
        with self.assertRaisesRegex(JournalError, "in use"):
            Journal(self.folder)
        first.close()
        (self.folder / journal.JOURNAL_FILE).write_bytes(b"something else, long enough")
        with self.assertRaisesRegex(JournalError, "begins with"):
            Journal(self.folder)

    @settings(max_examples=50, deadline=None)
    @given(st.binary(max_size=300))
    def test_any_bytes_behind_are_cut_or_reported(self, junk: bytes) -> None:
        data = journal.JOURNAL_HEADER + journal.encode_row({"what": "begin"})
        try:
            records, whole = journal.parse_journal(data + junk)
        except JournalError:
            return
        self.assertEqual((records[0], whole >= len(data)), ({"what": "begin"}, True))


class EarlierVersion(unittest.TestCase):
    """Resumes rollouts whose coordinator, of version 723f792, was killed midway. That version wrote the
    journals, for the plan in ``pieces``."""

    def opened(self, name: str) -> Journal:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        shutil.copy(OLD_JOURNALS / name, Path(folder.name) / journal.JOURNAL_FILE)
        kept = Journal(folder.name)
        self.addCleanup(kept.close)
        return kept

    def test_a_journal_is_read_and_written_in_its_words(self) -> None:
        for name in ("advancing.log", "rolling-back.log"):
            with self.subTest(name):
                rows = self.opened(name).rows
                records = from_rows(rows)
                self.assertEqual(len(records), len(rows))
                stamped = [
                    to_row(record) | {"at": row["at"]} for record, row in zip(records, rows, strict=True)
                ]
                data = journal.JOURNAL_HEADER + b"".join(map(journal.encode_row, stamped))
                self.assertEqual(data, (OLD_JOURNALS / name).read_bytes())

    def test_one_broken_off_while_it_advanced_goes_on_to_the_end(self) -> None:
        records = from_rows(self.opened("advancing.log").rows)
        state = replay(records)
        self.assertEqual((state.phase, state.stage_index, state.term), (RolloutPhase.ADVANCING, 1, 3))
        self.assertEqual(state.unfinished_step, StepStarted(3, "r3", "v7", 3))
        bench = Bench(a_plan())
        bench.records = list(records)
        bench.term = 3
        bench.labels["r0"] = "v7"
        bench.start()
        bench.run()
        self.assertEqual(bench.coordinator.term, 4)
        self.assertEqual(set(bench.labels.values()), {"v7"})
        steps = [record.step for record in bench.records[len(records) :] if isinstance(record, StepStarted)]
        self.assertEqual(steps, [4, 5, 6])

    def test_one_broken_off_while_it_was_rolled_back_is_rolled_back(self) -> None:
        records = from_rows(self.opened("rolling-back.log").rows)
        self.assertIs(replay(records).phase, RolloutPhase.ROLLING_BACK)
        bench = Bench(a_plan())
        bench.records = list(records)
        bench.term = 3
        bench.labels |= {"r0": "v7", "r3": "v7"}
        bench.start()
        bench.run()
        self.assertEqual(set(bench.labels.values()), {"v6"})
        self.assertIs(replay(bench.records).phase, RolloutPhase.ENDED)

    def test_it_is_resumed_for_its_own_plan_alone(self) -> None:
        bench = Bench(a_plan(name="other"))
        bench.records = from_rows(self.opened("advancing.log").rows)
        bench.term = 3
        with self.assertRaises(JournalMismatchError):
            bench.start()

    def test_a_record_torn_off_at_its_end_is_cut_away(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / journal.JOURNAL_FILE
        data = (OLD_JOURNALS / "advancing.log").read_bytes()
        path.write_bytes(data[:-5])
        kept = Journal(folder.name)
        kept.close()
        self.assertEqual([row["what"] for row in kept.rows][-2:], ["done", "passed"])
        self.assertTrue(data.startswith(path.read_bytes()))


if __name__ == "__main__":
    unittest.main()
