"""Listening, accepting and lingering close for all servers of a router."""

from __future__ import annotations

import asyncio
import fcntl
import logging
import select
import socket
import struct
import termios
from collections.abc import Callable
from dataclasses import dataclass

from tornado.iostream import IOStream

from magpieshift.log import fields

log = logging.getLogger(__name__)

LINGER_TIMEOUT_S = 0.5
"""How long a peer may receive nothing more of its last answers, and after that take to close. A shorter time
loses answers on slow links, a longer one holds descriptors."""
MAX_LINGER_S = 10.0
"""How long a lingering close may take in all, for a peer that receives its last answers slowly."""
MAX_LINGERING = 16
"""Maximum number of connections in a lingering close; above it one of them is closed at once."""
MAX_DISCARDED_BYTES = 1 << 20
"""Maximum data read and discarded from one connection while it closes. A peer that sends more is not waiting
for an answer."""
READ_CHUNK_BYTES = 8_192
"""Size of one read, enough for many requests. A stream zeroes a buffer of this size for each read, so a
larger one costs time."""
LISTEN_BACKLOG = 512
"""Maximum number of connections waiting to be accepted; the kernel refuses further ones."""
MAX_ACCEPTS_PER_ITERATION = 64
"""Maximum connections accepted per event loop iteration, since everything else waits meanwhile."""
ACCEPT_PAUSE_S = 0.05
"""Pause before accepting again after descriptors ran out. A shorter one busy-loops, a longer one leaves
clients waiting."""
OUTPUT_QUEUE_SIZE = struct.Struct("i")
"""Format of the answer to ``TIOCOUTQ``."""
ATTACH_FILTER = getattr(socket, "SO_ATTACH_REUSEPORT_CBPF", 51)
"""Linux's ``SO_ATTACH_REUSEPORT_CBPF``, which not every Python version defines."""
BPF_RETURN = 0x06
"""``BPF_RET | BPF_K``: the filter's only instruction, which returns a constant listener index."""


def listen_socket(host: str, port: int, shared: bool = False) -> socket.socket:
    """Create a listening socket; raises ``OSError`` with the address in its text if that is not possible.

    With ``shared`` another process may listen on the same address.
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
    """Have the kernel pass new connections to the second listener on this address, the one opened later.

    When a listener closes, connections in its queue are reset, so the first listener must receive none before
    it closes. Without a second listener the filter has no effect.
    """
    import ctypes  # takes 0.4 MB; needed only by a router that replaces another

    code = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, 1))
    try:
        sock.setsockopt(socket.SOL_SOCKET, ATTACH_FILTER, struct.pack("HP", 1, ctypes.addressof(code)))
    except OSError as err:  # both listeners get connections; the first accepts its queue before it closes
        log.warning("connection steering not enabled", extra=fields(reason=err))


def peek_byte(sock: socket.socket) -> bytes | None:
    """Peek at the first unread byte of a socket.

    Returns empty bytes if the peer has closed or the connection is broken, None if nothing has been received.
    """
    try:
        return sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return None
    except OSError:
        return b""


def peer_has_closed(sock: socket.socket) -> bool:
    """Whether the peer has closed its side or the connection is broken, whatever is still unread."""
    poll = select.poll()
    poll.register(sock, select.POLLRDHUP)
    return bool(poll.poll(0))


def undelivered_bytes(sock: socket.socket) -> int:
    """Number of bytes that the kernel has accepted and the peer has not acknowledged; 0 if the kernel cannot
    tell.

    A close does not take them back, but a reset does: the peer then never receives them.
    """
    try:
        (size,) = OUTPUT_QUEUE_SIZE.unpack(fcntl.ioctl(sock, termios.TIOCOUTQ, bytes(OUTPUT_QUEUE_SIZE.size)))
    except OSError:
        return 0
    return int(size)


def free_send_buffer_bytes(sock: socket.socket) -> int:
    """Number of bytes that the kernel will certainly accept at once; 0 if it cannot tell.

    The kernel counts its own overhead as part of the buffer, which may be as much again as the data.
    """
    try:
        buffer_bytes = sock.getsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF)
    except OSError:
        return 0
    return max(0, buffer_bytes // 2 - undelivered_bytes(sock))


def _undelivered_before_end(sock: socket.socket) -> int:
    """Undelivered bytes of a half-closed socket; the kernel counts the end of the stream as one byte more."""
    return max(0, undelivered_bytes(sock) - 1)


@dataclass(slots=True)
class _Close:
    """The lingering close of one socket."""

    timer: asyncio.TimerHandle
    """Checks whether the peer still receives."""
    drop_at_s: float
    """Time of the event loop's clock after which the socket is not held any longer."""
    undelivered_bytes: int
    """Number of bytes that the peer had not acknowledged at the last check."""
    discardable_bytes: int = MAX_DISCARDED_BYTES
    """Number of bytes that may still be read and discarded."""


