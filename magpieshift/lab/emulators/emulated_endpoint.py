"""Caches, parent caches and an origin as the protocol pages describe them, in one process on loopback.

An endpoint has a number of slots for concurrent requests and a network link of limited bandwidth. A cache
stores parts and evicts the least recently used first; a miss that names a source is filled from it, and a
parent that misses fills from the origin. A restarted endpoint is slower during its slow start. Endpoints call
each other directly; only connections from routers use sockets.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import OrderedDict, deque
from collections.abc import Mapping

from magpieshift.lab.emulators.endpoint_profile import ORIGIN_KIND, EndpointProfile
from magpieshift.lab.emulators.protocol_checker import ProtocolChecker
from magpieshift.upstream import codec

Part = tuple[str, str]
"""Object key and part number."""

# body size of each answer: smaller than the platform's parts, so that one machine bears the load
ANSWER_BYTES = 900
PART_KB = 0.9  # ANSWER_BYTES in kilobytes, for the link
WRITE_CLASSES = ("basket", "order")  # classes answered without a stored copy
LOAD_WINDOW_S = 1.0  # window over which the work of an endpoint in slow start is summed


def answer_bytes(request_id: str, fields: Mapping[str, str], created_ms: int | None, how: str) -> bytes:
    """Return an answer as sent on the wire: the copy, ``absent``, or ``failed`` if its source is down."""
    if created_ms is None and how == "dropped":
        return f"{request_id} failed how=dropped 0\r\n\r\n".encode()
    if created_ms is None:
        return f"{request_id} absent - 0\r\n\r\n".encode()
    body = f"{fields['key']} {fields['part']} {created_ms} ".encode().ljust(ANSWER_BYTES, b".")
    head = f"{request_id} data tag=t{created_ms % 1000},minted={created_ms},how={how} {len(body)}\r\n"
    return head.encode() + body + codec.LINE_END


class EmulatedEndpoint:
    """One process of an endpoint; after a restart a new object with a new id replaces it."""

    def __init__(
        self,
        name: str,
        zone: str,
        kind: str,
        cell: int,
        profile: EndpointProfile,
        checker: ProtocolChecker,
        rand: random.Random,
    ) -> None:
        self.name = name
        self.zone = zone
        self.kind = kind
        self.cell = cell
        self.profile = profile
        self._checker = checker
        self._random = rand
        self.sources: Mapping[str, EmulatedEndpoint] = {}
        """Endpoints that may be named as the source of a fill, by id."""
        self.port = 0
        """Port of loopback on which it listens, once started."""
        self.up_since_ms = 0
        """Unix time of the restart; 0 if the endpoint was never restarted, and is warm."""
        self.added_delay_ms = 0.0
        """Fault: delay added to each answer."""
        self.lost_answer_fraction = 0.0
        """Fault: the share of answers that are never sent."""
        self.failed_answer_fraction = 0.0
        """Fault: the share of answers that are errors."""
        self.running = asyncio.Event()
        """Fault: cleared while the endpoint hangs. Requests and fills then wait, but connections are read and
        health checks are answered."""
        self.running.set()
        self.hits = 0
        """Requests answered from a stored copy."""
        self.fills = 0
        """Misses for which a source was named."""
        self.received = 0
        """Requests received."""
        self._created_ms: OrderedDict[Part, int] = OrderedDict()
        """Stored parts, least recently used first, with the Unix time at which each copy was created."""
        self._slots = asyncio.Semaphore(profile.slots)
        self._link_free_at_s = 0.0
        """Steady time at which the link will have sent all that is queued on it."""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        """Open connections."""
        self._recent_work_s: deque[float] = deque()
        """Steady times of requests and fills within the last ``LOAD_WINDOW_S``, during slow start only."""
        self._tasks: set[asyncio.Task[None]] = set()
        """Requests being answered."""

    async def start(self, port: int = 0) -> None:
        """Listen on loopback, at a free port unless one is given."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """Stop like a killed process: reset all connections and lose the stored copies."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()
        for task in list(self._tasks):
            task.cancel()
        self._created_ms.clear()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def open_connections(self) -> int:
        """Number of open connections from routers."""
        return len(self._writers)

    @property
    def is_up(self) -> bool:
        """Whether the endpoint listens."""
        return self._server is not None

    def list_entry(self, phase: str = "SERVING") -> dict[str, object]:
        """Return this endpoint's entry in the endpoint list, with the field names of the wire."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": self.zone,
            "flavor": self.kind,
            "cell": self.cell,
            "phase": phase,
            "size": self.profile.capacity,
            "up_since_ms": self.up_since_ms,
        }

    def invalidate(self, key: str) -> None:
        """Drop all stored parts of an object."""
        for part in [part for part in self._created_ms if part[0] == key]:
            del self._created_ms[part]

    # --- connections

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        answering: dict[str, asyncio.Task[None]] = {}
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "ASK":
                    fields = codec.read_fields(words[2])
                    size = int(words[3])
                    await (reader.readexactly(size + 2) if size else reader.readline())
                    self._start_answer(words[1], fields, writer, answering)
                elif words[0] == "QUIT" and words[1] in answering:
                    answering[words[1]].cancel()
                elif words[0] in ("NOOP", "INFO"):
                    writer.write(f"{words[1]} well - 0\r\n\r\n".encode())
        for task in answering.values():
            task.cancel()
        self._writers.discard(writer)
        writer.close()

    def _start_answer(
        self,
        request_id: str,
        fields: Mapping[str, str],
        writer: asyncio.StreamWriter,
        answering: dict[str, asyncio.Task[None]],
    ) -> None:
        """Answer a request in its own task, which is removed from ``answering`` when done."""

        def remove(task: asyncio.Task[None]) -> None:
            self._tasks.discard(task)
            answering.pop(request_id, None)

        task = asyncio.ensure_future(self._answer(request_id, fields, writer))
        answering[request_id] = task
        self._tasks.add(task)
        task.add_done_callback(remove)

    async def _answer(self, request_id: str, fields: Mapping[str, str], writer: asyncio.StreamWriter) -> None:
        self.received += 1
        self._record_work()
        class_name = fields["class"]
        self._checker.attempt_started(request_id, self.name, class_name)
        if "via" in fields:
            self._checker.endpoint_used(request_id, fields["via"], "named as its source")
        in_flight = True
        try:
            created_ms, how = await self._find_or_fill(fields)
            in_flight = False
            if created_ms is not None:
                self._checker.request_executed(request_id, class_name, self.name)
            # before the answer is written: the router may start the next attempt as soon as it reads it
            self._checker.attempt_ended(request_id, self.name)
            if self._random.random() < self.lost_answer_fraction:
                return
            if self._random.random() < self.failed_answer_fraction:
                writer.write(f"{request_id} failed - 0\r\n\r\n".encode())
            else:
                writer.write(answer_bytes(request_id, fields, created_ms, how))
        finally:
            if in_flight:
                self._checker.attempt_ended(request_id, self.name)

    # --- load

    def _age_s(self) -> float:
        """Return the time since the restart; the full slow-start duration if there was none."""
        if not self.up_since_ms:
            return self.profile.slow_start_s
        return time.time() - self.up_since_ms / 1000

    def _record_work(self) -> None:
        """Record a request or a fill; during slow start, check the recent work against the capacity."""
        profile = self.profile
        age_s = self._age_s()
        if age_s >= profile.slow_start_s:
            self._recent_work_s.clear()
            return
        now_s = time.monotonic()
        self._recent_work_s.append(now_s)
        while self._recent_work_s[0] < now_s - LOAD_WINDOW_S:
            self._recent_work_s.popleft()
        start = profile.slow_start_fraction
        capacity_fraction = start + (1 - start) * max(0.0, age_s) / profile.slow_start_s
        work_s = len(self._recent_work_s) * profile.part_work_s
        self._checker.check_slow_start(
            self.name, work_s, profile.overload_multiple * profile.capacity * capacity_fraction
        )

    async def _work(self, work_ms: float, size_kb: float) -> None:
        """Wait for the processing time in a slot, then for the link to send all data up to this."""
        async with self._slots:
            await self.running.wait()
            jitter = self._random.uniform(0.8, 1.2)
            is_warm = self._age_s() >= self.profile.slow_start_s
            factor = 1.0 if is_warm else self.profile.slow_start_delay_factor
            await asyncio.sleep((work_ms * jitter * factor + self.added_delay_ms) / 1000)
        now_s = time.monotonic()
        self._link_free_at_s = max(self._link_free_at_s, now_s) + size_kb / self.profile.kb_per_s
        await asyncio.sleep(max(0.0, self._link_free_at_s - now_s))

    # --- copies

    async def _find_or_fill(self, fields: Mapping[str, str]) -> tuple[int | None, str]:
        """Return when the copy to answer with was created (Unix ms; None if there is none), and the value of
        ``how`` on the wire: where the copy came from."""
        part = fields["key"], fields["part"]
        max_age_ms = int(fields.get("fresh", "0"))
        await self._work(self.profile.serve_ms, PART_KB)
        created_ms = self._stored_copy(part, max_age_ms)
        if created_ms is not None:
            self.hits += 1
            return created_ms, "warm"
        if self.kind == ORIGIN_KIND or fields["class"] in WRITE_CLASSES:
            return int(time.time() * 1000), "warm"
        source = self.sources.get(fields.get("via", ""))
        if source is None:
            return None, "warm"
        self.fills += 1
        if not source.is_up:
            return None, "dropped"
        created_ms = await source.fetch(part, max_age_ms, self.name)
        if created_ms is None:
            return None, "lacking"
        self._store_copy(part, created_ms)
        return created_ms, "fill"

    async def fetch(self, part: Part, max_age_ms: int, requester: str) -> int | None:
        """Serve a fill of another endpoint; return the copy's creation time (Unix ms), or None without."""
        if not self.is_up:
            return None
        self._record_work()
        await self._work(self.profile.fetch_ms, PART_KB)
        if self.kind == ORIGIN_KIND:
            fetches = self._checker.origin_fetches
            fetches[requester] = fetches.get(requester, 0) + 1
            return int(time.time() * 1000)
        created_ms = self._stored_copy(part, max_age_ms)
        if created_ms is None:
            origin = next((s for s in self.sources.values() if s.kind == ORIGIN_KIND), None)
            created_ms = await origin.fetch(part, max_age_ms, self.name) if origin is not None else None
            if created_ms is not None:
                self._store_copy(part, created_ms)
        return created_ms

    def _stored_copy(self, part: Part, max_age_ms: int) -> int | None:
        """Return when the stored copy was created; None if there is none or it is too old (0: no limit)."""
        created_ms = self._created_ms.get(part)
        if created_ms is None or (max_age_ms and time.time() * 1000 - created_ms > max_age_ms):
            return None
        self._created_ms.move_to_end(part)
        return created_ms

    def _store_copy(self, part: Part, created_ms: int) -> None:
        self._created_ms[part] = created_ms
        self._created_ms.move_to_end(part)
        while len(self._created_ms) > self.profile.max_parts:
            self._created_ms.popitem(last=False)
