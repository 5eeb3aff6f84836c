"""Clients that take nothing, ask too much, or cut their bytes oddly; on a stream of the test's own."""

import asyncio
import unittest
from typing import Any
from unittest import mock

from tornado.iostream import StreamClosedError

from magpieshift.clock import LoopClock
from magpieshift.downstream import server
from magpieshift.downstream.frames import FrameError, FrameParser, Type, head, read_fields, write_fields
from magpieshift.downstream.session import MOST_OPEN, MOST_UNUSABLE, Session
from magpieshift.engine.model import Response, Verdict
from magpieshift.lifecycle import Lifecycle

FIELDS = {"c": "picture", "i": "00000000000000a1", "d": "900", "o": "7f3a9c21e0b4d655", "m": "9.5"}


def request(stream: int, **changes: str) -> bytes:
    return head(Type.REQUEST, stream, write_fields(FIELDS | changes))


class FakeStream:
    """Gives what it is fed, and takes nothing until it is told to."""

    def __init__(self) -> None:
        self.input: asyncio.Queue[bytes] = asyncio.Queue()
        self.written: list[tuple[bytes, asyncio.Future[None]]] = []
        self.set_nodelay, self.socket, self._closed = mock.Mock(), mock.Mock(), False

    async def read_bytes(self, size: int, partial: bool) -> bytes:
        if data := await self.input.get():
            return data
        raise StreamClosedError

    def write(self, data: memoryview) -> "asyncio.Future[None]":
        self.written.append((bytes(data), asyncio.get_running_loop().create_future()))
        return self.written[-1][1]

    def closed(self) -> bool:
        return self._closed

    @property
    def has_unread(self) -> bool:
        return not self.input.empty()

    def close(self) -> None:
        self._closed = True
        self.input.put_nowait(b"")


class FrontCase(unittest.IsolatedAsyncioTestCase):
    """A front whose clients are streams of the test's own."""

    async def asyncSetUp(self) -> None:
        self.engine = mock.Mock(submit=mock.Mock(side_effect=range(1, 1000)))
        self.lifecycle = Lifecycle(LoopClock().now_us)
        self.server = server.DownstreamServer(
            self.engine, LoopClock(), {"picture": 0}, 2, 3 * server.HIGH_WATER, self.lifecycle
        )

    async def join(self) -> FakeStream:
        stream: Any = FakeStream()
        self.server.serve(stream)
        await self.settle()
        return stream  # type: ignore[no-any-return]

    async def settle(self) -> None:
        for _ in range(5):
            await asyncio.sleep(0)

    async def ask(self, client: FakeStream, stream: int) -> Any:
        """A request lands; the call that answers it."""
        client.input.put_nowait(request(stream))
        await self.settle()
        return self.engine.submit.call_args.args[1]


