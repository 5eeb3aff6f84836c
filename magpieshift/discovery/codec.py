"""Decoder of the change log; only this module knows its field names and words. No I/O.

The log is external JSON of any shape. Changes that cannot be decoded raise ``ValueError``, ``KeyError``,
``TypeError`` or similar errors, which the callers handle."""

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
"""Endpoint weights must be below this; higher ones are rejected as invalid."""
MAX_REASON_CHARACTERS = 200
"""Longest error text in a log line, so that invalid changes cannot flood the router's log."""

STATES = {
    "SERVING": EndpointState.READY,
    "DRAINING": EndpointState.DRAINING,
    "DELETED": EndpointState.REMOVED,
}


@dataclass(frozen=True, slots=True)
class EndpointList:
    """A complete list of endpoints, or a change to it."""

    kind: EndpointListKind
    version: int
    endpoints: list[ListedEndpoint]


@dataclass(frozen=True, slots=True)
class Purge:
    """Cached copies of an object, or of a group of objects, from before ``purged_at_us`` must not be
    served."""

    object_key: str
    """Hexadecimal; empty for a group."""
    group: int
    purged_at_us: int
    """Unix time in microseconds."""


@dataclass(frozen=True, slots=True)
class RawChange:
    """A change whose content is not decoded yet."""

    sequence: int
    content: Any


def describe_error(err: Exception) -> str:
    """The reason shown in log lines about unreadable changes and endpoints."""
    return f"{type(err).__name__}: {err}"[:MAX_REASON_CHARACTERS]


def read_change(text: str, event_id: str) -> RawChange:
    """Decode the envelope of a change; without a ``seq`` field the event's id is its sequence number."""
    content = json.loads(text)
    sequence = content["seq"] if "seq" in content else int(event_id)
    if not isinstance(sequence, int):
        raise ValueError(f"seq: found {sequence!r}, expected an integer")
    return RawChange(sequence, content)


def read_known_changes(known: Mapping[str, Any]) -> list[Any]:
    """The contents of the changes that the configuration holds."""
    changes = known.get("results")
    return changes if isinstance(changes, list) else []


def read_known_sequence(known: Mapping[str, Any]) -> int:
    """The sequence number of the last change that the configuration holds; 0 for none."""
    sequence = known.get("seq")
    return sequence if isinstance(sequence, int) else 0


def has_list(content: Any) -> bool:
    """Whether a change contains an endpoint list."""
    return "fleet" in content


def raw_list(content: Any) -> Mapping[str, Any]:
    """The endpoint list in a change, not decoded yet."""
    raw: Mapping[str, Any] = content["fleet"]
    return raw


def read_list(raw: Mapping[str, Any], is_initial: bool, names: Names) -> EndpointList:
    """Decode an endpoint list. An entry that cannot be decoded is logged and left out; the others are used.

    A complete list from before the start (``is_initial``) is of the kind ``CACHED``.
    """
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
        raise ValueError(f"id: found {name!r}, expected a word without comma, space and '='")
    weight = float(raw.get("size", 1.0))
    if not 0 < weight < MAX_WEIGHT:  # rejects NaN too, which would make every comparison of caches false
        raise ValueError(f"size: found {weight}, expected a number above 0 and below {MAX_WEIGHT:g}")
    endpoint = Endpoint(
        number=endpoint_number(name),
        zone=names.zones.index(raw["locality"] or None),  # unused zone numbers have an empty name
        kind=names.kinds.index(raw["flavor"] or None),
        cell=int(raw.get("cell", 0)),
        state=state,
        weight=weight,
        started_us=max(0, int(raw.get("up_since_ms", 0) * 1000)),
    )
    return ListedEndpoint(name, parse_address(raw["host_port"], "host_port"), endpoint)


def read_purge(content: Any) -> Purge | None:
    """Decode the purge in a change; None if it contains none."""
    if "invalidate" not in content:
        return None
    raw = content["invalidate"]
    purged_at_us = int(raw["time"] * 1000)
    if "object" in raw:
        object_key = str(raw["object"])
        int(object_key, 16)  # must be hexadecimal
        return Purge(object_key, 0, purged_at_us)
    return Purge("", int(raw["bucket"]), purged_at_us)
