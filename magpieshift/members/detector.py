"""Who is there: watching, accusing, spreading. A state machine told datagrams and the time; no I/O.

Each member watches the next ``WATCHED`` on a ring, pings each of them every round, tries again by another
member's way, and accuses whom nobody has brought it a beat of for ``SILENT_US``. Accusations spread. A member
is suspected where ``ACCUSERS`` different ones hold, and gone once that has lasted ``SUSPECT_US``; each router
judges by itself, no verdict is passed on. Any later beat, by whatever way it comes, clears all.

Who hears nobody, or has just slept, accuses and judges nobody: it is not the others that are silent.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from itertools import islice

from magpieshift.members.messages import Ack, Address, Ask, Body, Claim, Datagram, Note, Ping, Send, Sync
from magpieshift.members.view import (
    MOST_TEXT,
    PARTS,
    Accusation,
    Change,
    Known,
    Member,
    Standing,
    View,
    spot,
)

TURN_US = 100_000  # between two ticks
ROUND_TURNS = 8  # a round is 0.8 s: who is watched is pinged once in it, and again if need be
AGAIN_TURNS = 2
WATCHED = 6
ACCUSERS = 3
SILENT_US = 2_400_000
SUSPECT_US = 6_600_000  # with the silence before, longer than any pause that is to be borne
SLEPT_US = 1_000_000  # between two ticks: this process did not run, and cannot know who was silent
MOST_MEMBERS_SENT, MOST_ACCUSATIONS_SENT = 8, 12  # in one datagram, which stays under 1,400 bytes
MOST_SYNCED = 12  # members in one answer to a differing view
SPREAD = 3  # times the logarithm of the members: how often one rumour is passed on
MOST_RUMOURS = 4096
MOST_LOOKED_AT = 32  # rumours, for what goes along with one datagram
MOST_STRANGERS = 64  # who said a name and has not yet answered at its address
MOST_OPEN = 1024  # pings without an answer
PATIENCE_US = 2_000_000  # for the answer to a ping; later ones still bring a beat
SEEDS_US, GONE_US, SYNC_US = 3_000_000, 1_000_000, 500_000  # how often they are tried
WINDOW = 64  # datagrams of a sender that may overtake each other
RATE, BURST = 200.0, 400.0  # datagrams a second taken from one address: the sixteen that matter are far below


@dataclass(slots=True)
class _Heard:
    """Which datagrams of one process have come, and how many it may still send."""

    life: tuple[int, int]
    top: int = 0
    seen: int = 0  # bits: of the WINDOW serials up to top

    def new(self, serial: int) -> bool:
        if serial > self.top:
            self.seen = (self.seen << min(serial - self.top, WINDOW) | 1) & ((1 << WINDOW) - 1)
            self.top = serial
            return True
        bit = 1 << (self.top - serial)
        if self.top - serial >= WINDOW or self.seen & bit:
            return False
        self.seen |= bit
        return True


@dataclass(slots=True)
class _Open:
    """A ping without an answer yet."""

    name: str
    sent_us: int
    relay: tuple[Address, int] | None = None  # who asked for it, and by which number
    greet: Member | None = None  # a stranger, taken in once it answers
    rival: Member | None = None  # another process of this router's name
    answered: bool = False


@dataclass(slots=True)
class Counters:
    """What has been dropped and why, and what was done."""

    sent: int = 0
    taken: int = 0
    other_fleet: int = 0
    replayed: int = 0
    flooded: int = 0
    malformed: int = 0
    slept: int = 0
    conflicts: int = 0


@dataclass(frozen=True, slots=True)
class Tuning:
    """What experiments change: the defaults are what runs."""

    watched: int = WATCHED
    accusers: int = ACCUSERS
    health: bool = True  # who hears nobody or slept holds still; without, it judges all the same


Key = tuple[str, ...]


class Rumours:
    """News to be passed on so many times each: what has been passed on least goes first. Each step costs the
    same however much there is; with hundreds that join at once there are thousands."""

    def __init__(self, most: int = MOST_RUMOURS) -> None:
        self._most = most
        self._levels: list[dict[Key, Member | Accusation]] = []  # by how often each is still to be told
        self._left: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self._left)

    def __contains__(self, key: Key) -> bool:
        return key in self._left

    def put(self, key: Key, item: Member | Accusation, times: int) -> None:
        """Pass this on so many times, in place of what is known under this key. Where there is no room, what
        has been told most gives way."""
        self.drop(key)
        if len(self._left) >= self._most:
            self.drop(next(key for level in self._levels for key in level))
        while len(self._levels) <= times:
            self._levels.append({})
        self._levels[times][key] = item
        self._left[key] = times

    def first(self, count: int) -> list[tuple[Key, Member | Accusation]]:
        """So many at the most, what has been told least first."""
        every = (pair for level in reversed(self._levels) for pair in level.items())
        return list(islice(every, count))

    def told(self, key: Key) -> None:
        """Once more; the last time it is dropped."""
        left, item = self._left[key] - 1, self._levels[self._left[key]].pop(key)
        if left <= 0:
            del self._left[key]
        else:
            self._levels[left][key] = item
            self._left[key] = left

    def drop(self, key: Key) -> None:
        if (left := self._left.pop(key, None)) is not None:
            del self._levels[left][key]


def _nobody(claim: Claim, sender: Member, to: Address) -> None:
    """Who takes claims where there are no shares."""


def _deaf(note: Note, sender: Member) -> None:
    """Who takes notes where no other part listens."""


class Detector:
    """One router's part in the membership of a fleet."""

    def __init__(
        self,
        own: Member,
        fleet: str,
        seeds: tuple[Address, ...],
        now_us: int,
        rand: random.Random,
        tuning: Tuning = Tuning(),  # noqa: B008, it is frozen
    ) -> None:
        self.view = View(own, now_us)
        self.view.listeners.append(self._spread_change)
        self.fleet, self.seeds, self.tuning = fleet, seeds, tuning
        self.counters = Counters()
        self.quiet = False  # another process goes on under this name, as it should
        self.expects_rival = False  # a replacement is under way: it is no conflict
        self.other: Callable[[Claim, Member, Address], None] = _nobody
        self.noted: Callable[[Note, Member], None] = _deaf
        self.changes = 0  # of what this router says of itself, for its listeners
        self._now_us, self._random = now_us, rand
        self._out: list[Send] = []
        self._serial = self._number = self._turn = 0
        self._heard: dict[tuple[str, tuple[int, int]], _Heard] = {}
        self._budget: dict[Address, tuple[float, int]] = {}
        self._open: dict[int, _Open] = {}
        self._strangers: dict[str, int] = {}  # name, and the number of the ping that greets it
        self._rumours = Rumours()
        self._watched: dict[str, int] = {}  # whom it watches, and since when
        self._ring_at = (-1, -1)
        self._last_tick_us = self._woke_us = self._heard_us = now_us
        self._late_us = 0  # how late ticks lately came: that much silence is this router's own
        self._seeds_us = self._gone_us = 0
        self._synced: dict[str, int] = {}
        self._accused_us = -SUSPECT_US
        self._rival_tries: tuple[Member, int, int] | None = None  # it, tries so far, when the next is due

    # --- what can be asked

    @property
    def isolated(self) -> bool:
        """Whether it has lately heard nobody at all."""
        return self.view.count > 1 and self._now_us - self._heard_us >= SILENT_US

    @property
    def settled(self) -> bool:
        """Whether it may judge others: it runs, and hears."""
        return not self.isolated and self._now_us - self._woke_us >= SILENT_US

    @property
    def healthy(self) -> int:
        """How many could accuse: those nobody suspects and this router does not accuse, itself included."""
        own = self.view.own.name
        return sum(
            k.standing == Standing.ALIVE and own not in k.accusers
            for k in (self.view.known[name] for _, name in self.view.ring)
        )

    # --- time

    def tick(self, now_us: int) -> list[Send]:
        """To be called every ``TURN_US``; what is to be sent."""
        late = now_us - self._last_tick_us - TURN_US
        self._now_us, self._last_tick_us = now_us, now_us
        if late >= SLEPT_US:
            self._woke()
        self._late_us = max(late, int(self._late_us * 0.98), 0)
        self._turn += 1
        turn = self._turn % ROUND_TURNS
        if turn == 0:
            self.view.speak()
            self.view.forget(now_us)
            self._clear_old()
        if self.quiet:
            return self._flush()
        self._watch()
        for place, name in enumerate(self._watched):
            if place % ROUND_TURNS == turn and not self._just_heard(name):
                self._ping(self.view.known[name].member)
            elif place % ROUND_TURNS == (turn - AGAIN_TURNS) % ROUND_TURNS:
                self._again(name)
        if turn == 0:
            self._round()
        if self._turn % 2 == 0:
            self._push()
        self._judge()
        return self._flush()

    def _just_heard(self, name: str) -> bool:
        """Whether it has spoken this round by itself: then it need not be asked whether it lives."""
        return self._now_us - self.view.known[name].heard_us < ROUND_TURNS * TURN_US // 2

    def _woke(self) -> None:
        """It slept: what it missed is no silence of others. Every suspicion begins anew."""
        self.counters.slept += 1
        if not self.tuning.health:
            return
        self._woke_us = self._now_us
        for known in self.view.known.values():
            if known.standing == Standing.SUSPECTED:
                known.since_us = self._now_us
            self.view.withdraw(known.member.name, self.view.own.name)

    def _round(self) -> None:
        """Once a round: someone at random, now and then a seed, and one that is gone."""
        for member in self._some(1):
            self._ping(member)
        if self.seeds and (self.view.count == 1 or self._now_us - self._seeds_us >= SEEDS_US):
            self._seeds_us = self._now_us
            here = {(k.member.host, k.member.port) for k in self.view.known.values() if k.here}
            missing = [seed for seed in self.seeds if seed not in here]
            if missing:
                self._send(self._random.choice(missing), Sync(tuple(self.view.parts)))
        if self.view.others_gone and self._now_us - self._gone_us >= GONE_US:
            self._gone_us = self._now_us
            gone = [k.member for k in self.view.known.values() if k.standing == Standing.GONE]
            if gone:
                self._send_to(self._random.choice(gone), Sync(tuple(self.view.parts)))
        if self._rival_tries is not None:
            self._try_rival()

    # --- watching

    def _watch(self) -> None:
        """Whom it watches: the next on the ring, past those it accuses itself, so that survivors watch more
        where many have died at once."""
        at = self.view.number, len(self.view.accused)
        if at == self._ring_at:
            return
        self._ring_at = at
        own, found, well = self.view.own.name, dict[str, int](), 0
        for known in self.view.after(own):
            found[known.member.name] = self._watched.get(known.member.name, self._now_us)
            well += own not in known.accusers and known.standing == Standing.ALIVE
            if well >= self.tuning.watched:
                break
        self._watched = found

    def _ping(self, member: Member) -> None:
        number = self._ask_number(_Open(member.name, self._now_us))
        self._send_to(member, Ping(number))

    def _again(self, name: str) -> None:
        """The ping of two turns ago has no answer: once more, and by another's way."""
        if self._just_heard(name):
            return
        self._ping(self.view.known[name].member)
        for helper in self._some(1, name):
            self._send_to(helper, Ask(self._ask_number(_Open(name, self._now_us)), name))

    def _ask_number(self, opened: _Open) -> int:
        if len(self._open) >= MOST_OPEN:
            del self._open[next(iter(self._open))]
        self._number += 1
        number = self._number << 20 | self._random.getrandbits(20)  # not to be guessed by who did not see it
        self._open[number] = opened
        return number

    def _clear_old(self) -> None:
        past = self._now_us - PATIENCE_US
        for number, opened in list(self._open.items()):
            if opened.sent_us >= past:
                break
            del self._open[number]
            if opened.greet is not None:
                self._strangers.pop(opened.greet.name, None)
        if len(self._budget) > 2 * MOST_OPEN:
            self._budget = {at: spent for at, spent in self._budget.items() if spent[1] >= past}
        if len(self._heard) > 2 * self.view.count + MOST_OPEN:
            here = {(name, known.member.life) for name, known in self.view.known.items()}
            self._heard = {key: heard for key, heard in self._heard.items() if key in here}

    # --- judging

    def _judge(self) -> None:
        own, now = self.view.own, self._now_us
        settled = self.settled or not self.tuning.health
        if settled:
            silent = SILENT_US + 2 * min(self._late_us, SLEPT_US)
            for name, since in self._watched.items():
                known = self.view.known[name]
                last = max(known.heard_us, since, self._woke_us)
                if now - last >= silent and own.name not in known.accusers:
                    member = known.member
                    self._accuse(Accusation(name, member.incarnation, member.beat, own.name))
        if not self.view.accused:
            return
        enough = max(1, min(self.tuning.accusers, self.healthy))
        for name in sorted(self.view.accused):
            known = self.view.known[name]
            held = sorted(who for who in known.accusers if self._counts(who))
            if known.standing == Standing.ALIVE and len(held) >= enough:
                why = f"nothing heard since beat {known.member.beat} by {', '.join(held)}"
                self.view.stand(name, Standing.SUSPECTED, now, why)
            elif known.standing == Standing.SUSPECTED and len(held) < enough:
                self.view.stand(name, Standing.ALIVE, now, "too few accuse it any more")
            elif known.standing == Standing.SUSPECTED and settled and now - known.since_us >= SUSPECT_US:
                self.view.stand(name, Standing.GONE, now, known.why)

    def _counts(self, accuser: str) -> bool:
        known = self.view.known.get(accuser)
        return known is not None and known.here

    def _accuse(self, said: Accusation) -> None:
        if self.view.accuse(said):
            self._spread(("a", said.about, said.accuser), said)

    # --- spreading

    def _spread_change(self, change: Change) -> None:
        known = self.view.known[change.name]
        if change.after in (Standing.ALIVE, Standing.LEFT):
            self._spread(("m", change.name), known.member)

    def _spread(self, key: Key, item: Member | Accusation) -> None:
        self._rumours.put(key, item, SPREAD * math.ceil(math.log2(self.view.count + 2)))

    def _told(self, counts: bool) -> tuple[tuple[Member, ...], tuple[Accusation, ...]]:
        """What goes along with the next datagram: what has been passed on least. It counts as passed on only
        where somebody is likely to read it: of many deaths at once most datagrams go to the dead."""
        members: list[Member] = []
        accusations: list[Accusation] = []
        for key, item in self._rumours.first(MOST_LOOKED_AT):
            known = self.view.known.get(item.name if isinstance(item, Member) else item.about)
            if isinstance(item, Member):
                if known is None or len(members) >= MOST_MEMBERS_SENT:
                    continue
                members.append(known.member)  # the latest of it
            else:
                stale = known is None or not (item.accuser in known.accusers or self._judged(known, item))
                if stale:
                    self._rumours.drop(key)
                    continue
                if len(accusations) >= MOST_ACCUSATIONS_SENT:
                    continue
                accusations.append(item)
            if counts:
                self._rumours.told(key)
        return tuple(members), tuple(accusations)

    def _judged(self, known: Known, said: Accusation) -> bool:
        """Whether this router itself says so and holds the member for gone by it."""
        own = said.accuser == self.view.own.name and said.incarnation == known.member.incarnation
        return own and known.standing == Standing.GONE

    def _push(self) -> None:
        """News goes to a few at once; who is accused, or hears little, is heard of by more."""
        fresh = 2 if self._rumours else 0
        if self._now_us - self._accused_us < SILENT_US:
            fresh = 6
        for member in self._some(fresh):
            self._send_to(member, None)

    def _some(self, count: int, but: str = "") -> list[Member]:
        """So many others at random, who are here and not suspected as far as that can be had."""
        ring, own, found = self.view.ring, self.view.own.name, dict[str, Member]()
        for _ in range(4 * count if len(ring) > 1 else 0):
            name = ring[int(self._random.random() * len(ring))][1]
            if name not in (own, but) and name not in self.view.accused:
                found[name] = self.view.known[name].member
                if len(found) == count:
                    break
        return list(found.values())

    def leave(self, now_us: int) -> list[Send]:
        """It goes on purpose: the others are told at once, a few times over."""
        self._now_us = now_us
        if not self.quiet:
            self.view.speak(left=True)
            told = {k.member.name: k.member for k, _ in zip(
                self.view.after(self.view.own.name), range(WATCHED), strict=False)}  # fmt: skip
            for member in (told | {m.name: m for m in self._some(2 * WATCHED)}).values():
                self._send_to(member, None)
        return self._flush()

    def say(self, **changes: object) -> None:
        """What this router says of itself has changed: its state, its version, its load."""
        own = self.view.own
        told = {name: value for name, value in changes.items() if getattr(own, name) != value}
        if told:
            self.view.speak(**told)
            if set(told) - {"load"}:
                self._spread(("m", own.name), self.view.own)

    def send(self, to: Address, body: Body) -> None:
        """Something of another state machine's, on the next flush."""
        self._send(to, body)

    def note(self, member: Member, topic: str, data: bytes) -> None:
        """Something of another part's to a member, on the next flush."""
        self._send_to(member, Note(topic, data))

    def flush(self) -> list[Send]:
        """What has come to be sent meanwhile."""
        return self._flush()

    def _send_to(self, member: Member, body: Body) -> None:
        known = self.view.known.get(member.name)
        well = known is not None and known.here and member.name not in self.view.accused
        self._send((member.host, member.port), body, counts=well)

    def _send(self, to: Address, body: Body, more: tuple[Member, ...] = (), counts: bool = True) -> None:
        members, accusations = self._told(counts)
        self._serial += 1
        datagram = Datagram(
            self.fleet, self.view.own, self._serial, self.view.digest, body, more + members, accusations
        )
        self._out.append(Send(to, datagram))
        self.counters.sent += 1

    def _flush(self) -> list[Send]:
        out, self._out = self._out, []
        return out

    # --- what comes in

    def receive(self, now_us: int, source: Address, datagram: Datagram) -> list[Send]:
        """Take in a datagram; what is to be sent."""
        self._now_us = max(self._now_us, now_us)
        if datagram.fleet != self.fleet:
            self.counters.other_fleet += 1
            return []
        sender = datagram.sender
        if not self._within_rate(source):
            self.counters.flooded += 1
            return []
        if sender.life == self.view.own.life and sender.name == self.view.own.name:
            return []  # its own, come back
        key = sender.name, sender.life
        heard = self._heard.get(key)
        if heard is None:
            heard = _Heard(sender.life)
            known = self.view.known.get(sender.name)
            if known is not None and known.member.life == sender.life:
                self._heard[key] = heard
        if not heard.new(datagram.serial):
            self.counters.replayed += 1
            return []
        self.counters.taken += 1
        member = self._meet(sender, source, datagram)
        if member:
            self._heard_us = self._now_us
            self._take_rumours(datagram)
            if datagram.view != self.view.digest:
                self._sync(sender)
        self._take_body(datagram, sender, source, member)
        return self._flush()

    def _within_rate(self, source: Address) -> bool:
        left, last = self._budget.get(source, (BURST, self._now_us))
        left = min(BURST, left + RATE * (self._now_us - last) / 1e6)
        self._budget[source] = max(left - 1, 0.0), self._now_us
        return left >= 1

    def _meet(self, sender: Member, source: Address, datagram: Datagram) -> bool:
        """Whether the sender is a member, as far as this router can tell. Who says a new name, a new start or
        a new address has to answer there once: anybody can write any name."""
        if sender.name == self.view.own.name:
            self._about_me(sender)
            return False
        known = self.view.known.get(sender.name)
        same = known is not None and known.member.life == sender.life and (
            (known.member.host, known.member.port) == (sender.host, sender.port)
        )  # fmt: skip
        if same:
            self._learn(sender, "heard")
            return self.view.known[sender.name].here
        if known is not None and sender.life < known.member.life:
            # an earlier start of it: either it is dead, or it has to hear that its name is another's
            self._send((sender.host, sender.port), None, (known.member,))
            return False
        if isinstance(datagram.body, Ack):
            opened = self._open.get(datagram.body.number)
            if opened is not None and opened.greet is not None and opened.greet.life == sender.life:
                self._strangers.pop(sender.name, None)
                self._learn(sender, "joined")
                return sender.name in self.view.known
        if sender.left:
            return False
        if sender.name not in self._strangers and len(self._strangers) < MOST_STRANGERS:
            number = self._ask_number(_Open(sender.name, self._now_us, greet=sender))
            self._strangers[sender.name] = number
            self._send((sender.host, sender.port), Ping(number))
        return False

    def _learn(self, member: Member, why: str) -> None:
        known = self.view.known.get(member.name)
        before = known.member if known is not None else None
        self.view.learn(member, self._now_us, why)
        after = self.view.known.get(member.name)
        if before is None or after is None or after.member is before:
            return
        said = [(m.life, m.host, m.port, m.program, m.settings, m.state) for m in (before, after.member)]
        if said[0] != said[1]:
            self._spread(("m", member.name), after.member)

    def _take_rumours(self, datagram: Datagram) -> None:
        own = self.view.own
        for member in datagram.members:
            if member.name == own.name:
                if member.life != own.life:
                    self._about_me(member)
            else:
                self._learn(member, f"told by {datagram.sender.name}")
        for said in datagram.accusations:
            if said.about == own.name:
                if said.incarnation == own.incarnation:
                    self._accused_us = self._now_us
                continue
            known = self.view.known.get(said.about)
            if known is None:
                continue
            if said.incarnation != known.member.incarnation or said.beat < known.member.beat:
                self._spread(("m", said.about), known.member)  # a later beat of it is known here
            else:
                self._accuse(said)

    def _sync(self, sender: Member) -> None:
        if self._now_us - self._synced.get(sender.name, -SYNC_US) < SYNC_US:
            return
        if len(self._synced) > 2 * self.view.count + MOST_OPEN:
            self._synced.clear()
        self._synced[sender.name] = self._now_us
        self._send_to(sender, Sync(tuple(self.view.parts)))

    def _take_body(self, datagram: Datagram, sender: Member, source: Address, member: bool) -> None:
        body = datagram.body
        match body:
            case Ping(number=number):
                self._send((sender.host, sender.port), Ack(number))
            case Ack(number=number):
                self._answered(number, body, sender, datagram)
            case Ask(number=number, about=about) if member:
                known = self.view.known.get(about)
                if known is not None and known.here:
                    relay = (sender.host, sender.port), number
                    opened = _Open(about, self._now_us, relay=relay)
                    self._send_to(known.member, Ping(self._ask_number(opened)))
            case Sync() if member or not self.view.known.get(sender.name):
                self._answer_sync(body, sender)
            case Claim() if member:
                self.other(body, sender, (sender.host, sender.port))
            case Note() if member:
                self.noted(body, sender)

    def _answered(self, number: int, ack: Ack, sender: Member, datagram: Datagram) -> None:
        opened = self._open.get(number)
        if opened is None or opened.answered:
            return
        if opened.rival is not None and sender.life == opened.rival.life:
            self._rival_lives(opened.rival)
        if opened.relay is not None and sender.name == opened.name:
            to, theirs = opened.relay
            known = self.view.known.get(opened.name)
            if known is not None:
                self._send(to, Ack(theirs, opened.name), (known.member,))
        opened.answered = True

    def _answer_sync(self, sync: Sync, sender: Member) -> None:
        if len(sync.parts) != PARTS:
            return
        differ = {at for at, part in enumerate(self.view.parts) if part != sync.parts[at]}
        if not differ:
            return
        rows = [k for name, k in self.view.known.items() if spot(name) % PARTS in differ]
        rows = self._random.sample(rows, min(len(rows), MOST_SYNCED))
        for known in rows:
            if known.standing == Standing.GONE:
                # one who lacks an accusation of it would hold it for alive for ever: nobody else has any left
                m = known.member
                said = Accusation(m.name, m.incarnation, m.beat, self.view.own.name)
                self._rumours.put(("a", said.about, said.accuser), said, 2)
            if known.accusers:
                for who, beat in known.accusers.items():
                    said = Accusation(known.member.name, known.member.incarnation, beat, who)
                    if (key := ("a", said.about, who)) not in self._rumours:
                        self._rumours.put(key, said, 2)
        # who is gone is not told as a member: the other's accusers will find it out, or it lives
        told = tuple(k.member for k in rows if k.standing != Standing.GONE)
        body = None if sync.answer else Sync(tuple(self.view.parts), answer=True)
        self._send((sender.host, sender.port), body, told)

    # --- another process of this name

    def _about_me(self, other: Member) -> None:
        """A record of this router's name that is not this process's."""
        own = self.view.own
        if other.life < own.life:
            self._spread(("m", own.name), own)
        elif (other.host, other.port) == (own.host, own.port):  # an earlier start, whose clock was ahead
            self._outlive(other)
        elif self._rival_tries is None or self._rival_tries[0].life < other.life:
            self._rival_tries = (other, 0, 0)

    def _outlive(self, other: Member) -> None:
        self._rival_tries = None
        self.view.speak(incarnation=other.incarnation + 1)
        self._spread(("m", self.view.own.name), self.view.own)

    def _try_rival(self) -> None:
        assert self._rival_tries is not None
        rival, tries, _ = self._rival_tries
        if tries >= 4:  # nobody answers there: it has died, and this is its successor
            return self._outlive(rival)
        self._rival_tries = rival, tries + 1, self._now_us
        self._send_to(rival, Ping(self._ask_number(_Open(rival.name, self._now_us, rival=rival))))

    def _rival_lives(self, rival: Member) -> None:
        if self._rival_tries is None or self._rival_tries[0].life != rival.life:
            return
        self._rival_tries = None
        if self.expects_rival:
            self.quiet = True  # the successor goes on under the name
            return
        self.counters.conflicts += 1
        own = self.view.own
        self.view.rename(f"{own.name[: MOST_TEXT - 9]}~{own.boot:08x}", self._now_us)
        self.view.learn(rival, self._now_us, "holds the name this router was given")
        self.changes += 1

    def row(self, known: Known) -> dict[str, object]:
        """A member for people: its standing, why, and since when."""
        m = known.member
        return {
            "name": m.name, "standing": known.standing.value, "address": f"{m.host}:{m.port}",
            "incarnation": m.incarnation, "beat": m.beat, "zone": m.zone, "program": m.program,
            "settings": m.settings, "state": m.state, "load": m.load,
            "for_s": round((self._now_us - known.since_us) / 1e6, 1), "why": known.why,
            "accusers": sorted(known.accusers),
        }  # fmt: skip
