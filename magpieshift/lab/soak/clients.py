"""The clients of one run, which send requests until the router has ended and record unanswered ones."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass
from enum import StrEnum

from magpieshift.downstream.frames import ResponseCode
from magpieshift.lab.emulators.client_connection import ClientConnection, NoAnswer
from magpieshift.lab.emulators.load import TIME_LIMITS_MS, WRITE_BODY

OBJECTS = 40
LAG_CHECK_INTERVAL_S = 0.01
"""Interval in seconds at which the delay of the clients' event loop is measured."""
CONNECTIONS = 4
"""Number of connections for each kind of client that reuses connections."""


class ClientKind(StrEnum):
    """How a client uses its connections."""

    OBEYING_GO_AWAY = "heeding"
    """Opens a new connection after GO_AWAY."""
    IGNORING_GO_AWAY = "staying"
    """Ignores GO_AWAY and uses its connection until it is closed."""
    CONNECTION_PER_REQUEST = "new"
    """Opens a new connection for each request."""


@dataclass(frozen=True)
class Unanswered:
    """A request without an answer."""

    request_id: str
    kind: ClientKind
    class_name: str
    sent_s: float
    """Steady time at which it was sent."""
    ended_s: float
    """Steady time at which the client stopped waiting."""
    reason: NoAnswer


class ClientGroup:
    """All clients of one run."""

    def __init__(self, port: int, rand: random.Random, classes: list[str]) -> None:
        self._port = port
        self._random = rand
        self._classes = classes
        self.sent = 0
        self.served = 0
        self.rejected = 0
        self.failed = 0
        self.unanswered: list[Unanswered] = []
        self.idle_resets = 0
        """Number of idle connections that were reset instead of closed."""
        self.max_lag_s = 0.0
        """Maximum delay of the event loop in seconds."""
        self.new_connections_until_s = float("inf")
        """Steady time until which clients with a connection per request send requests."""
        self._connections: list[ClientConnection] = []
        self._requests: set[asyncio.Task[None]] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopping = False

    def start(self, rate: float, idle_clients: int) -> None:
        """Start clients of each kind, which send ``rate`` requests per second, and idle clients."""
        for kind in ClientKind:
            self._tasks.append(asyncio.ensure_future(self._send_requests(kind, rate)))
        self._tasks += [asyncio.ensure_future(self._hold_idle_connection()) for _ in range(idle_clients)]
        self._tasks.append(asyncio.ensure_future(self._watch_lag()))

    async def stop(self) -> None:
        """Send no more requests, wait for open ones, and close all connections."""
        self._is_stopping = True
        while self._requests:
            await asyncio.wait(list(self._requests))
        for connection in self._connections:
            connection.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.wait(self._tasks)

    @property
    def duplicate_answers(self) -> int:
        """Answers beyond the first of their request."""
        return sum(connection.duplicate_answers for connection in self._connections)

    async def _send_requests(self, kind: ClientKind, rate: float) -> None:
        persistent = (
            [self._connect(kind) for _ in range(CONNECTIONS)]
            if kind is not ClientKind.CONNECTION_PER_REQUEST
            else []
        )
        while not self._is_stopping:
            await asyncio.sleep(self._random.expovariate(rate))
            if not persistent and time.monotonic() >= self.new_connections_until_s:
                return
            connection = self._random.choice(persistent) if persistent else self._connect(kind)
            request = asyncio.ensure_future(self._request(kind, connection))
            self._requests.add(request)
            request.add_done_callback(self._requests.discard)

    def _connect(self, kind: ClientKind) -> ClientConnection:
        connection = ClientConnection(self._port, obeys_go_away=kind is not ClientKind.IGNORING_GO_AWAY)
        self._connections.append(connection)
        return connection

    async def _request(self, kind: ClientKind, connection: ClientConnection) -> None:
        class_name = self._random.choice(self._classes)
        request_id = f"{self._random.getrandbits(64):016x}"
        key = f"{self._random.randrange(OBJECTS) + 1:016x}"
        fields = {
            "c": class_name,
            "i": request_id,
            "d": str(TIME_LIMITS_MS[class_name]),
            "o": key,
            "slice": "0",
            "set": "1",
            "m": "0.9",
        }
        if class_name == "basket":
            fields["k"] = request_id
        body = b"" if class_name == "picture" else WRITE_BODY
        self.sent += 1
        sent_s = time.monotonic()
        answer = await connection.request(fields, body, TIME_LIMITS_MS[class_name] / 1000)
        if isinstance(answer, NoAnswer):
            ended_s = time.monotonic()
            self.unanswered.append(Unanswered(request_id, kind, class_name, sent_s, ended_s, answer))
        else:
            self.served += answer.code == ResponseCode.OK
            self.rejected += answer.code == ResponseCode.REJECTED
            self.failed += answer.code == ResponseCode.FAILED
        if kind is ClientKind.CONNECTION_PER_REQUEST:
            connection.close()

    async def _hold_idle_connection(self) -> None:
        """Keep an idle connection open until the router closes it; it is not reopened."""
        with contextlib.suppress(OSError):
            reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
            try:
                while await reader.read(1024):
                    pass
            except ConnectionResetError:
                self.idle_resets += 1
            finally:
                writer.close()

    async def _watch_lag(self) -> None:
        while True:
            due_s = time.monotonic() + LAG_CHECK_INTERVAL_S
            await asyncio.sleep(LAG_CHECK_INTERVAL_S)
            self.max_lag_s = max(self.max_lag_s, time.monotonic() - due_s)
