"""The thin driver of the back: connections to stores, and which of them carries an order."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable, Iterable, Sequence

from tornado.iostream import IOStream, StreamClosedError

from magpieshift.clock import LoopClock
from magpieshift.config import Document
from magpieshift.engine.model import AttemptResult, ListedEndpoint, UpstreamRequest
from magpieshift.log import fields
from magpieshift.policy.events import EndpointState
from magpieshift.policy.outcomes import Outcome
from magpieshift.sockets import peek_byte
from magpieshift.upstream.lines import LineError
from magpieshift.upstream.link import Done, Link

log = logging.getLogger(__name__)

READ_SIZE = 32_768  # an answer fits in most cases; the stream clears as much memory for each read
SILENT_US = 600_000  # orders open and nothing heard for so long: the machine may be gone
PROBE_TIMEOUT_US = 250_000
IDLE_SHARE = 0.8  # of the idle time: a store that closes first could reset an order just written
LOST = AttemptResult(Outcome.RESET)
NEVER_UP = AttemptResult(Outcome.CONNECT_FAILED)


class Connection:
    """One connection to a store: owner of its socket, and of the orders that wait for it to come up."""

    def __init__(self, pool: EndpointPool) -> None:
        self._pool = pool
        self._clock = pool.back.clock
        self.link = Link(pool.back.report)
        self._waiting: dict[Ticket, None] = {}
        self._up = False
        self.retired = False  # takes nothing new, and is closed once nothing is open on it
        self.idle_since_us: int | None = self._clock.now_us()
        self._heard_us = self._clock.now_us()
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._stream = IOStream(sock, max_buffer_size=1 << 20, read_chunk_size=READ_SIZE)
        log.debug("connecting", extra=fields(store=pool.ident))
        self._task = asyncio.ensure_future(self._run())

    @property
    def load(self) -> int:
        return len(self.link) + len(self._waiting)

    def fit(self, ticket: Ticket, now_us: int) -> bool:
        """Whether it can carry this. An idle one may have been closed by the store: what is written to it
        then is reset, and has to pass for what may have run."""
        if self.retired or self._stream.closed() or self.silent(now_us):
            return False
        if self._up and self.load == 0 and peek_byte(self._stream.socket) == b"":
            return False
        return self.link.takes(ticket.ident, ticket.order is not None and ticket.order.must_not_repeat)

    def silent(self, now_us: int) -> bool:
        """Whether it owes answers and has said nothing for long. A machine that vanishes says nothing at
        all, so what is sent on here would be lost until its time-out."""
        return self._up and len(self.link) > 0 and now_us - self._heard_us > SILENT_US

    async def _run(self) -> None:
        """Connect, read until the end, and give everything back."""
        outcome = NEVER_UP
        try:
            if self._stream.closed():  # before this ran at all
                return
            async with asyncio.timeout(self._pool.back.connect_timeout_us / 1e6):
                await self._stream.connect(self._pool.address)
            outcome = LOST
            self._up = True
            self._heard_us = self._clock.now_us()
            waiting = list(self._waiting)
            self._waiting = {}
            for ticket in waiting:
                self._write(ticket)
            self.rest()
            while True:
                data = await self._stream.read_bytes(READ_SIZE, partial=True)
                self._heard_us = self._clock.now_us()
                for done, result in self.link.feed(data):
                    done(result)
                self.rest()
        except (StreamClosedError, TimeoutError):
            pass
        except LineError as err:
            log.warning("unreadable answer", extra=fields(store=self._pool.ident, reason=err))
        except Exception:
            log.exception("connection failed", extra=fields(store=self._pool.ident))
        finally:
            self._end(outcome)

    def _end(self, outcome: AttemptResult) -> None:
        """The one place where a connection is given back; what was written on it may have run, what was not
        never did."""
        self._stream.close()
        self._pool.forget(self)
        waiting = list(self._waiting)
        self._waiting = {}
        for done in self.link.lost():
            done(outcome)
        for ticket in waiting:
            ticket.done(NEVER_UP)

    def carry(self, ticket: Ticket) -> None:
        self.idle_since_us = None
        ticket.connection = self
        if self._up:
            self._write(ticket)
        else:
            self._waiting[ticket] = None

    def _write(self, ticket: Ticket) -> None:
        if ticket.order is not None and (barred := ticket.order.check_blocked()) is not None:
            self._clock.soon(
                lambda: ticket.done(AttemptResult(barred))
            )  # never from within the caller's own call
            return self.rest()
        if len(self.link) == 0:
            self._heard_us = self._clock.now_us()
        ticket.written = True
        if ticket.order is None:
            ticket.ident, data = self.link.probe(bool(self._pool.back.report), ticket.done)
            chunks: tuple[bytes, ...] = (data,)
        else:
            chunks = self.link.ask(ticket.order, self._clock.now_us(), ticket.done)
        self._send(chunks)

    def _send(self, chunks: Iterable[bytes]) -> None:
        """Write; where the first chunk finds the connection broken, ``_run`` is about to end it."""
        with contextlib.suppress(StreamClosedError):
            for chunk in chunks:
                self._stream.write(chunk)

    def drop(self, ticket: Ticket) -> None:
        """Take back an order: unsent it is forgotten, sent it is quit."""
        self._waiting.pop(ticket, None)
        if ticket.written:
            stuck = self.link.stuck_with(ticket.ident)  # its answer may never end
            quit_line = self.link.give_up(ticket.ident, ticket.order is None)
            if quit_line:
                self._send((quit_line,))
            if stuck or self._clock.now_us() - self._heard_us > SILENT_US:
                self.retired = True
        self.rest()

    def rest(self) -> None:
        """Note that nothing is open, and close if it is not to be used again."""
        if self.load:
            return
        if self.idle_since_us is None:
            self.idle_since_us = self._clock.now_us()
        if self.retired:
            self.close()

    def close(self) -> None:
        """Close the socket; ``_run`` ends with it."""
        self._stream.close()


class Ticket:
    """An order, or a probe, on its way; the core's handle on it."""

    def __init__(self, order: UpstreamRequest | None, ident: str, done: Done) -> None:
        self.order = order
        self.ident = ident
        self.done = done
        self.connection: Connection | None = None
        self.written = False

    def cancel(self) -> bool:
        if self.connection is not None:
            self.connection.drop(self)
        return self.written


