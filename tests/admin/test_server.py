"""The admin server on a real socket."""

import asyncio
import unittest
from unittest import mock

from magpieshift.admin import server as admin_server
from magpieshift.lifecycle import (
    Lifecycle,
)
from magpieshift.sockets import listen_socket

WAIT_TIMEOUT_S = 20.0


class AdminServerTest(unittest.IsolatedAsyncioTestCase):
    async def test_silent_clients_do_not_lock_others_out(self) -> None:
        lifecycle = Lifecycle(lambda: 0)
        lifecycle.start_completed()
        server = admin_server.AdminServer(lifecycle)
        with mock.patch.object(admin_server, "listen_socket") as listen:
            listen.return_value = listener = listen_socket("127.0.0.1", 0)
            server.open(("127.0.0.1", 0))
        silent_clients = [
            await asyncio.open_connection(*listener.getsockname())
            for _ in range(admin_server.MAX_CONNECTIONS)
        ]
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(b"PING\n")
        writer.write_eof()  # as some shell commands do
        self.assertEqual(await reader.read(), b"OK serving\n")
        self.assertEqual(await silent_clients[0][0].read(), b"")  # the oldest was closed
        server.close()
        for _, stream in [*silent_clients, (reader, writer)]:
            stream.close()

    async def test_a_command_that_raises_is_answered_and_its_connection_is_released(self) -> None:
        """Guards against a caller that waits in vain on a connection that is never given back."""
        raising = mock.Mock(side_effect=ZeroDivisionError)
        server = admin_server.AdminServer(Lifecycle(lambda: 0), {"BROKEN": raising})
        with mock.patch.object(admin_server, "listen_socket") as listen:
            listen.return_value = listener = listen_socket("127.0.0.1", 0)
            server.open(("127.0.0.1", 0))
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(b"BROKEN\n")
        with self.assertLogs("magpieshift.admin", "ERROR"):
            answer = await asyncio.wait_for(reader.read(), WAIT_TIMEOUT_S)
        self.assertEqual(answer, b"ERR BROKEN failed: internal error\n")
        self.assertEqual(server._connections, {})
        server.close()
        writer.close()


if __name__ == "__main__":
    unittest.main()