class LingeringClose:
    """Closes connections of clients and operators, and owns their sockets until they are closed.

    Closing a socket that has unread data resets the connection, and the peer loses answers it has not read
    yet. So the socket is half-closed, and received data is discarded until the peer closes too, with limits
    on the time, on the bytes per connection and on the number of connections. The time begins anew while the
    peer receives what the kernel still holds for it.
    """

    def __init__(self, max_open: int = MAX_LINGERING) -> None:
        self.max_open = max_open
        """Maximum number of sockets held in a lingering close."""
        self._closes: dict[socket.socket, _Close] = {}  # oldest first

    def __len__(self) -> int:
        return len(self._closes)

    def begin(self, sock: socket.socket) -> None:
        """Start the lingering close of a socket; data buffered in the kernel is still sent."""
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # reset or never connected: no peer to wait for
            return sock.close()
        while len(self._closes) >= self.max_open:
            self.drop_one()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(LINGER_TIMEOUT_S, self._check_delivery, sock)
        self._closes[sock] = _Close(timer, loop.time() + MAX_LINGER_S, _undelivered_before_end(sock))
        loop.add_reader(sock.fileno(), self._discard, sock)
        self._discard(sock)  # the peer has usually closed already
        return None

    def drop_one(self) -> None:
        """Close one held socket, if any, to release its descriptor: the oldest whose peer has received
        everything, or else the oldest."""
        delivered = (sock for sock in self._closes if not _undelivered_before_end(sock))
        sock = next(delivered, next(iter(self._closes), None))
        if sock is not None:
            self._drop(sock)

    def close(self) -> None:
        """Close all held sockets at once."""
        for sock in list(self._closes):
            self._drop(sock)

    def _check_delivery(self, sock: socket.socket) -> None:
        """Close a held socket, unless its peer has received something since the last check."""
        close = self._closes[sock]
        undelivered = _undelivered_before_end(sock)
        loop = asyncio.get_running_loop()
        if undelivered >= close.undelivered_bytes or loop.time() >= close.drop_at_s:
            if undelivered:
                log.info("connection closed before delivery", extra=fields(undelivered_bytes=undelivered))
            self._drop(sock)
            return
        close.undelivered_bytes = undelivered
        close.timer = loop.call_later(LINGER_TIMEOUT_S, self._check_delivery, sock)

    def _discard(self, sock: socket.socket) -> None:
        while sock in self._closes:
            try:
                size = len(sock.recv(READ_CHUNK_BYTES))
            except BlockingIOError:
                return
            except OSError:
                size = 0
            close = self._closes[sock]
            close.discardable_bytes -= size
            if size == 0 or close.discardable_bytes <= 0:
                self._drop(sock)

    def _drop(self, sock: socket.socket) -> None:
        """Close a held socket. Only this method releases it."""
        self._closes.pop(sock).timer.cancel()
        asyncio.get_running_loop().remove_reader(sock.fileno())
        sock.close()


class LingeringStream(IOStream):
    """A stream that is closed by a lingering close, whichever side closes it."""

    def __init__(self, sock: socket.socket, closing: LingeringClose, max_buffer_size: int) -> None:
        super().__init__(sock, max_buffer_size=max_buffer_size, read_chunk_size=READ_CHUNK_BYTES)
        self._closing = closing

    @property
    def has_unread(self) -> bool:
        """Whether data or the peer's close has been received and not read yet."""
        return not self.closed() and peek_byte(self.socket) is not None

    @property
    def peer_has_closed(self) -> bool:
        """Whether the peer has closed its side or the connection is broken, whatever is still unread."""
        return self.closed() or peer_has_closed(self.socket)

    @property
    def undelivered_bytes(self) -> int:
        """Number of bytes handed to the kernel that the peer has not acknowledged; 0 once closed."""
        return 0 if self.closed() else undelivered_bytes(self.socket)

    def accepts_at_once(self, size: int) -> bool:
        """Whether the kernel will accept this many bytes at once, so that none of them stays in memory."""
        return not (self.closed() or self.writing()) and free_send_buffer_bytes(self.socket) >= size

    def close_fd(self) -> None:
        """Hand the socket over to the lingering close (called by Tornado)."""
        sock = self.socket
        self.socket = None  # type: ignore[assignment]  # Tornado's own close_fd does the same
        self._closing.begin(sock)


class Listener:
    """Accepts connections on one listening socket, and owns it until ``close``."""

    def __init__(
        self,
        sock: socket.socket,
        on_accepted: Callable[[socket.socket], None],
        on_exhausted: Callable[[], None],
    ) -> None:
        """Start accepting on ``sock``, which is already listening.

        ``on_accepted`` receives each connection; ``on_exhausted`` is called if descriptors or memory run out.
        """
        self._sock = sock
        self._on_accepted = on_accepted
        self._on_exhausted = on_exhausted
        self._pause: asyncio.TimerHandle | None = None  # runs while accepting is paused
        self._is_exhausted = False
        self._resume()

    def accept(self, max_connections: int) -> None:
        """Accept connections from the queue, at most ``max_connections``."""
        for _ in range(max_connections):
            try:
                sock, _ = self._sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as err:  # for example, out of descriptors
                self._pause_accepting(err)
                return
            self._is_exhausted = False
            sock.setblocking(False)
            self._on_accepted(sock)

    def close(self) -> None:
        """Stop listening. Connections in the queue are accepted first, as they would be reset otherwise."""
        self.accept(LISTEN_BACKLOG)
        if self._pause is not None:
            self._pause.cancel()
        asyncio.get_running_loop().remove_reader(self._sock.fileno())
        self._sock.close()

    def _pause_accepting(self, err: OSError) -> None:
        """Stop accepting for a while, as the socket stays readable and the event loop would busy-loop."""
        if not self._is_exhausted:  # log once until a connection is accepted again
            log.warning("connection not accepted", extra=fields(reason=err))
        self._is_exhausted = True
        self._on_exhausted()
        loop = asyncio.get_running_loop()
        loop.remove_reader(self._sock.fileno())
        if self._pause is None:
            self._pause = loop.call_later(ACCEPT_PAUSE_S, self._resume)

    def _resume(self) -> None:
        self._pause = None
        asyncio.get_running_loop().add_reader(self._sock.fileno(), self.accept, MAX_ACCEPTS_PER_ITERATION)
