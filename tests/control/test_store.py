"""The store: what stays after torn tails, flipped bits, full disks, and folders that cannot be written."""

import errno
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from magpieshift.control import store
from magpieshift.control.store import KEPT, Kept, Store, StoreError
from magpieshift.control.version_history import Reason, Record, State


def force(number: int) -> Kept:
    return Kept(Record(number, f"d{number}", "test", State.IN_FORCE, number), f"(text {number})")


def refusal(number: int) -> Kept:
    return Kept(Record(number, f"d{number}", "test", State.TURNED_DOWN, number, Reason.INVALID, "why"))


class Stores(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.file = self.folder / store.FILE

    def fill(self, *kept: Kept) -> None:
        opened = Store(self.folder)
        for one in kept:
            opened.append(one)
        opened.close()

    def opened(self, says: bool = False) -> list[Kept]:
        if says:
            with self.assertLogs("magpieshift.control.store", "WARNING") as logs:
                again = Store(self.folder)
            self.assertEqual(len(logs.records), 1)
        else:
            again = Store(self.folder)
        again.close()
        self.assertEqual(store.read(self.folder).kept, tuple(again.kept))
        self.assertEqual(store.read(self.folder).damaged, 0)
        return again.kept

    def test_what_was_written_is_read_again(self) -> None:
        kept = [force(1), refusal(2), force(4)]
        self.fill(*kept)
        self.assertEqual(self.opened(), kept)
        states = [k.record.state for k in store.history(store.read(self.folder))]
        self.assertEqual(states, [State.REPLACED, State.TURNED_DOWN, State.IN_FORCE])

    def test_a_torn_tail_at_every_byte(self) -> None:
        """What came before stays; the torn one is there whole or not at all."""
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
        for at in range(len(store.HEADER), len(data)):
            self.file.write_bytes(data[:at] + bytes([data[at] ^ 1 << at % 8]) + data[at + 1 :])
            self.assertEqual(self.opened(says=True), [force(1), force(2)], at)

    @given(st.binary(max_size=300), st.integers(0, 600))
    @settings(max_examples=200, deadline=None)
    def test_bytes_of_any_kind_invent_no_version(self, noise: bytes, at: int) -> None:
        data = store.HEADER + b"".join(store._encode(force(n)) for n in (1, 2))
        at = min(at, len(data))
        for text in (noise, store.HEADER + noise, data[:at] + noise + data[at:], data[:at] + noise):
            try:
                found = store.parse(text).kept
            except StoreError:
                continue
            self.assertLessEqual(set(found), {force(1), force(2)})

    def test_a_file_of_another_kind_is_left_alone(self) -> None:
        for text in (b"#!/bin/sh\n", b"magpieshift versions 9\n"):
            self.file.write_bytes(text)
            with self.assertRaisesRegex(StoreError, "expected"):
                Store(self.folder)
            self.assertEqual(self.file.read_bytes(), text)

    def test_a_full_disk_keeps_what_was_kept_and_takes_back_what_was_not(self) -> None:
        opened = Store(self.folder)
        opened.append(force(1))
        real = os.pwrite

        def full(file: int, data: bytes, at: int) -> int:
            if at > opened._size:
                raise OSError(errno.ENOSPC, "No space left on device")
            return real(file, data[:40], at)

        with mock.patch("os.pwrite", full), self.assertRaisesRegex(StoreError, "No space left"):
            opened.append(force(2))
        self.assertEqual(store.read(self.folder).kept, (force(1),))
        opened.append(force(3))  # there is room again
        opened.close()
        self.assertEqual(self.opened(), [force(1), force(3)])

    def test_a_disk_that_does_not_even_take_back_is_given_up(self) -> None:
        opened = Store(self.folder)
        self.addCleanup(opened.close)
        broken = OSError(errno.EIO, "Input/output error")
        with (
            mock.patch("os.fsync", side_effect=broken),
            mock.patch("os.ftruncate", side_effect=broken),
            self.assertLogs("magpieshift.control.store", "ERROR"),
            self.assertRaises(StoreError),
        ):
            opened.append(force(1))
        with self.assertRaisesRegex(StoreError, "unknown state"):
            opened.append(force(2))

    def test_folders_that_cannot_be_written(self) -> None:
        (self.folder / "file").write_text("")
        with self.assertRaisesRegex(StoreError, "cannot be written"):
            Store(self.folder / "file" / "inside")
        with self.assertRaisesRegex(StoreError, "no folder"):
            store.read(self.folder / "nothing")
        first = Store(self.folder)
        with self.assertRaisesRegex(StoreError, "in use"):
            Store(self.folder)
        first.close()
        Store(self.folder).close()

    def test_history_is_bounded_and_what_is_in_force_stays(self) -> None:
        opened = Store(self.folder)
        opened.append(force(1))
        for number in range(2, 5 * KEPT):
            opened.append(refusal(number))
            self.assertLess(len(opened.kept), 2 * KEPT)
        opened.close()
        self.assertEqual(store.read(self.folder).in_force, force(1))

    def test_a_rewriting_broken_off_anywhere_leaves_the_old_file(self) -> None:
        """Every call that touches the disk fails once; then again a process comes and reads."""
        for name in ("os.rename", "os.fsync", "os.pwrite"):
            with self.subTest(name):
                self.file.unlink(missing_ok=True)
                self.fill(*(force(n) for n in range(1, 2 * KEPT)))
                opened = Store(self.folder)
                real, calls = getattr(os, name.partition(".")[2]), [0]

                spare = 0 if "rename" in name else 1  # the record's own call goes well

                def fails(
                    *args: object, real: object = real, calls: list[int] = calls, spare: int = spare
                ) -> object:
                    calls[0] += 1
                    if calls[0] > spare:
                        raise OSError(errno.ENOSPC, "No space left on device")
                    return real(*args)  # type: ignore[operator]

                with mock.patch(name, fails), self.assertLogs("magpieshift.control.store", "WARNING"):
                    opened.append(force(2 * KEPT))
                opened.close()
                self.assertEqual(self.opened()[-1], force(2 * KEPT))
                self.assertFalse((self.folder / store.TEMPORARY).exists())


if __name__ == "__main__":
    unittest.main()
