"""The process's signals: SIGTERM and SIGINT shut it down as planned, SIGHUP reloads its configuration."""

from __future__ import annotations

import asyncio
import logging
import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from magpieshift.early_signals import SHUTDOWN_SIGNALS, take_early_reload

log = logging.getLogger(__name__)


def ignore_reload() -> None:
    """What SIGHUP does in a process that has no settings file to read again."""
    log.info("reload ignored")


@contextmanager
def signal_handlers(shut_down: Callable[[], None], reload: Callable[[], None]) -> Iterator[None]:
    """Handle signals in the running event loop; ignore them after the block.

    ``reload`` is called at once where a SIGHUP came earlier. SIGHUP is always handled: by default it would
    kill the process with all that is open. Afterwards the loop would leave the signals to the system, and a
    second one would kill a process about to exit with 0.
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
