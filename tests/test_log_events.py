"""Every line that the programs log is on the operators' page, with its level, and the page has no other."""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
PAGE = ROOT / "docs" / "operators" / "log-events.md"
LEVELS = {"debug": "debug", "info": "info", "warning": "warning", "error": "error", "exception": "error"}
LOGGERS = {"log", "logger", "_log"}
ROW = re.compile(r"\| `([^`]+)` \| ([a-z, ]+) \|")


def texts(node: ast.expr) -> list[str]:
    """The constants that an expression may be."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return [node.value]
    if isinstance(node, ast.IfExp):
        return texts(node.body) + texts(node.orelse)
    raise AssertionError(f"line {node.lineno}: an event has to be a constant, found {ast.unparse(node)}")


def logged(tree: ast.AST) -> Iterator[tuple[str, str]]:
    """The events of a module with their levels; the level of ``log.log`` is chosen as it runs."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        if not isinstance(node.func.value, ast.Name) or node.func.value.id not in LOGGERS:
            continue
        method = node.func.attr
        if method == "log":
            yield from ((text, "") for text in texts(node.args[1]))
        elif method in LEVELS:
            yield from ((text, LEVELS[method]) for text in texts(node.args[0]))


def in_code() -> dict[str, set[str]]:
    """The levels of each event, over all programs but the laboratory."""
    found: dict[str, set[str]] = {}
    for path in sorted((ROOT / "magpieshift").rglob("*.py")):
        parts = path.relative_to(ROOT / "magpieshift").parts
        if parts[0] == "lab" or path.name.endswith("_pb2.py"):
            continue
        for event, level in logged(ast.parse(path.read_text())):
            found.setdefault(event, set()).add(level)
    return found


def on_page() -> dict[str, set[str]]:
    """The levels of each event as the page has them."""
    rows = ROW.findall(PAGE.read_text())
    assert len({event for event, _ in rows}) == len(rows), "an event stands twice on the page"
    return {event: {level.strip() for level in levels.split(",")} for event, levels in rows}


def test_each_event_is_on_the_page_and_none_besides() -> None:
    assert sorted(on_page()) == sorted(in_code())


def test_each_has_the_level_that_the_page_says() -> None:
    page = on_page()
    for event, levels in in_code().items():
        if "" not in levels:
            assert page[event] == levels, event
