"""Whether so many hollow routers fit: they may take half of the machine's memory."""

from __future__ import annotations

from pathlib import Path

from magpieshift.config import ConfigError

MAX_MEMORY_FRACTION = 0.5  # of the machine's memory: the rest is for its other work
PROCESS_MB = 90.0  # a process with its modules, before its first router
ROUTER_MB = 1.0  # a hollow router with an empty list
ROUTER_MB_PER_CACHE = 0.0026  # a hollow router's record of one cache
MAX_PROCESSES = 300  # more are refused before anything is started


def machine_mb(meminfo: str = "") -> float:
    """The machine's memory by the text of ``/proc/meminfo``, read where it is not given."""
    text = meminfo or Path("/proc/meminfo").read_text(encoding="ascii")
    for line in text.splitlines():
        name, _, value = line.partition(":")
        if name == "MemTotal":
            return int(value.split()[0]) / 1024
    raise ConfigError("/proc/meminfo has no MemTotal")


def needed_mb(routers: int, processes: int, caches: int) -> float:
    """What a run takes, by the largest increments that runs have measured (3.5 MB a router at 1000 caches, in
    a burst; 1.6 to 2.8 MB otherwise)."""
    return processes * PROCESS_MB + routers * (ROUTER_MB + caches * ROUTER_MB_PER_CACHE)


def check(routers: int, processes: int, caches: int, of_mb: float = 0.0) -> None:
    """``ConfigError`` where a run would take more than ``MAX_MEMORY_FRACTION`` of the machine's memory, or
    more than ``MAX_PROCESSES`` processes."""
    limit_mb = MAX_MEMORY_FRACTION * (of_mb or machine_mb())
    wanted_mb = needed_mb(routers, processes, caches)
    if wanted_mb > limit_mb:
        raise ConfigError(
            f"--routers: found {routers}, which take {wanted_mb:.0f} MB; expected at most {limit_mb:.0f} MB, "
            "half of the machine's memory"
        )
    if processes > MAX_PROCESSES:
        raise ConfigError(f"processes: found {processes}, expected at most {MAX_PROCESSES}")