class EndpointPool:
    """The connections to one store."""

    def __init__(self, back: ConnectionPool, member: ListedEndpoint) -> None:
        self.back = back
        self.ident = member.name
        self.address = member.address
        self._up_since_us = member.endpoint.started_us
        self.connections: list[Connection] = []

    def carry(self, ticket: Ticket) -> bool:
        """Put it on the least loaded connection that is fit for it, or on a new one."""
        now = self.back.clock.now_us()
        best = None
        least = self.back.streams
        for connection in self.connections:
            load = connection.load
            if load < least and connection.fit(ticket, now):
                best = connection
                least = load
                if load == 0:
                    break
        if (best is None or least >= self.back.streams_wanted) and self.back.may_open(self):
            try:
                best = Connection(self)
                self.connections.append(best)
            except OSError as err:  # no descriptor: what there is carries it, or it never ran
                log.warning("no connection", extra=fields(store=self.ident, reason=err))
        if best is None:
            return False
        best.carry(ticket)
        return True

    def leads_to(self, member: ListedEndpoint) -> bool:
        """Whether these connections are to the process that is listed."""
        return (self.address, self._up_since_us) == (member.address, member.endpoint.started_us)

    def retire(self, process_is_gone: bool) -> None:
        """Take nothing new on these connections, and let what is open end; unless the process that they lead
        to is known to have been replaced, since then they may stay silent for ever."""
        for connection in list(self.connections):
            connection.retired = True
            if process_is_gone:
                connection.close()
            connection.rest()

    def close_idle(self, idle_us: int) -> None:
        now = self.back.clock.now_us()
        for connection in list(self.connections):
            since = connection.idle_since_us
            if since is not None and now - since >= idle_us:
                connection.close()

    def forget(self, connection: Connection) -> None:
        if connection in self.connections:
            self.connections.remove(connection)


