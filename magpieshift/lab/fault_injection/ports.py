"""Finds free ports on loopback for processes that may be restarted on the same port."""

from __future__ import annotations

import contextlib
import os
import random
import socket

FIRST_PORT = 20_000
"""Lowest port tried: above the ports commonly used by services."""
LAST_PORT = 32_000
"""Exclusive upper limit of the ports tried: below the ephemeral ports of Linux (32768 and up)."""
PORTS_PER_RANGE = 300
"""Size of one test process's port range: larger than any cluster needs, so that they rarely collide."""
PORT_RANGES = (LAST_PORT - FIRST_PORT) // PORTS_PER_RANGE
"""Number of port ranges, to which test processes are assigned by process id."""


class _LastPort:
    """The last port that this process tried, so that no two calls return the same port."""

    def __init__(self) -> None:
        self.port = 0
        """0 before the first call."""


_last = _LastPort()


def _first_port() -> int:
    """Return the first port to try: concurrent processes start in different ranges."""
    if _last.port:
        return _last.port + 1
    range_index = os.getpid() % PORT_RANGES
    offset = random.randrange(
        PORTS_PER_RANGE // 2
    )  # independent of a run's seed, so that two runs do not collide
    return FIRST_PORT + range_index * PORTS_PER_RANGE + offset


def free_port() -> int:
    """Return one free port, see ``free_ports``."""
    return free_ports(1)[0]


def free_ports(count: int) -> list[int]:
    """Return ports on loopback that are free for both UDP and TCP.

    They are below the ephemeral range, so that no outgoing connection takes one before its process listens or
    restarts. No two calls in one process return the same port. Raises ``OSError`` if too few ports are free.
    """
    found: list[int] = []
    start = _first_port()
    for port in (*range(start, LAST_PORT), *range(FIRST_PORT, start)):
        _last.port = port
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                sock.bind(("127.0.0.1", port))
            found.append(port)
        if len(found) == count:
            return found
    raise OSError(f"found {len(found)} free ports on loopback, expected {count}")
