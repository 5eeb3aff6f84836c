"""Records of members: what each member publishes about itself, and what one router knows of it.

Incarnation and heartbeat are SWIM's incarnation number split in two: the incarnation rises with each start of
a process, the heartbeat during its run. Of two records of one name the one with the higher version is valid.
"""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, field
from enum import Enum
from functools import lru_cache

MAX_MEMBERS = 2048  # present members, and as many absent ones; bounds the memory that forged names can take
MAX_TEXT_CHARACTERS = 64  # length limit of a name, zone, version or lifecycle state, enforced by the codec


class MemberState(Enum):
    """The state of a member in one router's view; the values appear in logs and admin answers."""

    ALIVE = "alive"
    SUSPECT = "suspected"
    DEAD = "gone"
    LEFT = "left"


@dataclass(frozen=True, slots=True)
class Member:
    """The record that a member publishes about itself at one heartbeat."""

    name: str
    host: str  # address of its membership socket
    port: int
    # Rises with each start of a process of this name: the Unix time of the start in milliseconds, or one more
    # than the incarnation of an earlier process that it supersedes.
    incarnation: int
    boot_id: int  # random, drawn at the start; distinguishes two processes of the same incarnation
    heartbeat: int = 0  # rises at least once a round while the process runs
    has_left: bool = False  # the member has left the fleet on purpose
    zone: str = ""
    program_version: str = ""
    settings_version: int = 0  # version number of the settings in force
    lifecycle_state: str = ""
    open_requests: int = 0

    @property
    def generation(self) -> tuple[int, int]:
        """Identifies the process; of two processes of one name the larger generation was started later."""
        return self.incarnation, self.boot_id

    @property
    def record_version(self) -> tuple[int, int, bool, int]:
        """Orders the records of one name; after a leave only a new start of the process counts as later."""
        return self.incarnation, self.boot_id, self.has_left, self.heartbeat


@dataclass(frozen=True, slots=True)
class SuspicionReport:
    """States that ``reporter`` has seen no later heartbeat of ``suspect`` than this one."""

    suspect: str
    incarnation: int  # the suspect's incarnation
    heartbeat: int  # the suspect's last heartbeat that the reporter has seen
    reporter: str


@dataclass(slots=True, eq=False)
class KnownMember:
    """A member as one router knows it. Times are microseconds of that router's steady clock."""

    member: Member  # its latest record
    state: MemberState
    last_heartbeat_us: int  # when a new heartbeat last arrived
    state_since_us: int
    reporters: dict[str, int] = field(default_factory=dict)  # by reporter: the last heartbeat it has seen
    reason: str = ""  # reason of the present state, for logs and admin answers
    rejoined_at_us: tuple[int, ...] = ()  # times of its recent returns after it had been declared dead
    stable_since_us: int = -1  # start of uninterrupted heartbeats while its return is damped; -1: none yet

    @property
    def is_present(self) -> bool:
        """Whether the member counts as present, that is, as alive or suspect."""
        return self.state in (MemberState.ALIVE, MemberState.SUSPECT)


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """One change of a view, passed to the listeners in order."""

    view_version: int  # version of the view after the change
    changed_at_us: int
    name: str
    old_state: MemberState | None  # None: the member is new
    new_state: MemberState
    reason: str


@lru_cache(maxsize=8 * MAX_MEMBERS)  # needed for each record that arrives and each row of a view
def ring_position(name: str) -> int:
    """The position of a name on the ring, the same in every router."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=8).digest(), "big")


def generation_hash(member: Member) -> int:
    """The hash of a process that is combined into the digest of a view."""
    return ring_position(f"{member.name} {member.incarnation} {member.boot_id}")
