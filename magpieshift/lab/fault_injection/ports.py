"""Free ports of loopback for processes that end and start again."""

from __future__ import annotations

import contextlib
import os
import random
import socket

FIRST_PORT = 20_000
LAST_PORT = 32_000
PORTS_EACH = 300
PLACES = (LAST_PORT - FIRST_PORT) // PORTS_EACH


def free_ports(count: int) -> list[int]:
    """Ports of loopback that nobody has, for datagrams and connections, below those the system gives away
    by itself: a process that starts again must find its own still free. Processes that own a cluster
    each, side by side, begin to look in places of their own."""
    found: list[int] = []
    place = os.getpid() % PLACES
    start = FIRST_PORT + place * PORTS_EACH + random.randrange(PORTS_EACH // 2)  # not by the seed
    for port in (*range(start, LAST_PORT), *range(FIRST_PORT, start)):
        with contextlib.suppress(OSError), contextlib.ExitStack() as stack:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                sock = stack.enter_context(socket.socket(socket.AF_INET, kind))
                sock.bind(("127.0.0.1", port))
            found.append(port)
        if len(found) == count:
            return found
    raise OSError("no free ports on loopback")
