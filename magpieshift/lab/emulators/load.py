"""Load generator with open-loop arrivals: each session fetches the parts of an object in sequence.

A rejected request is retried once after its Retry-After, marked as a retry, and a write keeps its idempotency
key. The times of sessions and their objects depend on the seed only; classes, numbers of parts and ids are
drawn in the order in which answers arrive, so that they differ from run to run.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import numpy as np
from hdrh.histogram import HdrHistogram

from magpieshift.downstream.frames import ResponseCode
from magpieshift.lab.emulators.client_connection import RESEND_WINDOW_S, Answer, ClientConnection, NoAnswer

TIME_LIMITS_MS = {"picture": 1500, "basket": 2000, "order": 2000}  # the settings' deadlines, by class
CONNECTIONS = 8  # connections to each router; with more, the end of one connection affects fewer requests
MEAN_SESSION_PARTS = 2.0  # mean of 1 to 3 parts, uniformly distributed
ORDER_FRACTION = 0.04  # share of sessions that send an order
WRITE_FRACTION = 0.1  # share of sessions that write, orders included
POPULARITY_EXPONENT = 1.2  # exponent of the objects' Zipf distribution; a higher one gives more hits
DEFAULT_RETRY_AFTER_MS = "100"  # delay before the retry of a rejection without a Retry-After
MAX_LATENCY_US = 60_000_000  # upper limit of the histogram
MAX_EXAMPLES = 20  # lost requests kept as examples; all are counted
WRITE_BODY = b"eggs"  # arbitrary

CopyServed = Callable[[str, int, float, str], None]
"""Called with an object's key, the Unix time in ms at which its copy was created, the Unix time in seconds
at which the request was sent, and the request's id."""


@dataclass
class TrafficCounts:
    """Outcomes of the requests of a time interval."""

    sent: int = 0
    served: int = 0
    rejected: int = 0
    failed: int = 0
    lost: int = 0
    """Requests without an answer that should have had one."""
    interrupted: int = 0
    """Requests without an answer whose router could not answer (``may_go_unanswered``)."""
    latency_us: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 2))
    """Latencies of served requests."""

    def record(self, answer: Answer | NoAnswer, latency_us: int, is_excused: bool) -> None:
        """Count the outcome of a request."""
        if isinstance(answer, NoAnswer):
            self.lost += not is_excused
            self.interrupted += is_excused
            return
        self.served += answer.code == ResponseCode.OK
        self.rejected += answer.code == ResponseCode.REJECTED
        self.failed += answer.code == ResponseCode.FAILED
        if answer.code == ResponseCode.OK:
            self.latency_us.record_value(min(latency_us, MAX_LATENCY_US - 1_000_000))


