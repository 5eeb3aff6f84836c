"""The operators' page lists exactly the events that the programs log, each with its levels."""

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


def constants(node: ast.expr) -> list[str]:
    """The texts that an expression can evaluate to."""
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return [node.value]
    if isinstance(node, ast.IfExp):
        return constants(node.body) + constants(node.orelse)
    raise AssertionError(f"line {node.lineno}: an event must be a constant, found {ast.unparse(node)}")


def logged_events(tree: ast.AST) -> Iterator[tuple[str, str]]:
    """The events of a module with their levels; empty for ``log.log``, whose level is chosen at run time."""
    for node in ast.walk(tree):
        if not isinstance(node, ast.Call) or not isinstance(node.func, ast.Attribute):
            continue
        if not isinstance(node.func.value, ast.Name) or node.func.value.id not in LOGGERS:
            continue
        method = node.func.attr
        if method == "log":
            yield from ((text, "") for text in constants(node.args[1]))
        elif method in LEVELS:
            yield from ((text, LEVELS[method]) for text in constants(node.args[0]))


def events_in_code() -> dict[str, set[str]]:
    """The levels of each event in all modules except the laboratory's."""
    found: dict[str, set[str]] = {}
    for path in sorted((ROOT / "magpieshift").rglob("*.py")):
        parts = path.relative_to(ROOT / "magpieshift").parts
        if parts[0] == "lab" or path.name.endswith("_pb2.py"):
            continue
        for event, level in logged_events(ast.parse(path.read_text())):
            found.setdefault(event, set()).add(level)
    return found


def events_on_page() -> dict[str, set[str]]:
    """The levels of each event as the page lists them."""
    rows = ROW.findall(PAGE.read_text())
    assert len({event for event, _ in rows}) == len(rows), "the page lists an event twice"
    return {event: {level.strip() for level in levels.split(",")} for event, levels in rows}


def test_the_page_lists_exactly_the_logged_events() -> None:
    assert sorted(events_on_page()) == sorted(events_in_code())


def test_the_page_gives_the_levels_of_each_event() -> None:
    page = events_on_page()
    for event, levels in events_in_code().items():
        if "" not in levels:
            assert page[event] == levels, event
