"""The connections to all upstream endpoints, behind the interface that the engine is given."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable, Sequence

from magpieshift.clock import LoopClock
from magpieshift.config import Document
from magpieshift.engine.model import AttemptResult, ListedEndpoint, UpstreamRequest
from magpieshift.log import fields
from magpieshift.policy.events import EndpointState
from magpieshift.policy.outcomes import Outcome
from magpieshift.upstream.cancel_barrier import CancelBarrier
from magpieshift.upstream.connection import NEVER_CONNECTED, ConnectionSettings, PendingExchange
from magpieshift.upstream.endpoint_pool import EndpointPool
from magpieshift.upstream.exchange_table import ResultCallback

log = logging.getLogger(__name__)

SILENCE_TIMEOUT_US = 600_000
"""Silence with responses due after which an endpoint's machine may be gone. Shorter takes
slow endpoints for dead, longer forwards more requests to dead ones."""
PROBE_TIMEOUT_US = 250_000
"""How long a health check may take. Longer notices a dead endpoint later."""
IDLE_CLOSE_FRACTION = 0.8
"""Part of the settings' idle time after which we close: an endpoint that closes first could reset a request
just written."""
PREFERRED_STREAMS = 4
"""Exchanges on one connection from which a further connection is opened. More queue behind
one another, fewer cost descriptors."""
MIN_CONNECTIONS_PER_ENDPOINT = 2
"""What each endpoint may open however many share the descriptors: one for new requests while the other is
retired."""


class ConnectionPool:
    """Owner of the connections to all endpoints."""

    part = "back"
    """Its name among the parts whose running figures are shown; operators' tools know it."""

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
    ) -> None:
        """``max_streams`` bounds the exchanges on one connection, ``max_connections`` all connections.
        Connections are closed before they have been idle for ``idle_us``. ``may_probe``: whether the settings
        permit health checks."""
        self._clock = clock
        self._settings = ConnectionSettings(load_report_columns, connect_timeout_us, SILENCE_TIMEOUT_US)
        self._idle_us = idle_us
        self._max_streams = max_streams
        self._preferred_streams = preferred_streams
        self._may_probe = may_probe
        self.max_connections = max_connections
        """Descriptors that all connections together may use."""
        self._pools: dict[int, EndpointPool] = {}
        """By endpoint number."""
        self._retired: list[EndpointPool] = []
        """Of endpoints that are gone, or were replaced by a new process or address, until all are closed."""

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Make ready for a new configuration; what is returned puts it in force. Connections that are up
        stay, and what is open on them is not touched."""

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
        """The figures that connections are run by."""
        return {
            "report": list(self._settings.load_report_columns),
            "connect_timeout_us": self._settings.connect_timeout_us,
            "streams": self._max_streams,
            "idle_us": self._idle_us,
        }

    def start(self, request: UpstreamRequest, callback: ResultCallback) -> PendingExchange:
        """Send a request, behind the cancellation of the attempt before it if there is one; ``callback`` is
        called once with its end, never from within this call."""
        exchange = PendingExchange(request, callback)
        if isinstance(request.cancelled, PendingExchange):
            CancelBarrier(
                self._clock, request.cancelled, self._may_probe, lambda: self._send(request, exchange)
            )
        else:
            self._send(request, exchange)
        return exchange

    def _send(self, request: UpstreamRequest, exchange: PendingExchange) -> None:
        """Put a request on a connection, unless it was cancelled while it was held."""
        if exchange.is_cancelled or self._submit(request.endpoint, exchange):
            return
        log.warning("no connection available", extra=fields(endpoint=request.endpoint.name))
        self._clock.soon(lambda: exchange.callback(NEVER_CONNECTED))

    def probe(self, endpoint: ListedEndpoint, callback: ResultCallback) -> None:
        """Check an endpoint's health; ``callback`` is called once, in ``PROBE_TIMEOUT_US`` at the latest."""

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
        """Close the connections to an endpoint on which nothing is open."""
        self._pool(endpoint).close_idle(0)

    def list_changed(self, endpoints: Iterable[ListedEndpoint], is_complete: bool) -> None:
        """Retire the connections to endpoints that are gone or started anew. Where the list is complete,
        those that it does not name are gone."""
        listed = {endpoint.endpoint.number: endpoint for endpoint in endpoints}
        for number in list(self._pools):
            endpoint = listed.get(number)
            if endpoint is None:
                if is_complete:
                    self._retire(number)
            elif endpoint.endpoint.state == EndpointState.REMOVED:
                self._retire(number)
            else:
                self._pool(endpoint)

    def may_open(self, pool: EndpointPool) -> bool:
        """Whether the descriptors allow one more connection; they are shared evenly between the endpoints."""
        total = sum(len(each.connections) for each in self._all_pools())
        equal_part = self.max_connections // max(1, len(self._pools))
        limit = max(MIN_CONNECTIONS_PER_ENDPOINT, equal_part)
        return len(pool.connections) < limit and total < self.max_connections

    def close_expired(self) -> None:
        """Close what has been idle for long; called now and then."""
        for pool in list(self._pools.values()):
            pool.close_idle(int(self._idle_us * IDLE_CLOSE_FRACTION))
        self._retired = [pool for pool in self._retired if pool.connections]

    def close_all(self) -> None:
        """Close every connection, whatever is open on it."""
        for pool in self._all_pools():
            for connection in list(pool.connections):
                connection.close()

    def _all_pools(self) -> list[EndpointPool]:
        return [*self._pools.values(), *self._retired]

    def _submit(self, endpoint: ListedEndpoint, exchange: PendingExchange) -> bool:
        """Put an exchange on a connection to this endpoint; whether there was one."""
        preferred = min(self._max_streams, self._preferred_streams)
        return self._pool(endpoint).submit(exchange, self._max_streams, preferred)

    def _pool(self, endpoint: ListedEndpoint) -> EndpointPool:
        """The connections to the listed process: an endpoint that restarts, or moves, gets new ones, for the
        old may be silent for ever."""
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
