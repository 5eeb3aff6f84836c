"""Processor time and memory of processes, read from the kernel."""

from __future__ import annotations

import gc
import time
from collections.abc import Iterator
from contextlib import contextmanager

from magpieshift.lab.process_memory import MemoryKind, memory_bytes

CPUCLOCK_SCHED = 2  # kernel constant that selects a process's clock of user and system time


def processor_s(pid: int) -> float:
    """Processor seconds used so far by a process and all its threads, with nanosecond resolution. ``OSError``
    if the process has ended. The clock id is computed as in clock_getcpuclockid(3)."""
    return time.clock_gettime((~pid << 3) | CPUCLOCK_SCHED)


def resident_mb(pid: int) -> float:
    """Resident memory of a process in megabytes (10**6 bytes); ``OSError`` if the process has ended."""
    return memory_bytes(pid, MemoryKind.RESIDENT) / 1e6


class ProcessorTime:
    """Processor seconds used by a block; set when the block ends."""

    seconds = 0.0


@contextmanager
def count_processor_time() -> Iterator[ProcessorTime]:
    """Count this process's processor time in a block. Garbage is collected before, and collection is off
    within the block, so that garbage of earlier measurements does not count."""
    spent = ProcessorTime()
    gc.collect()
    gc.disable()
    began = time.process_time()
    try:
        yield spent
    finally:
        spent.seconds = time.process_time() - began
        gc.enable()
