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
from tests.rollout.coordinator_harness import CoordinatorHarness, make_plan

OLD_JOURNALS = Path(__file__).resolve().parent / "journals"


class JournalFile(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.rows = [{"what": "intent", "step": n, "text": "ä" * n} for n in range(5)]

    def write_journal(self) -> bytes:
        opened_journal = Journal(self.folder)
        for row in self.rows:
            opened_journal.append(row)
        opened_journal.close()
        return (self.folder / journal.JOURNAL_FILE).read_bytes()

    def test_a_journal_torn_at_any_byte_keeps_its_complete_records_and_can_be_appended(self) -> None:
        data = self.write_journal()
        for cut in range(len(data)):
            (self.folder / journal.JOURNAL_FILE).write_bytes(data[:cut])
            opened_journal = Journal(self.folder)
            self.assertEqual(opened_journal.rows, self.rows[: len(opened_journal.rows)])
            count = len(opened_journal.rows)
            opened_journal.append({"what": "more"})
            opened_journal.close()
            self.assertEqual(journal.read_rows(self.folder), [*self.rows[:count], {"what": "more"}])

    def test_damage_in_the_middle_is_reported(self) -> None:
        data = bytearray(self.write_journal())
        data[len(journal.JOURNAL_HEADER) + 20] ^= 1
        (self.folder / journal.JOURNAL_FILE).write_bytes(data)
        with self.assertRaisesRegex(JournalError, "damaged"):
            Journal(self.folder)

    def test_a_locked_folder_and_a_foreign_file_are_reported(self) -> None:
        first = Journal(self.folder)
        with self.assertRaisesRegex(JournalError, "in use"):
            Journal(self.folder)
        first.close()
        (self.folder / journal.JOURNAL_FILE).write_bytes(b"something else, long enough")
        with self.assertRaisesRegex(JournalError, "begins with"):
            Journal(self.folder)

    @settings(max_examples=50, deadline=None)
    @given(st.binary(max_size=300))
    def test_any_trailing_bytes_are_truncated_or_reported(self, junk: bytes) -> None:
        data = journal.JOURNAL_HEADER + journal.encode_row({"what": "begin"})
        try:
            records, end = journal.parse_journal(data + junk)
        except JournalError:
            return
        self.assertEqual((records[0], end >= len(data)), ({"what": "begin"}, True))


class EarlierVersion(unittest.TestCase):
    """Resumes rollouts whose coordinator, of version 723f792, was killed midway. That version wrote the
    journals, for the plan in ``coordinator_harness``."""

    def open_old_journal(self, name: str) -> Journal:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        shutil.copy(OLD_JOURNALS / name, Path(folder.name) / journal.JOURNAL_FILE)
        opened_journal = Journal(folder.name)
        self.addCleanup(opened_journal.close)
        return opened_journal

    def test_a_journal_of_an_earlier_version_is_read_and_rewritten_byte_for_byte(self) -> None:
        for name in ("advancing.log", "rolling-back.log"):
            with self.subTest(name):
                rows = self.open_old_journal(name).rows
                records = from_rows(rows)
                self.assertEqual(len(records), len(rows))
                rows_with_time = [
                    to_row(record) | {"at": row["at"]} for record, row in zip(records, rows, strict=True)
                ]
                data = journal.JOURNAL_HEADER + b"".join(map(journal.encode_row, rows_with_time))
                self.assertEqual(data, (OLD_JOURNALS / name).read_bytes())

    def test_an_interrupted_advancing_rollout_is_resumed_to_the_end(self) -> None:
        records = from_rows(self.open_old_journal("advancing.log").rows)
        state = replay(records)
        self.assertEqual((state.phase, state.stage_index, state.term), (RolloutPhase.ADVANCING, 1, 3))
        self.assertEqual(state.unfinished_step, StepStarted(3, "r3", "v7", 3))
        harness = CoordinatorHarness(make_plan())
        harness.records = list(records)
        harness.term = 3
        harness.labels["r0"] = "v7"
        harness.start_coordinator()
        harness.run()
        self.assertEqual(harness.coordinator.term, 4)
        self.assertEqual(set(harness.labels.values()), {"v7"})
        steps = [record.step for record in harness.records[len(records) :] if isinstance(record, StepStarted)]
        self.assertEqual(steps, [4, 5, 6])

    def test_an_interrupted_rollback_is_resumed_to_the_end(self) -> None:
        records = from_rows(self.open_old_journal("rolling-back.log").rows)
        self.assertIs(replay(records).phase, RolloutPhase.ROLLING_BACK)
        harness = CoordinatorHarness(make_plan())
        harness.records = list(records)
        harness.term = 3
        harness.labels |= {"r0": "v7", "r3": "v7"}
        harness.start_coordinator()
        harness.run()
        self.assertEqual(set(harness.labels.values()), {"v6"})
        self.assertIs(replay(harness.records).phase, RolloutPhase.ENDED)

    def test_a_journal_of_another_plan_is_rejected(self) -> None:
        harness = CoordinatorHarness(make_plan(name="other"))
        harness.records = from_rows(self.open_old_journal("advancing.log").rows)
        harness.term = 3
        with self.assertRaises(JournalMismatchError):
            harness.start_coordinator()

    def test_a_torn_last_record_is_truncated(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / journal.JOURNAL_FILE
        data = (OLD_JOURNALS / "advancing.log").read_bytes()
        path.write_bytes(data[:-5])
        opened_journal = Journal(folder.name)
        opened_journal.close()
        self.assertEqual([row["what"] for row in opened_journal.rows][-2:], ["done", "passed"])
        self.assertTrue(data.startswith(path.read_bytes()))


if __name__ == "__main__":
    unittest.main()
