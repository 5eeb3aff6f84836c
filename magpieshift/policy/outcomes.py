"""Outcomes of attempts, and the cache status that an answer reports."""

from __future__ import annotations

from enum import IntEnum


class Outcome(IntEnum):
    """How an attempt ended. The simulator's protocol and captures use these numbers."""

    OK = 1
    """The endpoint answered with the object, or that the client's copy is current."""
    ERROR = 2
    """The endpoint answered with an error; the request may have taken effect."""
    OVERLOADED = 3
    """The endpoint was overloaded and did not execute the request."""
    TIMEOUT = 4
    """No answer arrived within the attempt's timeout."""
    CONNECT_FAILED = 5
    """No connection was established in time; nothing was written."""
    RESET = 6
    """The connection ended after the request was written."""
    CANCELLED = 7
    """The router cancelled the attempt."""
    SUPERSEDED = 8
    """Nothing was written because the request was over, or had no time or attempts left."""
    MISS = 9
    """The endpoint does not hold the copy, and was not asked to fetch it."""


NEVER_RAN = frozenset({Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.SUPERSEDED, Outcome.MISS})
"""The outcomes that prove that an attempt had no effect."""


class CacheStatus(IntEnum):
    """What an answer reports about the copy or the fill, in deployments whose caches report it."""

    NONE = 0
    HIT = 1
    """Served from the copy that the cache held."""
    FILLED = 2
    """Fetched from the source that the request named."""
    FILLED_BY_ORIGIN = 3
    """Fetched from the source that the request named, which fetched it from the origin."""
    COALESCED = 4
    """Waited for a fill of the same part that was already running. In a miss: such a fill is running."""
    STALE = 5
    """Served from a copy that was no longer fresh."""
    SOURCE_REJECTED = 6
    """The source was overloaded and rejected the fill."""
    SOURCE_LOST = 7
    """The source did not answer, or its connection broke."""
    SOURCE_MISS = 8
    """The source does not hold the copy."""
    NO_CAPACITY = 9
    """The cache still serves what it holds, but has no capacity to fill."""
    ORIGIN_FAILED = 10
    """The origin behind the source failed."""
