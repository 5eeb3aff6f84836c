"""Connection steering between two listeners on one address, and the lingering close."""

import asyncio
import itertools
import socket
import unittest
from unittest import mock

from magpieshift import sockets
from magpieshift.sockets import LingeringClose, listen_socket, steer_to_second

WAIT_TIMEOUT_S = 20.0
READ_BYTES = 16_384
SHORT_S = 0.02


class SteerTest(unittest.TestCase):
    def test_connections_go_to_the_second_listener_and_back_when_it_closes(self) -> None:
        first = listen_socket("127.0.0.1", 0, shared=True)
        host, port = first.getsockname()
        second = listen_socket(host, port, shared=True)
        steer_to_second(second)
        address = first.getsockname()

        def assert_accepted_by(listener: socket.socket) -> None:
            with socket.create_connection(address):
                listener.setblocking(True)
                listener.settimeout(20)
                listener.accept()[0].close()

        for _ in range(20):
            assert_accepted_by(second)
        second.close()
        assert_accepted_by(first)
        first.close()


class LingeringCloseTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a reset under answers that a slow peer is still reading."""

    def setUp(self) -> None:
        timeout = mock.patch.object(sockets, "LINGER_TIMEOUT_S", SHORT_S)
        timeout.start()
        self.addCleanup(timeout.stop)
        self.listener = listen_socket("127.0.0.1", 0)
        self.addCleanup(self.listener.close)

    def connect(self) -> tuple[socket.socket, socket.socket]:
        """A connection: the side that is closed in a lingering close, and its peer with a small buffer."""
        peer = socket.socket()
        peer.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_BYTES)
        peer.connect(self.listener.getsockname())
        self.listener.setblocking(True)
        self.listener.settimeout(WAIT_TIMEOUT_S)
        sock = self.listener.accept()[0]
        for each in (sock, peer):
            each.setblocking(False)
            self.addCleanup(each.close)
        return sock, peer

    def fill(self, sock: socket.socket) -> int:
        """Write until the system takes no more; returns the number of bytes."""
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 64 * READ_BYTES)
        written = 0
        while True:
            try:
                written += sock.send(bytes(READ_BYTES))
            except BlockingIOError:
                return written

    async def until_closed(self, closing: LingeringClose) -> None:
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while len(closing):
                await asyncio.sleep(SHORT_S / 10)

    async def test_a_slow_peer_that_goes_on_sending_receives_everything(self) -> None:
        closing = LingeringClose()
        sock, peer = self.connect()
        written = self.fill(sock)
        closing.begin(sock)
        received = 0
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while received < written:
                peer.send(b"more")  # a closed socket would answer with a reset
                await asyncio.sleep(SHORT_S / 2)
                received += len(peer.recv(READ_BYTES))
        await self.until_closed(closing)

    async def test_a_peer_that_reads_nothing_is_closed(self) -> None:
        closing = LingeringClose()
        sock, _ = self.connect()
        self.fill(sock)
        closing.begin(sock)
        await self.until_closed(closing)

    async def test_a_peer_that_reads_too_slowly_is_closed(self) -> None:
        closing = LingeringClose()
        sock, _ = self.connect()
        self.fill(sock)
        ever_fewer = itertools.count(1_000_000, -1)
        with (
            mock.patch.object(sockets, "MAX_LINGER_S", 3 * SHORT_S),
            mock.patch.object(sockets, "undelivered_bytes", side_effect=ever_fewer) as looks,
        ):
            closing.begin(sock)
            await self.until_closed(closing)
        self.assertGreater(looks.call_count, 2)

    async def test_room_is_made_by_the_oldest_that_has_received_everything(self) -> None:
        closing = LingeringClose(max_open=3)
        reading, first, second, third = [self.connect() for _ in range(4)]
        self.fill(reading[0])
        with mock.patch.object(sockets, "LINGER_TIMEOUT_S", WAIT_TIMEOUT_S):
            for sock, _ in (reading, first, second, third):
                closing.begin(sock)
        open_sockets = [sock.fileno() != -1 for sock, _ in (reading, first, second, third)]
        self.assertEqual(open_sockets, [True, False, True, True])
        closing.close()


if __name__ == "__main__":
    unittest.main()
