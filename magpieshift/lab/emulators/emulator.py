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
SLACK_S = 0.05  # the protocol page's allowance on sockets
DRAIN_S = 0.25
PURGE_S = 0.5


@dataclass(frozen=True)
class Figures:
    """What a store can do."""

    slots: int = 32
    serve_ms: float = 4.0
    fetch_ms: float = 18.0  # for what it does not hold itself, at the source
    kb_per_s: float = 40_000.0
    keeps: int = 4_000
    cold_s: float = 4.0  # after a late start
    cold_factor: float = 3.0
    size: float = 0.5  # the work it bears when warm, in sending times at once
    cold_from: float = 0.3
    fall_multiple: float = 2.5
    work_s: float = 0.003  # the sending time of one part


class Rules:
    """The rules that are judged at the stores, over all of them and for all routers that ask them.

    ``slack_s`` is granted beyond each time limit. ``knew`` tells, of a request's id and a time at which
    something was told, when the router that sent it could know: one that is cut off or
    stands still cannot. ``copies`` names the classes of which the settings let a second copy run beside the
    first, at another store."""

    def __init__(
        self,
        slack_s: float = SLACK_S,
        knew: Callable[[str, float], float] = lambda ident, told: told,
        copies: Collection[str] = (),
    ) -> None:
        self.slack_s = slack_s
        self.knew = knew
        self.copies = copies
        self._out: dict[str, list[str]] = {}  # where each request has an attempt out
        self.attempts = 0
        self.broken: dict[str, int] = {}
        self.examples: list[str] = []
        self.told_drain: dict[str, float] = {}
        self.purged: dict[str, tuple[float, float]] = {}  # object: when it was made, and when it was told
        self.fetches: dict[str, int] = {}  # of the origin, by who asked
        self._ran: set[str] = set()  # requests that must not be repeated, and have run

    def broke(self, rule: str, text: str) -> None:
        self.broken[rule] = self.broken.get(rule, 0) + 1
        if len(self.examples) < 20:
            self.examples.append(f"{rule}: {text}")

    def began(self, ident: str, store: str, class_name: str = "") -> None:
        self.attempts += 1
        out = self._out.setdefault(ident, [])
        a_copy = class_name in self.copies and len(out) == 1 and store not in out
        if out and not a_copy:
            self.broke("second attempt", f"{ident} came to {store} while another was out")
        out.append(store)
        self.named(ident, store, "came to")

    def named(self, ident: str, store: str, how: str) -> None:
        """A request has come to a store, or names it as the source of its fill."""
        told = self.told_drain.get(store)
        if told is not None and time.time() > self.knew(ident, told) + DRAIN_S + self.slack_s:
            late = time.time() - told
            self.broke("drain", f"{ident} {how} {store} {late:.3f} s after its drain was told")

    def cold(self, store: str, work_s: float, bears_s: float) -> None:
        """A store that started lately has been sent so much work within a second, and can bear so much."""
        if work_s > bears_s:
            self.broke(
                "cold store", f"{store} was sent {work_s:.2f} s of work in 1 s, and bears {bears_s:.2f}"
            )

    def ended(self, ident: str, store: str) -> None:
        self._out[ident].remove(store)
        if not self._out[ident]:
            del self._out[ident]

    def ran(self, ident: str, class_name: str, store: str) -> None:
        """A request has taken effect; of an order, for which no store knows repeats, only once."""
        if class_name == "order":
            if ident in self._ran:
                self.broke("repeat", f"{ident} came to {store} again after it had run")
            self._ran.add(ident)

    def served(self, key: str, minted_ms: int, sent: float, ident: str = "") -> None:
        """A client has got a copy: none from before a purge, if it asked long enough after that."""
        made, told = self.purged.get(key, (0.0, 0.0))
        if made and sent > self.knew(ident, told) + PURGE_S + self.slack_s and minted_ms / 1000 < made:
            self.broke("purge", f"object {key}: copy of {made - minted_ms / 1000:.3f} s before the purge")


