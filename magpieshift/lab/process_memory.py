"""Memory of a process, as the kernel reports it."""

from __future__ import annotations

from enum import StrEnum
from pathlib import Path

BYTES_PER_KB = 1024
KB_PER_MB = 1024


class MemoryKind(StrEnum):
    """A kind of memory; the values are the names in ``/proc/PID/status``."""

    RESIDENT = "VmRSS"
    """All memory that is present, mapped files included."""
    ANONYMOUS = "RssAnon"
    """What the process has for itself: the memory that a platform's limit counts."""


def memory_bytes(pid: int, kind: MemoryKind) -> int:
    """Memory of a process in bytes; ``OSError`` if the process has ended."""
    for line in Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines():
        if line.startswith(f"{kind.value}:"):
            return int(line.split()[1]) * BYTES_PER_KB
    raise ProcessLookupError(f"found no {kind.value} of process {pid}: it has ended")


def memory_mb(pid: int, kind: MemoryKind) -> float:
    """Memory of a process in MB of 2**20 bytes; ``OSError`` if the process has ended."""
    return memory_bytes(pid, kind) / (BYTES_PER_KB * KB_PER_MB)
