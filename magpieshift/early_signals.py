"""The signals of a serving process from its first line on, until its event loop handles them.

Without a handler the system ends the process: SIGHUP with -1, SIGTERM with -15. The imports alone take
several tenths of a second, so the handlers stand before them; this module imports nothing but the standard
library's lightest parts.
"""

from __future__ import annotations

import os
import signal
from collections.abc import Sequence
from types import FrameType

SHUTDOWN_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""They end a serving process as planned."""
SERVING_COMMANDS = (("run",), ("relay", "source"), ("relay", "serve"), ("control", "serve"))
"""The commands that serve until a signal ends them; signals end others as the system does."""

_early_reloads: list[int] = []
"""The SIGHUPs that came before the event loop handled them."""


def is_serving_command(words: Sequence[str]) -> bool:
    """Whether the command line of these words serves; without any it runs the platform's router."""
    return not words or any(tuple(words[: len(each)]) == each for each in SERVING_COMMANDS)


def handle_early_signals() -> None:
    """Handle signals until ``magpieshift.signals`` does: a process that has taken nothing ends at once with
    0; a SIGHUP is remembered, as the settings file may have been read already."""
    for number in SHUTDOWN_SIGNALS:
        signal.signal(number, _exit_at_once)
    signal.signal(signal.SIGHUP, _remember_reload)


def take_early_reload() -> bool:
    """Whether a SIGHUP has come that nobody has heeded; it counts as heeded from now on."""
    is_pending = bool(_early_reloads)
    _early_reloads.clear()
    return is_pending


def _exit_at_once(_number: int, _frame: FrameType | None) -> None:
    os._exit(0)


def _remember_reload(number: int, _frame: FrameType | None) -> None:
    _early_reloads.append(number)
