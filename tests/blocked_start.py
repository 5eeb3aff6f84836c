"""Starts the program and blocks it at one step of its start until a line is read from standard input.

usage: python -m tests.blocked_start EVENT NAME [PROGRAM_ARGUMENT ...]

A step is an audit event of the interpreter (``import``, ``open``, ``socket.bind``); for ``import`` and
``open`` NAME is the end of the module or file name. ``held`` is printed when the step is reached; signals are
handled while it is blocked.
"""

from __future__ import annotations

import runpy
import sys

ANY_NAME = "-"
"""Matches an event whatever its first argument is."""


class BlockAtEvent:
    """Audit hook that blocks at the first matching event."""

    def __init__(self, event: str, name: str) -> None:
        self._event = event
        self._name = name
        self._has_blocked = False

    def __call__(self, event: str, arguments: tuple[object, ...]) -> None:
        """Handle one audit event."""
        if self._has_blocked or event != self._event:
            return
        if self._name != ANY_NAME and not str(arguments[0]).endswith(self._name):
            return
        self._has_blocked = True
        print("held", flush=True)
        sys.stdin.readline()


if __name__ == "__main__":
    sys.addaudithook(BlockAtEvent(sys.argv[1], sys.argv[2]))
    del sys.argv[1:3]
    runpy.run_module("magpieshift", run_name="__main__", alter_sys=True)
