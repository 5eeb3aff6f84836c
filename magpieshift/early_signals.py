"""Signal handling for a serving process from its start until its event loop handles signals.

By default a signal kills the process (exit code -1 for SIGHUP, -15 for SIGTERM). The imports alone take
several tenths of a second, so the handlers are installed before them; this module therefore imports only
small modules of the standard library.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Sequence
from types import FrameType

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that start the planned shutdown of a serving process."""
SERVING_COMMANDS = (("run",), ("relay", "source"), ("relay", "serve"), ("control", "serve"))
"""Commands that serve until a signal stops them. For all other commands signals keep their default effect."""

_early_reloads: list[int] = []
"""SIGHUPs received before the event loop handles signals."""


def is_serving_command(words: Sequence[str]) -> bool:
    """Whether these command-line arguments start a serving process; without arguments that is the router."""
    return not words or any(tuple(words[: len(each)]) == each for each in SERVING_COMMANDS)


def handle_early_signals() -> None:
    """Handle signals until ``magpieshift.signals`` does.

    A shutdown signal ends the process at once with exit code 0, as it has accepted no requests yet. A SIGHUP
    is remembered, because the settings file may have been read already.
    """
    for number in SHUTDOWN_SIGNALS:
        signal.signal(number, _exit_at_once)
    signal.signal(signal.SIGHUP, _remember_reload)


def take_early_reload() -> bool:
    """Whether a SIGHUP was received early and not acted on; clears it."""
    is_pending = bool(_early_reloads)
    _early_reloads.clear()
    return is_pending


def _exit_at_once(_number: int, _frame: FrameType | None) -> None:
    os._exit(0)


def _remember_reload(number: int, _frame: FrameType | None) -> None:
    _early_reloads.append(number)
