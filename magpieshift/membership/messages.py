"""The datagrams between routers as typed values; ``codec`` encodes and decodes them."""

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

    ping_id: int  # id of the ping or ping request that it answers
    target: str = ""  # the member that was pinged on the receiver's behalf; empty: the sender itself


@dataclass(frozen=True, slots=True)
class PingRequest:
    """SWIM's indirect probe: the receiver pings ``target`` and passes its ``Ack`` on."""

    ping_id: int
    target: str


@dataclass(frozen=True, slots=True)
class Sync:
    """Anti-entropy: the bucket digests of the sender's view; the answer has members of differing buckets."""

    bucket_digests: tuple[int, ...]
    is_reply: bool = False  # a reply is not answered with another ``Sync``


class LeaseMessageKind(Enum):
    """The types of ``LeaseMessage``."""

    NONE = auto()  # a kind of a later version, which is ignored
    VOTE_REQUEST = auto()  # candidate to voter
    VOTE = auto()  # voter to candidate: the voter votes for no other candidate until its promise expires
    QUOTA_REQUEST = auto()  # holder to leader
    GRANT = auto()  # leader to holder
    GRANT_ACCEPTED = auto()  # holder to leader: the holder now uses no more than the granted quotas


@dataclass(frozen=True, slots=True)
class LeaseMessage:
    """A message of the quota lease protocol; see ``quota_lease``."""

    term: int  # the leader's or candidate's term; 0 in messages from a holder
    kind: LeaseMessageKind
    request_id: int = 0  # in an answer, the id of the request that it answers
    quotas: tuple[tuple[str, float], ...] = ()  # by scope, each a fraction of the pool from 0 to 1


@dataclass(frozen=True, slots=True)
class ExtensionMessage:
    """An extension's message, which membership transports without interpreting it."""

    topic: str  # selects the extension that receives the message
    data: bytes


Body = Ping | Ack | PingRequest | Sync | LeaseMessage | ExtensionMessage | None


@dataclass(frozen=True, slots=True)
class Datagram:
    """One datagram with its piggybacked updates."""

    fleet: str  # name of the sender's fleet; datagrams of other fleets are dropped
    sender: Member  # the sender's record at the time of sending
    sequence_number: int  # rises with each datagram of the process, so that replayed ones can be dropped
    view_digest: int  # digest of the sender's view
    body: Body = None
    members: tuple[Member, ...] = ()
    suspicions: tuple[SuspicionReport, ...] = ()


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """The action of sending a datagram to an address."""

    destination: Address
    datagram: Datagram
