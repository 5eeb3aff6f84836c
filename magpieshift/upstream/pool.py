"""The connections to all upstream endpoints; implements the engine's ``Upstream`` interface."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Sequence

from magpieshift.clock import LoopClock
from magpieshift.config import Document
from magpieshift.engine.model import AttemptResult, ListedEndpoint, UpstreamRequest
from magpieshift.log import fields
from magpieshift.memory_use import MemoryUse
from magpieshift.policy.events import EndpointState
from magpieshift.policy.outcomes import Outcome
from magpieshift.upstream.cancel_barrier import CancelBarrier
from magpieshift.upstream.connection import NEVER_CONNECTED, ConnectionSettings, PendingExchange
from magpieshift.upstream.endpoint_pool import EndpointPool
from magpieshift.upstream.exchange_table import ResultCallback

log = logging.getLogger(__name__)

SILENCE_TIMEOUT_US = 600_000
"""Time without a received byte, while responses are due, after which a connection accepts no new exchange.
Shorter avoids endpoints that are only slow, longer sends more requests to machines that have failed."""
PROBE_TIMEOUT_US = 250_000
"""Timeout of a health check. Longer detects a failed endpoint later."""
IDLE_CLOSE_FRACTION = 0.8
"""Fraction of the settings' idle time after which the router closes an idle connection: if the endpoint
closed it first, a request just written could be reset."""
PREFERRED_STREAMS = 4
"""Number of exchanges per connection at which a further connection is opened. Larger makes responses on one
connection wait for one another, smaller costs descriptors."""
MIN_CONNECTIONS_PER_ENDPOINT = 2
"""Minimum number of connections that each endpoint may have, however many endpoints share the descriptors:
one for new requests while the other is retired."""


class ConnectionPool:
    """Owns the connections to all endpoints."""

    part = "back"
    """Name of this part in the running settings that operators are shown; their tools match it."""

    def __init__(
        self,
        clock: LoopClock,
        load_report_columns: Sequence[str],
        connect_timeout_us: int,
        idle_us: int,
        max_streams: int,
        max_connections: int,
        preferred_streams: int = PREFERRED_STREAMS,
        may_probe: bool = True,
        memory: MemoryUse | None = None,
    ) -> None:
        """Create a pool without connections.

        ``max_streams`` limits the exchanges on one connection, ``max_connections`` the connections to all
        endpoints. Connections are closed before they have been idle for ``idle_us``. ``may_probe`` is whether
        the settings allow health checks. ``memory`` counts the answers being received; None: they are not
        counted.
        """
        self._clock = clock
        self._settings = ConnectionSettings(
            load_report_columns,
            connect_timeout_us,
            SILENCE_TIMEOUT_US,
            memory if memory is not None else MemoryUse(0),
        )
        self._idle_us = idle_us
        self._max_streams = max_streams
        self._preferred_streams = preferred_streams
        self._may_probe = may_probe
        self.max_connections = max_connections
        """Maximum number of connections to all endpoints; each uses one descriptor."""
        self._pools: dict[int, EndpointPool] = {}
        """The pools in use, by endpoint number."""
        self._retired: list[EndpointPool] = []
        """Pools of endpoints that were removed, or that have a new process or address, until their last
        connection has closed."""

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Prepare for a new document; the returned function puts it in force.

        Connections stay established, and exchanges that are open on them are not affected.
        """

        def commit() -> None:
            self._settings.load_report_columns = new.settings.load_report_columns
            self._settings.connect_timeout_us = new.settings.connect_timeout_us
            self._max_streams = new.streams_per_connection
            self._may_probe = new.settings.can_check_health
            self._idle_us = new.idle_timeout_us
            for pool in self._all_pools():
                for connection in pool.connections:
                    connection.exchanges.load_report_columns = self._settings.load_report_columns

        return commit

    def running(self) -> dict[str, object]:
        """Return the settings in force for connections, under the names that operators are shown."""
        return {
            "report": list(self._settings.load_report_columns),
            "connect_timeout_us": self._settings.connect_timeout_us,
            "streams": self._max_streams,
            "idle_us": self._idle_us,
        }

    def start(self, request: UpstreamRequest, callback: ResultCallback) -> PendingExchange:
        """Send a request. If it names a cancelled attempt, it is held until that cancellation has been read.

        ``callback`` is called once with the result, unless the exchange is cancelled, and never from within
        this call.
        """
        exchange = PendingExchange(request, callback)
        if isinstance(request.cancelled, PendingExchange):
            CancelBarrier(
                self._clock, request.cancelled, self._may_probe, lambda: self._send(request, exchange)
            )
        else:
            self._send(request, exchange)
        return exchange

    def _send(self, request: UpstreamRequest, exchange: PendingExchange) -> None:
        """Submit a request to a connection, unless it was cancelled while it was held."""
        if exchange.is_cancelled or self._submit(request.endpoint, exchange):
            return
        log.warning("no connection available", extra=fields(endpoint=request.endpoint.name))
        self._clock.soon(lambda: exchange.callback(NEVER_CONNECTED))

    def probe(self, endpoint: ListedEndpoint, callback: ResultCallback) -> None:
        """Start a health check; ``callback`` is called once, after ``PROBE_TIMEOUT_US`` at the latest."""

        def timed_out() -> None:
            exchange.cancel()
            callback(AttemptResult(Outcome.TIMEOUT if exchange.is_written else Outcome.CONNECT_FAILED))

        timer = self._clock.after(PROBE_TIMEOUT_US, timed_out)

        def ended(result: AttemptResult) -> None:
            timer.cancel()
            callback(result)

        exchange = PendingExchange(None, ended)
        if not self._submit(endpoint, exchange):
            self._clock.soon(lambda: ended(NEVER_CONNECTED))

    def close_idle(self, endpoint: ListedEndpoint) -> None:
        """Close the connections to an endpoint on which no exchange is open."""
        self._pool(endpoint).close_idle(0)

    def list_changed(self, endpoints: Iterable[ListedEndpoint], is_complete: bool) -> None:
        """Retire the connections to endpoints that were removed, have restarted or have a new address.

        With ``is_complete``, endpoints that the list does not name count as removed. The connections to a
        removed one are closed at once if another endpoint has its address: its process has been replaced.
        """
        listed = {endpoint.endpoint.number: endpoint for endpoint in endpoints}
        in_use = {each.address for each in listed.values() if each.endpoint.state != EndpointState.REMOVED}
        for number in list(self._pools):
            endpoint = listed.get(number)
            if endpoint is None:
                if is_complete:
                    self._retire(number, self._pools[number].address in in_use)
            elif endpoint.endpoint.state == EndpointState.REMOVED:
                self._retire(number, self._pools[number].address in in_use)
            else:
                self._pool(endpoint)

    def may_open(self, pool: EndpointPool) -> bool:
        """Whether the descriptor limits allow one more connection in this pool.

        The descriptors are divided equally between the endpoints.
        """
        total = sum(len(each.connections) for each in self._all_pools())
        equal_part = self.max_connections // max(1, len(self._pools))
        limit = max(MIN_CONNECTIONS_PER_ENDPOINT, equal_part)
        return len(pool.connections) < limit and total < self.max_connections

    def close_expired(self) -> None:
        """Close the connections that have been idle for too long; called periodically."""
        for pool in list(self._pools.values()):
            pool.close_idle(int(self._idle_us * IDLE_CLOSE_FRACTION))
        self._retired = [pool for pool in self._retired if pool.connections]

    def close_all(self) -> None:
        """Close every connection, including those with open exchanges."""
        for pool in self._all_pools():
            for connection in list(pool.connections):
                connection.close()

    def _all_pools(self) -> list[EndpointPool]:
        return [*self._pools.values(), *self._retired]

    def _submit(self, endpoint: ListedEndpoint, exchange: PendingExchange) -> bool:
        """Submit an exchange to a connection to this endpoint; returns whether one was available."""
        preferred = min(self._max_streams, self._preferred_streams)
        return self._pool(endpoint).submit(exchange, self._max_streams, preferred)

    def _pool(self, endpoint: ListedEndpoint) -> EndpointPool:
        """Return the pool of connections to the listed process.

        An endpoint that has restarted or moved gets a new pool: its old connections might never respond
        again.
        """
        number = endpoint.endpoint.number
        pool = self._pools.get(number)
        if pool is not None and not pool.connects_to(endpoint):
            self._retire(number, process_is_gone=True)
            pool = None
        if pool is None:
            pool = EndpointPool(endpoint, self._settings, self._clock, self.may_open)
            self._pools[number] = pool
        return pool

    def _retire(self, number: int, process_is_gone: bool = False) -> None:
        pool = self._pools.pop(number)
        pool.retire(process_is_gone)
        if pool.connections:
            self._retired.append(pool)
