"""What routers say to each other, as plain values; ``codec`` gives them their form on the wire."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from magpieshift.membership.member_table import Accusation, Member

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Ping:
    """Answered with an ``Ack`` of the same number."""

    number: int


@dataclass(frozen=True, slots=True)
class Ack:
    number: int
    about: str = ""  # the member that was pinged by way of the sender; none: the sender itself


@dataclass(frozen=True, slots=True)
class Ask:
    """Please ping that member, and pass its ``Ack`` on."""

    number: int
    about: str


@dataclass(frozen=True, slots=True)
class Sync:
    """What each part of the sender's view comes to; the members of those that differ are the answer."""

    parts: tuple[int, ...]
    answer: bool = False


class Kind(IntEnum):
    """What a ``Claim`` is."""

    NONE = 0
    CANVASS = 1
    VOTE = 2
    WANT = 3
    GRANT = 4
    RETURN = 5


@dataclass(frozen=True, slots=True)
class Claim:
    """The talk about shares: see ``shares``."""

    term: int
    kind: Kind
    number: int = 0
    parts: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class Note:
    """Something of another part of the routers, carried and not looked at."""

    topic: str
    data: bytes


Body = Ping | Ack | Ask | Sync | Claim | Note | None


@dataclass(frozen=True, slots=True)
class Datagram:
    """One message, with what the sender takes the chance to spread."""

    fleet: str
    sender: Member
    serial: int
    view: int
    body: Body = None
    members: tuple[Member, ...] = ()
    accusations: tuple[Accusation, ...] = ()


@dataclass(frozen=True, slots=True)
class Send:
    """A datagram and where it is to go."""

    to: Address
    datagram: Datagram
