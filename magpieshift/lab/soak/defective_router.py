"""Runs a router with a defect in its handling of signals or its shutdown, which a soak has to detect:
``python -m magpieshift.lab.soak.defective_router DEFECT [ROUTER_ARGUMENT ...]``.

Defects are injected from outside: the router's own code contains none.
"""

from __future__ import annotations

import os
import runpy
import socket
import struct
import sys
from collections.abc import Callable
from typing import Any

from magpieshift import shutdown, signals
from magpieshift.edge_router import EdgeRouter
from magpieshift.engine.engine import Engine
from magpieshift.sockets import LingeringClose

RESET = struct.pack("ii", 1, 0)
"""SO_LINGER with a time of 0 s: closing the socket sends RST."""


def _drop_open_requests() -> None:
    """Requests that are open at shutdown get no answer."""
    Engine.answer_all = lambda self: None  # type: ignore[method-assign]
    shutdown.MAX_CLIENT_WAIT_S = 1.0


def _close_listener_early() -> None:
    """The listener closes at SIGTERM, while clients still open connections."""
    original = EdgeRouter.stop

    def stop(self: EdgeRouter) -> None:
        self._downstream.stop_listening()
        original(self)

    EdgeRouter.stop = stop  # type: ignore[method-assign]


def _end_at_second_signal() -> None:
    """A second SIGTERM ends the process immediately."""
    original = EdgeRouter.stop

    def stop(self: EdgeRouter) -> None:
        if self.is_shutting_down:
            os._exit(0)
        original(self)

    EdgeRouter.stop = stop  # type: ignore[method-assign]


def _drop_connection_at_reload() -> None:
    """A reload closes the clients' connections, even those with open requests."""
    original = signals.signal_handlers

    def handlers(shut_down: Callable[[], None], reload: Callable[[], None]) -> Any:
        def drop() -> None:
            router: Any = getattr(shut_down, "__self__", None)
            for connection in list(router._downstream._connections):
                connection._stream.close()
            reload()

        return original(shut_down, drop)

    import magpieshift.app

    magpieshift.app.signal_handlers = handlers  # type: ignore[attr-defined]


def _reset_in_place_of_lingering() -> None:
    """Connections are reset instead of closed and read until their end."""

    def begin(self: LingeringClose, sock: socket.socket) -> None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()

    LingeringClose.begin = begin  # type: ignore[method-assign]


DEFECTS: dict[str, Callable[[], None]] = {
    "answers-dropped": _drop_open_requests,
    "listener-closed-early": _close_listener_early,
    "second-signal-ends": _end_at_second_signal,
    "reload-drops-connections": _drop_connection_at_reload,
    "reset-at-close": _reset_in_place_of_lingering,
}
"""Functions that inject a defect, by the defect's name."""


def main() -> None:
    """Run a router with a defect."""
    DEFECTS[sys.argv.pop(1)]()
    runpy.run_module("magpieshift", run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
