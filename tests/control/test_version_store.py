"""The version store: what is recovered after incomplete writes, flipped bits and full disks, and folders that
cannot be written."""

import errno
import os
import shutil
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from magpieshift.control.errors import VersionStoreError
from magpieshift.control.stored_versions import (
    FILE_HEADER,
    MAX_STORED,
    VERSIONS_FILE,
    StoredVersion,
    encode_version,
    parse_store,
    read_store,
    stored_history,
)
from magpieshift.control.version_records import RejectionReason, VersionOffer, VersionRecord, VersionState
from magpieshift.control.version_startup import first_version
from magpieshift.control.version_store import REWRITE_FILE, VersionStore


def force(number: int) -> StoredVersion:
    return StoredVersion(
        VersionRecord(number, f"d{number}", "test", VersionState.IN_FORCE, number), f"(text {number})"
    )


def refusal(number: int) -> StoredVersion:
    return StoredVersion(
        VersionRecord(
            number, f"d{number}", "test", VersionState.REJECTED, number, RejectionReason.INVALID, "why"
        )
    )


class Stores(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.file = self.folder / VERSIONS_FILE

    def fill(self, *kept: StoredVersion) -> None:
        opened = VersionStore(self.folder)
        for one in kept:
            opened.append(one)
        opened.close()

    def opened(self, says: bool = False) -> list[StoredVersion]:
        if says:
            with self.assertLogs("magpieshift.control.version_store", "WARNING") as logs:
                again = VersionStore(self.folder)
            self.assertEqual(len(logs.records), 1)
        else:
            again = VersionStore(self.folder)
        again.close()
        self.assertEqual(read_store(self.folder).versions, tuple(again.versions))
        self.assertEqual(read_store(self.folder).damaged_ranges, 0)
        return again.versions

    def test_what_was_written_is_read_again(self) -> None:
        kept = [force(1), refusal(2), force(4)]
        self.fill(*kept)
        self.assertEqual(self.opened(), kept)
        states = [k.record.state for k in stored_history(read_store(self.folder))]
        self.assertEqual(states, [VersionState.REPLACED, VersionState.REJECTED, VersionState.IN_FORCE])

    def test_a_torn_tail_at_every_byte(self) -> None:
        """The earlier record stays; the incomplete one is recovered completely or not at all."""
        self.fill(force(1))
        short = self.file.read_bytes()
        self.fill(force(2))
        whole = self.file.read_bytes()
        for size in range(len(short) + 1, len(whole)):
            self.file.write_bytes(whole[:size])
            found = self.opened(says=True)
            self.assertIn(found, ([force(1)], [force(1), force(2)]), size)
            self.assertEqual(found == [force(1)], size < len(short) + (len(whole) - len(short)) // 2)

    def test_a_flipped_bit_anywhere_loses_no_version(self) -> None:
        self.fill(force(1), force(2))
        data = self.file.read_bytes()
        for at in range(len(FILE_HEADER), len(data)):
            self.file.write_bytes(data[:at] + bytes([data[at] ^ 1 << at % 8]) + data[at + 1 :])
            self.assertEqual(self.opened(says=True), [force(1), force(2)], at)

    @given(st.binary(max_size=300), st.integers(0, 600))
    @settings(max_examples=200, deadline=None)
    def test_bytes_of_any_kind_invent_no_version(self, noise: bytes, at: int) -> None:
        data = FILE_HEADER + b"".join(encode_version(force(n)) for n in (1, 2))
        at = min(at, len(data))
        for text in (noise, FILE_HEADER + noise, data[:at] + noise + data[at:], data[:at] + noise):
            try:
                found = parse_store(text).versions
            except VersionStoreError:
                continue
            self.assertLessEqual(set(found), {force(1), force(2)})

    def test_a_file_of_another_kind_is_not_touched(self) -> None:
        for text in (b"#!/bin/sh\n", b"magpieshift versions 9\n"):
            self.file.write_bytes(text)
            with self.assertRaisesRegex(VersionStoreError, "expected"):
                VersionStore(self.folder)
            self.assertEqual(self.file.read_bytes(), text)

    def test_a_full_disk_loses_no_stored_version_and_stores_no_other(self) -> None:
        opened = VersionStore(self.folder)
        opened.append(force(1))
        real = os.pwrite

        def full(file: int, data: bytes, at: int) -> int:
            if at > opened._size:
                raise OSError(errno.ENOSPC, "No space left on device")
            return real(file, data[:40], at)

        with mock.patch("os.pwrite", full), self.assertRaisesRegex(VersionStoreError, "No space left"):
            opened.append(force(2))
        self.assertEqual(read_store(self.folder).versions, (force(1),))
        opened.append(force(3))  # the disk has space again
        opened.close()
        self.assertEqual(self.opened(), [force(1), force(3)])

    def test_a_disk_that_does_not_even_take_back_is_given_up(self) -> None:
        opened = VersionStore(self.folder)
        self.addCleanup(opened.close)
        broken = OSError(errno.EIO, "Input/output error")
        with (
            mock.patch("os.fsync", side_effect=broken),
            mock.patch("os.ftruncate", side_effect=broken),
            self.assertLogs("magpieshift.control.version_store", "ERROR"),
            self.assertRaises(VersionStoreError),
        ):
            opened.append(force(1))
        with self.assertRaisesRegex(VersionStoreError, "unknown state"):
            opened.append(force(2))

    def test_folders_that_cannot_be_written(self) -> None:
        (self.folder / "file").write_text("")
        with self.assertRaisesRegex(VersionStoreError, "cannot be written"):
            VersionStore(self.folder / "file" / "inside")
        with self.assertRaisesRegex(VersionStoreError, "no folder"):
            read_store(self.folder / "nothing")
        first = VersionStore(self.folder)
        with self.assertRaisesRegex(VersionStoreError, "in use"):
            VersionStore(self.folder)
        first.close()
        VersionStore(self.folder).close()

    def test_history_is_bounded_and_what_is_in_force_stays(self) -> None:
        opened = VersionStore(self.folder)
        opened.append(force(1))
        for number in range(2, 5 * MAX_STORED):
            opened.append(refusal(number))
            self.assertLess(len(opened.versions), 2 * MAX_STORED)
        opened.close()
        self.assertEqual(read_store(self.folder).in_force, force(1))

    def test_a_rewriting_broken_off_anywhere_leaves_the_old_file(self) -> None:
        """A rewrite fails at each kind of disk call; a new process then reads all records from the old
        file."""
        for name in ("os.rename", "os.fsync", "os.pwrite"):
            with self.subTest(name):
                self.file.unlink(missing_ok=True)
                self.fill(*(force(n) for n in range(1, 2 * MAX_STORED)))
                opened = VersionStore(self.folder)
                real, calls = getattr(os, name.partition(".")[2]), [0]

                spare = 0 if "rename" in name else 1  # the call that appends the record succeeds

                def fails(
                    *args: object, real: object = real, calls: list[int] = calls, spare: int = spare
                ) -> object:
                    calls[0] += 1
                    if calls[0] > spare:
                        raise OSError(errno.ENOSPC, "No space left on device")
                    return real(*args)  # type: ignore[operator]

                with mock.patch(name, fails), self.assertLogs("magpieshift.control.version_store", "WARNING"):
                    opened.append(force(2 * MAX_STORED))
                opened.close()
                self.assertEqual(self.opened()[-1], force(2 * MAX_STORED))
                self.assertFalse((self.folder / REWRITE_FILE).exists())


OLD_FILE = Path(__file__).resolve().parent / "stores" / "versions-723f792.log"


class EarlierVersion(unittest.TestCase):
    """The file was written by the store of program version 723f792, which was killed while it appended
    version 7. Versions 3 and 5 came into force, 4 and 6 were rejected. The current program must read it."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        shutil.copy(OLD_FILE, self.folder / VERSIONS_FILE)

    def test_its_records_are_read_and_written_byte_for_byte(self) -> None:
        contents = read_store(self.folder)
        self.assertEqual((contents.damaged_ranges, contents.torn_bytes), (0, 400))
        data = FILE_HEADER + b"".join(map(encode_version, contents.versions))
        self.assertEqual(data, OLD_FILE.read_bytes()[:-400])

    def test_its_newest_version_and_history_are_used(self) -> None:
        with self.assertLogs("magpieshift.control.version_store", "WARNING") as logged:
            opened = VersionStore(self.folder)
        self.addCleanup(opened.close)
        self.assertEqual([record.getMessage() for record in logged.records], ["version store repaired"])
        history, loaded = first_version(None, opened, "")
        self.assertEqual((history.in_force.number, history.in_force.digest), (5, loaded.digest))
        self.assertEqual(loaded.document.settings.max_retry_after_us, 105_000)
        found = [(record.number, record.state, record.reason) for record in history.records]
        self.assertEqual(
            found,
            [
                (3, VersionState.REPLACED, RejectionReason.NONE),
                (4, VersionState.REJECTED, RejectionReason.NEEDS_RESTART),
                (5, VersionState.IN_FORCE, RejectionReason.NONE),
                (6, VersionState.REJECTED, RejectionReason.INVALID),
            ],
        )
        (again,) = history.offer(VersionOffer(6, "e" * 32, "control"), 0)
        self.assertEqual((again.accepted, again.reason), (False, RejectionReason.INVALID))
        opened.append(force(7))
        self.assertEqual(
            [version.record.number for version in read_store(self.folder).versions], [3, 4, 5, 6, 7]
        )


if __name__ == "__main__":
    unittest.main()
