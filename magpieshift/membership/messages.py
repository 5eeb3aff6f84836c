"""What routers say to each other, as plain values; ``codec`` gives them their form on the wire."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from magpieshift.membership.member_table import Member, SuspicionReport

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class Ping:
    """Answered with an ``Ack`` of the same number."""

    ping_id: int


@dataclass(frozen=True, slots=True)
class Ack:
    ping_id: int
    target: str = ""  # the member that was pinged by way of the sender; none: the sender itself


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Please ping that member, and pass its ``Ack`` on."""

    ping_id: int
    target: str


@dataclass(frozen=True, slots=True)
class Sync:
    """What each part of the sender's view comes to; the members of those that differ are the answer."""

    bucket_digests: tuple[int, ...]
    is_reply: bool = False


class LeaseMessageKind(IntEnum):
    """What a ``LeaseMessage`` is."""

    NONE = 0
    VOTE_REQUEST = 1
    VOTE = 2
    QUOTA_REQUEST = 3
    GRANT = 4
    GRANT_ACCEPTED = 5


@dataclass(frozen=True, slots=True)
class LeaseMessage:
    """The talk about shares: see ``shares``."""

    term: int
    kind: LeaseMessageKind
    request_id: int = 0
    quotas: tuple[tuple[str, float], ...] = ()


@dataclass(frozen=True, slots=True)
class ExtensionMessage:
    """Something of another part of the routers, carried and not looked at."""

    topic: str
    data: bytes


Body = Ping | Ack | PingRequest | Sync | LeaseMessage | ExtensionMessage | None


@dataclass(frozen=True, slots=True)
class Datagram:
    """One message, with what the sender takes the chance to spread."""

    fleet: str
    sender: Member
    sequence_number: int
    view_digest: int
    body: Body = None
    members: tuple[Member, ...] = ()
    suspicions: tuple[SuspicionReport, ...] = ()


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """A datagram and where it is to go."""

    destination: Address
    datagram: Datagram
