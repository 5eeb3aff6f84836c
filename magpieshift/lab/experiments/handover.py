"""What becomes of connections while one listener takes an address over from another, by the way it is done.

Clients in threads connect, say one byte and wait for one back, as fast as they can; in the midst of it a
second listener joins and the first goes. Who meets a reset or a refusal is counted. All in one process.
"""

from __future__ import annotations

import contextlib
import socket
import threading
import time
from collections import Counter
from dataclasses import dataclass, field

from magpieshift.sockets import listen_socket, steer_to_second

OUTCOMES = ("answered", "reset", "refused", "closed unread")
WAYS = ("closed", "emptied", "steered", "passed on")
BESIDE_S = 0.05  # in which both listen


@dataclass
class Listener:
    """Accepts and answers in a thread of its own, until told to leave."""

    sock: socket.socket
    empties: bool
    leaving: threading.Event = field(default_factory=threading.Event)

    def run(self) -> None:
        self.sock.settimeout(0.005)
        while not self.leaving.is_set():
            with contextlib.suppress(TimeoutError):
                self._answer(self.sock.accept()[0])
        if self.empties:
            self.sock.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                while True:
                    self._answer(self.sock.accept()[0])
        self.sock.close()

    def _answer(self, client: socket.socket) -> None:
        with client, contextlib.suppress(OSError):
            client.settimeout(1.0)
            client.sendall(client.recv(1))


def _call(address: tuple[str, int], until: float, counts: Counter[str]) -> None:
    while time.monotonic() < until:
        try:
            with socket.create_connection(address, 1.0) as sock:
                sock.sendall(b"x")
                counts["answered" if sock.recv(1) else "closed unread"] += 1
        except ConnectionRefusedError:
            counts["refused"] += 1
        except OSError:
            counts["reset"] += 1


def once(way: str, clients: int) -> Counter[str]:
    """One handover under load."""
    first = listen_socket("127.0.0.1", 0, shared=True)
    host, port = first.getsockname()
    old = Listener(first, empties=way in ("emptied", "steered"))
    counts = [Counter[str]() for _ in range(clients)]
    ends = time.monotonic() + 3 * BESIDE_S
    threads = [threading.Thread(target=old.run)]
    threads += [threading.Thread(target=_call, args=((host, port), ends, each)) for each in counts]
    for thread in threads:
        thread.start()
    time.sleep(BESIDE_S)
    second = first.dup() if way == "passed on" else listen_socket(host, port, shared=True)
    new = Listener(second, empties=False)
    threads.append(threading.Thread(target=new.run))
    threads[-1].start()
    if way == "steered":
        steer_to_second(second)
    time.sleep(BESIDE_S)
    old.leaving.set()
    for thread in threads[:-1]:
        thread.join()
    new.leaving.set()
    threads[-1].join()
    return sum(counts, Counter[str]())


def measure(rounds: int, clients: int) -> dict[str, Counter[str]]:
    """All ways, in turn."""
    totals = {way: Counter[str]() for way in WAYS}
    for _ in range(rounds):
        for way in WAYS:
            totals[way] += once(way, clients)
    return totals
