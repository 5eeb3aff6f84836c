"""Encodes and decodes datagrams as protobuf. The protobuf's field names are used in this module only.

A datagram with any invalid field is rejected as a whole with ``MalformedDatagramError``.
"""

from __future__ import annotations

from functools import lru_cache

from google.protobuf.message import DecodeError

from magpieshift.errors import MagpieshiftError
from magpieshift.membership.member import MAX_TEXT_CHARACTERS, Member, SuspicionReport
from magpieshift.membership.messages import (
    Ack,
    Body,
    Datagram,
    ExtensionMessage,
    LeaseMessage,
    LeaseMessageKind,
    Ping,
    PingRequest,
    Sync,
)
from magpieshift.membership.ring import DIGEST_BUCKETS
from magpieshift.membership.wire import members_pb2 as wire

MAX_DATAGRAM_BYTES = 1400  # fits the Ethernet MTU of 1500 with headers: larger ones would be fragmented
MAX_RECORDS = 64  # records accepted of each kind in one datagram, far more than a router sends
MAX_QUOTA_PARTS = 16  # scopes accepted in one lease message; a router sends two
RECORD_CACHE_SIZE = 64  # cached encoded records; a sender's own is needed many times between two heartbeats

_WIRE_KINDS = {
    LeaseMessageKind.NONE: wire.Claim.NONE,
    LeaseMessageKind.VOTE_REQUEST: wire.Claim.CANVASS,
    LeaseMessageKind.VOTE: wire.Claim.VOTE,
    LeaseMessageKind.QUOTA_REQUEST: wire.Claim.WANT,
    LeaseMessageKind.GRANT: wire.Claim.GRANT,
    LeaseMessageKind.GRANT_ACCEPTED: wire.Claim.RETURN,
}
_LEASE_MESSAGE_KINDS = {int(wire_kind): kind for kind, wire_kind in _WIRE_KINDS.items()}


class MalformedDatagramError(MagpieshiftError):
    """The bytes are not a valid datagram; the message says what was found and what was expected."""


def _seal(data: bytes) -> bytes:
    """Extension point for a message authentication code, which would be appended here."""
    return data


def _unseal(data: bytes) -> bytes:
    """Extension point where a message authentication code would be verified and removed.

    It would raise ``MalformedDatagramError`` for a code that does not match.
    """
    return data


# --- encoding