class Clients(FrontCase):
    async def test_who_takes_nothing_has_its_requests_wait_and_goes_before_memory_does(self) -> None:
        slow, other = await self.join(), await self.join()
        for stream in (1, 2):
            (await self.ask(slow, stream))(Response(Verdict.SERVED, bytes(server.HIGH_WATER // 2)))
        self.assertGreater(self.server.held, server.HIGH_WATER)
        reply = await self.ask(slow, 3)
        await self.ask(slow, 4)
        self.assertEqual([c.args[2] for c in self.engine.submit.call_args_list], [False, False, True, True])
        with self.assertLogs(server.log, "WARNING"):
            reply(Response(Verdict.SERVED, bytes(5 * server.HIGH_WATER // 2)))
        self.assertEqual((slow.closed(), other.closed(), self.server.held), (True, False, 0))
        self.engine.resume.assert_not_called()

    async def test_what_waits_goes_on_in_order_once_answers_are_taken_unless_cancelled(self) -> None:
        slow = await self.join()
        (await self.ask(slow, 1))(Response(Verdict.SERVED, bytes(server.HIGH_WATER)))
        for stream in (2, 3, 4):
            await self.ask(slow, stream)
        slow.input.put_nowait(head(Type.ABANDON, 3))
        await self.settle()
        self.engine.cancel.assert_called_once_with(3)
        slow.written[-1][1].set_result(None)
        await self.settle()
        self.assertEqual([c.args for c in self.engine.resume.call_args_list], [(2,), (4,)])

    async def test_a_flood_of_one_client_leaves_the_others_their_turns(self) -> None:
        """While its bytes were there at once, nobody else was read from."""
        flood, other = await self.join(), await self.join()
        turns, served = 0, asyncio.get_running_loop().create_future()

        def at_once(size: int, partial: bool) -> "asyncio.Future[bytes]":
            nonlocal turns
            turns += 1
            if turns > 10_000:
                raise StreamClosedError
            done: asyncio.Future[bytes] = asyncio.get_running_loop().create_future()
            done.set_result(head(Type.ABANDON, 1))
            return done

        def submit(*args: Any) -> int:
            served.set_result(turns)
            return 1

        self.engine.submit.side_effect = submit
        with mock.patch.object(flood, "read_bytes", at_once):
            flood.input.put_nowait(head(Type.ABANDON, 1))
            other.input.put_nowait(request(1))
            self.assertLess(await asyncio.wait_for(served, 20), 10_000)

    async def test_what_is_taken_is_counted_off(self) -> None:
        client = await self.join()
        (await self.ask(client, 1))(Response(Verdict.SERVED, b"copy"))
        self.assertTrue(self.server.owing)
        for _, done in client.written:
            done.set_result(None)
        await self.settle()
        self.assertEqual((self.server.held, self.server.owing), (0, False))

    async def test_who_has_taken_nothing_for_long_is_let_go(self) -> None:
        client = await self.join()
        (await self.ask(client, 1))(Response(Verdict.SERVED, b"copy"))
        self.server.tidy()
        self.assertFalse(client.closed())
        with mock.patch.object(self.server.clock, "now_us", return_value=LoopClock().now_us() + 11_000_000):
            self.server.tidy()
        self.assertTrue(client.closed())

    async def test_who_owes_a_whole_frame_for_long_is_let_go_and_who_holds_on_is_not(self) -> None:
        """Some connect by the hundreds and say nothing, or send messages that never end (rude day)."""
        mute, half = await self.join(), await self.join()
        self.server.most_connections = 3
        holding = await self.join()
        await self.ask(holding, 1)
        half.input.put_nowait(request(1)[:20])
        await self.settle()
        self.server.tidy()
        self.assertFalse(mute.closed() or half.closed())
        with mock.patch.object(self.server.clock, "now_us", return_value=LoopClock().now_us() + 2_500_000):
            self.server.tidy()
        self.assertEqual([c.closed() for c in (mute, half, holding)], [True, True, False])

    async def test_at_the_limit_who_has_never_asked_goes_first(self) -> None:
        asked, mute = await self.join(), await self.join()
        (await self.ask(asked, 1))(Response(Verdict.REJECTED))
        asked.written[-1][1].set_result(None)
        await self.settle()
        await self.join()
        self.assertEqual((asked.closed(), mute.closed()), (False, True))

    async def test_at_the_limit_an_idle_connection_makes_room_and_a_busy_one_does_not(self) -> None:
        first, second = await self.join(), await self.join()
        await self.ask(first, 1)
        third = await self.join()
        self.assertEqual([c.closed() for c in (first, second, third)], [False, True, False])
        await self.ask(third, 1)
        with self.assertLogs(server.log, "WARNING"):
            fourth = await self.join()
        self.assertEqual([c.closed() for c in (first, third, fourth)], [False, False, True])

    async def test_the_end_is_announced_once_and_to_those_who_come_late(self) -> None:
        first = await self.join()
        self.server.announce_end()
        late = await self.join()
        self.server.announce_end()
        announced = [head(Type.NO_MORE, 0)]
        self.assertEqual([[data for data, _ in c.written] for c in (first, late)], [announced, announced])

    async def test_a_client_found_gone_by_the_first_chunk_does_not_raise(self) -> None:
        """It would have closed the store's connection that brought the answer, with all that was on it."""
        client = await self.join()
        reply = await self.ask(client, 1)
        with mock.patch.object(client, "write", side_effect=StreamClosedError):
            reply(Response(Verdict.SERVED, b"copy"))
        self.assertEqual(self.server.held, 0)

    async def test_a_connection_that_ends_gives_up_what_is_open(self) -> None:
        client = await self.join()
        await self.ask(client, 1)
        client.input.put_nowait(b"")
        await self.settle()
        self.engine.cancel.assert_called_once_with(1)


class Sessions(unittest.TestCase):
    def test_frames_may_be_cut_anywhere(self) -> None:
        data = request(1) + head(Type.ABANDON, 1)
        for size in (1, 3, 1000):
            parser = FrameParser()
            cuts = [data[at : at + size] for at in range(0, len(data), size)]
            frames = [frame for cut in cuts for frame in parser.feed(cut)]
            self.assertEqual([(f.type, f.stream) for f in frames], [(1, 1), (3, 1)])
            self.assertEqual(read_fields(frames[0].payload)[0], FIELDS)
            self.assertEqual(parser.pending, 0)

    def test_bad_lengths_are_told_before_anything_is_kept_for_them(self) -> None:
        for length in (0, 4, 262_145):
            with self.subTest(length), self.assertRaises(FrameError):
                list(FrameParser().feed(length.to_bytes(4, "little")))

    def test_the_request_past_the_last_is_refused(self) -> None:
        session = Session({"picture": 0})
        kinds = [type(e).__name__ for s in range(1, MOST_OPEN + 2) for e in session.feed(request(s))]
        self.assertEqual(kinds, ["Asked"] * MOST_OPEN + ["Unusable"])

    def test_who_goes_on_sending_what_cannot_be_used_is_let_go(self) -> None:
        session = Session({"picture": 0})
        for stream in range(1, MOST_UNUSABLE + 1):
            list(session.feed(request(stream, c="pictures")))
            session.answer(stream, Response(Verdict.FAILED))
        with self.assertRaises(FrameError):
            list(session.feed(request(MOST_UNUSABLE + 1, c="pictures")))

    def test_streams_may_come_in_any_order_but_once(self) -> None:
        session = Session({"picture": 0})
        for stream in (3, 1, 2, 7):
            list(session.feed(request(stream)))
        for stream in (0, 2, 7):
            with self.subTest(stream), self.assertRaises(FrameError):
                list(session.feed(request(stream)))

    def test_numbers_that_are_none_are_unusable(self) -> None:
        bad = {"m": "nan", "d": "inf", "slice": "-1", "set": "x", "i": "12"}
        for field, value in [*bad.items(), ("d", ""), ("set", "256")]:
            with self.subTest(field=field):
                (event,) = Session({"picture": 0}).feed(request(1, **{field: value}))
                self.assertEqual(type(event).__name__, "Unusable")


if __name__ == "__main__":
    unittest.main()
