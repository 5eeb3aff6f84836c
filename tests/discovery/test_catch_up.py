"""The change log client in a process that replaces another one."""

import asyncio
import unittest
from unittest import mock

from magpieshift.discovery.client import ChangeLogClient


class CatchUp(unittest.IsolatedAsyncioTestCase):
    async def test_a_replacement_waits_until_the_change_log_is_read(self) -> None:
        """A purge or drain made between the starts of the two processes is only in the change log."""
        client, loop = ChangeLogClient(("127.0.0.1", 1), mock.Mock()), mock.Mock()
        times = iter(range(0, 1000))
        loop.time.side_effect = lambda: next(times) / 100  # each reading of the clock advances it by 0.01 s
        with (
            mock.patch.object(asyncio, "get_running_loop", return_value=loop),
            mock.patch.object(asyncio, "sleep", mock.AsyncMock()) as sleep,
        ):
            self.assertFalse(await client.caught_up(0.5))  # no response: gives up at the deadline
            client.has_answered = True
            client.note_received()
            sleep.reset_mock()
            self.assertTrue(await client.caught_up(5.0))
            self.assertGreater(sleep.await_count, 3)  # data has just arrived, so more may follow


if __name__ == "__main__":
    unittest.main()
