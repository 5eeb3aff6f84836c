"""Clients that receive nothing, send too much or disconnect, on fake streams."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from tornado.iostream import StreamClosedError

from magpieshift.downstream import server
from magpieshift.downstream.connection import HIGH_WATER_BYTES
from magpieshift.downstream.frames import FrameParser, FrameType, ResponseCode, frame_head
from magpieshift.engine.model import Response, Verdict
from tests.downstream.server_case import ServerCase, request


class Clients(ServerCase):
    async def test_a_slow_client_has_its_requests_paused_and_is_disconnected_before_memory_runs_out(
        self,
    ) -> None:
        slow, other = await self.connect(), await self.connect()
        for stream in (1, 2):
            (await self.send_request(slow, stream))(Response(Verdict.SERVED, bytes(HIGH_WATER_BYTES // 2)))
        self.assertGreater(self.server.held_bytes, HIGH_WATER_BYTES)
        reply = await self.send_request(slow, 3)
        await self.send_request(slow, 4)
        self.assertEqual([c.args[2] for c in self.engine.submit.call_args_list], [False, False, True, True])
        with self.assertLogs(server.log, "WARNING"):
            reply(Response(Verdict.SERVED, bytes(5 * HIGH_WATER_BYTES // 2)))
        self.assertEqual((slow.closed(), other.closed(), self.server.held_bytes), (True, False, 0))
        self.engine.resume.assert_not_called()

    async def test_paused_requests_resume_in_order_once_responses_are_taken_unless_cancelled(self) -> None:
        slow = await self.connect()
        (await self.send_request(slow, 1))(Response(Verdict.SERVED, bytes(HIGH_WATER_BYTES)))
        for stream in (2, 3, 4):
            await self.send_request(slow, stream)
        slow.input.put_nowait(frame_head(FrameType.CANCEL, 3))
        await self.run_event_loop()
        self.engine.cancel.assert_called_once_with(3)
        slow.written[-1][1].set_result(None)
        await self.run_event_loop()
        self.assertEqual([c.args for c in self.engine.resume.call_args_list], [(2,), (4,)])

    async def test_a_request_whose_taking_raises_gets_its_own_answer_and_costs_no_other(self) -> None:
        """Guards against an error on stream 0 and a close in place of one final answer for each request."""
        client = await self.connect()
        open_reply = await self.send_request(client, 1)
        self.engine.submit.side_effect = RuntimeError("a fault")
        with self.assertLogs("magpieshift.downstream.connection", "ERROR"):
            client.input.put_nowait(request(2) + request(3))
            await self.run_event_loop()
        self.engine.submit.side_effect = None
        self.engine.submit.return_value = 99
        next_reply = await self.send_request(client, 4)
        for reply in (open_reply, next_reply):
            reply(Response(Verdict.SERVED, b"copy"))
        late_reply = self.engine.submit.call_args_list[1].args[1]
        late_reply(Response(Verdict.FAILED))  # the engine had registered the request before it raised
        parser = FrameParser()
        frames = [frame for data, _ in client.written for frame in parser.feed(data)]
        answers = [(frame.stream_id, frame.payload[0]) for frame in frames]
        failed, served = ResponseCode.FAILED, ResponseCode.OK
        self.assertEqual(answers, [(2, failed), (3, failed), (1, served), (4, served)])
        self.assertFalse(client.closed())

    async def test_a_flood_of_one_client_does_not_starve_the_others(self) -> None:
        """Guards against a connection that is read without pause while it has data, so that no other is."""
        flood, other = await self.connect(), await self.connect()
        reads, served = 0, asyncio.get_running_loop().create_future()

        def read_immediately(size: int, partial: bool) -> "asyncio.Future[bytes]":
            nonlocal reads
            reads += 1
            if reads > 10_000:
                raise StreamClosedError
            done: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
            done.set_result(frame_head(FrameType.CANCEL, 1))
            return done

        def submit(*args: Any) -> int:
            served.set_result(reads)
            return 1

        self.engine.submit.side_effect = submit
        with mock.patch.object(flood, "read_bytes", read_immediately):
            flood.input.put_nowait(frame_head(FrameType.CANCEL, 1))
            other.input.put_nowait(request(1))
            self.assertLess(await asyncio.wait_for(served, 20), 10_000)

    async def test_bytes_that_were_sent_are_no_longer_counted(self) -> None:
        client = await self.connect()
        (await self.send_request(client, 1))(Response(Verdict.SERVED, b"copy"))
        self.assertTrue(self.server.has_undelivered)
        for _, done in client.written:
            done.set_result(None)
        await self.run_event_loop()
        self.assertEqual((self.server.held_bytes, self.server.has_undelivered), (0, False))

    async def test_a_write_to_a_disconnected_client_does_not_raise(self) -> None:
        """Guards against an exception in the callback of an endpoint's response.

        It would close the endpoint's connection, with all exchanges that are open on it.
        """
        client = await self.connect()
        reply = await self.send_request(client, 1)
        with mock.patch.object(client, "write", side_effect=StreamClosedError):
            reply(Response(Verdict.SERVED, b"copy"))
        self.assertEqual(self.server.held_bytes, 0)

    async def test_the_end_of_a_connection_cancels_its_requests(self) -> None:
        client = await self.connect()
        await self.send_request(client, 1)
        client.input.put_nowait(b"")
        await self.run_event_loop()
        self.engine.cancel.assert_called_once_with(1)


if __name__ == "__main__":
    unittest.main()
