"""Reading a folder of versions: which files are read, and which are skipped."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from magpieshift.control import publisher
from magpieshift.control.publisher import read_version_folder


class Folders(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        for number in (1, 2, 10):
            (self.folder / f"{number}.sexp").write_text(f"(version {number})")
        (self.folder / "notes.txt").write_text("no version")

    def read(self, known: set[int]) -> tuple[list[int], int]:
        """The numbers of the versions found, and how many files were parsed for them."""
        with mock.patch.object(
            publisher.PublishedVersion, "parse", wraps=publisher.PublishedVersion.parse
        ) as parse_calls:
            found = [version.number for version in read_version_folder(self.folder, known=known)]
        return found, parse_calls.call_count

    def test_versions_come_in_order_of_their_numbers(self) -> None:
        self.assertEqual(self.read(set()), ([1, 2, 10], 3))

    def test_known_versions_are_not_read_again(self) -> None:
        """Each poll used to read and parse every version in the folder: 4 ms each, several times a second."""
        self.assertEqual(self.read({1, 10}), ([2], 1))
        self.assertEqual(self.read({1, 2, 10}), ([], 0))


if __name__ == "__main__":
    unittest.main()
