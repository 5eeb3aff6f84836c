"""Starts the program, and holds it at one step of its start until a line comes on standard input.

usage: python -m tests.held_start EVENT NAME [PROGRAM_ARGUMENT ...]

A step is an audit event of the interpreter (``import``, ``open``, ``socket.bind``), and for ``import`` and
``open`` the module or the end of the file's name. ``held`` is printed when the step is reached; signals are
handled meanwhile.
"""

from __future__ import annotations

import runpy
import sys

NO_NAME = "-"
"""For an event whose name does not matter."""


class Hold:
    """Waits at the first event that fits."""

    def __init__(self, event: str, name: str) -> None:
        self._event = event
        self._name = name
        self._is_over = False

    def __call__(self, event: str, arguments: tuple[object, ...]) -> None:
        """The interpreter's audit hook."""
        if self._is_over or event != self._event:
            return
        if self._name != NO_NAME and not str(arguments[0]).endswith(self._name):
            return
        self._is_over = True
        print("held", flush=True)
        sys.stdin.readline()


if __name__ == "__main__":
    sys.addaudithook(Hold(sys.argv[1], sys.argv[2]))
    del sys.argv[1:3]
    runpy.run_module("magpieshift", run_name="__main__", alter_sys=True)
