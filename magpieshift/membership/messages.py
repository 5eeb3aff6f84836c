"""The datagrams between routers, as typed values; ``codec`` gives them their form on the wire."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from magpieshift.membership.member import Member, SuspicionReport

Address = tuple[str, int]
"""Host and port."""


@dataclass(frozen=True, slots=True)
class Ping:
    """A direct probe, answered by an ``Ack`` with the same id."""

    ping_id: int


@dataclass(frozen=True, slots=True)
class Ack:
    """The answer to a ``Ping`` or a ``PingRequest``."""

    ping_id: int  # of the request it answers
    target: str = ""  # the member pinged for the receiver; empty: the sender itself


@dataclass(frozen=True, slots=True)
class PingRequest:
    """SWIM's indirect probe: the receiver pings ``target`` and passes its ``Ack`` on."""

    ping_id: int
    target: str


@dataclass(frozen=True, slots=True)
class Sync:
    """Anti-entropy: the digests of the sender's view, answered with members of the buckets that differ."""

    bucket_digests: tuple[int, ...]
    is_reply: bool = False  # a reply is not answered with digests again


class LeaseMessageKind(Enum):
    """What a ``LeaseMessage`` says."""

    NONE = auto()  # of a later version; ignored
    VOTE_REQUEST = auto()  # candidate to voter
    VOTE = auto()  # voter to candidate: it votes for nobody else until its promise has run out
    QUOTA_REQUEST = auto()  # holder to leader
    GRANT = auto()  # leader to holder
    GRANT_ACCEPTED = auto()  # holder to leader: it uses no more than this now


@dataclass(frozen=True, slots=True)
class LeaseMessage:
    """A message of quota leases; see ``quota_lease``."""

    term: int  # of the leader; 0 in messages to it that belong to no term
    kind: LeaseMessageKind
    request_id: int = 0  # an answer carries that of its request
    quotas: tuple[tuple[str, float], ...] = ()  # by scope, each a part of the pool from 0 to 1


@dataclass(frozen=True, slots=True)
class ExtensionMessage:
    """A message of another part of the router, carried and not interpreted."""

    topic: str  # chooses the receiver
    data: bytes


Body = Ping | Ack | PingRequest | Sync | LeaseMessage | ExtensionMessage | None


@dataclass(frozen=True, slots=True)
class Datagram:
    """One datagram, with the updates that travel along with it."""

    fleet: str  # datagrams of another fleet are dropped
    sender: Member  # its record at the time of sending
    sequence_number: int  # rises with each datagram of the process: a replayed one is dropped
    view_digest: int  # of the sender's view
    body: Body = None
    members: tuple[Member, ...] = ()
    suspicions: tuple[SuspicionReport, ...] = ()


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """The action of sending a datagram to an address."""

    destination: Address
    datagram: Datagram
