"""The records of members: what each says of itself, and what one router knows of it.

Incarnation and heartbeat are SWIM's incarnation number split in two: the incarnation rises with each start of
a process, the heartbeat within it. Of two records of a name the later one holds.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache

MAX_MEMBERS = 2048  # present ones, and as many absent; names from the network must not fill the memory
MAX_TEXT_CHARACTERS = 64  # of a name, zone, version or lifecycle state; the codec rejects longer ones


class MemberState(Enum):
    """The state of a member in one router's view; the values are those of logs and admin answers."""

    ALIVE = "alive"
    SUSPECT = "suspected"
    DEAD = "gone"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Member:
    """What a member says of itself at one heartbeat."""

    name: str
    host: str  # where its membership socket is reached
    port: int
    incarnation: int  # larger with each start of the process of this name: milliseconds of its wall clock
    boot_id: int  # drawn at the start; tells two processes of one incarnation apart
    heartbeat: int = 0  # rises once a round while the process runs
    has_left: bool = False  # it leaves on purpose
    zone: str = ""
    program_version: str = ""
    settings_version: int = 0  # number of the configuration in force
    lifecycle_state: str = ""
    open_requests: int = 0

    @property
    def generation(self) -> tuple[int, int]:
        """Which process this is; of two under one name the larger is the later."""
        return self.incarnation, self.boot_id

    @property
    def record_version(self) -> tuple[int, int, bool, int]:
        """Orders the records of one name. A member that left comes back by a new start only."""
        return self.incarnation, self.boot_id, self.has_left, self.heartbeat


@dataclass(frozen=True, slots=True)
class SuspicionReport:
    """That ``reporter`` has seen no heartbeat of ``suspect`` later than this one."""

    suspect: str
    incarnation: int  # of the suspect
    heartbeat: int  # the last one seen
    reporter: str


@dataclass(slots=True, eq=False)
class KnownMember:
    """A member as one router knows it. Times are microseconds of that router's steady clock."""

    member: Member  # its latest record
    state: MemberState
    last_heartbeat_us: int  # when its heartbeat last rose in this view
    state_since_us: int
    reporters: dict[str, int] = field(default_factory=dict)  # heartbeat after which each saw no more
    reason: str = ""  # of its state, for people
    rejoined_at_us: tuple[int, ...] = ()  # when it lately came back from being dead
    stable_since_us: int = -1  # heard without a gap since then while its return is held back; -1: not heard

    @property
    def is_present(self) -> bool:
        """Whether it counts as a member: alive or suspect."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """One change of a view, as listeners get it, in order."""

    view_version: int  # of the view after the change
    changed_at_us: int
    name: str
    old_state: MemberState | None  # None: it is new
    new_state: MemberState
    reason: str


@lru_cache(maxsize=8 * MAX_MEMBERS)  # computed for each record that arrives, and each row of a view
def ring_position(name: str) -> int:
    """The place of a name on the ring, the same in every router."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def generation_hash(member: Member) -> int:
    """What a process adds to the digest of a view."""
    return ring_position(f"{member.name} {member.incarnation} {member.boot_id}")
