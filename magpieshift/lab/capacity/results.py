"""Saved results: the rows, and the code, machine and seed that they come from."""

from __future__ import annotations

import datetime
import json
import os
import platform
import subprocess
from collections.abc import Sequence
from dataclasses import asdict, dataclass, fields
from pathlib import Path
from typing import Any

from magpieshift.config import ConfigError
from magpieshift.lab.capacity.measure import Row

UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class Origin:
    """The origin of a result."""

    command: str
    commit: str  # commit of the router that was measured
    seed: int
    date: str  # time of the run in UTC
    cores: int
    python: str
    took_s: float
    failures: tuple[str, ...] = ()  # one line for each failed measurement, with the reason


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one run over the requested roles."""

    origin: Origin
    rows: tuple[Row, ...]

    def to_json(self) -> str:
        """The result as JSON with one row a line, so that a line diff of two results is readable."""
        rows = ",\n".join("  " + json.dumps(asdict(row)) for row in self.rows)
        return f'{{"origin": {json.dumps(asdict(self.origin))},\n"rows": [\n{rows}\n]}}\n'


def origin(command: str, folder: str, seed: int, took_s: float, failures: Sequence[str]) -> Origin:
    """The origin of a run that measured the router of the checkout in ``folder``."""
    now = datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds")
    cores = os.cpu_count() or 0
    python = platform.python_version()
    return Origin(command, _commit(folder), seed, now, cores, python, round(took_s, 1), tuple(failures))


def _commit(folder: str) -> str:
    """The commit of a checkout, with the suffix ``-dirty`` if tracked files differ from it."""
    try:
        found = subprocess.run(
            ["git", "-C", folder, "describe", "--always", "--abbrev=7", "--dirty"],
            capture_output=True,
            text=True,
            timeout=10,
            check=True,
        )
    except (OSError, subprocess.SubprocessError):
        return UNKNOWN
    return found.stdout.strip()


def save(result: Result, path: str) -> None:
    """Write a result; ``ConfigError`` if the file cannot be written."""
    try:
        Path(path).write_text(result.to_json(), encoding="utf-8")
    except OSError as err:
        raise ConfigError(f"{path} cannot be written: {err.strerror or err}") from err


def load(path: Path) -> Result:
    """Read a result; ``ConfigError`` if the file cannot be read or is not a result."""
    try:
        data = json.loads(path.read_text(encoding="utf-8"))
        rows = tuple(_row_from_json(row) for row in data["rows"])
        origin_data = data["origin"]
        return Result(Origin(**(origin_data | {"failures": tuple(origin_data["failures"])})), rows)
    except OSError as err:
        raise ConfigError(f"{path} cannot be read: {err.strerror or err}") from err
    except (ValueError, TypeError, KeyError) as err:
        raise ConfigError(f"{path}: found {type(err).__name__}: {err}, expected a capacity result") from err


def _row_from_json(data: dict[str, Any]) -> Row:
    expected_fields = {field.name for field in fields(Row)}
    if set(data) != expected_fields:
        raise ValueError(f"row has missing or unknown fields {sorted(set(data) ^ expected_fields)}")
    interval = data["interval"]
    return Row(**(data | {"interval": tuple(interval) if interval is not None else None}))


def ranked(rows: Sequence[Row]) -> list[Row]:
    """Rows sorted by ratio to the budget, the largest first; rows without a ratio come last."""
    return sorted(rows, key=lambda row: (row.ratio is None, -(row.ratio or 0.0), row.role, row.resource))