class Store:
    """One process of a store; a restarted one is a new object under a new id."""

    def __init__(
        self, ident: str, zone: str, kind: str, cell: int, figures: Figures, rules: Rules, rand: random.Random
    ) -> None:
        self.ident = ident
        self.zone = zone
        self.kind = kind
        self.cell = cell
        self.figures = figures
        self._rules = rules
        self._random = rand
        self.sources: Mapping[str, Store] = {}  # by id, those that a fill may name
        self.port = 0
        self.up_since_ms = 0
        self.slow_ms = 0.0  # a failure: so much longer for each answer
        self.lose = 0.0  # a failure: this share of answers never comes
        self.errs = 0.0  # a failure: this share is answered with an error
        self.paused = asyncio.Event()
        self.paused.set()
        self.hits = 0
        self.fills = 0
        self.asked = 0
        self._held: OrderedDict[Part, int] = OrderedDict()  # when minted, in Unix ms
        self._slots = asyncio.Semaphore(figures.slots)
        self._link_free = 0.0
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._lately: deque[float] = deque()  # when work came, within the last second, while it is cold
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, port: int = 0) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def die(self) -> None:
        """As a process that is killed: connections are reset, what it held is gone."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        self._held.clear()

    def reset(self) -> None:
        for writer in list(self._open):
            writer.transport.abort()

    @property
    def up(self) -> bool:
        return self._server is not None

    def listing(self, phase: str = "SERVING") -> dict[str, object]:
        return {
            "id": self.ident,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": self.zone,
            "flavor": self.kind,
            "cell": self.cell,
            "phase": phase,
            "size": self.figures.size,
            "up_since_ms": self.up_since_ms,
        }

    def drop(self, key: str) -> None:
        """A purge reaches this store."""
        for part in [part for part in self._held if part[0] == key]:
            del self._held[part]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._open.add(writer)
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
        self._open.discard(writer)
        writer.close()

    def _count(self) -> None:
        """Work has come, from a client's request or a fill."""
        age = time.time() - self.up_since_ms / 1000 if self.up_since_ms else self.figures.cold_s
        if age >= self.figures.cold_s:
            self._lately.clear()
            return
        now = time.monotonic()
        figures = self.figures
        self._lately.append(now)
        while self._lately[0] < now - 1.0:
            self._lately.popleft()
        share = figures.cold_from + (1 - figures.cold_from) * max(0.0, age) / figures.cold_s
        work_s = len(self._lately) * figures.work_s
        self._rules.cold(self.ident, work_s, figures.fall_multiple * figures.size * share)

    def _factor(self) -> float:
        age = time.time() - self.up_since_ms / 1000 if self.up_since_ms else self.figures.cold_s
        return 1.0 if age >= self.figures.cold_s else self.figures.cold_factor

    async def _work(self, ms: float, kb: float) -> None:
        """Time in a slot, and on the link behind what is already on it."""
        async with self._slots:
            await self.paused.wait()
            jitter = self._random.uniform(0.8, 1.2)
            await asyncio.sleep((ms * jitter * self._factor() + self.slow_ms) / 1000)
        now = time.monotonic()
        self._link_free = max(self._link_free, now) + kb / self.figures.kb_per_s
        await asyncio.sleep(max(0.0, self._link_free - now))

    async def _answer(self, ident: str, fields: Mapping[str, str], writer: asyncio.StreamWriter) -> None:
        self.asked += 1
        self._count()
        self._rules.began(ident, self.ident, fields["class"])
        if "via" in fields:
            self._rules.named(ident, fields["via"], "named as its source")
        out = True
        try:
            minted, how = await self._find(fields)
            out = False
            if minted is not None:
                self._rules.ran(ident, fields["class"], self.ident)
            self._rules.ended(ident, self.ident)  # its end is written right behind
            if self._random.random() < self.lose:
                return
            if self._random.random() < self.errs:
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
                self._rules.ended(ident, self.ident)

    async def _find(self, fields: Mapping[str, str]) -> tuple[int | None, str]:
        part = fields["key"], fields["part"]
        oldest = int(fields.get("fresh", "0"))
        await self._work(self.figures.serve_ms, 0.9)
        minted = self._copy(part, oldest)
        if minted is not None:
            self.hits += 1
            return minted, "warm"
        if self.kind == "source" or fields["class"] in ("basket", "order"):
            return int(time.time() * 1000), "warm"
        source = self.sources.get(fields.get("via", ""))
        if source is None:
            return None, "warm"
        self.fills += 1
        if not source.up:
            return None, "dropped"
        minted = await source.fetch(part, oldest, self.ident)
        if minted is None:
            return None, "lacking"
        self._keep(part, minted)
        return minted, "fill"

    async def fetch(self, part: Part, oldest_ms: int, by: str) -> int | None:
        """Another store fills from this one; None where that cannot be."""
        if not self.up:
            return None
        self._count()
        await self._work(self.figures.fetch_ms, 0.9)
        if self.kind == "source":
            self._rules.fetches[by] = self._rules.fetches.get(by, 0) + 1
            return int(time.time() * 1000)
        minted = self._copy(part, oldest_ms)
        if minted is None:
            origin = next((s for s in self.sources.values() if s.kind == "source"), None)
            minted = await origin.fetch(part, oldest_ms, self.ident) if origin is not None else None
            if minted is not None:
                self._keep(part, minted)
        return minted

    def _copy(self, part: Part, oldest_ms: int) -> int | None:
        minted = self._held.get(part)
        if minted is None or (oldest_ms and time.time() * 1000 - minted > oldest_ms):
            return None
        self._held.move_to_end(part)
        return minted

    def _keep(self, part: Part, minted: int) -> None:
        self._held[part] = minted
        self._held.move_to_end(part)
        while len(self._held) > self.figures.keeps:
            self._held.popitem(last=False)
