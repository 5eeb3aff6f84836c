"""The connections to one endpoint, and which of them carries an exchange."""

from __future__ import annotations

import logging
from collections.abc import Callable

from magpieshift.clock import LoopClock
from magpieshift.engine.model import ListedEndpoint
from magpieshift.log import fields
from magpieshift.upstream.connection import Connection, ConnectionSettings, PendingExchange

log = logging.getLogger(__name__)


class EndpointPool:
    """Owner of the connections to one endpoint."""

    def __init__(
        self,
        endpoint: ListedEndpoint,
        settings: ConnectionSettings,
        clock: LoopClock,
        may_open: Callable[[EndpointPool], bool],
    ) -> None:
        """``may_open`` is asked before each new connection whether the descriptors allow it."""
        self._endpoint = endpoint
        self._settings = settings
        self._clock = clock
        self._may_open = may_open
        self.connections: list[Connection] = []
        """Those that are up or coming up, oldest first."""

    def submit(self, exchange: PendingExchange, max_streams: int, preferred_streams: int) -> bool:
        """Put an exchange on the least loaded connection that may carry it, or on a new one; whether there
        was one. A connection carries ``max_streams`` at once; from ``preferred_streams`` on a new one is
        opened where that is possible."""
        connection, load = self._least_loaded(exchange, max_streams)
        if (connection is None or load >= preferred_streams) and self._may_open(self):
            try:
                connection = Connection(self._endpoint, self._settings, self._clock, self._remove_connection)
                self.connections.append(connection)
            except OSError as err:  # no descriptor: an open connection carries it, or it never ran
                log.warning("connection not opened", extra=fields(endpoint=self._endpoint.name, reason=err))
        if connection is None:
            return False
        connection.submit(exchange)
        return True

    def _least_loaded(self, exchange: PendingExchange, max_streams: int) -> tuple[Connection | None, int]:
        """The least loaded connection that may carry this, the oldest first, and its load."""
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
        """Whether these connections are to the process that is listed."""
        own = self._endpoint
        return (own.address, own.endpoint.started_us) == (endpoint.address, endpoint.endpoint.started_us)

    def retire(self, process_is_gone: bool) -> None:
        """Take nothing new on these connections, and let what is open end; unless the process that they lead
        to is known to have been replaced, since then they may stay silent for ever."""
        for connection in list(self.connections):
            connection.is_retired = True
            if process_is_gone:
                connection.close()
            connection.close_if_done()

    def close_idle(self, min_idle_us: int) -> None:
        """Close the connections on which nothing was open for so long."""
        now_us = self._clock.now_us()
        for connection in list(self.connections):
            since_us = connection.idle_since_us
            if since_us is not None and now_us - since_us >= min_idle_us:
                connection.close()

    def _remove_connection(self, connection: Connection) -> None:
        """The one place where a connection leaves the pool."""
        if connection in self.connections:
            self.connections.remove(connection)
