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

DIGEST_BUCKETS = 16  # of a view, each with a digest of its own
MAX_MEMBERS = 2048  # and as many that have gone; names from the network must not fill the memory
MAX_REPORTERS = 8  # noted of one member: more change nothing
MAX_TEXT_CHARACTERS = 64  # characters of a name, zone, version or state
FORGET_AFTER_US = 600_000_000  # who has been gone so long is forgotten, and is new if it comes
FREE_REJOINS = 2  # within FORGET_US, from being gone: who comes and goes more often is taken back later
# heard for so long without a gap, twice as long each time
MIN_STABLE_US = 5_000_000
MAX_STABLE_US = 60_000_000
MAX_HEARTBEAT_GAP_US = 3_000_000


class MemberState(Enum):
    """How a member stands in a view."""

    ALIVE = "alive"
    SUSPECT = "suspected"
    DEAD = "gone"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Member:
    """A member as it said of itself, at one beat."""

    name: str
    host: str
    port: int
    incarnation: int
    boot_id: int
    heartbeat: int = 0
    has_left: bool = False
    zone: str = ""
    program_version: str = ""
    settings_version: int = 0
    lifecycle_state: str = ""
    open_requests: int = 0

    @property
    def generation(self) -> tuple[int, int]:
        """Which process it is; the larger of two under one name is the later."""
        return self.incarnation, self.boot_id

    @property
    def record_version(self) -> tuple[int, int, bool, int]:
        """The larger of two records of a name is the one that holds; nobody comes back after leaving but by
        a new start."""
        return self.incarnation, self.boot_id, self.has_left, self.heartbeat


@dataclass(frozen=True, slots=True)
class SuspicionReport:
    """That ``accuser`` has heard nothing of ``about`` since that beat."""

    suspect: str
    incarnation: int
    heartbeat: int
    reporter: str


@dataclass(slots=True, eq=False)
class KnownMember:
    """A member and what this router holds of it."""

    member: Member
    state: MemberState
    last_heartbeat_us: int  # when its beat last rose here
    state_since_us: int  # of its standing
    reporters: dict[str, int] = field(default_factory=dict)  # beat after which each heard nothing
    reason: str = ""
    rejoined_at_us: tuple[int, ...] = ()  # when it came back from being gone, lately
    stable_since_us: int = -1  # since when it is heard without a gap, while its return is held back

    @property
    def is_present(self) -> bool:
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """One change of a view, as listeners get it, in order."""

    view_version: int
    changed_at_us: int
    name: str
    old_state: MemberState | None  # None: it is new
    new_state: MemberState
    reason: str


