"""Processor time and memory of processes, as the kernel counts them."""

from __future__ import annotations

import gc
import re
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

CPUCLOCK_SCHED = 2  # of the kernel's interface: a process's clock of user and system time


def processor_s(pid: int) -> float:
    """Processor seconds of a process and its threads so far, to the nanosecond; ``OSError`` where it has
    ended. The clock's number is that of clock_getcpuclockid(3)."""
    return time.clock_gettime((~pid << 3) | CPUCLOCK_SCHED)


def resident_mb(pid: int) -> float:
    """Resident memory of a process in megabytes (10**6 bytes)."""
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmRSS:\s+(\d+) kB", status)
    if found is None:
        raise ProcessLookupError(f"process {pid} has no memory: it has ended")
    return int(found[1]) * 1024 / 1e6


class ProcessorTime:
    """Processor seconds that a block took."""

    seconds = 0.0


@contextmanager
def count_processor_time() -> Iterator[ProcessorTime]:
    """Count this process's processor time in a block, without pauses for garbage of earlier ones."""
    spent = ProcessorTime()
    gc.collect()
    gc.disable()
    began = time.process_time()
    try:
        yield spent
    finally:
        spent.seconds = time.process_time() - began
        gc.enable()
