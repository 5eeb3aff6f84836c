"""What the pages show exists: files, folders, modules, and commands with their options."""

from __future__ import annotations

import re
import subprocess
from collections.abc import Iterator
from pathlib import Path

import click
import pytest

from magpieshift.cli.main import cli

ROOT = Path(__file__).resolve().parents[1]
HISTORY = {"CHANGELOG.md", "docs/ROADMAP.md", "docs/findings.md"}
"""Pages that tell what was, under the names of the time."""
FORMER_NAMES = re.compile(
    r"\bmolecleat\b|magpieshift[./](core|front|back|feed|console|members|installation)\b"
)
GLOSSARY = "docs/glossary.md"
SHOWS_FORMER_NAMES = HISTORY | {GLOSSARY, "docs/operators/log-events.md"}
FILE_ENDINGS = (".py", ".sexp", ".proto", ".json", ".toml", ".md")
TOP = ("magpieshift", "tests", "docs", "deploy")
PACKAGES = frozenset(
    path.name
    for path in (ROOT / "magpieshift").iterdir()
    if path.is_dir() and (path / "__init__.py").exists()
)


def pages() -> list[str]:
    """All pages, by their path."""
    listed = subprocess.run(["git", "ls-files", "*.md"], cwd=ROOT, capture_output=True, text=True, check=True)
    return [name for name in listed.stdout.split() if not name.startswith("journal/")]


def quoted(text: str) -> Iterator[str]:
    """What stands between backticks, and the lines of code blocks."""
    for block in re.findall(r"```.*?```", text, re.S):
        yield from block.splitlines()[1:-1]
    text = re.sub(r"```.*?```", "", text, flags=re.S)
    yield from re.findall(r"`([^`\n]+)`", text)
    yield from (line.strip() for line in text.splitlines() if line.startswith("    "))


def is_path(word: str) -> bool:
    """Whether a word names a place of this repository."""
    return bool(re.fullmatch(r"[\w./-]+", word)) and (word.split("/")[0] in TOP) and "/" in word


def exists(word: str) -> bool:
    """Whether a file, a folder, or a module without its ending stands there."""
    path = ROOT / word.rstrip("/.")
    return path.exists() or path.with_suffix(".py").exists() or path.with_name(path.name + ".py").exists()


def is_in_package(package: str, name: str) -> bool:
    """Whether a package has a module of this name, or offers the name itself."""
    offered = (ROOT / "magpieshift" / package / "__init__.py").read_text()
    return exists(f"magpieshift/{package}/{name}") or re.search(rf"\b{name}\b", offered) is not None


def module_parts(word: str) -> tuple[str, ...] | None:
    """The parts of a dotted name that begins with one of our packages, as ``engine.model.Verdict``."""
    if word.endswith(FILE_ENDINGS):
        return None
    parts = tuple(word.removeprefix("magpieshift.").split("."))
    inside = re.fullmatch(r"(magpieshift\.)?[a-z_]+(\.[a-z_]+)+(\.[A-Z]\w*)*(\.\w+)*", word)
    return parts if inside and parts[0] in PACKAGES else None


@pytest.mark.parametrize("page", [page for page in pages() if page not in HISTORY])
def test_every_path_on_the_page_exists(page: str) -> None:
    text = (ROOT / page).read_text()
    missing = {word for line in quoted(text) for word in line.split() if is_path(word) and not exists(word)}
    for target in re.findall(r"\]\(([^)#:]+)\)", text):
        if not (ROOT / page).parent.joinpath(target).exists():
            missing.add(target)
    assert not missing


@pytest.mark.parametrize("page", [page for page in pages() if page not in HISTORY])
def test_every_module_on_the_page_exists(page: str) -> None:
    missing = set()
    text = (ROOT / page).read_text()
    if page == GLOSSARY:  # its other columns have former names
        text = "\n".join(line.split(" | ")[2] for line in text.splitlines() if line.count(" | ") >= 3)
    for line in quoted(text):
        for word in re.findall(r"[\w.]+", line):
            parts = module_parts(word)
            if parts and not is_in_package(*parts[:2]):
                missing.add(word)
    assert not missing


def command(words: list[str]) -> tuple[click.Command, list[str]]:
    """The command that the words after ``magpieshift`` lead to, and what follows it."""
    found: click.Command = cli
    rest = list(words)
    while isinstance(found, click.Group) and rest and rest[0] in found.commands:
        found = found.commands[rest.pop(0)]
    return found, rest


@pytest.mark.parametrize("page", [page for page in pages() if page not in HISTORY])
def test_every_command_on_the_page_exists_with_its_options(page: str) -> None:
    wrong = []
    for line in quoted((ROOT / page).read_text()):
        words = line.split("#")[0].split()
        if len(words) < 2 or words[0] != "magpieshift" or not re.fullmatch(r"[a-z-]+", words[1]):
            continue
        found, rest = command(words[1:])
        known = {name for parameter in found.params for name in [*parameter.opts, *parameter.secondary_opts]}
        used = {word.split("=")[0].rstrip(",") for word in rest if re.match(r"--[a-z]", word)}
        if found is cli or not used <= known | {"--help", "--version"}:
            wrong.append(line)
    assert not wrong


@pytest.mark.parametrize("page", [page for page in pages() if page not in SHOWS_FORMER_NAMES])
def test_no_page_uses_a_package_by_its_former_name(page: str) -> None:
    assert not FORMER_NAMES.findall((ROOT / page).read_text())
