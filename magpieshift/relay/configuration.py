"""Configuration versions as entries of the log: made from published ones, put together again, offered."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from google.protobuf.message import DecodeError

from magpieshift.control import sexp
from magpieshift.control.content import Delta, Full, content_digest
from magpieshift.control.publisher import Published
from magpieshift.control.session import read_changes, write_changes
from magpieshift.control.sexp import Problem, Unusable
from magpieshift.control.version_history import Offer
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.relay.messages import ConfigurationChange

OFFERED_BY = "relay"  # the source of offers, in the history


def entry(previous: Published | None, version: Published) -> ConfigurationChange:
    """A version as the log's next: what differs from the one before it, or the whole where one of them is no
    document."""
    if previous is None or previous.data is None or version.data is None:
        return ConfigurationChange(version.number, version.digest, "", version.text.encode())
    delta = wire.Delta(base=previous.number, base_digest=previous.digest)
    delta.changes.extend(write_changes(sexp.differences(previous.data, version.data)))
    content = bytes(delta.SerializeToString())
    return ConfigurationChange(version.number, version.digest, previous.digest, content)


def make_whole(base: ConfigurationChange | None, change: ConfigurationChange) -> ConfigurationChange | None:
    """The whole version that a delta makes of the whole ``base``; None where it does not fit."""
    if base is None or base.digest != change.base_digest:
        return None
    try:
        data = sexp.apply(_bare(sexp.read(base.content.decode()).data), _changes(change.content))
    except Unusable:
        return None
    if sexp.digest(_bare(data)) != change.digest:
        return None
    return ConfigurationChange(change.number, change.digest, "", sexp.write(data).encode())


def offer(change: ConfigurationChange) -> Offer:
    """What is offered to a router's versions; ``Unusable`` where the content cannot be read."""
    if not change.base_digest:
        text = change.content.decode(errors="replace")
        return Offer(change.number, change.digest, OFFERED_BY, payload=Full(text))
    base = change.base_digest
    payload = Delta(base, _changes(change.content))
    return Offer(change.number, change.digest, OFFERED_BY, base=base, payload=payload)


def is_whole(change: ConfigurationChange) -> bool:
    """Whether a whole version's content is what its digest says."""
    return not change.base_digest and content_digest(change.content.decode(errors="replace")) == change.digest


def _bare(data: Mapping[str, Any]) -> dict[str, Any]:
    """Without the number, which is no part of the digest."""
    return {name: value for name, value in data.items() if name != "version"}


def _changes(content: bytes) -> tuple[sexp.Change, ...]:
    try:
        return read_changes(wire.Delta.FromString(content))
    except DecodeError as err:
        raise Unusable([Problem("delta", 0, f"no delta ({err})", "one")]) from None
