"""The change log client of a process that replaces another."""

import asyncio
import unittest
from unittest import mock

from magpieshift.discovery.client import ChangeLogClient


class CatchUp(unittest.IsolatedAsyncioTestCase):
    async def test_a_replacement_waits_until_the_change_log_is_read(self) -> None:
        """A purge or drain between the starts of the two processes is in the change log only."""
        feed, loop = ChangeLogClient(("127.0.0.1", 1), mock.Mock()), mock.Mock()
        times = iter(range(0, 1000))
        loop.time.side_effect = lambda: next(times) / 100  # each look at the clock takes 0.01 s
        with (
            mock.patch.object(asyncio, "get_running_loop", return_value=loop),
            mock.patch.object(asyncio, "sleep", mock.AsyncMock()) as waits,
        ):
            self.assertFalse(await feed.caught_up(0.5))  # no answer: the start goes on all the same
            feed.has_answered = True
            feed.note_received()
            waits.reset_mock()
            self.assertTrue(await feed.caught_up(5.0))
            self.assertGreater(waits.await_count, 3)  # it told something just now, so there may be more


if __name__ == "__main__":
    unittest.main()
