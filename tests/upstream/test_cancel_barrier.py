"""A retry that is held until the cancellation of the previous attempt has been read, on real connections."""

from __future__ import annotations

import asyncio
import socket
import unittest
from dataclasses import replace
from unittest import mock

from magpieshift.clock import LoopClock
from magpieshift.engine.model import AttemptResult, UpstreamRequest
from magpieshift.policy.outcomes import Outcome
from magpieshift.upstream import cancel_barrier
from magpieshift.upstream.connection import PendingExchange
from magpieshift.upstream.pool import ConnectionPool
from tests.recorded.exchange import WAIT_TIMEOUT_S
from tests.upstream.test_exchange_table import ENDPOINT, upstream_request

REQUEST_ID = "00000000000000a1"
LONG_US = 60_000_000


class RetryAfterCancel(unittest.IsolatedAsyncioTestCase):
    """Guards against a request that is executed twice at once.

    An endpoint may read the retry on its second connection before the cancellation on its first.
    """

    async def asyncSetUp(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)
        self.results: list[AttemptResult] = []

    def new_pool(self, may_probe: bool = True) -> ConnectionPool:
        pool = ConnectionPool(LoopClock(), (), 400_000, LONG_US, 32, max_connections=8, may_probe=may_probe)
        self.addCleanup(pool.close_all)
        return pool

    def request(self, cancelled: PendingExchange | None = None) -> UpstreamRequest:
        endpoint = replace(ENDPOINT, address=self.listener.getsockname())
        return replace(upstream_request(REQUEST_ID), endpoint=endpoint, cancelled=cancelled)

    async def accept(self) -> socket.socket:
        """Accept the pool's next connection."""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            connection, _ = await asyncio.get_running_loop().sock_accept(self.listener)
        self.addCleanup(connection.close)
        return connection

    async def read_until(self, connection: socket.socket, text: bytes) -> None:
        """Read from a connection until this text has been received."""
        received = b""
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            while text not in received:
                data = await asyncio.get_running_loop().sock_recv(connection, 4096)
                self.assertTrue(data, received)
                received += data

    async def start_and_cancel(self, pool: ConnectionPool) -> tuple[PendingExchange, socket.socket]:
        """Start an attempt, and cancel it when the endpoint has read its request.

        Returns it with its connection, from which nothing further is read.
        """
        first = pool.start(self.request(), self.results.append)
        connection = await self.accept()
        await self.read_until(connection, f"ASK {REQUEST_ID} ".encode())
        self.assertTrue(first.cancel())
        return first, connection

    def assert_no_connection(self) -> None:
        with self.assertRaises(BlockingIOError):
            self.listener.accept()

    async def test_a_retry_is_not_written_before_the_endpoint_has_read_the_cancellation(self) -> None:
        """Guards against an endpoint that reads the retry first and executes the request twice at once."""
        with mock.patch.object(cancel_barrier, "MAX_HOLD_US", LONG_US):
            pool = self.new_pool()
            first, connection = await self.start_and_cancel(pool)
            pool.start(self.request(first), self.results.append)
            for _ in range(10):  # enough event loop iterations to connect
                await asyncio.sleep(0)
            self.assert_no_connection()
            await self.read_until(connection, f"QUIT {REQUEST_ID}\r\nNOOP p1\r\n".encode())
            self.assert_no_connection()
            connection.sendall(b"p1 well - 0\r\n\r\n")
            second = await self.accept()
            await self.read_until(second, f"ASK {REQUEST_ID} ".encode())
            second.sendall(f"{REQUEST_ID} absent - 0\r\n\r\n".encode())
            async with asyncio.timeout(WAIT_TIMEOUT_S):
                while not self.results:
                    await asyncio.sleep(0)
        self.assertEqual(self.results, [AttemptResult(Outcome.MISS, body=bytearray())])

    async def test_a_closed_connection_releases_the_retry(self) -> None:
        with mock.patch.object(cancel_barrier, "MAX_HOLD_US", LONG_US):
            pool = self.new_pool()
            first, connection = await self.start_and_cancel(pool)
            pool.start(self.request(first), self.results.append)
            connection.close()
            await self.read_until(await self.accept(), f"ASK {REQUEST_ID} ".encode())

    async def test_an_endpoint_that_stays_silent_holds_a_retry_for_a_bounded_time(self) -> None:
        for may_probe in (True, False):
            with self.subTest(may_probe=may_probe):
                pool = self.new_pool(may_probe)
                first, _ = await self.start_and_cancel(pool)
                pool.start(self.request(first), self.results.append)
                self.assert_no_connection()
                await self.read_until(await self.accept(), f"ASK {REQUEST_ID} ".encode())
                pool.close_all()

    async def test_a_retry_that_is_cancelled_while_it_is_held_is_never_written(self) -> None:
        pool = self.new_pool()
        first, connection = await self.start_and_cancel(pool)
        second = pool.start(self.request(first), self.results.append)
        self.assertFalse(second.cancel())
        await self.read_until(connection, b"NOOP p1\r\n")
        connection.sendall(b"p1 well - 0\r\n\r\n")
        for _ in range(20):
            await asyncio.sleep(0.001)
        self.assert_no_connection()
        self.assertEqual(self.results, [])


if __name__ == "__main__":
    unittest.main()
