"""Datagrams to protobuf bytes and back, and the one place of the protobuf's names.

A datagram that cannot be used raises ``MalformedDatagramError`` and is never half taken.
"""

from __future__ import annotations

from functools import lru_cache

from google.protobuf.message import DecodeError

from magpieshift.membership.member_table import DIGEST_BUCKETS, MAX_TEXT_CHARACTERS, Member, SuspicionReport
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
from magpieshift.membership.wire import members_pb2 as wire

MAX_DATAGRAM_BYTES = 1400  # what goes through whole on any way; what is larger is not read
MAX_RECORDS = 64  # records in one datagram: far more than a router writes
MAX_QUOTA_PARTS = 16


class MalformedDatagramError(Exception):
    """No datagram of ours; the text says what was found and what expected."""


_WIRE_KINDS = {
    LeaseMessageKind.NONE: wire.Claim.NONE,
    LeaseMessageKind.VOTE_REQUEST: wire.Claim.CANVASS,
    LeaseMessageKind.VOTE: wire.Claim.VOTE,
    LeaseMessageKind.QUOTA_REQUEST: wire.Claim.WANT,
    LeaseMessageKind.GRANT: wire.Claim.GRANT,
    LeaseMessageKind.GRANT_ACCEPTED: wire.Claim.RETURN,
}


def seal(data: bytes) -> bytes:
    """The seam for a message authentication code: here it would be added."""
    return data


def opened(data: bytes) -> bytes:
    """And here checked and taken off; ``MalformedDatagramError`` where it does not fit."""
    return data


def _member(member: Member, row: wire.Member) -> None:
    row.name = member.name
    row.host = member.host
    row.port = member.port
    row.incarnation = member.incarnation
    row.boot = member.boot_id
    row.beat = member.heartbeat
    row.left = member.has_left
    row.zone = member.zone
    row.program = member.program_version
    row.settings = member.settings_version
    row.state = member.lifecycle_state
    row.load = member.open_requests


@lru_cache(maxsize=64)
def _row(member: Member) -> wire.Member:
    """A record as it goes along: the same one is sent many times between two beats."""
    row = wire.Member()
    _member(member, row)
    return row


def encode(datagram: Datagram) -> bytes:
    """A datagram as bytes, of ``MAX_DATAGRAM_BYTES`` at most: what is only passed on gives way."""
    rows = list(datagram.members)
    said = list(datagram.suspicions)
    while True:
        out = wire.Datagram(fleet=datagram.fleet, serial=datagram.sequence_number, view=datagram.view_digest)
        out.sender.CopyFrom(_row(datagram.sender))
        match datagram.body:
            case Ping(ping_id=number):
                out.ping.number = number
            case Ack(ping_id=number, target=about):
                out.ack.number = number
                out.ack.about = about
            case PingRequest(ping_id=number, target=about):
                out.ask.number = number
                out.ask.about = about
            case Sync(bucket_digests=parts, is_reply=answer):
                out.sync.parts.extend(parts)
                out.sync.answer = answer
            case LeaseMessage(term=term, kind=kind, request_id=number, quotas=shares):
                out.claim.MergeFrom(wire.Claim(term=term, kind=_WIRE_KINDS[kind], number=number))
                for scope, share in shares:
                    out.claim.parts.add(scope=scope, share=share)
            case ExtensionMessage(topic=topic, data=data):
                out.note.topic = topic
                out.note.data = data
        for member in rows:
            out.members.append(_row(member))
        for each in said:
            out.accusations.add(
                about=each.suspect, incarnation=each.incarnation, beat=each.heartbeat, accuser=each.reporter
            )
        whole = seal(out.SerializeToString())
        if len(whole) <= MAX_DATAGRAM_BYTES or not (rows or said):
            return whole
        rows = rows[: len(rows) // 2]
        said = said[: len(said) // 2]


def _text(value: str, what: str, needed: bool = True) -> str:
    if len(value) > MAX_TEXT_CHARACTERS or (needed and not value) or not (value.isprintable() or not value):
        raise MalformedDatagramError(
            f"{what}: found {len(value)} characters, expected 1 to {MAX_TEXT_CHARACTERS} that can be shown"
        )
    return value


def _read_member(row: wire.Member, what: str) -> Member:
    if not 0 < row.port < 65536:
        raise MalformedDatagramError(f"{what}: found port {row.port}, expected 1 to 65535")
    return Member(
        _text(row.name, what),
        _text(row.host, what),
        row.port,
        row.incarnation,
        row.boot,
        row.beat,
        row.left,
        _text(row.zone, what, False),
        _text(row.program, what, False),
        row.settings,
        _text(row.state, what, False),
        row.load,
    )


def _read_body(raw: wire.Datagram) -> Body:
    match raw.WhichOneof("body"):
        case "ping":
            return Ping(raw.ping.number)
        case "ack":
            return Ack(raw.ack.number, _text(raw.ack.about, "ack", False))
        case "ask":
            return PingRequest(raw.ask.number, _text(raw.ask.about, "ask"))
        case "sync":
            if len(raw.sync.parts) != DIGEST_BUCKETS:
                raise MalformedDatagramError(
                    f"sync: found {len(raw.sync.parts)} parts, expected {DIGEST_BUCKETS}"
                )
            return Sync(tuple(raw.sync.parts), raw.sync.answer)
        case "claim":
            if len(raw.claim.parts) > MAX_QUOTA_PARTS:
                raise MalformedDatagramError(
                    f"claim: found {len(raw.claim.parts)} parts, expected at most {MAX_QUOTA_PARTS}"
                )
            parts = tuple((_text(part.scope, "claim"), part.share) for part in raw.claim.parts)
            try:
                kind = LeaseMessageKind(raw.claim.kind)
            except ValueError:
                kind = LeaseMessageKind.NONE  # of a later version
            return LeaseMessage(raw.claim.term, kind, raw.claim.number, parts)
        case "note":
            return ExtensionMessage(_text(raw.note.topic, "note"), raw.note.data)
    return None  # or of a later version


def decode(data: bytes) -> Datagram:
    """Bytes from anybody as a datagram; ``MalformedDatagramError`` where they are none."""
    if len(data) > MAX_DATAGRAM_BYTES:
        raise MalformedDatagramError(
            f"datagram: found {len(data)} bytes, expected at most {MAX_DATAGRAM_BYTES}"
        )
    raw = wire.Datagram()
    try:
        raw.ParseFromString(opened(data))
    except DecodeError as err:
        raise MalformedDatagramError(f"datagram: {err}") from err
    if len(raw.members) > MAX_RECORDS or len(raw.accusations) > MAX_RECORDS:
        raise MalformedDatagramError(f"datagram: found more than {MAX_RECORDS} rows")
    what = "accusation"
    accusations = tuple(
        SuspicionReport(_text(row.about, what), row.incarnation, row.beat, _text(row.accuser, what))
        for row in raw.accusations
    )
    return Datagram(
        _text(raw.fleet, "fleet"),
        _read_member(raw.sender, "sender"),
        raw.serial,
        raw.view,
        _read_body(raw),
        tuple(_read_member(row, "member") for row in raw.members),
        accusations,
    )
