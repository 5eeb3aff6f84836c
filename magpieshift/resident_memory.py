"""The resident memory of this process."""

from __future__ import annotations

import os
from pathlib import Path

STATM = Path("/proc/self/statm")
RESIDENT_COLUMN = 1
"""Column of the number of resident pages in ``STATM``."""


def resident_bytes() -> int | None:
    """Resident memory of this process, mapped files included; None if the system does not tell."""
    try:
        pages = int(STATM.read_text(encoding="ascii").split()[RESIDENT_COLUMN])
    except (OSError, ValueError, IndexError):
        return None
    return pages * os.sysconf("SC_PAGE_SIZE")
