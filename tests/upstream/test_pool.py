"""The connections to all upstream endpoints."""

import unittest
from unittest import mock

from magpieshift.clock import LoopClock
from magpieshift.upstream.connection import ConnectionSettings
from magpieshift.upstream.endpoint_pool import EndpointPool
from magpieshift.upstream.pool import ConnectionPool


class Descriptors(unittest.IsolatedAsyncioTestCase):
    async def test_endpoints_share_them(self) -> None:
        """One endpoint may take no more than its part, and all no more than there are."""
        clock = LoopClock()
        pool = ConnectionPool(clock, (), 400_000, 15_000_000, 32, max_connections=8)
        settings = ConnectionSettings((), 400_000, 600_000)
        endpoints = [EndpointPool(mock.Mock(), settings, clock, pool.may_open) for _ in range(4)]
        pool._pools = dict(enumerate(endpoints))
        opened = [0] * len(endpoints)
        for _ in range(20):
            for index, endpoint in enumerate(endpoints):
                if pool.may_open(endpoint):
                    endpoint.connections.append(mock.Mock())
                    opened[index] += 1
        self.assertEqual(opened, [2, 2, 2, 2])


if __name__ == "__main__":
    unittest.main()
