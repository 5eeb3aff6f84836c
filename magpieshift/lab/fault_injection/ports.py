"""Free ports of loopback for processes that end and start again."""

from __future__ import annotations

import contextlib
import os
import random
import socket

FIRST_PORT = 20_000
"""Lowest port tried: above the ports that services commonly have."""
LAST_PORT = 32_000
"""End of the ports tried: below the ephemeral ports that Linux gives out (32768 and up)."""
PORTS_PER_RANGE = 300
"""Width in ports of one test process's range: more than any cluster needs, so that neighbours seldom meet."""
PORT_RANGES = (LAST_PORT - FIRST_PORT) // PORTS_PER_RANGE
"""Number of ranges that test processes are spread over by their process id."""


class _LastPort:
    """Where this process has looked last, so that no two calls give the same port."""

    def __init__(self) -> None:
        self.port = 0
        """0 before the first call."""


_last = _LastPort()


def _first_port() -> int:
    """Where to begin to look: processes side by side begin in ranges of their own."""
    if _last.port:
        return _last.port + 1
    range_index = os.getpid() % PORT_RANGES
    offset = random.randrange(PORTS_PER_RANGE // 2)  # not drawn by a run's seed: two runs must not collide
    return FIRST_PORT + range_index * PORTS_PER_RANGE + offset


def free_port() -> int:
    """Return one port as ``free_ports`` does."""
    return free_ports(1)[0]


def free_ports(count: int) -> list[int]:
    """Return ports of loopback that are free for both datagrams and connections.

    They lie below the ephemeral range, so that no client's connection takes one before its process listens,
    or starts again. No two calls in one process give the same port. Raises ``OSError`` where there are not so
    many.
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
