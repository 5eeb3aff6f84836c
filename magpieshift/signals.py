"""The process's signals: SIGTERM and SIGINT shut the router down, SIGHUP reloads its configuration."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)


@contextmanager
def signal_handlers(shut_down: Callable[[], None], reload: Callable[[], None]) -> Iterator[None]:
    """Handle signals in the running event loop; ignore them after the block.

    SIGHUP is always handled: by default it would kill the router with all its open requests. Afterwards the
    loop would leave the signals to the system, and a second one would kill a process about to exit with 0.
    """
    loop = asyncio.get_running_loop()
    for number in SHUTDOWN_SIGNALS:
        loop.add_signal_handler(number, shut_down)
    loop.add_signal_handler(signal.SIGHUP, reload)
    try:
        yield
    finally:
        for number in (*SHUTDOWN_SIGNALS, signal.SIGHUP):
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
