"""Signal handling on the event loop: SIGTERM and SIGINT start the planned shutdown, SIGHUP reloads the
configuration."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from magpieshift.early_signals import SHUTDOWN_SIGNALS, take_early_reload

log = logging.getLogger(__name__)


def ignore_reload() -> None:
    """SIGHUP handler for a process without a settings file to reload."""
    log.info("reload ignored")


@contextmanager
def signal_handlers(shut_down: Callable[[], None], reload: Callable[[], None]) -> Iterator[None]:
    """Handle signals in the running event loop, and ignore them after the block.

    ``reload`` is called at once if a SIGHUP was received earlier. SIGHUP is always handled, because by
    default it would kill the process with its open requests. After the block signals are ignored, because the
    default would let a second signal kill a process that is about to exit with code 0.
    """
    loop = asyncio.get_running_loop()
    for number in SHUTDOWN_SIGNALS:
        loop.add_signal_handler(number, shut_down)
    loop.add_signal_handler(signal.SIGHUP, reload)
    if take_early_reload():
        reload()
    try:
        yield
    finally:
        for number in (*SHUTDOWN_SIGNALS, signal.SIGHUP):
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
