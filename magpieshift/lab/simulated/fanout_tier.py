"""A small fan-out tier as a value: a source, two relays, two routers and what is under way between them, and
what may happen to it. Times are microseconds of true time, from which the machines' clocks differ."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import NamedTuple

from magpieshift.lab.simulated.fanout_frozen import Frozen
from magpieshift.lab.simulated.fanout_judge import RuleBroken
from magpieshift.lab.simulated.fanout_processes import (
    Connect,
    End,
    Following,
    Message,
    Output,
    Process,
    Relay,
    Router,
    Send,
    Server,
    Source,
    Took,
)
from magpieshift.relay.instructions import ApplyEntries, RestoreSnapshot
from magpieshift.relay.limits import CLOCK_DRIFT, MAX_PURGE_US
from magpieshift.relay.messages import Entry, Epoch, Purge, UpstreamMessage

SOURCE = "S"
RELAYS = ("R1", "R2")
ROUTERS = ("E1", "E2")
FOLLOWERS = (*RELAYS, *ROUTERS)
NAMES = (SOURCE, *FOLLOWERS)
RATES = {
    "S": 0.0,
    "R1": CLOCK_DRIFT / 2,
    "R2": -CLOCK_DRIFT / 2,
    "E1": -CLOCK_DRIFT / 2,
    "E2": CLOCK_DRIFT / 2,
}
BEGIN_US = 100_000_000
TICK_US = 4_000_000  # half a lease
ROUND_US = 600_000  # so long that a progress is due
STREAMS_OF_A_LIFE = 100
LOG_ENTRIES = 8
END = -1  # in the place of a message: the end of the stream
NOWHERE = ""  # the server of a stream whose process is gone


class Way(NamedTuple):
    """A stream of a follower, with the messages under way by their numbers."""

    ident: int
    server: str
    up: tuple[int, ...] = ()
    down: tuple[int, ...] = ()


class Known(NamedTuple):
    """What a life of a router has applied: its place in the log, and purges by their positions."""

    term: int = 0
    sequence: int = 0
    purges: frozenset[int] = frozenset()


class Log(NamedTuple):
    """What a source numbered, as positions of purges, and how much of it was called done."""

    term: int
    entries: tuple[int, ...] = ()
    done: int = 0


class Budget(NamedTuple):
    """How often each may yet happen."""

    ticks: int = 3
    rounds: int = 0
    purges: int = 1
    losses: int = 1
    moves: int = 0  # of a router to its other relay, while its stream is well
    crashes: int = 0
    sources: int = 0


class Tier(NamedTuple):
    """A state of everything."""

    now_us: int
    processes: tuple[int, ...]  # by ``NAMES``
    ways: tuple[Way | None, ...]  # by ``FOLLOWERS``
    left: tuple[Way | None, ...]  # a stream each has left, with what is still under way on it
    known: tuple[Known, ...]  # by ``ROUTERS``
    made_us: tuple[int, ...]  # when each purge was accepted by the change log
    read: int  # how many of them the source has read
    logs: tuple[Log, ...]
    lives: int
    budget: Budget


def clock(name: str, now_us: int) -> int:
    """A machine's own clock at a true time."""
    return now_us + int((now_us - BEGIN_US) * RATES[name])


