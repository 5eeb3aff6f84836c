"""The planned shutdown: what was taken is answered, then every connection is closed, within a bounded time.

The process is killed (SIGKILL) at a time that counts from SIGTERM; all the times here fit into it.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable

from magpieshift.downstream.server import DownstreamServer
from magpieshift.engine.engine import Engine
from magpieshift.lifecycle import ARRIVALS_SETTLED_US, Lifecycle
from magpieshift.sockets import LINGER_TIMEOUT_S

DRAIN_S = 0.8
"""How long requests are taken after SIGTERM: the platform's clients open connections for 0.4 s more, and send
new requests on open ones for 0.2 s after that."""
MAX_CLIENT_WAIT_S = 3.0
"""The longest wait of a client that a shutdown gives time for, whatever the classes allow: the platform's."""
ANSWER_MARGIN_S = 0.55
"""What is open so long after the longest wait is answered as it is; SIGKILL comes 0.15 s later."""
CLOSE_TIMEOUT_S = 0.1
"""In which all connections are closed then, without destroying what was written on them."""
POLL_INTERVAL_S = 0.01
"""Between two looks at whether all is answered. Smaller ends a little sooner and costs turns
of the event loop."""


async def drain(
    engine: Engine,
    downstream: DownstreamServer,
    lifecycle: Lifecycle,
    longest_deadline_s: Callable[[], float],
) -> None:
    """Serve for ``DRAIN_S`` more, wait for what is open, answer what is left, and close all clients'
    connections. ``longest_deadline_s`` is the longest deadline of any class then in force."""
    arrivals_settled_s = ARRIVALS_SETTLED_US / 1e6
    await asyncio.sleep(arrivals_settled_s)
    downstream.send_go_away()
    if lifecycle.replacement_serves:
        downstream.stop_listening()
    await asyncio.sleep(DRAIN_S - arrivals_settled_s)
    loop = asyncio.get_running_loop()
    wait_s = min(longest_deadline_s(), MAX_CLIENT_WAIT_S)
    answer_by_s = loop.time() + wait_s + ANSWER_MARGIN_S - DRAIN_S
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout_at(answer_by_s):
            while engine.open_requests or downstream.has_unsent:
                await asyncio.sleep(POLL_INTERVAL_S)
    engine.answer_all()
    # What comes from here on is answered at once, and idle connections are closed.
    time_left_s = max(answer_by_s - loop.time(), 0.0)
    await downstream.shut_down(min(time_left_s + CLOSE_TIMEOUT_S, LINGER_TIMEOUT_S))
