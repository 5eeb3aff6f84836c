"""Limits on clients' connections, and GO_AWAY, on fake streams."""

import unittest
from unittest import mock

from magpieshift.clock import LoopClock
from magpieshift.downstream import server
from magpieshift.downstream.frames import FrameType, frame_head
from magpieshift.engine.model import Response, Verdict
from tests.downstream.server_case import ServerCase, request


class Limits(ServerCase):
    async def test_a_stalled_client_is_disconnected(self) -> None:
        client = await self.connect()
        (await self.send_request(client, 1))(Response(Verdict.SERVED, b"copy"))
        self.server.close_expired()
        self.assertFalse(client.closed())
        with mock.patch.object(self.server.clock, "now_us", return_value=LoopClock().now_us() + 11_000_000):
            self.server.close_expired()
        self.assertTrue(client.closed())

    async def test_a_client_that_completes_no_frame_in_time_is_disconnected_and_one_that_waits_is_not(
        self,
    ) -> None:
        """In scenario "rude day" clients connect by the hundreds and send nothing, or endless frames."""
        silent, incomplete = await self.connect(), await self.connect()
        self.server.max_connections = 3
        waiting = await self.connect()
        await self.send_request(waiting, 1)
        incomplete.input.put_nowait(request(1)[:20])
        await self.run_event_loop()
        self.server.close_expired()
        self.assertFalse(silent.closed() or incomplete.closed())
        with mock.patch.object(self.server.clock, "now_us", return_value=LoopClock().now_us() + 2_500_000):
            self.server.close_expired()
        self.assertEqual([c.closed() for c in (silent, incomplete, waiting)], [True, True, False])

    async def test_at_the_limit_a_client_that_sent_nothing_is_evicted_first(self) -> None:
        former, silent = await self.connect(), await self.connect()
        (await self.send_request(former, 1))(Response(Verdict.REJECTED))
        former.written[-1][1].set_result(None)
        await self.run_event_loop()
        await self.connect()
        self.assertEqual((former.closed(), silent.closed()), (False, True))

    async def test_at_the_limit_an_idle_connection_is_evicted_and_a_busy_one_is_not(self) -> None:
        first, second = await self.connect(), await self.connect()
        await self.send_request(first, 1)
        third = await self.connect()
        self.assertEqual([c.closed() for c in (first, second, third)], [False, True, False])
        await self.send_request(third, 1)
        with self.assertLogs(server.log, "WARNING"):
            fourth = await self.connect()
        self.assertEqual([c.closed() for c in (first, third, fourth)], [False, False, True])

    async def test_go_away_is_sent_once_and_to_late_clients_too(self) -> None:
        first = await self.connect()
        self.server.send_go_away()
        late = await self.connect()
        self.server.send_go_away()
        go_away_only = [frame_head(FrameType.GO_AWAY, 0)]
        self.assertEqual(
            [[data for data, _ in c.written] for c in (first, late)], [go_away_only, go_away_only]
        )


if __name__ == "__main__":
    unittest.main()
