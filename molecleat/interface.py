"""The interface of the decision module: settings, events, actions, outcomes.

Protocol facts only; every decision is in ``control.py``. Times are whole microseconds; a store is a plain
number that stays the same when its process restarts; an absent value is zero.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8
    MISS = 9


NEVER_RAN = frozenset({Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT, Outcome.MISS})
"""The outcomes that prove an attempt had no effect."""


class Note(IntEnum):
    """What an outcome tells of the copy or of the fill, where the deployment tells it."""

    NONE = 0
    HIT = 1
    FILLED = 2
    FILLED_BY_ORIGIN = 3
    JOINED = 4
    STALE = 5
    SOURCE_REFUSED = 6
    SOURCE_LOST = 7
    SOURCE_LACKS = 8
    NO_PLACE = 9
    ORIGIN_FAILED = 10


class Effect(IntEnum):
    """What a repeat of a request may do."""

    FREE = 0
    KEYED = 1
    UNSAFE = 2


class Scope(IntEnum):
    """The stores that discard each other's repeats of a keyed request."""

    ALL = 0
    ZONE = 1
    CELL = 2


class Phase(IntEnum):
    """A store's state in the list."""

    READY = 0
    DRAINING = 1
    GONE = 2


class ListKind(IntEnum):
    """What a list event holds."""

    DELTA = 0
    FULL = 1
    CACHED = 2
    FAILED = 3


class Mode(IntEnum):
    """Bits of a ``Get``'s mode."""

    JOIN = 1
    SOURCE_HELD_ONLY = 2
    PARENT_KEEPS_NONE = 4
    RENEW = 8


@dataclass(slots=True)
class RequestClass:
    """The figures of one class of requests."""

    effect: Effect
    scope: Scope
    dedup_us: int
    aim_us: int
    aim_stretch: float
    deadline_us: int
    worth: float
    late_worth: float
    stream: bool
    write: bool
    in_parts: bool
    fresh_us: int
    grace_us: int
    stale_worth: float


@dataclass(slots=True)
class Settings:
    """What an instance is told at its start."""

    classes: tuple[RequestClass, ...]
    zone: int
    routers: int
    self_index: int
    zone_hub: tuple[int, ...]
    zone_routers: tuple[int, ...]
    zone_link_kb_per_s: tuple[float, ...]
    parent_kind: int
    origin_kind: int
    tick_us: int
    flow_kb_per_s: float
    weights_are_sizes: bool
    answer_slack_us: int
    drain_grace_us: int
    cold_from: float
    cold_us: int
    fall_multiple: float
    fall_us: int
    parent_cold_from: float
    parent_cold_us: int
    parent_fall_multiple: float
    purge_grace_us: int
    purge_done_us: int
    connect_timeout_us: int
    max_attempts: int
    max_retry_after_us: int
    may_cancel: bool
    may_probe: bool
    may_message: bool
    may_pass_by: bool
    second_copies: bool
    joins_fills: bool
    siblings: bool
    notes: bool
    must_subscribe: bool
    report_columns: tuple[str, ...]


@dataclass(slots=True)
class Entry:
    """One store of a list."""

    store: int
    zone: int
    kind: int
    cell: int
    phase: Phase
    weight: float
    up_since_us: int


@dataclass(slots=True)
class StoreList:
    """The list of stores, whole or as changes."""

    kind: ListKind
    version: int
    entries: tuple[Entry, ...]


@dataclass(slots=True)
class Request:
    """A client's request; exactly one final answer is now owed for it."""

    id: int
    cls: int
    tenant: int
    key: int
    patience_us: int
    size_kb: float
    group: int
    part: int
    repeat: bool
    write: bool


@dataclass(slots=True)
class Begun:
    """A streamed answer has begun on this attempt."""

    id: int
    store: int
    latency_us: int
    attempt: int


@dataclass(slots=True)
class Ended:
    """How one attempt ended; ``closed`` once the request itself is over."""

    id: int
    outcome: Outcome
    latency_us: int
    fill_wait_us: int
    closed: bool
    note: int
    store: int
    attempt: int
    load: tuple[float, ...]


@dataclass(slots=True)
class Hangup:
    """The client left; nothing more is owed."""

    id: int


@dataclass(slots=True)
class Elapsed:
    """A timer of this instance came due."""

    token: int


@dataclass(slots=True)
class Probed:
    """What a probe found."""

    store: int
    outcome: Outcome
    latency_us: int
    load: tuple[float, ...]


@dataclass(slots=True)
class Message:
    """Bytes from a fellow instance."""

    sender: int
    body: bytes


@dataclass(slots=True)
class Purged:
    """An object, or with no key a whole group, was purged at the origin some time ago."""

    key: int
    group: int
    age_us: int


Event = StoreList | Request | Begun | Ended | Hangup | Elapsed | Probed | Message | Purged


@dataclass(slots=True)
class Send:
    """Ask a store for what it holds; carries no bound on the copy's age."""

    id: int
    store: int
    timeout_us: int


@dataclass(slots=True)
class Get:
    """An attempt that names the fill's source, the rank kept and the oldest copy that will do."""

    id: int
    store: int
    timeout_us: int
    source: int
    keep: int
    age_us: int
    mode: int


@dataclass(slots=True)
class Refuse:
    """Final answer: turned away; trying again is harmless."""

    id: int
    retry_after_us: int


@dataclass(slots=True)
class Fail:
    """Final answer: failed, with no promise about its effect."""

    id: int


@dataclass(slots=True)
class Cancel:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(slots=True)
class SetTimer:
    """Ask for an ``Elapsed`` event."""

    delay_us: int
    token: int


@dataclass(slots=True)
class Probe:
    """Check on a store."""

    store: int


@dataclass(slots=True)
class Close:
    """Close the idle connections to a store."""

    store: int


@dataclass(slots=True)
class Tell:
    """Send bytes to a fellow instance, or with ``peer`` None to all."""

    peer: int | None
    body: bytes


@dataclass(slots=True)
class Log:
    """A line for the report."""

    text: str


@dataclass(slots=True)
class Subscribe:
    """Turn list changes on or off, where they must be asked for."""

    on: bool


@dataclass(slots=True)
class FetchList:
    """Ask once for the whole list."""


Action = Send | Get | Refuse | Fail | Cancel | SetTimer | Probe | Close | Tell | Log | Subscribe | FetchList
