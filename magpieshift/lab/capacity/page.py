"""The capacity page. Its tables stand between markers and are generated from the saved results.

A marker is ``<!-- capacity NAME -->`` and ends with ``<!-- end -->``; NAME is one of ``SECTIONS``.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Mapping
from pathlib import Path

from magpieshift.config import ConfigError
from magpieshift.lab.capacity import derived_figures, results, scale_tables, tables
from magpieshift.lab.capacity.routers import REPOSITORY_ROOT
from magpieshift.lab.capacity.tables import Results

PAGE = Path(REPOSITORY_ROOT) / "docs" / "CAPACITY.md"
RESULTS_FOLDER = Path(REPOSITORY_ROOT) / "docs" / "capacity"
# names of the result files, oldest first
RESULT_NAMES = ("as-it-stood", "before", "after", "fan-out", "folder")

SECTION_PATTERN = re.compile(r"(<!-- capacity ([a-z-]+) -->\n)(.*?)(<!-- end -->)", re.DOTALL)

ROLE_SECTIONS: Mapping[str, tuple[str, ...]] = {
    "data-path": (
        "router: decisions",
        "router: objects known",
        "router: requests",
        "router: bytes of an answer",
    ),
    "router-control": (
        "router: purges",
        "fan-out: router",
        "router: list of caches",
        "router: versions",
    ),
    "change-log": ("change-log source",),
    "fan-out": ("fan-out: source", "fan-out: relay", "fan-out: relay, by purges", "fan-out: snapshot"),
    "control-service": (
        "control service: followers",
        "control service: versions kept",
        "control service: look at known versions",
        "control service: look of a source",
    ),
    "membership": ("membership",),
    "digests": ("overload digests",),
    "rollout": ("rollout: look", "rollout: judge's memory"),
    "commands": ("operator's commands",),
    "capture": ("capture",),
}
"""Sections with a table of roles, and the names of these roles."""

SECTIONS: Mapping[str, Callable[[Results], str]] = {
    "origins": tables.origins,
    "ranking": tables.ranking,
    "superlinear": tables.superlinear,
    "arithmetic": derived_figures.data_path,
    "control-machines": derived_figures.control_machines,
    "failures": derived_figures.failures,
}

SCALE_SECTIONS: Mapping[str, Callable[[Path], str]] = {
    "scale": scale_tables.runs,
    "calibration": scale_tables.calibrations,
}
"""Sections generated from the results of ``lab scale`` in the results folder."""


def load_results(folder: Path = RESULTS_FOLDER) -> Results:
    """The saved results by name; ``ConfigError`` if there are none, or if one cannot be read."""
    paths = {name: folder / f"{name}.json" for name in RESULT_NAMES}
    loaded = {name: results.load(path) for name, path in paths.items() if path.is_file()}
    if not loaded:
        raise ConfigError(f"{folder}: found no results, expected one of {', '.join(RESULT_NAMES)} (.json)")
    return loaded


def regenerate(text: str, loaded: Results, folder: Path = RESULTS_FOLDER) -> str:
    """The page with all text between markers regenerated; ``ConfigError`` if a section is unknown, missing or
    repeated."""
    names = [match[2] for match in SECTION_PATTERN.finditer(text)]
    known = [*SECTIONS, *ROLE_SECTIONS, *SCALE_SECTIONS]
    for name in known:
        if names.count(name) != 1:
            raise ConfigError(f"capacity page: found {names.count(name)} sections {name!r}, expected one")
    if unknown := set(names) - set(known):
        raise ConfigError(
            f"capacity page: found section {min(unknown)!r}, expected one of {', '.join(known)}"
        )
    return SECTION_PATTERN.sub(
        lambda match: f"{match[1]}{_section_text(match[2], loaded, folder)}\n{match[4]}", text
    )


def _section_text(name: str, loaded: Results, folder: Path) -> str:
    if name in SCALE_SECTIONS:
        return SCALE_SECTIONS[name](folder)
    if name in ROLE_SECTIONS:
        return tables.role_table(loaded, *ROLE_SECTIONS[name])
    return SECTIONS[name](loaded)


def rewrite(path: Path = PAGE, folder: Path = RESULTS_FOLDER) -> bool:
    """Regenerate the tables of the page file; returns whether the file changed."""
    try:
        text = path.read_text(encoding="utf-8")
    except OSError as err:
        raise ConfigError(f"{path} cannot be read: {err.strerror or err}") from err
    new_text = regenerate(text, load_results(folder), folder)
    path.write_text(new_text, encoding="utf-8")
    return new_text != text
