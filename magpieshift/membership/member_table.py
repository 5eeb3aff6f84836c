"""What one router knows of the others. No I/O, no clock: times are microseconds of a clock that never goes
back, and are told.

A member's life is an incarnation (one start of its process) and within it beats. Of two records the later
one holds; an accusation holds as long as nothing later than its beat is known. So a message that was delayed
or comes twice can change nothing, and a living member need not hear an accusation to refute it: its next
beat, wherever it is heard, does.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_left, insort
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from functools import lru_cache

PARTS = 16  # of a view, each with a digest of its own
MOST_MEMBERS = 2048  # and as many that have gone; names from the network must not fill the memory
MOST_ACCUSERS = 8  # noted of one member: more change nothing
MOST_TEXT = 64  # characters of a name, zone, version or state
FORGET_US = 600_000_000  # who has been gone so long is forgotten, and is new if it comes
FREE_RETURNS = 2  # within FORGET_US, from being gone: who comes and goes more often is taken back later
# heard for so long without a gap, twice as long each time
STEADY_US = 5_000_000
MOST_STEADY_US = 60_000_000
GAP_US = 3_000_000


class Standing(Enum):
    """How a member stands in a view."""

    ALIVE = "alive"
    SUSPECTED = "suspected"
    GONE = "gone"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Member:
    """A member as it said of itself, at one beat."""

    name: str
    host: str
    port: int
    incarnation: int
    boot: int
    beat: int = 0
    left: bool = False
    zone: str = ""
    program: str = ""
    settings: int = 0
    state: str = ""
    load: int = 0

    @property
    def life(self) -> tuple[int, int]:
        """Which process it is; the larger of two under one name is the later."""
        return self.incarnation, self.boot

    @property
    def age(self) -> tuple[int, int, bool, int]:
        """The larger of two records of a name is the one that holds; nobody comes back after leaving but by
        a new start."""
        return self.incarnation, self.boot, self.left, self.beat


@dataclass(frozen=True, slots=True)
class Accusation:
    """That ``accuser`` has heard nothing of ``about`` since that beat."""

    about: str
    incarnation: int
    beat: int
    accuser: str


@dataclass(slots=True, eq=False)
class Known:
    """A member and what this router holds of it."""

    member: Member
    standing: Standing
    heard_us: int  # when its beat last rose here
    since_us: int  # of its standing
    accusers: dict[str, int] = field(default_factory=dict)  # beat after which each heard nothing
    why: str = ""
    returns: tuple[int, ...] = ()  # when it came back from being gone, lately
    steady_us: int = -1  # since when it is heard without a gap, while its return is held back

    @property
    def here(self) -> bool:
        return self.standing in (Standing.ALIVE, Standing.SUSPECTED)


@dataclass(frozen=True, slots=True)
class Change:
    """One change of a view, as listeners get it, in order."""

    number: int
    at_us: int
    name: str
    before: Standing | None  # None: it is new
    after: Standing
    why: str


@lru_cache(maxsize=8 * MOST_MEMBERS)  # asked for each record that comes, and each row of a view
def spot(name: str) -> int:
    """Where on the ring a name stands, the same everywhere."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def _mark(member: Member) -> int:
    return spot(f"{member.name} {member.incarnation} {member.boot}")