class LoadGenerator:
    """All clients of one router."""

    def __init__(
        self,
        port: int,
        rate: float,
        objects: int,
        seed: int,
        copy_served: CopyServed,
        request_id_prefix: str = "",
        may_go_unanswered: Callable[[float], bool] = lambda sent_s: False,
        resend_window_s: float = RESEND_WINDOW_S,
        retry_ports: Sequence[int] = (),
    ) -> None:
        """``rate`` is in parts per second. ``may_go_unanswered`` returns whether a request sent at the given
        steady time may remain without an answer. A rejected request is retried at one of ``retry_ports``,
        or at the same router if there are none."""
        self._rate = rate
        self._objects = objects
        self._copy_served = copy_served
        self._request_id_prefix = request_id_prefix
        self._may_go_unanswered = may_go_unanswered
        self._stopping = False
        self._arrivals = np.random.default_rng(seed)
        """Random numbers for the sessions' times and objects."""
        self._random = random.Random(seed)
        """Random numbers for everything else."""
        self._connections = [ClientConnection(port, resend_window_s) for _ in range(CONNECTIONS)]
        self._retry_connections = [ClientConnection(other, resend_window_s) for other in retry_ports]
        self._sessions: set[asyncio.Task[None]] = set()
        self.counts_by_second: list[TrafficCounts] = []
        """Outcomes of each second since ``run`` was called."""
        self.total = TrafficCounts()
        self.retries = 0
        self.unanswered_examples: list[str] = []
        """Descriptions of the first lost requests, at most ``MAX_EXAMPLES``."""
        self._started_s = time.monotonic()

    @property
    def duplicate_answers(self) -> int:
        """Answers beyond the first of their request."""
        return sum(connection.duplicate_answers for connection in self._all_connections())

    def _all_connections(self) -> list[ClientConnection]:
        return [*self._connections, *self._retry_connections]

    def _current_counts(self) -> tuple[TrafficCounts, TrafficCounts]:
        """Return the counts of the current second, and the total."""
        second = int(time.monotonic() - self._started_s)
        while len(self.counts_by_second) <= second:
            self.counts_by_second.append(TrafficCounts())
        return self.counts_by_second[second], self.total

    async def run(self, seconds: float) -> None:
        """Start sessions at random times for this many seconds; return when all sessions have ended."""
        self._started_s = time.monotonic()
        while time.monotonic() - self._started_s < seconds and not self._stopping:
            await asyncio.sleep(float(self._arrivals.exponential(MEAN_SESSION_PARTS / self._rate)))
            task = asyncio.ensure_future(self._session())
            self._sessions.add(task)
            task.add_done_callback(self._sessions.discard)
        while self._sessions:
            await asyncio.wait(list(self._sessions))
        for connection in self._all_connections():
            connection.close()

    def stop_sending(self) -> None:
        """Start no more sessions; ``run`` returns when the open ones have ended."""
        self._stopping = True

    async def _session(self) -> None:
        connection = self._random.choice(self._connections)
        key = f"{int(self._arrivals.zipf(POPULARITY_EXPONENT)) % self._objects + 1:016x}"
        draw = self._random.random()
        if draw < WRITE_FRACTION:
            await self._request(connection, "order" if draw < ORDER_FRACTION else "basket", key, 0)
            return
        for part in range(self._random.randint(1, 3)):
            if not await self._request(connection, "picture", key, part):
                return

    async def _request(self, connection: ClientConnection, class_name: str, key: str, part: int) -> bool:
        """Send a request, and retry it once if it is rejected; return whether it was served."""
        idempotency_key = f"{self._random.getrandbits(64):016x}"
        for attempt in range(2):
            request_id = self._draw_request_id()
            fields = self._request_fields(class_name, request_id, key, part)
            if class_name == "basket":
                fields["k"] = idempotency_key
            if attempt:
                fields["r"] = "1"
                self.retries += 1
                if self._retry_connections:  # as the platform's load balancer does
                    connection = self._random.choice(self._retry_connections)
            sent_s = time.time()
            answer = await self._send(connection, class_name, fields)
            if isinstance(answer, NoAnswer):
                return False
            if answer.code != ResponseCode.REJECTED:
                is_served = answer.code == ResponseCode.OK
                if is_served and class_name == "picture":
                    created_ms = int(answer.body.split(b" ", 3)[2])
                    self._copy_served(key, created_ms, sent_s, request_id)
                return is_served
            await asyncio.sleep(int(answer.fields.get("w", DEFAULT_RETRY_AFTER_MS)) / 1000)
        return False

    def _draw_request_id(self) -> str:
        drawn = f"{self._random.getrandbits(64):016x}"
        return self._request_id_prefix + drawn[len(self._request_id_prefix) :]

    @staticmethod
    def _request_fields(class_name: str, request_id: str, key: str, part: int) -> dict[str, str]:
        """Return a request's fields by their names on the wire."""
        return {
            "c": class_name,
            "i": request_id,
            "d": str(TIME_LIMITS_MS[class_name]),
            "o": key,
            "slice": str(part),
            "set": str(int(key, 16) % 256),
            "m": "0.9",
        }

    async def _send(
        self, connection: ClientConnection, class_name: str, fields: dict[str, str]
    ) -> Answer | NoAnswer:
        """Send one attempt and count its outcome."""
        sent_s = time.monotonic()
        for counts in self._current_counts():
            counts.sent += 1
        body = b"" if class_name == "picture" else WRITE_BODY
        answer = await connection.request(fields, body, TIME_LIMITS_MS[class_name] / 1000)
        latency_us = max(1, int(1e6 * (time.monotonic() - sent_s)))
        is_excused = isinstance(answer, NoAnswer) and self._may_go_unanswered(sent_s)
        if isinstance(answer, NoAnswer) and not is_excused and len(self.unanswered_examples) < MAX_EXAMPLES:
            when = f"{class_name} at {sent_s:.3f}, after {latency_us / 1e6:.3f} s"
            self.unanswered_examples.append(f"{fields['i']} ({when}): {answer.value}")
        for counts in self._current_counts():
            counts.record(answer, latency_us, is_excused)
        return answer
