"""The admin server on a socket."""

import asyncio
import unittest
from unittest import mock

from magpieshift.admin import server as door
from magpieshift.lifecycle import (
    Lifecycle,
)
from magpieshift.sockets import listen_socket


class AdminServerTest(unittest.IsolatedAsyncioTestCase):
    async def test_silent_clients_do_not_lock_others_out(self) -> None:
        life = Lifecycle(lambda: 0)
        life.start_completed()
        opened = door.AdminServer(life)
        with mock.patch.object(door, "listen_socket") as listen:
            listen.return_value = listener = listen_socket("127.0.0.1", 0)
            opened.open(("127.0.0.1", 0))
        mute = [await asyncio.open_connection(*listener.getsockname()) for _ in range(door.MAX_CONNECTIONS)]
        reader, writer = await asyncio.open_connection(*listener.getsockname())
        writer.write(b"PING\n")
        writer.write_eof()  # as some do that call from a shell
        self.assertEqual(await reader.read(), b"OK serving\n")
        self.assertEqual(await mute[0][0].read(), b"")  # the first made room
        opened.close()
        for _, each in [*mute, (reader, writer)]:
            each.close()


if __name__ == "__main__":
    unittest.main()
