"""Checks that a run fits into the machine's memory, of which it may take half."""

from __future__ import annotations

from pathlib import Path

from magpieshift.config import ConfigError

MAX_MEMORY_FRACTION = 0.5  # of the machine's memory; the rest is left for its other work
PROCESS_MB = 90.0  # a process with its modules loaded, before its first router
ROUTER_MB = 1.0  # a hollow router with an empty list of caches
ROUTER_MB_PER_CACHE = 0.0026  # added to a hollow router by each cache in its list
MAX_PROCESSES = 300  # a run that needs more is refused before any process is started


def machine_mb(meminfo: str = "") -> float:
    """The machine's memory, from ``meminfo`` or, where it is empty, from ``/proc/meminfo``."""
    text = meminfo or Path("/proc/meminfo").read_text(encoding="ascii")
    for line in text.splitlines():
        name, _, value = line.partition(":")
        if name == "MemTotal":
            return int(value.split()[0]) / 1024
    raise ConfigError("/proc/meminfo has no MemTotal")


def needed_mb(routers: int, processes: int, caches: int) -> float:
    """The memory that a run needs, estimated from the largest increments that runs have shown (3.5 MB per
    router at 1000 caches, in a burst; 1.6 to 2.8 MB otherwise)."""
    return processes * PROCESS_MB + routers * (ROUTER_MB + caches * ROUTER_MB_PER_CACHE)


def check(routers: int, processes: int, caches: int, total_mb: float = 0.0) -> None:
    """Raise ``ConfigError`` where a run needs more than ``MAX_MEMORY_FRACTION`` of the memory, or more than
    ``MAX_PROCESSES`` processes. ``total_mb`` is the machine's memory; 0: read it."""
    limit_mb = MAX_MEMORY_FRACTION * (total_mb or machine_mb())
    wanted_mb = needed_mb(routers, processes, caches)
    if wanted_mb > limit_mb:
        raise ConfigError(
            f"--routers: found {routers}, which take {wanted_mb:.0f} MB; expected at most {limit_mb:.0f} MB, "
            "half of the machine's memory"
        )
    if processes > MAX_PROCESSES:
        raise ConfigError(f"processes: found {processes}, expected at most {MAX_PROCESSES}")
