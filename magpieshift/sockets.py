"""Listening, accepting and closing, as all servers of a router do it."""

from __future__ import annotations

import asyncio
import logging
import socket
import struct
from collections.abc import Callable

from tornado.iostream import IOStream

from magpieshift.log import fields

log = logging.getLogger(__name__)

LINGER_TIMEOUT_S = 0.5
"""For a peer to read its last answers and close. Shorter destroys answers on slow links,
longer holds descriptors."""
MAX_LINGERING = 16
"""Connections that are closing at once; above, the oldest is closed at once."""
MAX_DISCARDED_BYTES = 1 << 20
"""Read and discarded from one connection while it closes. A peer that sends more is not
waiting for an answer."""
READ_CHUNK_BYTES = 8_192
"""Holds many requests. A stream clears as much memory for each read, so more costs time."""
LISTEN_BACKLOG = 512
"""Connections that wait to be accepted; new ones are refused by the kernel above it."""
MAX_ACCEPTS_PER_TURN = 64
"""Of the event loop, in which everything else waits for them."""
ACCEPT_PAUSE_S = 0.05
"""When descriptors have run out. Shorter spins, longer leaves clients waiting."""
ATTACH_FILTER = getattr(socket, "SO_ATTACH_REUSEPORT_CBPF", 51)
"""Linux's option number, which not every Python names."""
BPF_RETURN = 0x06
"""``BPF_RET | BPF_K``: the filter's one instruction."""


def listen_socket(host: str, port: int, shared: bool = False) -> socket.socket:
    """A listening socket on this address alone; ``OSError`` that names the address where it is not available.

    With ``shared`` another process may listen there as well.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        sock.listen(LISTEN_BACKLOG)
    except OSError as err:
        sock.close()
        raise OSError(f"cannot listen on {host}:{port}: {err}") from err
    return sock


def steer_to_second(sock: socket.socket) -> None:
    """Have the kernel give new connections to the second listener at this address, which is the later one.

    Connections in the queue of a listener that closes are reset, so the first must get no more before it
    closes. Where there is no second one the filter has no effect.
    """
    import ctypes  # 0.4 MB that only a router which replaces another needs

    code = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, 1))
    try:
        sock.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, struct.pack("HP", 1, ctypes.addressof(code)))
    except OSError as err:  # both get some then, and the first empties its queue before it closes
        log.warning("new connections not steered", extra=fields(reason=err))


def peek_byte(sock: socket.socket) -> bytes | None:
    """The first byte received at a socket and not read yet.

    Empty where the peer has closed or the connection is broken, None where nothing has come.
    """
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


class LingeringClose:
    """The one way in which connections of clients and operators are closed; owner of the sockets meanwhile.

    Closing a socket with bytes that were received and not read resets the connection, and destroys answers
    that the peer has yet to read. So the socket is half-closed, and what still comes is read and discarded
    until the peer closes too, within limits of time, bytes and number.
    """

    def __init__(self, max_open: int = MAX_LINGERING) -> None:
        self.max_open = max_open
        """How many sockets are held at once."""
        self._timers: dict[socket.socket, asyncio.TimerHandle] = {}  # of the sockets held, oldest first
        self._discardable_bytes: dict[socket.socket, int] = {}  # what may still be read and discarded

    def __len__(self) -> int:
        return len(self._timers)

    def begin(self, sock: socket.socket) -> None:
        """Close this socket; what the kernel has yet to send still goes."""
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # reset, or never connected: there is no peer
            return sock.close()
        while len(self._timers) >= self.max_open:
            self.drop_oldest()
        loop = asyncio.get_running_loop()
        self._timers[sock] = loop.call_later(LINGER_TIMEOUT_S, self._drop, sock)
        self._discardable_bytes[sock] = MAX_DISCARDED_BYTES
        loop.add_reader(sock.fileno(), self._discard, sock)
        self._discard(sock)  # most peers have closed already
        return None

    def drop_oldest(self) -> None:
        """Release a descriptor at once, if any is held."""
        if self._timers:
            self._drop(next(iter(self._timers)))

    def close(self) -> None:
        """Release all descriptors at once."""
        while self._timers:
            self.drop_oldest()

    def _discard(self, sock: socket.socket) -> None:
        while sock in self._timers:
            try:
                size = len(sock.recv(READ_CHUNK_BYTES))
            except BlockingIOError:
                return
            except OSError:
                size = 0
            self._discardable_bytes[sock] -= size
            if size == 0 or self._discardable_bytes[sock] <= 0:
                self._drop(sock)

    def _drop(self, sock: socket.socket) -> None:
        """Close the socket: the one place where it is released."""
        self._timers.pop(sock).cancel()
        del self._discardable_bytes[sock]
        asyncio.get_running_loop().remove_reader(sock.fileno())
        sock.close()


class LingeringStream(IOStream):
    """A stream that ends in a lingering close, whichever side closes it."""

    def __init__(self, sock: socket.socket, closing: LingeringClose, max_buffer_size: int) -> None:
        super().__init__(sock, max_buffer_size=max_buffer_size, read_chunk_size=READ_CHUNK_BYTES)
        self._closing = closing

    @property
    def has_unread(self) -> bool:
        """Whether something has come that was not read yet: bytes, or the peer's own close."""
        return not self.closed() and peek_byte(self.socket) is not None

    def close_fd(self) -> None:
        """Pass the socket on to the lingering close (called by Tornado)."""
        sock = self.socket
        self.socket = None  # type: ignore[assignment]  # Tornado's own close_fd does the same
        self._closing.begin(sock)


class Listener:
    """Accepts connections at one listening socket; owner of it, until ``close``."""

    def __init__(
        self,
        sock: socket.socket,
        on_accepted: Callable[[socket.socket], None],
        on_exhausted: Callable[[], None],
    ) -> None:
        """Listen on with ``sock``.

        ``on_accepted`` takes each connection; ``on_exhausted`` is called if descriptors or memory run out.
        """
        self._sock = sock
        self._on_accepted = on_accepted
        self._on_exhausted = on_exhausted
        self._pause: asyncio.TimerHandle | None = None  # runs while accepting is paused
        self._is_exhausted = False
        self._resume()

    def accept(self, max_connections: int) -> None:
        """Accept the connections in the queue, up to so many."""
        for _ in range(max_connections):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as err:  # out of descriptors, for one
                self._pause_accepting(err)
                return
            self._is_exhausted = False
            sock.setblocking(False)
            self._on_accepted(sock)

    def close(self) -> None:
        """Stop listening. The connections in the queue are accepted first: they would be reset."""
        self.accept(LISTEN_BACKLOG)
        if self._pause is not None:
            self._pause.cancel()
        asyncio.get_running_loop().remove_reader(self._sock.fileno())
        self._sock.close()

    def _pause_accepting(self, err: OSError) -> None:
        """Wait before the next try: the queue stays readable, and the event loop would spin."""
        if not self._is_exhausted:  # logged once, until a connection is accepted again
            log.warning("connection not accepted", extra=fields(reason=err))
        self._is_exhausted = True
        self._on_exhausted()
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._sock.fileno())
        if self._pause is None:
            self._pause = loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _resume(self) -> None:
        self._pause = None
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self.accept, MAX_ACCEPTS_PER_TURN)
