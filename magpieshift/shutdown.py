"""The planned shutdown: answers all accepted requests, delivers the answers, then closes every connection.

The platform sends SIGKILL no sooner than a fixed time after SIGTERM; by then all requests are answered. What
slow clients have yet to receive is delivered after that, in a bounded time.
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
"""How long requests are accepted after SIGTERM: the platform's clients open connections for up to 0.4 s more,
and send new requests on open ones for 0.2 s after that."""
MAX_CLIENT_WAIT_S = 3.0
"""Longest time that a shutdown waits for open requests, whatever the classes allow: the longest wait of the
platform's clients."""
ANSWER_MARGIN_S = 0.55
"""Requests still open this long after the longest wait get the fallback answer; SIGKILL follows 0.15 s
later."""
CLOSE_TIMEOUT_S = 0.1
"""Time to close all connections after that, without losing data already written to them; it begins anew while
clients receive their answers."""
POLL_INTERVAL_S = 0.01
"""Polling interval while waiting for open requests. A smaller one ends slightly sooner but costs event loop
iterations."""


async def drain(
    engine: Engine,
    downstream: DownstreamServer,
    lifecycle: Lifecycle,
    longest_deadline_s: Callable[[], float],
) -> None:
    """Serve for ``DRAIN_S`` more, wait for open requests, answer those left, and close all client
    connections.

    ``longest_deadline_s`` returns the longest deadline of the classes in force when it is called.
    """
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
            while engine.open_requests or downstream.has_undelivered:
                await asyncio.sleep(POLL_INTERVAL_S)
    engine.answer_all()
    # From here on new requests are rejected at once, and idle connections are closed.
    time_left_s = max(answer_by_s - loop.time(), 0.0)
    await downstream.shut_down(min(time_left_s + CLOSE_TIMEOUT_S, LINGER_TIMEOUT_S))
