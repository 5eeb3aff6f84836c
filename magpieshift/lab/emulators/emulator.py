"""Caches, hubs and an origin as the protocol pages describe them, in one process on loopback, with failures.

A store has slots for what it answers at once and a link whose bytes take time, one after the other. A cache
keeps parts, the least recently used leave first; a miss with a source named is filled from it, through a
hub's own miss from the origin. Who started lately is slower at first. Stores call each other directly: only
the router's side is sockets.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections import OrderedDict, deque
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from magpieshift.upstream import codec

Part = tuple[str, str]
SOCKET_SLACK_S = 0.05  # the protocol page's allowance on sockets
DRAIN_NOTICE_S = 0.25
PURGE_NOTICE_S = 0.5


@dataclass(frozen=True)
class EndpointProfile:
    """What a store can do."""

    slots: int = 32
    serve_ms: float = 4.0
    fetch_ms: float = 18.0  # for what it does not hold itself, at the source
    kb_per_s: float = 40_000.0
    max_parts: int = 4_000
    slow_start_s: float = 4.0  # after a late start
    slow_start_delay_factor: float = 3.0
    capacity: float = 0.5  # the work it bears when warm, in sending times at once
    slow_start_fraction: float = 0.3
    overload_multiple: float = 2.5
    part_work_s: float = 0.003  # the sending time of one part


class ProtocolChecker:
    """The rules that are judged at the stores, over all of them and for all routers that ask them.

    ``slack_s`` is granted beyond each time limit. ``knew`` tells, of a request's id and a time at which
    something was told, when the router that sent it could know: one that is cut off or
    stands still cannot. ``copies`` names the classes of which the settings let a second copy run beside the
    first, at another store."""

    def __init__(
        self,
        slack_s: float = SOCKET_SLACK_S,
        knew: Callable[[str, float], float] = lambda ident, told: told,
        copies: Collection[str] = (),
    ) -> None:
        self.slack_s = slack_s
        self.known_at = knew
        self.hedged_classes = copies
        self._in_flight: dict[str, list[str]] = {}  # where each request has an attempt out
        self.attempts = 0
        self.violations: dict[str, int] = {}
        self.examples: list[str] = []
        self.drains_published_s: dict[str, float] = {}
        self.purges_s: dict[str, tuple[float, float]] = {}  # object: when it was made, and when it was told
        self.origin_fetches: dict[str, int] = {}  # of the origin, by who asked
        self._executed: set[str] = set()  # requests that must not be repeated, and have run

    def record_violation(self, rule: str, text: str) -> None:
        self.violations[rule] = self.violations.get(rule, 0) + 1
        if len(self.examples) < 20:
            self.examples.append(f"{rule}: {text}")

    def attempt_started(self, ident: str, store: str, class_name: str = "") -> None:
        self.attempts += 1
        out = self._in_flight.setdefault(ident, [])
        a_copy = class_name in self.hedged_classes and len(out) == 1 and store not in out
        if out and not a_copy:
            self.record_violation("second attempt", f"{ident} came to {store} while another was out")
        out.append(store)
        self.endpoint_used(ident, store, "came to")

    def endpoint_used(self, ident: str, store: str, how: str) -> None:
        """A request has come to a store, or names it as the source of its fill."""
        told = self.drains_published_s.get(store)
        if told is not None and time.time() > self.known_at(ident, told) + DRAIN_NOTICE_S + self.slack_s:
            late = time.time() - told
            self.record_violation("drain", f"{ident} {how} {store} {late:.3f} s after its drain was told")

    def check_slow_start(self, store: str, work_s: float, bears_s: float) -> None:
        """A store that started lately has been sent so much work within a second, and can bear so much."""
        if work_s > bears_s:
            self.record_violation(
                "cold store", f"{store} was sent {work_s:.2f} s of work in 1 s, and bears {bears_s:.2f}"
            )

    def attempt_ended(self, ident: str, store: str) -> None:
        self._in_flight[ident].remove(store)
        if not self._in_flight[ident]:
            del self._in_flight[ident]

    def request_executed(self, ident: str, class_name: str, store: str) -> None:
        """A request has taken effect; of an order, for which no store knows repeats, only once."""
        if class_name == "order":
            if ident in self._executed:
                self.record_violation("repeat", f"{ident} came to {store} again after it had run")
            self._executed.add(ident)

    def copy_served(self, key: str, minted_ms: int, sent: float, ident: str = "") -> None:
        """A client has got a copy: none from before a purge, if it asked long enough after that."""
        made, told = self.purges_s.get(key, (0.0, 0.0))
        if (
            made
            and sent > self.known_at(ident, told) + PURGE_NOTICE_S + self.slack_s
            and minted_ms / 1000 < made
        ):
            self.record_violation(
                "purge", f"object {key}: copy of {made - minted_ms / 1000:.3f} s before the purge"
            )


class EmulatedEndpoint:
    """One process of a store; a restarted one is a new object under a new id."""

    def __init__(
        self,
        ident: str,
        zone: str,
        kind: str,
        cell: int,
        figures: EndpointProfile,
        rules: ProtocolChecker,
        rand: random.Random,
    ) -> None:
        self.name = ident
        self.zone = zone
        self.kind = kind
        self.cell = cell
        self.profile = figures
        self._checker = rules
        self._random = rand
        self.sources: Mapping[str, EmulatedEndpoint] = {}  # by id, those that a fill may name
        self.port = 0
        self.up_since_ms = 0
        self.added_delay_ms = 0.0  # a failure: so much longer for each answer
        self.lost_answer_fraction = 0.0  # a failure: this share of answers never comes
        self.failed_answer_fraction = 0.0  # a failure: this share is answered with an error
        self.running = asyncio.Event()
        self.running.set()
        self.hits = 0
        self.fills = 0
        self.received = 0
        self._minted_ms: OrderedDict[Part, int] = OrderedDict()  # when minted, in Unix ms
        self._slots = asyncio.Semaphore(figures.slots)
        self._link_free_at_s = 0.0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._recent_work_s: deque[float] = (
            deque()
        )  # when work came, within the last second, while it is cold
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """As a process that is killed: connections are reset, what it held is gone."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()
        for task in list(self._tasks):
            task.cancel()
        self._minted_ms.clear()

    def reset_connections(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    @property
    def is_up(self) -> bool:
        return self._server is not None

    def list_entry(self, phase: str = "SERVING") -> dict[str, object]:
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
        """A purge reaches this store."""
        for part in [part for part in self._minted_ms if part[0] == key]:
            del self._minted_ms[part]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        open_: dict[str, asyncio.Task[None]] = {}
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "ASK":
                    fields = codec.read_fields(words[2])
                    size = int(words[3])
                    await (reader.readexactly(size + 2) if size else reader.readline())
                    task = asyncio.ensure_future(self._answer(words[1], fields, writer))
                    open_[words[1]] = task
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)
                    task.add_done_callback(lambda _, ident=words[1]: open_.pop(ident, None))  # type: ignore[misc]
                elif words[0] == "QUIT" and words[1] in open_:
                    open_[words[1]].cancel()
                elif words[0] in ("NOOP", "INFO"):
                    writer.write(f"{words[1]} well - 0\r\n\r\n".encode())
        for task in open_.values():
            task.cancel()
        self._writers.discard(writer)
        writer.close()

    def _record_work(self) -> None:
        """Work has come, from a client's request or a fill."""
        age = time.time() - self.up_since_ms / 1000 if self.up_since_ms else self.profile.slow_start_s
        if age >= self.profile.slow_start_s:
            self._recent_work_s.clear()
            return
        now = time.monotonic()
        figures = self.profile
        self._recent_work_s.append(now)
        while self._recent_work_s[0] < now - 1.0:
            self._recent_work_s.popleft()
        share = (
            figures.slow_start_fraction
            + (1 - figures.slow_start_fraction) * max(0.0, age) / figures.slow_start_s
        )
        work_s = len(self._recent_work_s) * figures.part_work_s
        self._checker.check_slow_start(
            self.name, work_s, figures.overload_multiple * figures.capacity * share
        )

    def _delay_factor(self) -> float:
        age = time.time() - self.up_since_ms / 1000 if self.up_since_ms else self.profile.slow_start_s
        return 1.0 if age >= self.profile.slow_start_s else self.profile.slow_start_delay_factor

    async def _work(self, ms: float, kb: float) -> None:
        """Time in a slot, and on the link behind what is already on it."""
        async with self._slots:
            await self.running.wait()
            jitter = self._random.uniform(0.8, 1.2)
            await asyncio.sleep((ms * jitter * self._delay_factor() + self.added_delay_ms) / 1000)
        now = time.monotonic()
        self._link_free_at_s = max(self._link_free_at_s, now) + kb / self.profile.kb_per_s
        await asyncio.sleep(max(0.0, self._link_free_at_s - now))

    async def _answer(self, ident: str, fields: Mapping[str, str], writer: asyncio.StreamWriter) -> None:
        self.received += 1
        self._record_work()
        self._checker.attempt_started(ident, self.name, fields["class"])
        if "via" in fields:
            self._checker.endpoint_used(ident, fields["via"], "named as its source")
        out = True
        try:
            minted, how = await self._find(fields)
            out = False
            if minted is not None:
                self._checker.request_executed(ident, fields["class"], self.name)
            self._checker.attempt_ended(ident, self.name)  # its end is written right behind
            if self._random.random() < self.lost_answer_fraction:
                return
            if self._random.random() < self.failed_answer_fraction:
                writer.write(f"{ident} failed - 0\r\n\r\n".encode())
            elif minted is None:
                word, told = ("failed", "how=dropped") if how == "dropped" else ("absent", "-")
                writer.write(f"{ident} {word} {told} 0\r\n\r\n".encode())
            else:
                body = f"{fields['key']} {fields['part']} {minted} ".encode().ljust(900, b".")
                head = f"{ident} data tag=t{minted % 1000},minted={minted},how={how} {len(body)}\r\n"
                writer.write(head.encode() + body + codec.LINE_END)
        finally:
            if out:
                self._checker.attempt_ended(ident, self.name)

    async def _find(self, fields: Mapping[str, str]) -> tuple[int | None, str]:
        part = fields["key"], fields["part"]
        oldest = int(fields.get("fresh", "0"))
        await self._work(self.profile.serve_ms, 0.9)
        minted = self._stored_copy(part, oldest)
        if minted is not None:
            self.hits += 1
            return minted, "warm"
        if self.kind == "source" or fields["class"] in ("basket", "order"):
            return int(time.time() * 1000), "warm"
        source = self.sources.get(fields.get("via", ""))
        if source is None:
            return None, "warm"
        self.fills += 1
        if not source.is_up:
            return None, "dropped"
        minted = await source.fetch(part, oldest, self.name)
        if minted is None:
            return None, "lacking"
        self._store_copy(part, minted)
        return minted, "fill"

    async def fetch(self, part: Part, oldest_ms: int, by: str) -> int | None:
        """Another store fills from this one; None where that cannot be."""
        if not self.is_up:
            return None
        self._record_work()
        await self._work(self.profile.fetch_ms, 0.9)
        if self.kind == "source":
            self._checker.origin_fetches[by] = self._checker.origin_fetches.get(by, 0) + 1
            return int(time.time() * 1000)
        minted = self._stored_copy(part, oldest_ms)
        if minted is None:
            origin = next((s for s in self.sources.values() if s.kind == "source"), None)
            minted = await origin.fetch(part, oldest_ms, self.name) if origin is not None else None
            if minted is not None:
                self._store_copy(part, minted)
        return minted

    def _stored_copy(self, part: Part, oldest_ms: int) -> int | None:
        minted = self._minted_ms.get(part)
        if minted is None or (oldest_ms and time.time() * 1000 - minted > oldest_ms):
            return None
        self._minted_ms.move_to_end(part)
        return minted

    def _store_copy(self, part: Part, minted: int) -> None:
        self._minted_ms[part] = minted
        self._minted_ms.move_to_end(part)
        while len(self._minted_ms) > self.profile.max_parts:
            self._minted_ms.popitem(last=False)
