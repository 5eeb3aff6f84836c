"""The list of packages in ``pyproject.toml`` is complete, so that a plain installation can be imported."""

from __future__ import annotations

import tomllib
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]


class Packages(unittest.TestCase):
    def test_every_package_is_installed(self) -> None:
        """Guards against an installation without a package, which an editable one does not show."""
        listed = tomllib.loads((ROOT / "pyproject.toml").read_text())["tool"]["setuptools"]["packages"]
        folders = {path.parent.relative_to(ROOT) for path in (ROOT / "magpieshift").rglob("__init__.py")}
        self.assertEqual(sorted(listed), sorted(".".join(folder.parts) for folder in folders))


if __name__ == "__main__":
    unittest.main()
