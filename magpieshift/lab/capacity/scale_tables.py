"""Tables of results saved by ``lab scale``: runs of hollow routers, and their calibration against real
routers."""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from magpieshift.config import ConfigError
from magpieshift.lab.capacity.tables import NO_VALUE, format_number, table

RUN_FILES = "scale-*.json"
CALIBRATION_FILES = "calibration-*.json"
RUN_COLUMNS = {
    "% of a core a router": "cpu_percent_per_router",
    "MB a router": "mb_per_router",
    "bytes a second a router": "bytes_per_router_s",
    "control, % of a core in all": "control_cpu_percent",
    "purge done, p99 s": "purge_done_p99_s",
    "at worst": "purge_done_max_s",
    "version in force, at worst s": "version_in_force_max_s",
    "lost": "lost",
    "out of order": "out_of_order",
    "load average": "load_average",
}
CALIBRATION_COLUMNS = {
    "processor, in one process": "cpu_percent_together",
    "processor, in a process each": "cpu_percent_apart",
    "bytes": "bytes_s_apart",
    "memory, in one process": "mb_together",
    "memory, in a process each": "mb_apart",
}


def runs(folder: Path) -> str:
    """The table of runs, one row for each saved run."""
    rows = []
    for path in sorted(folder.glob(RUN_FILES), key=_by_size):
        saved = _load(path)
        figures = saved["figures"]
        values = [format_number(figures[key]) for key in RUN_COLUMNS.values()]
        broken = "; ".join(figures["rules_broken"]) or "none"
        rows.append([path.stem.removeprefix("scale-"), saved["commit"][:7], *values, broken])
    return table(["run", "commit", *RUN_COLUMNS, "rules broken"], rows)


def calibrations(folder: Path) -> str:
    """The table of calibrations, one row for each size: the cost of hollow routers divided by that of real
    ones."""
    rows = []
    for path in sorted(folder.glob(CALIBRATION_FILES), key=_by_size):
        saved = _load(path)
        for row in saved["figures"]["rows"]:
            ratios = [_ratio(row, key) for key in CALIBRATION_COLUMNS.values()]
            rows.append(
                [format_number(row["routers"]), format_number(row["runs"]), saved["commit"][:7], *ratios]
            )
    return table(["routers", "runs", "commit", *CALIBRATION_COLUMNS], rows)


def _ratio(row: Mapping[str, Any], key: str) -> str:
    """The ratio of the means and its range over the runs."""
    ratio, low, high = (row.get(f"{key}_ratio{end}") for end in ("", "_low", "_high"))
    if ratio is None:
        return NO_VALUE
    return f"{format_number(ratio)} ({format_number(low)} to {format_number(high)})"


def _by_size(path: Path) -> tuple[str, int]:
    name, _, size = path.stem.rpartition("-")
    return name, int(size) if size.isdecimal() else 0


def _load(path: Path) -> dict[str, Any]:
    try:
        saved = json.loads(path.read_text(encoding="utf-8"))
        figures = saved["figures"]
        expected_keys = (
            ("rows",) if path.match(CALIBRATION_FILES) else (*RUN_COLUMNS.values(), "rules_broken")
        )
        missing = [key for key in expected_keys if key not in figures]
        if missing or not saved["commit"]:
            raise ValueError(f"missing {' '.join(missing) or 'commit'}")
    except (OSError, ValueError, TypeError, KeyError) as err:
        raise ConfigError(
            f"{path}: found {type(err).__name__}: {err}, expected a result of lab scale"
        ) from err
    return dict(saved)
