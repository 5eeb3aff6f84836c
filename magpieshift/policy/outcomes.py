"""How attempts end, and what a cache says of the copy or of the fill."""

from __future__ import annotations

from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt ended. The numbers are those of the simulator's wire and of captures."""

    OK = 1
    """The endpoint answered with the object, or with the word that the client's copy is current."""
    ERROR = 2
    """The endpoint answered with an error; the request may have taken effect."""
    OVERLOADED = 3
    """The endpoint was full and did not begin."""
    TIMEOUT = 4
    """No answer in the time that the attempt was given."""
    CONNECT_FAILED = 5
    """No connection came up in time; nothing was written."""
    RESET = 6
    """The connection ended after the request was written."""
    CANCELLED = 7
    """The router called the attempt off."""
    SUPERSEDED = 8
    """The request was over, out of time or out of attempts: nothing was written."""
    MISS = 9
    """The endpoint does not hold the copy, and was not asked to fetch it."""


NEVER_RAN = frozenset({Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED, Outcome.MISS})
"""The outcomes that prove that an attempt had no effect."""


class CacheStatus(IntEnum):
    """What an answer tells of the copy or of the fill, where the deployment's caches report it."""

    NONE = 0
    HIT = 1
    """Served from the copy that the cache held."""
    FILLED = 2
    """Fetched from the source that the request named."""
    FILLED_BY_ORIGIN = 3
    """Fetched by that source from the origin in turn."""
    COALESCED = 4
    """Waited for a fill of the same part that was already running, or found one running."""
    STALE = 5
    """Served a copy past its fresh time."""
    SOURCE_REJECTED = 6
    """The source was full."""
    SOURCE_LOST = 7
    """The source did not answer, or its connection broke."""
    SOURCE_MISS = 8
    """The source does not hold the copy."""
    NO_CAPACITY = 9
    """The cache still serves what it holds, but has no capacity to fill."""
    ORIGIN_FAILED = 10
    """The origin behind the source failed."""
