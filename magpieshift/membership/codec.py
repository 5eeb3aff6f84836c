"""Datagrams as bytes and back, by protobuf. What cannot be used is ``Malformed``, never half taken."""

from __future__ import annotations

from functools import lru_cache

from google.protobuf.message import DecodeError

from magpieshift.membership.member_table import MOST_TEXT, PARTS, Accusation, Member
from magpieshift.membership.messages import Ack, Ask, Body, Claim, Datagram, Kind, Note, Ping, Sync
from magpieshift.membership.wire import members_pb2 as wire

MOST_BYTES = 1400  # what goes through whole on any way; what is larger is not read
MOST_ROWS = 64  # records in one datagram: far more than a router writes
MOST_SHARES = 16


class Malformed(Exception):
    """No datagram of ours; the text says what was found and what expected."""


def seal(data: bytes) -> bytes:
    """The seam for a message authentication code: here it would be added."""
    return data


def opened(data: bytes) -> bytes:
    """And here checked and taken off; ``Malformed`` where it does not fit."""
    return data


def _member(member: Member, row: wire.Member) -> None:
    row.name = member.name
    row.host = member.host
    row.port = member.port
    row.incarnation = member.incarnation
    row.boot = member.boot
    row.beat = member.beat
    row.left = member.left
    row.zone = member.zone
    row.program = member.program
    row.settings = member.settings
    row.state = member.state
    row.load = member.load


@lru_cache(maxsize=64)
def _row(member: Member) -> wire.Member:
    """A record as it goes along: the same one is sent many times between two beats."""
    row = wire.Member()
    _member(member, row)
    return row


def encode(datagram: Datagram) -> bytes:
    """A datagram as bytes, of ``MOST_BYTES`` at most: what is only passed on gives way."""
    rows = list(datagram.members)
    said = list(datagram.accusations)
    while True:
        out = wire.Datagram(fleet=datagram.fleet, serial=datagram.serial, view=datagram.view)
        out.sender.CopyFrom(_row(datagram.sender))
        match datagram.body:
            case Ping(number=number):
                out.ping.number = number
            case Ack(number=number, about=about):
                out.ack.number = number
                out.ack.about = about
            case Ask(number=number, about=about):
                out.ask.number = number
                out.ask.about = about
            case Sync(parts=parts, answer=answer):
                out.sync.parts.extend(parts)
                out.sync.answer = answer
            case Claim(term=term, kind=kind, number=number, parts=shares):
                out.claim.MergeFrom(wire.Claim(term=term, kind=kind.name, number=number))
                for scope, share in shares:
                    out.claim.parts.add(scope=scope, share=share)
            case Note(topic=topic, data=data):
                out.note.topic = topic
                out.note.data = data
        for member in rows:
            out.members.append(_row(member))
        for each in said:
            out.accusations.add(
                about=each.about, incarnation=each.incarnation, beat=each.beat, accuser=each.accuser
            )
        whole = seal(out.SerializeToString())
        if len(whole) <= MOST_BYTES or not (rows or said):
            return whole
        rows = rows[: len(rows) // 2]
        said = said[: len(said) // 2]


def _text(value: str, what: str, needed: bool = True) -> str:
    if len(value) > MOST_TEXT or (needed and not value) or not (value.isprintable() or not value):
        raise Malformed(f"{what}: found {len(value)} characters, expected 1 to {MOST_TEXT} that can be shown")
    return value


def _read_member(row: wire.Member, what: str) -> Member:
    if not 0 < row.port < 65536:
        raise Malformed(f"{what}: found port {row.port}, expected 1 to 65535")
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
            return Ask(raw.ask.number, _text(raw.ask.about, "ask"))
        case "sync":
            if len(raw.sync.parts) != PARTS:
                raise Malformed(f"sync: found {len(raw.sync.parts)} parts, expected {PARTS}")
            return Sync(tuple(raw.sync.parts), raw.sync.answer)
        case "claim":
            if len(raw.claim.parts) > MOST_SHARES:
                raise Malformed(f"claim: found {len(raw.claim.parts)} parts, expected at most {MOST_SHARES}")
            parts = tuple((_text(part.scope, "claim"), part.share) for part in raw.claim.parts)
            try:
                kind = Kind(raw.claim.kind)
            except ValueError:
                kind = Kind.NONE  # of a later version
            return Claim(raw.claim.term, kind, raw.claim.number, parts)
        case "note":
            return Note(_text(raw.note.topic, "note"), raw.note.data)
    return None  # or of a later version


def decode(data: bytes) -> Datagram:
    """Bytes from anybody as a datagram; ``Malformed`` where they are none."""
    if len(data) > MOST_BYTES:
        raise Malformed(f"datagram: found {len(data)} bytes, expected at most {MOST_BYTES}")
    raw = wire.Datagram()
    try:
        raw.ParseFromString(opened(data))
    except DecodeError as err:
        raise Malformed(f"datagram: {err}") from err
    if len(raw.members) > MOST_ROWS or len(raw.accusations) > MOST_ROWS:
        raise Malformed(f"datagram: found more than {MOST_ROWS} rows")
    what = "accusation"
    accusations = tuple(
        Accusation(_text(row.about, what), row.incarnation, row.beat, _text(row.accuser, what))
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
