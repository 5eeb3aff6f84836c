"""Purges that copies in caches may still predate, and the largest age of a copy that will do.

Caches drop purged copies by themselves within the propagation time; until then a request must bound the age
of the copy it takes. The table is a plain dictionary, which captures hold as it is: when each purge was
made at the origin (microseconds), objects under ``(1, key)``, groups under ``(0, group)``. It is searched
for expired entries only when it has doubled since the last time, so that adding one takes constant time on
average.
"""

from __future__ import annotations

from magpieshift.policy.events import RequestReceived

Purges = dict[tuple[int, int], int]

MIN_SWEEP_ENTRIES = 64
"""A smaller table is not searched for expired entries."""
GROUP, OBJECT = range(2)
"""First part of a table's key."""
RETENTION_MULTIPLE = 2
"""Times the propagation time that a purge is kept, which covers fills that were under way when it was
made."""
NEVER_US = -1
"""Before any time at which a purge is made."""


def record_purge(purges: Purges, object_key: int, group: int, purged_us: int) -> None:
    """Take in a purge of an object or, with ``object_key`` 0, of a group."""
    purged = (OBJECT, object_key) if object_key else (GROUP, group)
    purges[purged] = max(purged_us, purges.get(purged, 0))


def sweep(purges: Purges, sweep_size: int, now_us: int, propagation_us: int) -> int:
    """Drop expired entries once the table has ``sweep_size``; returns the size at which to do so next."""
    if len(purges) < sweep_size:
        return sweep_size
    expired_us = now_us - RETENTION_MULTIPLE * propagation_us
    for purged in [purged for purged, purged_us in purges.items() if purged_us < expired_us]:
        del purges[purged]
    return max(MIN_SWEEP_ENTRIES, 2 * len(purges))


def max_copy_age_us(
    purges: Purges, request: RequestReceived, class_max_age_us: int, now_us: int, propagation_us: int
) -> int:
    """The largest age of a copy that will do: the class's own (0 for no bound) unless the object or its group
    was purged lately; then at least 1, as 0 would mean the class's own."""
    purged_us = max(
        purges.get((OBJECT, request.object_key), NEVER_US), purges.get((GROUP, request.group), NEVER_US)
    )
    if purged_us < max(0, now_us - RETENTION_MULTIPLE * propagation_us):
        return class_max_age_us
    since_us = max(1, now_us - purged_us - 1)
    return min(since_us, class_max_age_us) if class_max_age_us else since_us
