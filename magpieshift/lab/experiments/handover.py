"""Counts the outcomes of connections while one listener takes over an address from another, by method.

Client threads connect, send one byte and wait for one byte back, in a tight loop. Meanwhile a second listener
starts on the same address and the first one stops. Everything runs in one process.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum

from magpieshift.sockets import listen_socket, steer_to_second

OUTCOMES = ("answered", "reset", "refused", "closed unread")
"""Outcomes of a connection; the names of the report's columns."""
OVERLAP_S = 0.05  # time in which both listen; a longer one counts more connections
ACCEPT_POLL_S = 0.005  # interval at which a listener checks its stop event; well below the overlap
CLIENT_TIMEOUT_S = 1.0  # socket timeout; one byte over loopback takes microseconds


class Method(StrEnum):
    """How the first listener stops. The values are the names of the report's rows."""

    CLOSED = "closed"
    """It closes its socket, with the connections in its backlog unaccepted."""
    EMPTIED = "emptied"
    """It accepts the connections in its backlog, then closes."""
    STEERED = "steered"
    """New connections are steered to the second listener; then the first accepts its backlog and closes."""
    PASSED_ON = "passed on"
    """The second listener uses a duplicate of the first one's socket, and so its backlog."""


@dataclass
class Listener:
    """Accepts and answers connections, in a thread of its own."""

    sock: socket.socket
    drains_backlog: bool
    """Whether it accepts the connections in its backlog before it closes."""
    stopping: threading.Event = field(default_factory=threading.Event)

    def run(self) -> None:
        """Serve until ``stopping`` is set, then close the socket."""
        self.sock.settimeout(ACCEPT_POLL_S)
        while not self.stopping.is_set():
            with contextlib.suppress(TimeoutError):
                self._answer(self.sock.accept()[0])
        if self.drains_backlog:
            self.sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    self._answer(self.sock.accept()[0])
        self.sock.close()

    @staticmethod
    def _answer(client: socket.socket) -> None:
        with client, contextlib.suppress(OSError):
            client.settimeout(CLIENT_TIMEOUT_S)
            client.sendall(client.recv(1))


def _run_client(address: tuple[str, int], end_s: float, counts: Counter[str]) -> None:
    """Connect repeatedly until ``end_s`` on the steady clock, and count the connections by outcome."""
    while time.monotonic() < end_s:
        try:
            with socket.create_connection(address, CLIENT_TIMEOUT_S) as sock:
                sock.sendall(b"x")
                counts["answered" if sock.recv(1) else "closed unread"] += 1
        except ConnectionRefusedError:
            counts["refused"] += 1
        except OSError:
            counts["reset"] += 1


def hand_over(method: Method, clients: int) -> Counter[str]:
    """Carry out one handover under load. Returns the number of connections by outcome."""
    first = listen_socket("127.0.0.1", 0, shared=True)
    host, port = first.getsockname()
    old = Listener(first, drains_backlog=method in (Method.EMPTIED, Method.STEERED))
    counts = [Counter[str]() for _ in range(clients)]
    end_s = time.monotonic() + 3 * OVERLAP_S
    threads = [threading.Thread(target=old.run)]
    threads += [threading.Thread(target=_run_client, args=((host, port), end_s, each)) for each in counts]
    for thread in threads:
        thread.start()
    time.sleep(OVERLAP_S)
    is_passed_on = method is Method.PASSED_ON
    second = first.dup() if is_passed_on else listen_socket(host, port, shared=True)
    new = Listener(second, drains_backlog=False)
    new_thread = threading.Thread(target=new.run)
    new_thread.start()
    if method is Method.STEERED:
        steer_to_second(second)
    time.sleep(OVERLAP_S)
    old.stopping.set()
    for thread in threads:
        thread.join()
    new.stopping.set()
    new_thread.join()
    return sum(counts, Counter[str]())


def measure(rounds: int, clients: int) -> dict[str, Counter[str]]:
    """Alternate between the methods, with ``rounds`` handovers each: connections by method and outcome."""
    totals = {method.value: Counter[str]() for method in Method}
    for _ in range(rounds):
        for method in Method:
            totals[method.value] += hand_over(method, clients)
    return totals