class MemberTable:
    """All members known to one router, itself included."""

    def __init__(self, own: Member, now_us: int) -> None:
        self.own = own
        self.number = 0  # of changes so far
        self.listeners: list[Callable[[Change], None]] = []
        self.parts = [0] * PARTS  # digests, of those who are here
        self._digest: int | None = None  # of all of them; each datagram carries it
        self.known: dict[str, Known] = {}
        self.ring: list[tuple[int, str]] = []  # of those who are here, in the order of their spots
        self.count = 0  # of those here
        self.accused: set[str] = set()  # who is here and accused, or suspected
        self.dropped = 0  # records for which there was no room
        self._put(own, Standing.ALIVE, now_us, "started")

    # --- reading

    @property
    def digest(self) -> int:
        """Equal in two routers that agree on who is here."""
        if self._digest is None:
            parts = b"".join(part.to_bytes(8, "big") for part in self.parts)
            self._digest = int.from_bytes(hashlib.blake2b(parts, digest_size=8).digest(), "big")
        return self._digest

    def here(self) -> list[Known]:
        """Who is here, itself included, by name."""
        return [self.known[name] for name in sorted(name for _, name in self.ring)]

    def after(self, name: str) -> Iterable[Known]:
        """Who is here, once round the ring from the one behind this name; itself not."""
        start = bisect_left(self.ring, (spot(name), name))
        size = len(self.ring)
        for step in range(size):
            other = self.ring[(start + step) % size][1]
            if other != name:
                yield self.known[other]

    @property
    def others_gone(self) -> bool:
        """Whether anybody is known who is not here."""
        return len(self.known) > self.count

    # --- what becomes known

    def learn(self, member: Member, now_us: int, why: str) -> bool:
        """Take in a record; whether it told anything new. What is said of this router itself is the caller's
        to judge."""
        known = self.known.get(member.name)
        if known is None:
            if member.left:
                return False  # who was never here cannot leave
            if not self._room(now_us):
                self.dropped += 1
                return False
            self._put(member, Standing.ALIVE, now_us, why)
            return True
        if member.age <= known.member.age:
            return False
        new_life = member.life != known.member.life
        risen = new_life or member.beat > known.member.beat
        moved = new_life or (member.host, member.port) != (known.member.host, known.member.port)
        marked = known.here and new_life
        if marked:
            self._flip(known.member)
        known.member = member
        if marked:
            self._flip(member)
        if member.left:
            self._go(known, Standing.LEFT, now_us, why)
        elif risen:
            gap = now_us - known.heard_us
            known.heard_us = now_us
            known.accusers = (
                {} if new_life else {who: beat for who, beat in known.accusers.items() if beat >= member.beat}
            )
            if known.standing == Standing.GONE and self._held_back(known, gap, now_us):
                return moved
            if known.standing != Standing.SUSPECTED or not known.accusers:
                self._go(known, Standing.ALIVE, now_us, why)
            self._note(known)
        return moved or member.left or risen

    def _held_back(self, known: Known, gap_us: int, now_us: int) -> bool:
        """Whether one that has come and gone too often has to be heard for a while before it is back: each
        return moves shares, routes and what others decide, for all."""
        lately = tuple(at for at in known.returns if now_us - at < FORGET_US)
        often = len(lately) - FREE_RETURNS
        if known.steady_us < 0 or gap_us >= GAP_US:
            known.steady_us = now_us
        if often >= 0 and now_us - known.steady_us < min(MOST_STEADY_US, STEADY_US << min(often, 8)):
            return True
        known.returns = (*lately, now_us)[-16:]
        known.steady_us = -1
        return False

    def accuse(self, said: Accusation) -> bool:
        """Note an accusation that nothing known refutes; whether it is new."""
        known = self.known.get(said.about)
        if known is None or said.about == self.own.name or not known.here:
            return False
        stale = said.incarnation != known.member.incarnation or said.beat < known.member.beat
        if stale or known.accusers.get(said.accuser, -1) >= said.beat:
            return False
        if said.accuser not in known.accusers and len(known.accusers) >= MOST_ACCUSERS:
            return False
        known.accusers[said.accuser] = said.beat
        self._note(known)
        return True

    def withdraw(self, name: str, accuser: str) -> None:
        """This accuser has nothing against that member any more."""
        if known := self.known.get(name):
            known.accusers.pop(accuser, None)
            self._note(known)

    def stand(self, name: str, standing: Standing, now_us: int, why: str) -> None:
        """Judge a member."""
        self._go(self.known[name], standing, now_us, why)

    def speak(self, **changes: object) -> Member:
        """This router's own record, changed and one beat later."""
        before = self.known[self.own.name]
        own = replace(self.own, beat=self.own.beat + 1, **changes)  # type: ignore[arg-type]
        if own.life != self.own.life:
            self._flip(self.own)
            self._flip(own)
        self.own = before.member = own
        return own

    def rename(self, name: str, now_us: int) -> None:
        """Go on under another name: this one is another's."""
        held = self.known.pop(self.own.name)
        if held.here:
            self._flip(held.member)
            self.ring.remove((spot(self.own.name), self.own.name))
            self.count -= 1
        self.own = replace(self.own, name=name)
        self._put(self.own, Standing.ALIVE, now_us, "renamed: its name is held by a later start elsewhere")

    def forget(self, now_us: int) -> None:
        """Drop whom nobody has heard of for long."""
        if not self.others_gone:
            return
        for name, known in list(self.known.items()):
            if not known.here and now_us - known.since_us >= FORGET_US:
                del self.known[name]

    # --- the bookkeeping

    def _room(self, now_us: int) -> bool:
        if self.count >= MOST_MEMBERS:
            return False
        if len(self.known) >= 2 * MOST_MEMBERS:  # the longest gone makes room
            gone = min((k for k in self.known.values() if not k.here), key=lambda k: k.since_us)
            del self.known[gone.member.name]
        return True

    def _put(self, member: Member, standing: Standing, now_us: int, why: str) -> None:
        self.known[member.name] = Known(member, standing, now_us, now_us, why=why)
        self._come(member)
        self._tell(member.name, None, standing, now_us, why)

    def _come(self, member: Member) -> None:
        insort(self.ring, (spot(member.name), member.name))
        self.count += 1
        self._flip(member)

    def _flip(self, member: Member) -> None:
        self.parts[spot(member.name) % PARTS] ^= _mark(member)
        self._digest = None

    def _go(self, known: Known, standing: Standing, now_us: int, why: str) -> None:
        """The one place where a standing changes."""
        before = known.standing
        here = known.here
        if before == standing:
            return
        known.standing = standing
        known.since_us = now_us
        known.why = why
        if known.here and not here:
            self._come(known.member)
        elif here and not known.here:
            self._flip(known.member)
            self.ring.remove((spot(known.member.name), known.member.name))
            self.count -= 1
            known.accusers = {}
        self._note(known)
        self._tell(known.member.name, before, standing, now_us, why)

    def _note(self, known: Known) -> None:
        """Keep the set of those there is something to judge of."""
        if known.here and (known.accusers or known.standing == Standing.SUSPECTED):
            self.accused.add(known.member.name)
        else:
            self.accused.discard(known.member.name)

    def _tell(self, name: str, before: Standing | None, after: Standing, now_us: int, why: str) -> None:
        self.number += 1
        change = Change(self.number, now_us, name, before, after, why)
        for listener in self.listeners:
            listener(change)
