"""Configuration versions as entries of the log: made of published ones, put together, offered to a router."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from google.protobuf.message import DecodeError

from magpieshift.control import sexp
from magpieshift.control.content import Delta, Full
from magpieshift.control.publisher import Published
from magpieshift.control.session import read_changes, write_changes
from magpieshift.control.sexp import Problem, Unusable
from magpieshift.control.version_history import Offer
from magpieshift.control.wire import control_pb2 as wire
from magpieshift.relay.messages import ConfigurationChange

OFFER_SOURCE = "relay"
"""The source of offers, in the history of versions."""


def log_entry(previous: Published | None, version: Published) -> ConfigurationChange:
    """A version as the log's next entry: the delta to the one before it, or the complete text if one of them
    is no document."""
    if previous is None or previous.data is None or version.data is None:
        return ConfigurationChange(version.number, version.digest, "", version.text.encode())
    delta = wire.Delta(base=previous.number, base_digest=previous.digest)
    delta.changes.extend(write_changes(sexp.differences(previous.data, version.data)))
    content = bytes(delta.SerializeToString())
    return ConfigurationChange(version.number, version.digest, previous.digest, content)


def apply_delta(base: ConfigurationChange | None, change: ConfigurationChange) -> ConfigurationChange | None:
    """The complete version that a delta makes of the complete ``base``; None if it does not fit."""
    if base is None or base.digest != change.base_digest:
        return None
    try:
        data = sexp.apply(_without_version(sexp.read(base.content.decode()).data), _changes(change.content))
    except Unusable:
        return None
    if sexp.digest(_without_version(data)) != change.digest:
        return None
    return ConfigurationChange(change.number, change.digest, "", sexp.write(data).encode())


def version_offer(change: ConfigurationChange) -> Offer:
    """What is offered to a router's versions; ``Unusable`` if the content cannot be read."""
    if not change.base_digest:
        text = change.content.decode(errors="replace")
        return Offer(change.number, change.digest, OFFER_SOURCE, payload=Full(text))
    base = change.base_digest
    payload = Delta(base, _changes(change.content))
    return Offer(change.number, change.digest, OFFER_SOURCE, base=base, payload=payload)


def _without_version(data: Mapping[str, Any]) -> dict[str, Any]:
    """Without the number, which is no part of the digest."""
    return {name: value for name, value in data.items() if name != "version"}


def _changes(content: bytes) -> tuple[sexp.Change, ...]:
    try:
        return read_changes(wire.Delta.FromString(content))
    except DecodeError as err:
        raise Unusable([Problem("delta", 0, f"no delta ({err})", "one")]) from None