class Draft:
    """A tier while something happens to it."""

    def __init__(self, memory: Memory, tier: Tier) -> None:
        self._memory = memory
        self.now_us = tier.now_us
        self.read = tier.read
        self.lives = tier.lives
        self.budget = tier.budget
        self.processes = dict(zip(NAMES, tier.processes, strict=True))
        self.ways = dict(zip(FOLLOWERS, tier.ways, strict=True))
        self.left = dict(zip(FOLLOWERS, tier.left, strict=True))
        self.known = dict(zip(ROUTERS, tier.known, strict=True))
        self.made_us = tier.made_us
        self.logs = tier.logs

    def tier(self) -> Tier:
        """The state that it is in now."""
        return Tier(
            self.now_us,
            tuple(self.processes.values()),
            tuple(self.ways.values()),
            tuple(self.left.values()),
            tuple(self.known.values()),
            self.made_us,
            self.read,
            self.logs,
            self.lives,
            self.budget,
        )

    def spend(self, **what: int) -> None:
        """Take so much from the budget."""
        self.budget = self.budget._replace(
            **{name: getattr(self.budget, name) - n for name, n in what.items()}
        )

    # --- what may happen

    def tick(self) -> None:
        self.spend(ticks=1)
        self.now_us += TICK_US

    def purge(self) -> None:
        self.spend(purges=1)
        self.made_us += (self.now_us,)

    def read_log(self) -> None:
        """The source reads all that the change log has accepted, and is current by it."""
        positions = tuple(range(self.read, len(self.made_us)))
        entries = [self._memory.purge(position, self.made_us[position]) for position in positions]
        log = self.logs[-1]
        self.logs = (*self.logs[:-1], log._replace(entries=log.entries + positions))
        self.read = len(self.made_us)

        def event(process: Process, now_us: int) -> list[Output]:
            assert isinstance(process, Source)
            process.read(entries, now_us, now_us)
            return []

        self._do(SOURCE, ("read", positions), event)

    def connect(self, name: str, to: str, moving: bool = False) -> None:
        if moving:
            self.spend(moves=1)
        self._do(name, ("connect", to), lambda process, now_us: following(process).connect(to, now_us))

    def acknowledge(self, name: str) -> None:
        self._do(name, "acknowledge", lambda process, now_us: following(process).acknowledge(now_us))

    def send(self, follower: str) -> None:
        """A server sends what is due."""
        way = self.ways[follower]
        if way is not None and way.server:
            self._do(way.server, ("send", way.ident), partial(send_if_due, way.ident))

    def up(self, follower: str, answer: bool = True) -> None:
        """The next message arrives at the server, which may at once send what is due by it."""
        way = self.ways[follower]
        assert way is not None
        self.ways[follower] = way._replace(up=way.up[1:])
        self._hear(way, way.up[0], answer)

    def up_left(self, follower: str) -> None:
        """The next message of a stream that was left arrives."""
        way = self.left[follower]
        assert way is not None
        self.left[follower] = way._replace(up=way.up[1:]) if len(way.up) > 1 else None
        self._hear(way, way.up[0], answer=False)

    def _hear(self, way: Way, number: int, answer: bool) -> None:
        def event(process: Process, now_us: int) -> list[Output]:
            if number == END:
                server(process).follower_lost(way.ident, now_us)
                return []
            message = self._memory.messages[number]
            assert isinstance(message, UpstreamMessage)
            outputs = server(process).heard_from_follower(way.ident, message, now_us)
            return [*outputs, *(send_if_due(way.ident, process, now_us) if answer else ())]

        self._do(way.server, ("up", way.ident, number, answer), event)

    def down(self, follower: str) -> None:
        """The next message arrives at the follower."""
        way = self.ways[follower]
        assert way is not None
        number = way.down[0]
        self.ways[follower] = way._replace(down=way.down[1:])
        if number == END:
            self.ways[follower] = None
            self._lost(follower, way.ident)
            return
        message = self._memory.messages[number]
        assert not isinstance(message, UpstreamMessage)

        def event(process: Process, now_us: int) -> list[Output]:
            return following(process).heard_from_relay(way.ident, message, now_us)

        self._do(follower, ("down", way.ident, number), event)

    def lose(self, follower: str) -> None:
        """A stream breaks; what goes up may still arrive, what goes down does not."""
        self.spend(losses=1)
        way = self.ways[follower]
        assert way is not None
        self._leave(follower, way, ended=True)
        self._lost(follower, way.ident)

    def crash(self, name: str) -> None:
        """A process dies, and a new life begins at once; a source's begins a new epoch."""
        self.spend(**{"sources" if name == SOURCE else "crashes": 1})
        for follower in FOLLOWERS:
            way = self.ways[follower]
            left = self.left[follower]
            if way is not None and way.server == name:
                self.ways[follower] = way._replace(server=NOWHERE, up=(), down=(*way.down, END))
            if left is not None and left.server == name:
                self.left[follower] = None
        if name in FOLLOWERS and (way := self.ways[name]) is not None:
            self._leave(name, way, ended=True)
        self.start(name)

    def start(self, name: str) -> None:
        """A new life of a process."""
        self.lives += 1
        process = self._memory.new_process(name, self.lives, clock(name, self.now_us))
        self.processes[name] = self._memory.frozen.freeze(process)
        if name == SOURCE:
            self.logs = (*self.logs, Log(self.lives))
            self.read = 0
        elif name in ROUTERS:
            self.known[name] = Known()

    def report(self, follower: str) -> None:
        """Whatever a follower has to say arrives."""
        self.acknowledge(follower)
        while (way := self.ways[follower]) is not None and way.up:
            self.up(follower)
        while (left := self.left[follower]) is not None and left.up:
            self.up_left(follower)

    def tell(self, follower: str) -> None:
        """Whatever its server has to say arrives at a follower, and is applied."""
        self.send(follower)
        while (way := self.ways[follower]) is not None and way.down:
            self.down(follower)
        if follower in ROUTERS:
            self.apply(follower)

    def apply(self, name: str) -> None:
        """A router applies what it has received."""
        self._do(name, "apply", lambda process, now_us: router(process).apply(now_us))

    def round(self, without: str = "") -> None:
        """A little time passes, in which all but one process go about their business."""
        self.spend(rounds=1)
        self.now_us += ROUND_US
        if without != SOURCE:
            self.read_log()
        for name, way in list(self.ways.items()):
            if way is not None and without not in (name, way.server):
                self.report(name)
                self.tell(name)

    # --- what comes of it

    def _lost(self, follower: str, ident: int) -> None:
        def event(process: Process, now_us: int) -> list[Output]:
            following(process).relay_lost(ident)
            return []

        self._do(follower, ("lost", ident), event)

    def _leave(self, follower: str, way: Way, ended: bool) -> None:
        self.ways[follower] = None
        if way.server:
            self.left[follower] = way._replace(up=(*way.up, END) if ended else way.up, down=())

    def _do(self, name: str, what: object, event: Callable[[Process, int], list[Output]]) -> None:
        now_us = clock(name, self.now_us)
        self.processes[name], outputs = self._memory.frozen.step(
            self.processes[name], what, now_us, lambda process: event(process, now_us)
        )
        for output in outputs:
            self._handle(name, output)

    def _handle(self, name: str, output: Output) -> None:
        match output:
            case Connect(ident, to, join):
                if (way := self.ways[name]) is not None:
                    self._leave(name, way, ended=False)
                self.ways[name] = Way(ident, to, (self._memory.number(join),))
            case Send(ident, message):
                self._send(ident, self._memory.number(message), message)
            case End(ident):
                self._end(name, ident)
            case Took(effect):
                if name in ROUTERS:
                    self.known[name] = self._took(name, effect)

    def _send(self, ident: int, number: int, message: Message) -> None:
        up = isinstance(message, UpstreamMessage)
        for follower, way in self.ways.items():
            if way is not None and way.ident == ident:
                changed = way._replace(up=(*way.up, number)) if up else way._replace(down=(*way.down, number))
                self.ways[follower] = changed if way.server else way
        for follower, way in self.left.items():
            if way is not None and way.ident == ident and up:
                self.left[follower] = way._replace(up=(*way.up, number))

    def _end(self, name: str, ident: int) -> None:
        for follower, way in self.ways.items():
            if way is not None and way.ident == ident:
                if follower == name:
                    self._leave(follower, way, ended=True)
                else:
                    self.ways[follower] = way._replace(server=NOWHERE, up=(), down=(*way.down, END))
        left = self.left.get(name)
        if left is not None and left.ident == ident and left.up[-1:] != (END,):
            self.left[name] = left._replace(up=(*left.up, END))

    # --- the rules

    def _took(self, name: str, effect: ApplyEntries | RestoreSnapshot) -> Known:
        known = self.known[name]
        logs = {log.term: log.entries for log in self.logs}
        if isinstance(effect, ApplyEntries):
            term = effect.epoch.term
            last = effect.last
            if (term, effect.first) != (known.term, known.sequence + 1):
                raise RuleBroken(f"order: {name} at {known} applied {effect.first} to {last} of {term}")
            told = positions(effect.entries)
            if told != list(logs[term][effect.first - 1 : last]):
                raise RuleBroken(f"content: {name} applied {told}")
            return Known(term, last, known.purges | frozenset(told))
        term = effect.snapshot.epoch.term
        last = effect.snapshot.applied
        told = positions(effect.snapshot.purges)
        if (term, last) < known[:2]:
            raise RuleBroken(f"order: {name} at {known} took a snapshot of {last} of {term}")
        if missing := set(logs[term][:last]).difference(told):
            raise RuleBroken(f"skipped: {name} took a snapshot without {missing}")
        return Known(term, last, known.purges | frozenset(told))

    def judge(self) -> None:
        """Hold what the processes claim against what is true."""
        done = self._ask(SOURCE, "done", lambda process, now_us: server(process).fanout.watermark(now_us))
        log = self.logs[-1]
        if done > log.done:
            self.logs = (*self.logs[:-1], log._replace(done=done))
        for name in ROUTERS:
            limit_us = self._ask(
                name, "limit", lambda process, now_us: router(process).copy_age_limit(now_us)
            )
            if limit_us == 0:
                self._judge_leased(name, self.known[name])

    def _judge_leased(self, name: str, known: Known) -> None:
        for log in self.logs:
            behind = known.sequence < log.done if log.term == known.term else False
            if behind or not known.purges.issuperset(log.entries[: log.done]):
                raise RuleBroken(f"watermark: {log.done} of {log.term} is done, {name} (leased) has {known}")
        for position, made_us in enumerate(self.made_us):
            if made_us <= self.now_us - MAX_PURGE_US and position not in known.purges:
                raise RuleBroken(f"bound: {name} (leased) lacks a purge of {self.now_us - made_us} us ago")

    def _ask(self, name: str, what: str, question: Callable[[Process, int], int]) -> int:
        now_us = clock(name, self.now_us)
        answer: int = self._memory.frozen.ask(
            self.processes[name], what, now_us, lambda process: question(process, now_us)
        )
        return answer


