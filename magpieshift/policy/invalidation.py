"""Keeps recent purges, and derives from them the maximum age of an acceptable copy.

Caches drop purged copies by themselves within the propagation time; until then a request must bound the age
of an acceptable copy. The table is a plain dictionary, and captures hold it in that form: the time at which
each purge was made at the origin (microseconds), objects under ``(1, key)``, groups under ``(0, group)``. It
is searched for expired entries only when its size has doubled since the last search, so that adding one takes
constant time on average.
"""

from __future__ import annotations

from magpieshift.policy.events import RequestReceived

Purges = dict[tuple[int, int], int]

MIN_SWEEP_ENTRIES = 64
"""Table size below which it is not searched for expired entries."""
GROUP, OBJECT = range(2)
"""First element of a key in the table."""
RETENTION_MULTIPLE = 2
"""Multiple of the propagation time for which a purge is kept; it covers fills in progress when the purge was
made."""
NEVER_US = -1
"""A time before that of any purge."""


def record_purge(purges: Purges, object_key: int, group: int, purged_us: int) -> None:
    """Record a purge of an object or, with ``object_key`` 0, of a group."""
    purged = (OBJECT, object_key) if object_key else (GROUP, group)
    purges[purged] = max(purged_us, purges.get(purged, 0))


def sweep(purges: Purges, sweep_size: int, now_us: int, propagation_us: int) -> int:
    """Drop expired entries if the table has at least ``sweep_size`` entries; returns the size for the next
    sweep."""
    if len(purges) < sweep_size:
        return sweep_size
    expired_us = now_us - RETENTION_MULTIPLE * propagation_us
    for purged in [purged for purged, purged_us in purges.items() if purged_us < expired_us]:
        del purges[purged]
    return max(MIN_SWEEP_ENTRIES, 2 * len(purges))


def max_copy_age_us(
    purges: Purges, request: RequestReceived, class_max_age_us: int, now_us: int, propagation_us: int
) -> int:
    """Maximum age of an acceptable copy: that of the class (0: no bound), or the time since a recent purge of
    the object or its group if that is shorter. The time since a purge is taken to be at least 1, as 0 would
    mean the maximum age of the class."""
    purged_us = max(
        purges.get((OBJECT, request.object_key), NEVER_US), purges.get((GROUP, request.group), NEVER_US)
    )
    if purged_us < max(0, now_us - RETENTION_MULTIPLE * propagation_us):
        return class_max_age_us
    since_us = max(1, now_us - purged_us - 1)
    return min(since_us, class_max_age_us) if class_max_age_us else since_us
