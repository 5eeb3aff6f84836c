"""The connections to all upstream endpoints."""

import unittest
from unittest import mock

from magpieshift.clock import LoopClock
from magpieshift.engine.model import AttemptResult
from magpieshift.policy.outcomes import Outcome
from magpieshift.upstream.connection import ConnectionSettings, PendingExchange
from magpieshift.upstream.endpoint_pool import EndpointPool
from magpieshift.upstream.pool import PROBE_TIMEOUT_US, ConnectionPool


class Descriptors(unittest.IsolatedAsyncioTestCase):
    async def test_endpoints_share_the_descriptors_equally(self) -> None:
        """Each endpoint may open an equal part of the connections, and all together at most the limit."""
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


class ConnectionChoice(unittest.IsolatedAsyncioTestCase):
    """The choice of a connection for an exchange."""

    async def asyncSetUp(self) -> None:
        self.may_open = mock.Mock(return_value=False)
        self.pool = EndpointPool(mock.Mock(), ConnectionSettings((), 1, 1), LoopClock(), self.may_open)
        self.exchange = mock.Mock()

    def set_connections(self, *loads: int, rejecting: tuple[int, ...] = ()) -> list[mock.Mock]:
        """Give the pool connections with these loads; those with an index in ``rejecting`` accept nothing."""
        connections = [
            mock.Mock(load=load, can_accept=mock.Mock(return_value=index not in rejecting))
            for index, load in enumerate(loads)
        ]
        self.pool.connections = list(connections)
        return connections

    async def test_the_least_loaded_connection_that_accepts_the_exchange_is_used(self) -> None:
        connections = self.set_connections(3, 1, 0, 1, rejecting=(2,))
        self.assertTrue(self.pool.submit(self.exchange, 32, 4))
        connections[1].submit.assert_called_once_with(self.exchange)
        self.may_open.assert_not_called()

    async def test_a_new_connection_is_wanted_once_all_have_the_preferred_load(self) -> None:
        connections = self.set_connections(5, 4)
        self.assertTrue(self.pool.submit(self.exchange, 32, 4))
        self.may_open.assert_called_once_with(self.pool)
        connections[1].submit.assert_called_once_with(self.exchange)  # as no new one may be opened

    async def test_no_connection_is_used_if_all_are_full_and_none_may_be_opened(self) -> None:
        self.set_connections(32, 32)
        self.assertFalse(self.pool.submit(self.exchange, 32, 4))


class Idle(unittest.IsolatedAsyncioTestCase):
    async def test_connections_are_closed_before_the_endpoint_may_close_them(self) -> None:
        """Guards against a request that is reset because the endpoint closed the idle connection first."""
        clock = mock.Mock(now_us=mock.Mock(return_value=0))
        pool = ConnectionPool(clock, (), 400_000, 1_000_000, 32, max_connections=8)
        endpoint_pool = EndpointPool(mock.Mock(), ConnectionSettings((), 1, 1), clock, pool.may_open)
        busy, idle = mock.Mock(idle_since_us=None), mock.Mock(idle_since_us=0)
        endpoint_pool.connections = [busy, idle]
        pool._pools = {1: endpoint_pool}
        for now_us, is_closed in ((799_999, False), (800_000, True)):
            clock.now_us.return_value = now_us
            pool.close_expired()
            self.assertEqual(idle.close.called, is_closed)
        busy.close.assert_not_called()


class HealthChecks(unittest.IsolatedAsyncioTestCase):
    async def test_an_unanswered_health_check_ends_after_its_timeout(self) -> None:
        clock = mock.Mock(now_us=mock.Mock(return_value=0))
        pool = ConnectionPool(clock, (), 400_000, 1_000_000, 32, max_connections=8)
        for is_written, outcome in ((True, Outcome.TIMEOUT), (False, Outcome.CONNECT_FAILED)):
            callback = mock.Mock()

            def submit(exchange: PendingExchange, *_: int, is_written: bool = is_written) -> bool:
                exchange.is_written = is_written
                return True

            with mock.patch.object(EndpointPool, "submit", side_effect=submit):
                pool.probe(mock.Mock(), callback)
            delay_us, timed_out = clock.after.call_args.args
            self.assertEqual(delay_us, PROBE_TIMEOUT_US)
            callback.assert_not_called()
            timed_out()
            callback.assert_called_once_with(AttemptResult(outcome))


if __name__ == "__main__":
    unittest.main()
