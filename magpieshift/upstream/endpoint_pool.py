"""The connections to one endpoint, and the choice of a connection for each exchange."""

from __future__ import annotations

import logging
from collections.abc import Callable

from magpieshift.clock import LoopClock
from magpieshift.engine.model import ListedEndpoint
from magpieshift.log import fields
from magpieshift.upstream.connection import Connection, ConnectionSettings, PendingExchange

log = logging.getLogger(__name__)


class EndpointPool:
    """Owns the connections to one endpoint."""

    def __init__(
        self,
        endpoint: ListedEndpoint,
        settings: ConnectionSettings,
        clock: LoopClock,
        may_open: Callable[[EndpointPool], bool],
    ) -> None:
        """``may_open`` returns whether the descriptor limits allow one more connection in this pool."""
        self._endpoint = endpoint
        self._settings = settings
        self._clock = clock
        self._may_open = may_open
        self.connections: list[Connection] = []
        """Connections that are established or connecting, oldest first."""

    @property
    def address(self) -> tuple[str, int]:
        """The address that these connections lead to."""
        return self._endpoint.address

    def submit(self, exchange: PendingExchange, max_streams: int, preferred_streams: int) -> bool:
        """Submit an exchange to the least loaded connection that accepts it, or to a new one.

        Returns whether there was one. A connection has at most ``max_streams`` exchanges at once. A new one
        is opened, if possible, when each that accepts the exchange has at least ``preferred_streams``.
        """
        connection, load = self._least_loaded(exchange, max_streams)
        if (connection is None or load >= preferred_streams) and self._may_open(self):
            try:
                connection = Connection(self._endpoint, self._settings, self._clock, self._remove_connection)
                self.connections.append(connection)
            except OSError as err:  # no descriptor: an open connection is used, if one accepts the exchange
                log.warning("connection not opened", extra=fields(endpoint=self._endpoint.name, reason=err))
        if connection is None:
            return False
        connection.submit(exchange)
        return True

    def _least_loaded(self, exchange: PendingExchange, max_streams: int) -> tuple[Connection | None, int]:
        """Return the least loaded connection that accepts this exchange, and its load.

        Of equally loaded ones the oldest is returned; None, with ``max_streams``, if no connection accepts
        it.
        """
        now_us = self._clock.now_us()
        best = None
        min_load = max_streams
        for connection in self.connections:
            load = connection.load
            if load < min_load and connection.can_accept(exchange, now_us):
                best = connection
                min_load = load
                if load == 0:
                    break
        return best, min_load

    def connects_to(self, endpoint: ListedEndpoint) -> bool:
        """Whether these connections lead to the listed process: the same address and the same start time."""
        own = self._endpoint
        return (own.address, own.endpoint.started_us) == (endpoint.address, endpoint.endpoint.started_us)

    def retire(self, process_is_gone: bool) -> None:
        """Accept no new exchange on these connections, and close each once its open exchanges have ended.

        With ``process_is_gone`` they are closed at once: the process has been replaced, and might never
        respond.
        """
        for connection in list(self.connections):
            connection.is_retired = True
            if process_is_gone:
                connection.close()
            connection.close_if_done()

    def close_idle(self, min_idle_us: int) -> None:
        """Close the connections on which no exchange has been open for at least ``min_idle_us``."""
        now_us = self._clock.now_us()
        for connection in list(self.connections):
            since_us = connection.idle_since_us
            if since_us is not None and now_us - since_us >= min_idle_us:
                connection.close()

    def _remove_connection(self, connection: Connection) -> None:
        """Remove a closed connection from the pool; nothing else does."""
        if connection in self.connections:
            self.connections.remove(connection)