class ConnectionPool:
    """The connections to all stores; the back that the core is given."""

    part = "back"

    def __init__(
        self,
        clock: LoopClock,
        report: Sequence[str],
        connect_timeout_us: int,
        idle_us: int,
        streams: int,
        most_connections: int,
        streams_wanted: int = 4,
    ) -> None:
        self.clock = clock
        self.report = report
        self.connect_timeout_us = connect_timeout_us
        self.streams = streams
        self.streams_wanted = min(streams, streams_wanted)
        self._most_wanted = streams_wanted
        self.idle_us = idle_us
        self.most_connections = most_connections
        self._stores: dict[int, EndpointPool] = {}
        self._leaving: list[EndpointPool] = []  # gone, or replaced by a new process or address

    def prepare(self, old: Document, new: Document) -> Callable[[], None]:
        """Make ready for a new document. Connections that are up stay; what is open on them is not
        touched."""

        def commit() -> None:
            self.report = new.settings.load_report_columns
            self.connect_timeout_us = new.settings.connect_timeout_us
            self.streams = new.streams_per_connection
            self.streams_wanted = min(self.streams, self._most_wanted)
            self.idle_us = new.idle_us
            for pool in [*self._stores.values(), *self._leaving]:
                for connection in pool.connections:
                    connection.link.report = self.report

        return commit

    def running(self) -> dict[str, object]:
        """The figures that connections to stores are kept by."""
        return {
            "report": list(self.report),
            "connect_timeout_us": self.connect_timeout_us,
            "streams": self.streams,
            "idle_us": self.idle_us,
        }

    def start(self, order: UpstreamRequest, done: Done) -> Ticket:
        ticket = Ticket(order, order.request.request_id, done)
        if not self._store(order.endpoint).carry(ticket):
            log.warning("no connection to be had", extra=fields(store=order.endpoint.name))
            self.clock.soon(lambda: done(NEVER_UP))
        return ticket

    def probe(self, member: ListedEndpoint, done: Done) -> None:
        ticket = Ticket(None, "", done)

        def late() -> None:
            ticket.cancel()
            done(AttemptResult(Outcome.TIMEOUT if ticket.written else Outcome.CONNECT_FAILED))

        timer = self.clock.after(PROBE_TIMEOUT_US, late)

        def over(result: AttemptResult) -> None:
            timer.cancel()
            done(result)

        ticket.done = over
        if not self._store(member).carry(ticket):
            self.clock.soon(lambda: over(NEVER_UP))

    def close_idle(self, member: ListedEndpoint) -> None:
        self._store(member).close_idle(0)

    def _store(self, member: ListedEndpoint) -> EndpointPool:
        """Connections belong to the process that was listed: one that restarts, or moves, gets new ones, for
        the old may be silent for ever."""
        number = member.endpoint.number
        pool = self._stores.get(number)
        if pool is not None and not pool.leads_to(member):
            self._leave(number, process_is_gone=True)
            pool = None
        if pool is None:
            pool = self._stores[number] = EndpointPool(self, member)
        return pool

    def _leave(self, number: int, process_is_gone: bool = False) -> None:
        pool = self._stores.pop(number)
        pool.retire(process_is_gone)
        if pool.connections:
            self._leaving.append(pool)

    def list_changed(self, members: Iterable[ListedEndpoint], whole: bool) -> None:
        """Stores that are gone, or that start anew, keep no connections."""
        listed = {m.endpoint.number: m for m in members}
        for number in list(self._stores):
            member = listed.get(number)
            if (member is None and whole) or (
                member is not None and member.endpoint.state == EndpointState.REMOVED
            ):
                self._leave(number)
            elif member is not None:
                self._store(member)

    def may_open(self, store: EndpointPool) -> bool:
        """Whether the descriptors allow one more, shared evenly between the stores."""
        opened = sum(len(pool.connections) for pool in [*self._stores.values(), *self._leaving])
        fair = max(2, self.most_connections // max(1, len(self._stores)))
        return len(store.connections) < fair and opened < self.most_connections

    def tidy(self) -> None:
        """Close what has been idle; called now and then."""
        for pool in list(self._stores.values()):
            pool.close_idle(int(self.idle_us * IDLE_SHARE))
        self._leaving = [pool for pool in self._leaving if pool.connections]

    def close_all(self) -> None:
        for pool in [*self._stores.values(), *self._leaving]:
            for connection in list(pool.connections):
                connection.close()
