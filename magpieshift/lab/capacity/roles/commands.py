"""Operator's commands: the cost of checking a settings file, by its number of zones."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from pathlib import Path

from magpieshift.control import sexp
from magpieshift.lab.capacity import fleet
from magpieshift.lab.capacity.documents import settings
from magpieshift.lab.capacity.role import Budget, Resource, Sample


class ConfigCheck:
    """A ``magpieshift config check`` process, by the number of zones in the settings file."""

    name = "operator's commands"
    quantity = "zones in the settings"
    target = float(fleet.SITES)
    sizes = (24.0, 46.0, 92.0, 185.0, 370.0, 740.0)
    quick_sizes = (12.0, 24.0, 46.0, 92.0)
    repeats = 2
    simulated = False
    resources = (
        Resource("processor", "ms a check", Budget(1000.0, "a person waits no more than a second, assumed")),
        Resource("document", "bytes", Budget((1 << 20) / 2, "half of what one control message may carry")),
    )

    def measure(self, size: float, seed: int, duration_s: float) -> Sample:
        """Check one settings file with ``size`` zones."""
        text = sexp.format_document(settings(int(size)))
        with tempfile.TemporaryDirectory(prefix="magpieshift-lab-") as folder:
            path = Path(folder) / "settings.sexp"
            path.write_text(text)
            process = subprocess.Popen(
                [sys.executable, "-m", "magpieshift", "config", "check", str(path)],
                stdout=subprocess.DEVNULL,
            )
            _, status, usage = os.wait4(process.pid, 0)
            process.returncode = os.waitstatus_to_exitcode(status)
        if process.returncode:
            raise RuntimeError(f"config check exited with code {process.returncode}, expected 0")
        spent_s = usage.ru_utime + usage.ru_stime
        return Sample(size, {"processor": 1e3 * spent_s, "document": len(text.encode())})
