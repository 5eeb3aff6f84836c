"""One upstream connection, on a mock stream."""

import asyncio
import unittest
from unittest import mock

from tornado.iostream import StreamClosedError

from magpieshift.clock import LoopClock
from magpieshift.engine.model import AttemptResult
from magpieshift.policy.outcomes import Outcome
from magpieshift.upstream.pool import ConnectionPool


class Connections(unittest.IsolatedAsyncioTestCase):
    async def test_a_write_to_a_closed_stream_does_not_raise(self) -> None:
        """Guards against an exception of the first write in the engine, whose attempt would end only by its
        timeout."""
        pool = ConnectionPool(LoopClock(), (), 400_000, 15_000_000, 32, max_connections=8)
        results = list[AttemptResult]()
        with mock.patch("magpieshift.upstream.connection.IOStream") as stream:
            stream.return_value.connect = mock.AsyncMock()
            stream.return_value.read_bytes = mock.AsyncMock(side_effect=StreamClosedError)
            stream.return_value.write = mock.Mock(side_effect=StreamClosedError)
            stream.return_value.closed.return_value = False
            pool.probe(mock.Mock(), results.append)
            for _ in range(10):
                await asyncio.sleep(0)
        self.assertEqual(results, [AttemptResult(Outcome.RESET)])


if __name__ == "__main__":
    unittest.main()
