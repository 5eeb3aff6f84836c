"""A lower layer of the program imports nothing from a higher one."""

from __future__ import annotations

import ast
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
# lowest layer first; modules of one layer may import from their own package, not from others of that layer
LAYERS = (
    ("magpieshift.errors", "magpieshift.early_signals"),
    ("magpieshift.policy",),
    ("magpieshift.clock", "magpieshift.log"),
    ("magpieshift.config",),
    (
        "magpieshift.sockets",
        "magpieshift.config_transaction",
        "magpieshift.lifecycle",
        "magpieshift.process_lock",
    ),
    ("magpieshift.engine",),
    ("magpieshift.downstream", "magpieshift.upstream", "magpieshift.discovery", "magpieshift.admin"),
    ("magpieshift.control", "magpieshift.capture", "magpieshift.membership", "magpieshift.overload"),
    (
        "magpieshift.limits",
        "magpieshift.shutdown",
        "magpieshift.signals",
        "magpieshift.start_settings",
        "magpieshift.config_reload",
    ),
    ("magpieshift.expected_settings", "magpieshift.edge_router"),
    ("magpieshift.app", "magpieshift.rollout", "magpieshift.relay"),
    ("magpieshift.extensions",),
    ("magpieshift.lab",),
    ("magpieshift.cli",),
    ("magpieshift", "magpieshift.__main__"),
)


def rank(module: str) -> tuple[int, str]:
    """The layer of a module, and the part of it by its longest known name."""
    known = [
        (len(part), level, part)
        for level, parts in enumerate(LAYERS)
        for part in parts
        if module == part or module.startswith(part + ".")
    ]
    if not known:
        raise AssertionError(f"{module} stands in no layer")
    _, level, part = max(known)
    if part == "magpieshift" and module != part:
        raise AssertionError(f"{module} stands in no layer")
    return level, part


def named(source: str, folders: frozenset[str]) -> list[str]:
    """The project's modules that a source imports, wherever in it."""
    found = []
    for node in ast.walk(ast.parse(source)):
        if isinstance(node, ast.Import):
            found += [alias.name for alias in node.names]
        elif isinstance(node, ast.ImportFrom) and node.module and not node.level:
            # ``from package import module`` names the module, not what is in the package itself
            whole = [f"{node.module}.{alias.name}" for alias in node.names]
            found += [name if name in folders else node.module for name in whole]
    return [name for name in found if name.split(".")[0] == "magpieshift"]


def upward(sources: dict[str, str]) -> list[str]:
    """The imports that run upwards, or across, in modules given by name."""
    wrong = []
    for module, source in sorted(sources.items()):
        level, part = rank(module)
        for name in named(source, frozenset(sources)):
            other, its = rank(name)
            if other > level or (other == level and its != part):
                wrong.append(f"{module} imports {name}")
    return wrong


def project() -> dict[str, str]:
    found = {}
    for path in (ROOT / "magpieshift").rglob("*.py"):
        name = ".".join(path.relative_to(ROOT).with_suffix("").parts).removesuffix(".__init__")
        found[name] = path.read_text(encoding="utf-8")
    return found


class Layers(unittest.TestCase):
    def test_no_import_runs_upwards(self) -> None:
        self.assertEqual(upward(project()), [])

    def test_one_that_does_is_seen_wherever_it_stands(self) -> None:
        sources = project()
        for line in (
            "import magpieshift.app",
            "from magpieshift.app import EdgeRouter",
            "from magpieshift import app",
            "def late():\n    from magpieshift.control import version_manager",
        ):
            with self.subTest(line):
                self.assertEqual(len(upward(sources | {"magpieshift.engine.odd": line})), 1)
        self.assertEqual(
            len(upward(sources | {"magpieshift.downstream.odd": "import magpieshift.upstream.pool"})), 1
        )
        with self.assertRaisesRegex(AssertionError, "no layer"):
            upward({"magpieshift.unheard_of": ""})


if __name__ == "__main__":
    unittest.main()
