"""What the servers do with their sockets alike."""

from __future__ import annotations

import asyncio
import ctypes
import logging
import socket
import struct
from collections.abc import Callable

from tornado.iostream import IOStream

from magpieshift.log import fields

log = logging.getLogger(__name__)

LINGER_S = 0.5  # for a peer to read its last answers and close
MOST_LINGERING = 16  # connections at once; above, the oldest is closed at once
MOST_DISCARDED = 1 << 20  # bytes of one
READ_SIZE = 8_192  # many requests; a stream clears as much memory for each read
MOST_QUEUED = 512  # connections that wait to be accepted
ACCEPT_AT_ONCE = 64  # in one turn of the loop, which others wait for
ACCEPT_PAUSE_S = 0.05  # where descriptors have run out
ATTACH_FILTER = getattr(socket, "SO_ATTACH_REUSEPORT_CBPF", 51)
RETURN = 0x06  # BPF_RET | BPF_K: the filter's one instruction


def listen_socket(host: str, port: int, shared: bool = False) -> socket.socket:
    """A listening socket on this address alone; ``OSError`` that names it where it can't be had. One that is
    shared may be joined there by another process's."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        if shared:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
        sock.setblocking(False)
        sock.bind((host, port))
        sock.listen(MOST_QUEUED)
    except OSError as err:
        sock.close()
        raise OSError(f"cannot listen on {host}:{port}: {err}") from err
    return sock


def steer_to_second(sock: socket.socket) -> None:
    """Let the kernel give new connections to the second listener at this address, which is the later one.
    Connections in the queue of a listener that closes are reset, so the first is to get no more before it
    does. Where there is no second one the filter has no effect."""
    code = ctypes.create_string_buffer(struct.pack("HBBI", RETURN, 0, 0, 1))
    try:
        sock.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, struct.pack("HP", 1, ctypes.addressof(code)))
    except OSError as err:  # then both get some, and the first empties its queue before it closes
        log.warning("new connections not steered", extra=fields(reason=err))


def unread(sock: socket.socket) -> bytes | None:
    """The first byte that has come at a socket and was not read yet; empty where the peer has closed or the
    connection broke, None where nothing has come."""
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


class LingeringClose:
    """The one way in which connections of clients and operators are closed. Closing over bytes that came and
    nobody read resets the connection, and destroys answers that the peer has yet to read. So the socket is
    half-closed, and what still comes is read and thrown away until the peer closes too. Bounded in time,
    bytes and number. Owner of the sockets meanwhile; ``_drop`` gives them back."""

    def __init__(self, most: int = MOST_LINGERING) -> None:
        self.most = most
        self._open: dict[socket.socket, asyncio.TimerHandle] = {}  # in the order in which they came
        self._left: dict[socket.socket, int] = {}  # bytes that are still thrown away

    def __len__(self) -> int:
        return len(self._open)

    def take(self, sock: socket.socket) -> None:
        """Close this socket; its bytes unsent in the system still go."""
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # reset, or never up: nobody is there
            return sock.close()
        while len(self._open) >= self.most:
            self.drop_oldest()
        loop = asyncio.get_running_loop()
        self._open[sock] = loop.call_later(LINGER_S, self._drop, sock)
        self._left[sock] = MOST_DISCARDED
        loop.add_reader(sock.fileno(), self._discard, sock)
        self._discard(sock)  # most peers have closed already

    def _discard(self, sock: socket.socket) -> None:
        while sock in self._open:
            try:
                size = len(sock.recv(READ_SIZE))
            except BlockingIOError:
                return
            except OSError:
                size = 0
            self._left[sock] -= size
            if size == 0 or self._left[sock] <= 0:
                self._drop(sock)

    def _drop(self, sock: socket.socket) -> None:
        """The one place where a closing connection's socket is given back."""
        self._open.pop(sock).cancel()
        del self._left[sock]
        asyncio.get_running_loop().remove_reader(sock.fileno())
        sock.close()

    def drop_oldest(self) -> None:
        """Give a descriptor back at once, if any is held."""
        if self._open:
            self._drop(next(iter(self._open)))

    def close(self) -> None:
        while self._open:
            self.drop_oldest()


class LingeringStream(IOStream):
    """A stream that ends in a lingering close, whoever closes it."""

    def __init__(self, sock: socket.socket, closing: LingeringClose, max_buffer_size: int) -> None:
        super().__init__(sock, max_buffer_size=max_buffer_size, read_chunk_size=READ_SIZE)
        self._closing = closing

    @property
    def unread(self) -> bool:
        """Whether something has come that was not read yet: bytes, or the peer's own close."""
        return not self.closed() and unread(self.socket) is not None

    def close_fd(self) -> None:
        sock = self.socket
        self.socket = None  # type: ignore[assignment]  # Tornado's own close_fd does the same
        self._closing.take(sock)


class Listener:
    """Accepts connections at one listening socket; owner of it, until ``close``."""

    def __init__(
        self, sock: socket.socket, taken: Callable[[socket.socket], None], short: Callable[[], None]
    ) -> None:
        """``taken`` is handed each connection; ``short`` is called where descriptors or memory run out."""
        self._sock = sock
        self._taken = taken
        self._short = short
        self._pause: asyncio.TimerHandle | None = None
        self._starved = False
        self._resume()

    def _resume(self) -> None:
        self._pause = None
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self.accept, ACCEPT_AT_ONCE)

    def accept(self, most: int) -> None:
        """Take what waits in the queue, up to so many."""
        for _ in range(most):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as err:  # no descriptor, say: the queue stays readable, and the loop would spin
                if not self._starved:  # once until one is taken again
                    log.warning("connection not accepted", extra=fields(reason=err))
                self._starved = True
                self._short()
                asyncio.get_running_loop().remove_reader(self._sock.fileno())
                if self._pause is None:
                    self._pause = asyncio.get_running_loop().call_later(ACCEPT_PAUSE_S, self._resume)
                return
            self._starved = False
            sock.setblocking(False)
            self._taken(sock)

    def close(self) -> None:
        """Listen no more. What waits in the queue is taken first: it would be reset."""
        self.accept(MOST_QUEUED)
        if self._pause is not None:
            self._pause.cancel()
        asyncio.get_running_loop().remove_reader(self._sock.fileno())
        self._sock.close()
