"""Clients' connections to a router that drains as a lame duck."""

import unittest
from unittest import mock

from magpieshift.downstream.frames import FrameType, ResponseCode, frame_head, response_head
from magpieshift.engine.model import Response, Verdict
from magpieshift.lifecycle import (
    CUT_INCOMPLETE_US,
    SERVE_WHILE_DRAINING_US,
    Lifecycle,
)
from tests.downstream import server_case


class LameDuck(server_case.ServerCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.now_us = 0
        self.server.clock = mock.Mock(now_us=lambda: self.now_us)
        self.server.lifecycle = self.lifecycle = Lifecycle(lambda: self.now_us)
        self.server.max_connections = 8
        self.lifecycle.start_completed()

    async def test_notified_idle_clients_are_closed_and_further_requests_rejected(self) -> None:
        idle, busy, readiness_client, incomplete = [await self.connect() for _ in range(4)]
        await self.send_request(idle, 1)
        self.engine.submit.call_args.args[1](self.rejection())
        idle.written[-1][1].set_result(None)
        reply = await self.send_request(busy, 1)
        incomplete.input.put_nowait(server_case.request(1)[:20])
        self.lifecycle.lame_duck()
        self.server.send_go_away()
        for client in (idle, busy, readiness_client, incomplete):
            for _, done in client.written:
                if not done.done():
                    done.set_result(None)
        await self.run_event_loop()
        self.now_us = SERVE_WHILE_DRAINING_US
        readiness_client.input.put_nowait(frame_head(FrameType.READINESS_REQUEST, 1, b"\0"))
        await self.run_event_loop()
        readiness_client.written[-1][1].set_result(None)
        await self.run_event_loop()
        self.server.close_expired()
        self.assertEqual(
            [c.closed() for c in (idle, busy, readiness_client, incomplete)], [True, False, False, False]
        )
        self.engine.draining_response.return_value = self.rejection()
        submitted_before = self.engine.submit.call_count
        busy.input.put_nowait(server_case.request(2))
        await self.run_event_loop()
        self.assertEqual(self.engine.submit.call_count, submitted_before)
        self.assertEqual(busy.written[-1][0], response_head(2, ResponseCode.REJECTED, {"w": "70"}))
        busy.written[-1][1].set_result(None)
        reply(self.rejection())
        busy.written[-1][1].set_result(None)
        self.now_us = CUT_INCOMPLETE_US
        await self.run_event_loop()
        self.server.close_expired()
        self.assertEqual([c.closed() for c in (busy, incomplete)], [True, True])

    def rejection(self) -> Response:
        return Response(Verdict.REJECTED, retry_after_us=70_000)


if __name__ == "__main__":
    unittest.main()
