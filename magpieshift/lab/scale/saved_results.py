"""Saved results: the figures of a run with what is needed to reproduce it."""

from __future__ import annotations

import datetime
import json
import os
import platform
import shlex
import subprocess
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[3]


def _commit() -> str:
    """The commit of the source tree, with a suffix if files differ from it; empty if git reports none."""
    try:
        described = subprocess.run(
            ["git", "describe", "--always", "--dirty", "--abbrev=12"],
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
    except (OSError, subprocess.CalledProcessError):
        return ""
    return described.stdout.strip()


def save_result(path: str, figures: Mapping[str, Any], seed: int) -> None:
    """Write the figures with command line, commit, seed, date, Python version and number of cores;
    ``OSError`` if the file cannot be written."""
    command = shlex.join(["magpieshift", *sys.argv[1:]])
    saved = {
        "command": command,
        "commit": _commit(),
        "seed": seed,
        "date": datetime.datetime.now(datetime.UTC).isoformat(timespec="seconds"),
        "python": platform.python_version(),
        "cores": _cores(),
        "figures": dict(figures),
    }
    Path(path).write_text(json.dumps(saved, indent=1) + "\n", encoding="utf-8")


def _cores() -> int:
    return os.cpu_count() or 0
