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


def in_force(number: int) -> StoredVersion:
    return StoredVersion(
        VersionRecord(number, f"d{number}", "test", VersionState.IN_FORCE, number), f"(text {number})"
    )


def rejected(number: int) -> StoredVersion:
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

    def write_store(self, *versions: StoredVersion) -> None:
        store = VersionStore(self.folder)
        for version in versions:
            store.append(version)
        store.close()

    def reopen(self, expects_repair: bool = False) -> list[StoredVersion]:
        if expects_repair:
            with self.assertLogs("magpieshift.control.version_store", "WARNING") as logs:
                store = VersionStore(self.folder)
            self.assertEqual(len(logs.records), 1)
        else:
            store = VersionStore(self.folder)
        store.close()
        self.assertEqual(read_store(self.folder).versions, tuple(store.versions))
        self.assertEqual(read_store(self.folder).damaged_ranges, 0)
        return store.versions

    def test_what_was_written_is_read_again(self) -> None:
        versions = [in_force(1), rejected(2), in_force(4)]
        self.write_store(*versions)
        self.assertEqual(self.reopen(), versions)
        states = [version.record.state for version in stored_history(read_store(self.folder))]
        self.assertEqual(states, [VersionState.REPLACED, VersionState.REJECTED, VersionState.IN_FORCE])

    def test_an_append_cut_off_at_every_byte(self) -> None:
        """The earlier record stays; the incomplete one is recovered completely or not at all."""
        self.write_store(in_force(1))
        first_record = self.file.read_bytes()
        self.write_store(in_force(2))
        complete = self.file.read_bytes()
        for size in range(len(first_record) + 1, len(complete)):
            self.file.write_bytes(complete[:size])
            found = self.reopen(expects_repair=True)
            self.assertIn(found, ([in_force(1)], [in_force(1), in_force(2)]), size)
            self.assertEqual(
                found == [in_force(1)], size < len(first_record) + (len(complete) - len(first_record)) // 2
            )

    def test_a_flipped_bit_anywhere_loses_no_version(self) -> None:
        self.write_store(in_force(1), in_force(2))
        data = self.file.read_bytes()
        for at in range(len(FILE_HEADER), len(data)):
            self.file.write_bytes(data[:at] + bytes([data[at] ^ 1 << at % 8]) + data[at + 1 :])
            self.assertEqual(self.reopen(expects_repair=True), [in_force(1), in_force(2)], at)

    @given(st.binary(max_size=300), st.integers(0, 600))
    @settings(max_examples=200, deadline=None)
    def test_random_bytes_give_no_false_version(self, random_bytes: bytes, at: int) -> None:
        data = FILE_HEADER + b"".join(encode_version(in_force(n)) for n in (1, 2))
        at = min(at, len(data))
        for text in (
            random_bytes,
            FILE_HEADER + random_bytes,
            data[:at] + random_bytes + data[at:],
            data[:at] + random_bytes,
        ):
            try:
                found = parse_store(text).versions
            except VersionStoreError:
                continue
            self.assertLessEqual(set(found), {in_force(1), in_force(2)})

    def test_a_file_of_another_format_is_not_changed(self) -> None:
        for text in (b"#!/bin/sh\n", b"magpieshift versions 9\n"):
            self.file.write_bytes(text)
            with self.assertRaisesRegex(VersionStoreError, "expected"):
                VersionStore(self.folder)
            self.assertEqual(self.file.read_bytes(), text)

    def test_a_full_disk_loses_no_stored_version_and_stores_no_other(self) -> None:
        store = VersionStore(self.folder)
        store.append(in_force(1))
        real = os.pwrite

        def full(file: int, data: bytes, at: int) -> int:
            if at > store._size:
                raise OSError(errno.ENOSPC, "No space left on device")
            return real(file, data[:40], at)

        with mock.patch("os.pwrite", full), self.assertRaisesRegex(VersionStoreError, "No space left"):
            store.append(in_force(2))
        self.assertEqual(read_store(self.folder).versions, (in_force(1),))
        store.append(in_force(3))  # the disk has space again
        store.close()
        self.assertEqual(self.reopen(), [in_force(1), in_force(3)])

    def test_a_store_whose_failed_append_cannot_be_undone_accepts_no_more(self) -> None:
        store = VersionStore(self.folder)
        self.addCleanup(store.close)
        broken = OSError(errno.EIO, "Input/output error")
        with (
            mock.patch("os.fsync", side_effect=broken),
            mock.patch("os.ftruncate", side_effect=broken),
            self.assertLogs("magpieshift.control.version_store", "ERROR"),
            self.assertRaises(VersionStoreError),
        ):
            store.append(in_force(1))
        with self.assertRaisesRegex(VersionStoreError, "unknown state"):
            store.append(in_force(2))

    def test_folders_that_cannot_be_written(self) -> None:
        (self.folder / "file").write_text("")
        with self.assertRaisesRegex(VersionStoreError, "cannot be written"):
            VersionStore(self.folder / "file" / "inside")
        with self.assertRaisesRegex(VersionStoreError, "is not a folder"):
            read_store(self.folder / "nothing")
        first = VersionStore(self.folder)
        with self.assertRaisesRegex(VersionStoreError, "in use"):
            VersionStore(self.folder)
        first.close()
        VersionStore(self.folder).close()

    def test_the_store_is_bounded_and_retains_the_version_in_force(self) -> None:
        store = VersionStore(self.folder)
        store.append(in_force(1))
        for number in range(2, 5 * MAX_STORED):
            store.append(rejected(number))
            self.assertLess(len(store.versions), 2 * MAX_STORED)
        store.close()
        self.assertEqual(read_store(self.folder).in_force, in_force(1))

    def test_a_rewrite_that_fails_anywhere_leaves_the_old_file(self) -> None:
        """A rewrite fails at each kind of disk call; a new process then reads all records from the old
        file."""
        for name in ("os.rename", "os.fsync", "os.pwrite"):
            with self.subTest(name):
                self.file.unlink(missing_ok=True)
                self.write_store(*(in_force(n) for n in range(1, 2 * MAX_STORED)))
                store = VersionStore(self.folder)
                real, calls = getattr(os, name.partition(".")[2]), [0]

                calls_to_pass = 0 if "rename" in name else 1  # the call that appends the record succeeds

                def fail_after(
                    *args: object,
                    real: object = real,
                    calls: list[int] = calls,
                    calls_to_pass: int = calls_to_pass,
                ) -> object:
                    calls[0] += 1
                    if calls[0] > calls_to_pass:
                        raise OSError(errno.ENOSPC, "No space left on device")
                    return real(*args)  # type: ignore[operator]

                with (
                    mock.patch(name, fail_after),
                    self.assertLogs("magpieshift.control.version_store", "WARNING"),
                ):
                    store.append(in_force(2 * MAX_STORED))
                store.close()
                self.assertEqual(self.reopen()[-1], in_force(2 * MAX_STORED))
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
            store = VersionStore(self.folder)
        self.addCleanup(store.close)
        self.assertEqual([record.getMessage() for record in logged.records], ["version store repaired"])
        history, loaded = first_version(None, store, "")
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
        (outcome,) = history.offer(VersionOffer(6, "e" * 32, "control"), 0)
        self.assertEqual((outcome.accepted, outcome.reason), (False, RejectionReason.INVALID))
        store.append(in_force(7))
        self.assertEqual(
            [version.record.number for version in read_store(self.folder).versions], [3, 4, 5, 6, 7]
        )


if __name__ == "__main__":
    unittest.main()