def encode(datagram: Datagram) -> bytes:
    """Encode a datagram in at most ``MAX_DATAGRAM_BYTES``.

    While it is too large, the second half of its member records and of its suspicion reports is left out.
    """
    members = datagram.members
    suspicions = datagram.suspicions
    while True:
        data = _seal(_encode_with_updates(datagram, members, suspicions))
        if len(data) <= MAX_DATAGRAM_BYTES or not (members or suspicions):
            return data
        members = members[: len(members) // 2]
        suspicions = suspicions[: len(suspicions) // 2]


def _encode_with_updates(
    datagram: Datagram, members: tuple[Member, ...], suspicions: tuple[SuspicionReport, ...]
) -> bytes:
    raw = wire.Datagram(fleet=datagram.fleet, serial=datagram.sequence_number, view=datagram.view_digest)
    raw.sender.CopyFrom(_encode_member(datagram.sender))
    _encode_body(datagram.body, raw)
    for member in members:
        raw.members.append(_encode_member(member))
    for report in suspicions:
        raw.accusations.add(
            about=report.suspect,
            incarnation=report.incarnation,
            beat=report.heartbeat,
            accuser=report.reporter,
        )
    return raw.SerializeToString()


@lru_cache(maxsize=RECORD_CACHE_SIZE)
def _encode_member(member: Member) -> wire.Member:
    return wire.Member(
        name=member.name,
        host=member.host,
        port=member.port,
        incarnation=member.incarnation,
        boot=member.boot_id,
        beat=member.heartbeat,
        left=member.has_left,
        zone=member.zone,
        program=member.program_version,
        settings=member.settings_version,
        state=member.lifecycle_state,
        load=member.open_requests,
    )


def _encode_body(body: Body, raw: wire.Datagram) -> None:
    match body:
        case Ping():
            raw.ping.number = body.ping_id
        case Ack():
            raw.ack.number = body.ping_id
            raw.ack.about = body.target
        case PingRequest():
            raw.ask.number = body.ping_id
            raw.ask.about = body.target
        case Sync():
            raw.sync.parts.extend(body.bucket_digests)
            raw.sync.answer = body.is_reply
        case LeaseMessage():
            claim = wire.Claim(term=body.term, kind=_WIRE_KINDS[body.kind], number=body.request_id)
            raw.claim.MergeFrom(claim)
            for scope, quota in body.quotas:
                raw.claim.parts.add(scope=scope, share=quota)
        case ExtensionMessage():
            raw.note.topic = body.topic
            raw.note.data = body.data


# --- decoding


def decode(data: bytes) -> Datagram:
    """Decode untrusted bytes; raises ``MalformedDatagramError`` if they are not a valid datagram."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagramError(
            f"datagram: found {len(data)} bytes, expected at most {MAX_DATAGRAM_BYTES}"
        )
    raw = wire.Datagram()
    try:
        raw.ParseFromString(_unseal(data))
    except DecodeError as err:
        raise MalformedDatagramError(f"datagram: expected a protobuf Datagram message, found: {err}") from err
    if len(raw.members) > MAX_RECORDS or len(raw.accusations) > MAX_RECORDS:
        raise MalformedDatagramError(
            f"datagram: found {len(raw.members)} members and {len(raw.accusations)} accusations, "
            f"expected at most {MAX_RECORDS} of each"
        )
    suspicions = tuple(_decode_suspicion(row) for row in raw.accusations)
    return Datagram(
        fleet=_text(raw.fleet, "fleet"),
        sender=_decode_member(raw.sender, "sender"),
        sequence_number=raw.serial,
        view_digest=raw.view,
        body=_decode_body(raw),
        members=tuple(_decode_member(row, "member") for row in raw.members),
        suspicions=suspicions,
    )


def _text(value: str, field: str, required: bool = True) -> str:
    if len(value) > MAX_TEXT_CHARACTERS or (required and not value) or not (value.isprintable() or not value):
        raise MalformedDatagramError(
            f"{field}: found {len(value)} characters, expected 1 to {MAX_TEXT_CHARACTERS} printable ones"
        )
    return value


def _decode_suspicion(row: wire.Accusation) -> SuspicionReport:
    field = "accusation"
    return SuspicionReport(_text(row.about, field), row.incarnation, row.beat, _text(row.accuser, field))


def _decode_member(row: wire.Member, field: str) -> Member:
    if not 0 < row.port < 65536:
        raise MalformedDatagramError(f"{field}: found port {row.port}, expected 1 to 65535")
    return Member(
        name=_text(row.name, field),
        host=_text(row.host, field),
        port=row.port,
        incarnation=row.incarnation,
        boot_id=row.boot,
        heartbeat=row.beat,
        has_left=row.left,
        zone=_text(row.zone, field, required=False),
        program_version=_text(row.program, field, required=False),
        settings_version=row.settings,
        lifecycle_state=_text(row.state, field, required=False),
        open_requests=row.load,
    )


def _decode_body(raw: wire.Datagram) -> Body:
    body: Body = None  # no body, or a body type of a later version
    match raw.WhichOneof("body"):
        case "ping":
            body = Ping(raw.ping.number)
        case "ack":
            body = Ack(raw.ack.number, _text(raw.ack.about, "ack", required=False))
        case "ask":
            body = PingRequest(raw.ask.number, _text(raw.ask.about, "ask"))
        case "sync":
            if len(raw.sync.parts) != DIGEST_BUCKETS:
                raise MalformedDatagramError(
                    f"sync: found {len(raw.sync.parts)} bucket digests, expected {DIGEST_BUCKETS}"
                )
            body = Sync(tuple(raw.sync.parts), raw.sync.answer)
        case "claim":
            body = _decode_lease_message(raw.claim)
        case "note":
            body = ExtensionMessage(_text(raw.note.topic, "note"), raw.note.data)
    return body


def _decode_lease_message(claim: wire.Claim) -> LeaseMessage:
    if len(claim.parts) > MAX_QUOTA_PARTS:
        raise MalformedDatagramError(
            f"claim: found {len(claim.parts)} quotas, expected at most {MAX_QUOTA_PARTS}"
        )
    quotas = tuple((_text(part.scope, "claim"), part.share) for part in claim.parts)
    kind = _LEASE_MESSAGE_KINDS.get(claim.kind, LeaseMessageKind.NONE)  # NONE: a kind of a later version
    return LeaseMessage(claim.term, kind, claim.number, quotas)