class Memory:
    """What drafts share: frozen processes and messages by their numbers."""

    def __init__(self) -> None:
        self.frozen = Frozen()
        self.messages: list[Message] = []
        self._numbers: dict[Message, int] = {}

    def number(self, message: Message) -> int:
        """The number of a message."""
        number = self._numbers.setdefault(message, len(self.messages))
        if number == len(self.messages):
            self.messages.append(message)
        return number

    def purge(self, position: int, made_us: int) -> Entry:
        """A purge by its position in the change log."""
        return Purge(str(position), 0, made_us)

    def new_process(self, name: str, life: int, now_us: int) -> Process:
        """A process in a new life."""
        boot = f"{name}/{life}"
        first_stream = life * STREAMS_OF_A_LIFE
        if name == SOURCE:
            return Source(name, boot, Epoch(life, life), now_us, LOG_ENTRIES)
        if name in RELAYS:
            return Relay(name, boot, first_stream, LOG_ENTRIES)
        return Router(name, boot, first_stream, applies_later=True)


def send_if_due(ident: int, process: Process, now_us: int) -> list[Output]:
    """What a server sends to a stream, if its time has come."""
    due = ident in server(process).fanout.due_streams(now_us)
    return server(process).send_to(ident, now_us) if due else []


def positions(entries: tuple[Entry, ...]) -> list[int]:
    """Of purges, in the change log."""
    return [int(entry.key) for entry in entries if isinstance(entry, Purge)]


def server(process: Process) -> Server:
    """The process, which serves."""
    assert isinstance(process, Server)
    return process


def following(process: Process) -> Following:
    """The process, which follows."""
    assert isinstance(process, Following)
    return process


def router(process: Process) -> Router:
    """The process, which is a router."""
    assert isinstance(process, Router)
    return process