@lru_cache(maxsize=8 * MAX_MEMBERS)  # asked for each record that comes, and each row of a view
def ring_position(name: str) -> int:
    """Where on the ring a name stands, the same everywhere."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def _mark(member: Member) -> int:
    return ring_position(f"{member.name} {member.incarnation} {member.boot_id}")


class MemberTable:
    """All members known to one router, itself included."""

    def __init__(self, own: Member, now_us: int) -> None:
        self.own = own
        self.version = 0  # of changes so far
        self.listeners: list[Callable[[MembershipChange], None]] = []
        self.bucket_digests = [0] * DIGEST_BUCKETS  # digests, of those who are here
        self._digest: int | None = None  # of all of them; each datagram carries it
        self.members: dict[str, KnownMember] = {}
        self.ring: list[tuple[int, str]] = []  # of those who are here, in the order of their spots
        self.present_count = 0  # of those here
        self.under_suspicion: set[str] = set()  # who is here and accused, or suspected
        self.rejected_records = 0  # records for which there was no room
        self._add(own, MemberState.ALIVE, now_us, "started")

    # --- reading

    @property
    def digest(self) -> int:
        """Equal in two routers that agree on who is here."""
        if self._digest is None:
            parts = b"".join(part.to_bytes(8, "big") for part in self.bucket_digests)
            self._digest = int.from_bytes(hashlib.blake2b(parts, digest_size=8).digest(), "big")
        return self._digest

    def present_members(self) -> list[KnownMember]:
        """Who is here, itself included, by name."""
        return [self.members[name] for name in sorted(name for _, name in self.ring)]

    def ring_successors(self, name: str) -> Iterable[KnownMember]:
        """Who is here, once round the ring from the one behind this name; itself not."""
        start = bisect_left(self.ring, (ring_position(name), name))
        size = len(self.ring)
        for step in range(size):
            other = self.ring[(start + step) % size][1]
            if other != name:
                yield self.members[other]

    @property
    def has_absent_members(self) -> bool:
        """Whether anybody is known who is not here."""
        return len(self.members) > self.present_count

    # --- what becomes known

    def merge(self, member: Member, now_us: int, why: str) -> bool:
        """Take in a record; whether it told anything new. What is said of this router itself is the caller's
        to judge."""
        known = self.members.get(member.name)
        if known is None:
            if member.has_left:
                return False  # who was never here cannot leave
            if not self._make_room(now_us):
                self.rejected_records += 1
                return False
            self._add(member, MemberState.ALIVE, now_us, why)
            return True
        if member.record_version <= known.member.record_version:
            return False
        new_life = member.generation != known.member.generation
        risen = new_life or member.heartbeat > known.member.heartbeat
        moved = new_life or (member.host, member.port) != (known.member.host, known.member.port)
        marked = known.is_present and new_life
        if marked:
            self._toggle_digest(known.member)
        known.member = member
        if marked:
            self._toggle_digest(member)
        if member.has_left:
            self._transition(known, MemberState.LEFT, now_us, why)
        elif risen:
            gap = now_us - known.last_heartbeat_us
            known.last_heartbeat_us = now_us
            known.reporters = (
                {}
                if new_life
                else {who: beat for who, beat in known.reporters.items() if beat >= member.heartbeat}
            )
            if known.state == MemberState.DEAD and self._is_held_back(known, gap, now_us):
                return moved
            if known.state != MemberState.SUSPECT or not known.reporters:
                self._transition(known, MemberState.ALIVE, now_us, why)
            self._update_suspects(known)
        return moved or member.has_left or risen

    def _is_held_back(self, known: KnownMember, gap_us: int, now_us: int) -> bool:
        """Whether one that has come and gone too often has to be heard for a while before it is back: each
        return moves shares, routes and what others decide, for all."""
        lately = tuple(at for at in known.rejoined_at_us if now_us - at < FORGET_AFTER_US)
        often = len(lately) - FREE_REJOINS
        if known.stable_since_us < 0 or gap_us >= MAX_HEARTBEAT_GAP_US:
            known.stable_since_us = now_us
        if often >= 0 and now_us - known.stable_since_us < min(MAX_STABLE_US, MIN_STABLE_US << min(often, 8)):
            return True
        known.rejoined_at_us = (*lately, now_us)[-16:]
        known.stable_since_us = -1
        return False

    def add_suspicion(self, said: SuspicionReport) -> bool:
        """Note an accusation that nothing known refutes; whether it is new."""
        known = self.members.get(said.suspect)
        if known is None or said.suspect == self.own.name or not known.is_present:
            return False
        stale = said.incarnation != known.member.incarnation or said.heartbeat < known.member.heartbeat
        if stale or known.reporters.get(said.reporter, -1) >= said.heartbeat:
            return False
        if said.reporter not in known.reporters and len(known.reporters) >= MAX_REPORTERS:
            return False
        known.reporters[said.reporter] = said.heartbeat
        self._update_suspects(known)
        return True

    def remove_suspicion(self, name: str, accuser: str) -> None:
        """This accuser has nothing against that member any more."""
        if known := self.members.get(name):
            known.reporters.pop(accuser, None)
            self._update_suspects(known)

    def set_state(self, name: str, standing: MemberState, now_us: int, why: str) -> None:
        """Judge a member."""
        self._transition(self.members[name], standing, now_us, why)

    def update_own(self, **changes: object) -> Member:
        """This router's own record, changed and one beat later."""
        before = self.members[self.own.name]
        own = replace(self.own, heartbeat=self.own.heartbeat + 1, **changes)  # type: ignore[arg-type]
        if own.generation != self.own.generation:
            self._toggle_digest(self.own)
            self._toggle_digest(own)
        self.own = before.member = own
        return own

    def rename_own(self, name: str, now_us: int) -> None:
        """Go on under another name: this one is another's."""
        held = self.members.pop(self.own.name)
        if held.is_present:
            self._toggle_digest(held.member)
            self.ring.remove((ring_position(self.own.name), self.own.name))
            self.present_count -= 1
        self.own = replace(self.own, name=name)
        self._add(self.own, MemberState.ALIVE, now_us, "renamed: its name is held by a later start elsewhere")

    def forget_departed(self, now_us: int) -> None:
        """Drop whom nobody has heard of for long."""
        if not self.has_absent_members:
            return
        for name, known in list(self.members.items()):
            if not known.is_present and now_us - known.state_since_us >= FORGET_AFTER_US:
                del self.members[name]

    # --- the bookkeeping

    def _make_room(self, now_us: int) -> bool:
        if self.present_count >= MAX_MEMBERS:
            return False
        if len(self.members) >= 2 * MAX_MEMBERS:  # the longest gone makes room
            gone = min((k for k in self.members.values() if not k.is_present), key=lambda k: k.state_since_us)
            del self.members[gone.member.name]
        return True

    def _add(self, member: Member, standing: MemberState, now_us: int, why: str) -> None:
        self.members[member.name] = KnownMember(member, standing, now_us, now_us, reason=why)
        self._enter_ring(member)
        self._notify(member.name, None, standing, now_us, why)

    def _enter_ring(self, member: Member) -> None:
        insort(self.ring, (ring_position(member.name), member.name))
        self.present_count += 1
        self._toggle_digest(member)

    def _toggle_digest(self, member: Member) -> None:
        self.bucket_digests[ring_position(member.name) % DIGEST_BUCKETS] ^= _mark(member)
        self._digest = None

    def _transition(self, known: KnownMember, standing: MemberState, now_us: int, why: str) -> None:
        """The one place where a standing changes."""
        before = known.state
        here = known.is_present
        if before == standing:
            return
        known.state = standing
        known.state_since_us = now_us
        known.reason = why
        if known.is_present and not here:
            self._enter_ring(known.member)
        elif here and not known.is_present:
            self._toggle_digest(known.member)
            self.ring.remove((ring_position(known.member.name), known.member.name))
            self.present_count -= 1
            known.reporters = {}
        self._update_suspects(known)
        self._notify(known.member.name, before, standing, now_us, why)

    def _update_suspects(self, known: KnownMember) -> None:
        """Keep the set of those there is something to judge of."""
        if known.is_present and (known.reporters or known.state == MemberState.SUSPECT):
            self.under_suspicion.add(known.member.name)
        else:
            self.under_suspicion.discard(known.member.name)

    def _notify(
        self, name: str, before: MemberState | None, after: MemberState, now_us: int, why: str
    ) -> None:
        self.version += 1
        change = MembershipChange(self.version, now_us, name, before, after, why)
        for listener in self.listeners:
            listener(change)
