"""The clients of one life: they go on until the kill, and remember each request that got no answer."""

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
"""Between two looks at how late the event loop of the clients is."""
CONNECTIONS = 4
"""Of each kind of client that keeps its connection."""


class ClientKind(StrEnum):
    """How a client treats its connection."""

    OBEYING_GO_AWAY = "heeding"
    """It goes on over a new one when it is told to go away."""
    IGNORING_GO_AWAY = "staying"
    """It goes on using the one it has until that is closed."""
    CONNECTION_PER_REQUEST = "new"
    """It opens one for each request."""


@dataclass(frozen=True)
class Unanswered:
    """A request that got no answer."""

    request_id: str
    kind: ClientKind
    class_name: str
    sent_s: float
    """Steady time."""
    ended_s: float
    reason: NoAnswer


class ClientGroup:
    """All clients of one life."""

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
        """Idle connections that were reset in place of closed."""
        self.max_lag_s = 0.0
        """How late the event loop has been at most."""
        self.new_connections_until_s = float("inf")
        """Steady time from which nobody opens a connection for a new request."""
        self._connections: list[ClientConnection] = []
        self._requests: set[asyncio.Task[None]] = set()
        self._tasks: list[asyncio.Task[None]] = []
        self._is_stopping = False

    def start(self, rate: float, idle_clients: int) -> None:
        """Begin: ``rate`` requests a second of each kind, and so many idle clients."""
        for kind in ClientKind:
            self._tasks.append(asyncio.ensure_future(self._send_requests(kind, rate)))
        self._tasks += [asyncio.ensure_future(self._hold_idle_connection()) for _ in range(idle_clients)]
        self._tasks.append(asyncio.ensure_future(self._watch_lag()))

    async def stop(self) -> None:
        """Send no more, wait for what is open, and close all."""
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
        """Hold a connection until the router closes it; a new one is not opened."""
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
