"""Codec of the change log: the one place that knows its field names and words. No I/O.

The log is JSON from outside, of any shape: what cannot be read raises ``ValueError``, ``KeyError``,
``TypeError`` or the like, which the callers contain."""

from __future__ import annotations

import json
import logging
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from magpieshift.config import Names, parse_address
from magpieshift.engine.model import ListedEndpoint, endpoint_number
from magpieshift.log import fields
from magpieshift.policy.events import Endpoint, EndpointListKind, EndpointState

log = logging.getLogger(__name__)

MAX_WEIGHT = 1e9
"""Weights of endpoints from here on are garbage."""
MAX_REASON_CHARACTERS = 200
"""How much of an error goes into a log line, so that the change log cannot fill the router's."""

STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A list of endpoints, or a change of it."""

    kind: EndpointListKind
    version: int
    endpoints: list[ListedEndpoint]


@dataclass(frozen=True, slots=True)
class Purge:
    """Copies of an object, or of a group of objects, from before this time are not to be served."""

    object_key: str
    """Hexadecimal; empty for a group."""
    group: int
    purged_at_us: int
    """Unix time."""


@dataclass(frozen=True, slots=True)
class RawChange:
    """A change whose content is not read yet."""

    sequence: int
    content: Any


def describe_error(err: Exception) -> str:
    """What a log line tells of an unreadable change."""
    return f"{type(err).__name__}: {err}"[:MAX_REASON_CHARACTERS]


def read_change(text: str, event_id: str) -> RawChange:
    """A change of the log; the event's id stands for its sequence number if it has none."""
    content = json.loads(text)
    sequence = content["seq"] if "seq" in content else int(event_id)
    if not isinstance(sequence, int):
        raise ValueError(f"seq {sequence!r}")
    return RawChange(sequence, content)


def read_known_changes(known: Mapping[str, Any]) -> list[Any]:
    """The contents of the changes that the configuration knows of."""
    changes = known.get("results")
    return changes if isinstance(changes, list) else []


def read_known_sequence(known: Mapping[str, Any]) -> int:
    """The number of the last change that the configuration knows of; 0 for none."""
    sequence = known.get("seq")
    return sequence if isinstance(sequence, int) else 0


def has_list(content: Any) -> bool:
    """Whether a change has a list of endpoints."""
    return "fleet" in content


def raw_list(content: Any) -> Mapping[str, Any]:
    """The list of endpoints in a change, not read yet."""
    raw: Mapping[str, Any] = content["fleet"]
    return raw


def read_list(raw: Mapping[str, Any], is_initial: bool, names: Names) -> EndpointList:
    """A list of endpoints. An entry that cannot be read is logged and left out: the others count all the
    same. A complete list from before the start is ``CACHED``."""
    endpoints = []
    for entry in raw["members"]:
        try:
            endpoints.append(_read_endpoint(entry, names))
        except Exception as err:  # an entry of any shape
            log.warning("unreadable endpoint", extra=fields(reason=describe_error(err)))
    kind = EndpointListKind.CACHED if is_initial else EndpointListKind.COMPLETE
    kind = kind if raw.get("complete") else EndpointListKind.DELTA
    return EndpointList(kind, int(raw.get("revision", 0)), endpoints)


def _read_endpoint(raw: Mapping[str, Any], names: Names) -> ListedEndpoint:
    name = str(raw["id"])
    state = STATES[raw["phase"]]
    if not name or any(mark in name for mark in " ,=\r\n"):
        raise ValueError(f"id {name!r}")
    weight = float(raw.get("size", 1.0))
    if not 0 < weight < MAX_WEIGHT:  # also false for NaN, which would make every comparison of caches false
        raise ValueError(f"size {weight}")
    endpoint = Endpoint(
        number=endpoint_number(name),
        zone=names.zones.index(raw["locality"] or None),  # numbers out of use have an empty name
        kind=names.kinds.index(raw["flavor"] or None),
        cell=int(raw.get("cell", 0)),
        state=state,
        weight=weight,
        started_us=max(0, int(raw.get("up_since_ms", 0) * 1000)),
    )
    return ListedEndpoint(name, parse_address(raw["host_port"], "host_port"), endpoint)


def read_purge(content: Any) -> Purge | None:
    """The purge in a change; None if it has none."""
    if "invalidate" not in content:
        return None
    raw = content["invalidate"]
    purged_at_us = int(raw["time"] * 1000)
    if "object" in raw:
        object_key = str(raw["object"])
        int(object_key, 16)  # must be hexadecimal
        return Purge(object_key, 0, purged_at_us)
    return Purge("", int(raw["bucket"]), purged_at_us)
